"""Chooses another home for a call that finds no slot free here."""

import random
import threading

from attrs import define, evolve, field

from dotterelpier.kernel import Kernel
from dotterelpier.model.membership import Heartbeat, Member, ServiceLoad
from dotterelpier.protocols import Membership, Policy, Routing, ServiceName


@define
class WeightedPolicy:
    """Chooses at random, in proportion to the free slots."""

    _random: random.Random

    def choose(self, free_by_id: dict[str, int]) -> str | None:
        """Return the id of the chosen candidate, or None if there is none."""
        candidates = [(key, free) for key, free in free_by_id.items() if free > 0]
        if not candidates:
            return None
        keys, weights = zip(*candidates, strict=True)
        return str(self._random.choices(keys, weights)[0])


@define
class LoadRouting:
    """Keeps the last load heard of each peer, less what was sent there since."""

    _membership: Membership
    _policy: Policy
    _load_by_member_and_service: dict[tuple[str, str], ServiceLoad] = field(
        factory=dict
    )
    _lock: threading.Lock = field(factory=threading.Lock)

    def start(self) -> None:
        """Start to follow heartbeats."""
        self._membership.subscribe(self._on_heartbeat)

    def stop(self) -> None:
        """Do nothing."""

    def choose_peer(self, service: str, excluded: frozenset[str]) -> Member | None:
        """Return a member likely to have a slot free, or None."""
        member_by_id = {
            status.member.id: status.member
            for status in self._membership.peers()
            if status.member.id not in excluded
            and not (status.heartbeat and status.heartbeat.leaving)
        }
        with self._lock:
            free_by_id = {
                member_id: load.free_slots
                for member_id in member_by_id
                if (load := self._load_by_member_and_service.get((member_id, service)))
            }
            chosen = self._policy.choose(free_by_id)
            if chosen is None:
                return None
            load = self._load_by_member_and_service[chosen, service]
            self._load_by_member_and_service[chosen, service] = evolve(
                load, free_slots=load.free_slots - 1
            )
        return member_by_id[chosen]

    def learn(self, member_id: str, service: str, load: ServiceLoad) -> None:
        """Take in the load that a peer reported with a relayed answer."""
        with self._lock:
            self._load_by_member_and_service[member_id, service] = load

    def _on_heartbeat(self, member: Member, heartbeat: Heartbeat) -> None:
        for service, load in heartbeat.load_by_service.items():
            self.learn(member.id, service, load)


def make_routing(kernel: Kernel, seed: int | None = None) -> Routing:
    """Return the routing between entries."""
    return LoadRouting(
        kernel.find(ServiceName.MEMBERSHIP, Membership),
        WeightedPolicy(random.Random(seed)),
    )
