"""Tells clients which entries to use."""

from attrs import define

from dotterelpier.fleet_settings import BoundSettings
from dotterelpier.kernel import Kernel
from dotterelpier.protocols import ServiceName
from dotterelpier.protocols.fleet import EntryDirectory, Fleet, PlannedStop

# Clients that keep an answer three times as long still learn within the grace of a
# planned stop that an entry leaves.
ANSWER_AGE_S = 1.5
MAX_ADDRESSES = 64
# A zone with fewer entries is served by those of other zones too.
LEAST_NEAR = 2


@define
class ZoneDirectory:
    """Names the entries of the client's zone, as bytes between zones have a price."""

    _fleet: Fleet
    _stop: PlannedStop
    _bounds: BoundSettings

    def addresses(self, zone: str) -> tuple[str, ...]:
        """Return addresses of entries for a client in a zone."""
        me = self._fleet.me()
        members = [
            member
            for member in self._fleet.members()
            if member.name != me.name or self._stop.takes_requests()
        ]
        near = [member for member in members if member.zone == zone]
        named = near if len(near) >= LEAST_NEAR else members
        return tuple(member.caller_address for member in named[:MAX_ADDRESSES])

    def answer_age_s(self) -> float:
        """Return how long clients may keep an answer, in seconds."""
        return min(ANSWER_AGE_S, self._bounds.directory_age_max_s)


def make_entry_directory(kernel: Kernel, bounds: BoundSettings) -> EntryDirectory:
    """Return the directory."""
    return ZoneDirectory(
        kernel.find(ServiceName.FLEET, Fleet),
        kernel.find(ServiceName.PLANNED_STOP, PlannedStop),
        bounds,
    )
