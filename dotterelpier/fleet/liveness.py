"""Pings a few other entries and removes those that do not answer."""

import threading
from collections.abc import Callable, Set

from attrs import define, field
from loguru import logger

from dotterelpier.errors import PeerUnavailableError
from dotterelpier.fleet.ranking import weight
from dotterelpier.kernel import Kernel
from dotterelpier.model.fleet import FleetMember
from dotterelpier.protocols import ServiceName, TaskKind, Tasks
from dotterelpier.protocols.fleet import Fleet, FleetPeers, StoreLink

# Entries that ping each entry.
MONITORS_PER_ENTRY = 3
PING_INTERVAL_S = 1.0
# Pause after a failed ping.
PING_RETRY_S = 0.3
# Consecutive failed pings after which an entry counts as failed. Including the ping
# timeouts, this takes less than the time after which clients must no longer be sent to
# it.
MISSED_PINGS_LIMIT = 3
# Must not change, so that entries of all releases form the same ring.
RING_KEY = "monitors"


@define(eq=False)
class PeerMonitor:
    """Task that pings one entry.

    Attributes
    ----------
    member : FleetMember
        The entry.
    pings_at_once : bool
        Whether the first ping is sent without a pause.
    failing : bool
        Whether the entry did not answer the last ping.
    """

    member: FleetMember
    _fleet: Fleet
    _peers: FleetPeers
    _link: StoreLink
    _on_failing_changed: Callable[[], None] = lambda: None
    pings_at_once: bool = False
    failing: bool = False
    _stopped: threading.Event = field(factory=threading.Event)

    def stop(self) -> None:
        """End the task after the ping in progress."""
        self._stopped.set()

    def serve(self) -> None:
        """Ping until stopped; remove the entry from the fleet if it does not answer.

        No entry is removed while the store is unreachable.
        """
        missed = 0
        pause_s = 0.0 if self.pings_at_once else PING_INTERVAL_S
        while not self._stopped.wait(pause_s):
            pause_s = PING_RETRY_S
            try:
                self._peers.ping(self.member)
                missed, pause_s = 0, PING_INTERVAL_S
                self._set_failing(False)
                continue
            except PeerUnavailableError as error:
                missed += 1
                logger.info(
                    "ping of an entry failed; pinging again",
                    peer=self.member.name,
                    missed=missed,
                    error=error.message,
                )
            self._set_failing(True)
            if missed >= MISSED_PINGS_LIMIT and self._link.is_reachable():
                self._fleet.remove(self.member)

    def _set_failing(self, failing: bool) -> None:
        if failing != self.failing:
            self.failing = failing
            self._on_failing_changed()


@define
class FleetLiveness:
    """Starts and ends the ping tasks as entries join and leave.

    Each entry is pinged by the few that follow it in a ring, so the number of pings
    grows linearly with the size of the fleet, not with its square. Where some of these
    do not answer this entry, the ring is closed without them.
    """

    _tasks: Tasks
    _fleet: Fleet
    _peers: FleetPeers
    _link: StoreLink
    _monitor_by_name: dict[str, PeerMonitor] = field(factory=dict)
    _stopped: bool = False
    _lock: threading.Lock = field(factory=threading.Lock)

    def start(self) -> None:
        """Start the ping tasks, and follow changes of the fleet."""
        self._fleet.subscribe(self.refresh)
        self.refresh()

    def stop(self) -> None:
        """End all ping tasks; a later change of the fleet starts none."""
        with self._lock:
            self._stopped = True
            monitors = tuple(self._monitor_by_name.values())
            self._monitor_by_name.clear()
        for monitor in monitors:
            monitor.stop()

    def refresh(self) -> None:
        """Start and end ping tasks to match the current members."""
        with self._lock:
            if self._stopped:
                return
            failing = self._failing_names()
            wanted = {item.name: item for item in self._monitored_members(failing)}
            for name, monitor in tuple(self._monitor_by_name.items()):
                if wanted.get(name) != monitor.member:
                    del self._monitor_by_name[name]
                    monitor.stop()
            for name, member in wanted.items():
                if name not in self._monitor_by_name:
                    monitor = PeerMonitor(
                        member,
                        self._fleet,
                        self._peers,
                        self._link,
                        self.refresh,
                        pings_at_once=bool(failing),
                    )
                    self._monitor_by_name[name] = monitor
                    self._tasks.supervise(TaskKind.PEER, monitor.serve)

    def _failing_names(self) -> frozenset[str]:
        monitors = self._monitor_by_name.items()
        return frozenset(name for name, monitor in monitors if monitor.failing)

    def _monitored_members(
        self, failing: frozenset[str] = frozenset()
    ) -> list[FleetMember]:
        members = self._fleet.members()
        me = self._fleet.me().name
        monitors_by_name = find_monitors(members, failing)
        return [member for member in members if me in monitors_by_name[member.name]]


def find_monitors(
    members: tuple[FleetMember, ...], failing: Set[str] = frozenset()
) -> dict[str, tuple[str, ...]]:
    """Return the names of the entries that ping each entry, by its name.

    The entries form a ring, and the next ones in it ping an entry, in different zones
    if possible. The failing ones are passed over: whoever takes the place of one pings
    that one too, so it learns of the failure by itself.
    """
    ring = sorted(members, key=lambda member: weight(RING_KEY, member.name))
    able = [member for member in ring if member.name not in failing]
    zones = {member.zone for member in able}
    monitors_by_name = {}
    after = 0
    for member in ring:
        before, after = after, after + (member.name not in failing)
        others = able[after:] + able[:before]
        monitors_by_name[member.name] = _first_in_zones(others, zones)
    return monitors_by_name


def _first_in_zones(others: list[FleetMember], zones: set[str]) -> tuple[str, ...]:
    """Return the first entries of different zones, then the first of the others."""
    firsts: list[str] = []
    rest: list[str] = []
    seen: set[str] = set()
    for other in others:
        (rest if other.zone in seen else firsts).append(other.name)
        seen.add(other.zone)
        all_zones_seen = seen == zones and len(firsts) + len(rest) >= MONITORS_PER_ENTRY
        if len(firsts) == MONITORS_PER_ENTRY or all_zones_seen:
            break
    return tuple((*firsts, *rest)[:MONITORS_PER_ENTRY])


def make_liveness(kernel: Kernel) -> FleetLiveness:
    """Return the service that pings other entries, not yet started."""
    return FleetLiveness(
        kernel.find(ServiceName.TASKS, Tasks),
        kernel.find(ServiceName.FLEET, Fleet),
        kernel.find(ServiceName.FLEET_PEERS, FleetPeers),
        kernel.find(ServiceName.STORE_LINK, StoreLink),
    )
