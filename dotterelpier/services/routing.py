"""Tracks the load of peers and chooses one for a call that finds no free slot here."""

import random
import threading
from collections.abc import Callable

from attrs import define, evolve, field

from dotterelpier.kernel import Kernel
from dotterelpier.model.membership import Heartbeat, Member, ServiceLoad
from dotterelpier.protocols import Membership, Policy, Routing, ServiceName


@define
class WeightedPolicy:
    """Chooses at random, weighted by the number of free slots."""

    _random: random.Random

    def choose(self, slots_by_id: dict[str, int]) -> str | None:
        """Return the id of the chosen candidate, or None if there is none."""
        candidates = [(key, free) for key, free in slots_by_id.items() if free > 0]
        if not candidates:
            return None
        keys, weights = zip(*candidates, strict=True)
        return str(self._random.choices(keys, weights)[0])


@define
class LoadRouting:
    """Keeps the last reported load of each peer, adjusted for calls sent since.

    A call sent to a peer uses one of its free slots; a call of a peer that was refused
    here is counted as waiting there.
    """

    _membership: Membership
    _policy: Policy
    _load_by_member_and_service: dict[tuple[str, str], ServiceLoad] = field(
        factory=dict
    )
    _waiting_listeners: list[Callable[[str], None]] = field(factory=list)
    _lock: threading.Lock = field(factory=threading.Lock)

    def start(self) -> None:
        """Subscribe to heartbeats, which report the load of each peer."""
        self._membership.subscribe(self._on_heartbeat)

    def stop(self) -> None:
        """Do nothing; there is no task to end."""

    def choose_peer(self, service: str, excluded: frozenset[str]) -> Member | None:
        """Return a peer chosen by its free slots, or None; count one slot as used."""
        return self._choose(service, excluded, lambda load: load.free_slots)

    def choose_busy_peer(self, service: str, excluded: frozenset[str]) -> Member | None:
        """Return a peer chosen by the slots of its servers, free or not, or None."""
        return self._choose(service, excluded, lambda load: load.slots)

    def update_load(self, member_id: str, service: str, load: ServiceLoad) -> None:
        """Replace the known load of a peer by what it reported."""
        with self._lock:
            self._load_by_member_and_service[member_id, service] = load
        self._notify_waiting(service, load.waiting)

    def note_refused(self, member_id: str, service: str) -> None:
        """Record that a call was refused here and therefore waits at the peer."""
        with self._lock:
            self._adjust_load(member_id, service, waiting=1)
        self._notify_waiting(service, 1)

    def note_waiting(self, member_id: str, service: str, waiting: int) -> None:
        """Record the number of calls that wait at a peer."""
        key = (member_id, service)
        with self._lock:
            load = self._load_by_member_and_service.get(key, ServiceLoad())
            self._load_by_member_and_service[key] = evolve(load, waiting=waiting)
        self._notify_waiting(service, waiting)

    def peer_with_longest_queue(self, service: str) -> Member | None:
        """Return the peer with the most waiting calls, or None if none is known."""
        with self._lock:
            waiting_by_id = {
                member_id: load.waiting
                for (member_id, name), load in self._load_by_member_and_service.items()
                if name == service and load.waiting > 0
            }
        if not waiting_by_id:
            return None
        # A leaving entry is no longer a home, so only slot offers can empty its queue.
        member_by_id = {
            status.member.id: status.member for status in self._membership.peers()
        }
        candidates = waiting_by_id.keys() & member_by_id.keys()
        if not candidates:
            return None
        chosen = max(candidates, key=lambda member_id: waiting_by_id[member_id])
        return member_by_id[chosen]

    def note_offered(self, member_id: str, service: str) -> None:
        """Record that a slot is offered to a peer for one of its waiting calls."""
        with self._lock:
            self._adjust_load(member_id, service, waiting=-1)

    def subscribe_waiting(self, listener: Callable[[str], None]) -> None:
        """Call a listener with a service when its calls are known to wait at a peer."""
        with self._lock:
            self._waiting_listeners.append(listener)

    def _notify_waiting(self, service: str, waiting: int) -> None:
        if not waiting:
            return
        with self._lock:
            listeners = tuple(self._waiting_listeners)
        for listener in listeners:
            listener(service)

    def load_of(self, member_id: str, service: str) -> ServiceLoad | None:
        """Return the last known load of a peer, or None if none is known."""
        return self._load_by_member_and_service.get((member_id, service))

    def _choose(
        self,
        service: str,
        excluded: frozenset[str],
        weight: Callable[[ServiceLoad], int],
    ) -> Member | None:
        member_by_id = self._usable_peers(excluded)
        with self._lock:
            weight_by_id = {
                member_id: weight(load)
                for member_id in member_by_id
                if (load := self._load_by_member_and_service.get((member_id, service)))
            }
            chosen = self._policy.choose(weight_by_id)
            if chosen is None:
                return None
            self._adjust_load(chosen, service, free_slots=-1)
        return member_by_id[chosen]

    def _usable_peers(self, excluded: frozenset[str]) -> dict[str, Member]:
        return {
            status.member.id: status.member
            for status in self._membership.peers()
            if status.member.id not in excluded
            and not (status.heartbeat and status.heartbeat.leaving)
        }

    def _adjust_load(
        self, member_id: str, service: str, *, free_slots: int = 0, waiting: int = 0
    ) -> None:
        load = self._load_by_member_and_service.get((member_id, service), ServiceLoad())
        self._load_by_member_and_service[member_id, service] = evolve(
            load,
            free_slots=max(0, load.free_slots + free_slots),
            waiting=max(0, load.waiting + waiting),
        )

    def _on_heartbeat(self, member: Member, heartbeat: Heartbeat) -> None:
        for service, load in heartbeat.load_by_service.items():
            self.update_load(member.id, service, load)


def make_routing(kernel: Kernel, seed: int | None = None) -> Routing:
    """Return the routing between entries; ``seed`` makes its choices repeatable."""
    return LoadRouting(
        kernel.find(ServiceName.MEMBERSHIP, Membership),
        WeightedPolicy(random.Random(seed)),
    )
