"""Queries of the seeds, from which an entry that starts reads the store's tables."""

from collections.abc import Callable

from attrs import define
from loguru import logger

from dotterelpier.errors import PeerUnavailableError
from dotterelpier.fleet.ranking import rank
from dotterelpier.fleet_settings import FleetEntrySettings
from dotterelpier.kernel import Kernel
from dotterelpier.model.fleet import Announcement, FleetMember
from dotterelpier.protocols import Clock, ServiceName
from dotterelpier.protocols.fleet import FleetPeers

# How long an entry asks the seeds before it reads the store itself, when the fleet
# starts for the first time, and later, when clients are already waiting for it.
SEED_WAIT_S = 1.5
RESTART_SEED_WAIT_S = 0.25


@define
class SeedQueries:
    """Asks the seeds for a limited time. Seeds may be stale, down, or starting too."""

    _clock: Clock
    _peers: FleetPeers
    _own_name: str
    _addresses: tuple[str, ...]
    _first_start: bool
    _until: float = float("-inf")

    def begin(self) -> bool:
        """Set the time limit; return False if there are no seeds to ask."""
        if not self._addresses:
            return False
        wait_s = SEED_WAIT_S if self._first_start else RESTART_SEED_WAIT_S
        self._until = self._clock.monotonic() + wait_s
        return True

    def end(self) -> None:
        """Ask no more."""
        self._until = float("-inf")

    def remaining_s(self) -> float:
        """Return for how much longer the seeds are asked, in seconds."""
        return max(0.0, self._until - self._clock.monotonic())

    def ask_each(self, on_answer: Callable[[FleetMember, Announcement], bool]) -> bool:
        """Ask each seed until one answers; return whether to ask them again.

        Seeds that do not answer an entry that restarts have probably restarted too, so
        they are not asked again.

        Parameters
        ----------
        on_answer : Callable
            Called with a seed, of which only the address is known, and what it
            announces; returns whether other entries announce the tables by themselves.
        """
        seeds = [_make_member(address) for address in self._addresses]
        for seed in rank(self._own_name, seeds):
            if not self.remaining_s():
                return False
            try:
                announcement = self._peers.announcement(seed)
            except PeerUnavailableError as error:
                logger.info(
                    "seed has no current tables; asking the next",
                    peer=seed.peer_address,
                    error=error.message,
                )
                continue
            # Announcements of publishers arrive once they know this entry.
            self._until = self._clock.monotonic() + SEED_WAIT_S
            return not on_answer(seed, announcement)
        return self._first_start


def _make_member(address: str) -> FleetMember:
    return FleetMember(f"seed {address}", "", "", address, "")


def make_seed_queries(
    kernel: Kernel, entry: FleetEntrySettings, seeds: tuple[str, ...]
) -> SeedQueries:
    """Return the queries of an entry, none if it is a seed itself."""
    return SeedQueries(
        kernel.find(ServiceName.CLOCK, Clock),
        kernel.find(ServiceName.FLEET_PEERS, FleetPeers),
        entry.name,
        () if entry.peer_address in seeds else seeds,
        entry.first_start,
    )
