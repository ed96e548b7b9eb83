"""Watches a few other entries and removes those that do not answer."""

import threading

from attrs import define, field
from loguru import logger

from dotterelpier.errors import PeerUnavailableError
from dotterelpier.fleet.ranking import rank
from dotterelpier.kernel import Kernel
from dotterelpier.model.fleet import FleetMember
from dotterelpier.protocols import ServiceName, TaskKind, Tasks
from dotterelpier.protocols.fleet import Fleet, FleetPeers, StoreLink

# Entries that watch each one; it is noticed unless all of them go with it.
WATCHERS = 3
PING_INTERVAL_S = 1.0
# Pause after a ping without an answer.
PING_RETRY_S = 0.3
# Pings in a row without an answer after which an entry counts as gone; with the
# timeout of a ping this takes less than the time after which clients must no longer
# be sent to it.
MISSED_PINGS = 3


@define(eq=False)
class Watch:
    """The task that watches one entry."""

    member: FleetMember
    _fleet: Fleet
    _peers: FleetPeers
    _link: StoreLink
    _stopped: threading.Event = field(factory=threading.Event)

    def stop(self) -> None:
        """End the task."""
        self._stopped.set()

    def serve(self) -> None:
        """Ping until stopped."""
        missed = 0
        while not self._stopped.wait(PING_RETRY_S if missed else PING_INTERVAL_S):
            try:
                self._peers.ping(self.member)
                missed = 0
                continue
            except PeerUnavailableError as error:
                missed += 1
                logger.info(
                    "entry does not answer",
                    peer=self.member.name,
                    missed=missed,
                    error=error.message,
                )
            if missed >= MISSED_PINGS and self._link.is_reachable():
                self._fleet.remove(self.member)


@define
class RingLiveness:
    """Starts and ends the watches as entries come and go.

    Each entry is watched by the few that rank first for its name, so the pings of a
    fleet grow with its size, not with its square.
    """

    _tasks: Tasks
    _fleet: Fleet
    _peers: FleetPeers
    _link: StoreLink
    _watch_by_name: dict[str, Watch] = field(factory=dict)
    _lock: threading.Lock = field(factory=threading.Lock)

    def start(self) -> None:
        """Watch, now and as entries come and go."""
        self._fleet.subscribe(self.refresh)
        self.refresh()

    def stop(self) -> None:
        """End all watches."""
        with self._lock:
            watches = tuple(self._watch_by_name.values())
            self._watch_by_name.clear()
        for watch in watches:
            watch.stop()

    def refresh(self) -> None:
        """Start and end watches."""
        wanted = {member.name: member for member in self._watched()}
        with self._lock:
            for name, watch in tuple(self._watch_by_name.items()):
                if wanted.get(name) != watch.member:
                    del self._watch_by_name[name]
                    watch.stop()
            for name, member in wanted.items():
                if name not in self._watch_by_name:
                    watch = Watch(member, self._fleet, self._peers, self._link)
                    self._watch_by_name[name] = watch
                    self._tasks.submit(TaskKind.PEER, watch.serve)

    def _watched(self) -> list[FleetMember]:
        members = self._fleet.members()
        me = self._fleet.me().name
        return [
            member
            for member in members
            if member.name != me and me in watchers_of(member, members)
        ]


def watchers_of(member: FleetMember, members: tuple[FleetMember, ...]) -> list[str]:
    """Return the names of the entries that watch one, of different zones if possible.

    An entry whose watchers are all lost with it would be noticed only after they are.
    """
    others = rank(member.name, (item for item in members if item.name != member.name))
    first_by_zone: dict[str, FleetMember] = {}
    for item in others:
        first_by_zone.setdefault(item.zone, item)
    firsts = list(first_by_zone.values())
    rest = [item for item in others if item not in firsts]
    return [item.name for item in (*firsts, *rest)[:WATCHERS]]


def make_liveness(kernel: Kernel) -> RingLiveness:
    """Return the watches of other entries."""
    return RingLiveness(
        kernel.find(ServiceName.TASKS, Tasks),
        kernel.find(ServiceName.FLEET, Fleet),
        kernel.find(ServiceName.FLEET_PEERS, FleetPeers),
        kernel.find(ServiceName.STORE_LINK, StoreLink),
    )
