"""Choice of peers for calls by reported load, and for free slots by waiting calls."""

from collections.abc import Callable

import pytest
from attrs import define, field

from dotterelpier.kernel import make_kernel
from dotterelpier.model.membership import Heartbeat, Member, PeerStatus, ServiceLoad
from dotterelpier.protocols import Routing, ServiceName
from dotterelpier.services.routing import LoadRouting, make_routing

SERVICE = "catalogue"
NO_EXCLUSIONS: frozenset[str] = frozenset()


def make_member(member_id: str) -> Member:
    return Member(member_id, "tt-north-1", "a:1", "a:2", "a:3")


@define
class FakeMembership:
    """Members whose heartbeats are delivered by the test."""

    member_by_id: dict[str, Member] = field(factory=dict)
    leaving_ids: set[str] = field(factory=set)
    listeners: list[Callable[[Member, Heartbeat], None]] = field(factory=list)

    def me(self) -> Member:
        return make_member("me")

    def known_by_id(self) -> dict[str, Member]:
        return self.member_by_id

    def peers(self) -> tuple[PeerStatus, ...]:
        return tuple(
            PeerStatus(member, Heartbeat(member.id, leaving=key in self.leaving_ids))
            for key, member in self.member_by_id.items()
        )

    def subscribe(self, listener: Callable[[Member, Heartbeat], None]) -> None:
        self.listeners.append(listener)

    def deliver_heartbeat(self, member_id: str, load: ServiceLoad) -> None:
        member = self.member_by_id[member_id]
        beat = Heartbeat(member_id, load_by_service={SERVICE: load})
        for listener in self.listeners:
            listener(member, beat)


@pytest.fixture
def membership() -> FakeMembership:
    return FakeMembership({key: make_member(key) for key in ("a", "b", "c")})


@pytest.fixture
def routing(membership: FakeMembership) -> Routing:
    kernel = make_kernel()
    kernel.register(ServiceName.MEMBERSHIP, membership)
    made = make_routing(kernel, seed=1)
    assert isinstance(made, LoadRouting)
    made.start()
    return made


def test_only_peers_with_free_slots_are_chosen(membership, routing) -> None:
    membership.deliver_heartbeat("a", ServiceLoad(0, 4))
    membership.deliver_heartbeat("b", ServiceLoad(2, 4))
    assert {routing.choose_peer(SERVICE, NO_EXCLUSIONS).id for _ in range(2)} == {"b"}


def test_choice_decrements_the_known_free_slots(membership, routing) -> None:
    membership.deliver_heartbeat("b", ServiceLoad(1, 4))
    assert routing.choose_peer(SERVICE, NO_EXCLUSIONS).id == "b"
    assert routing.choose_peer(SERVICE, NO_EXCLUSIONS) is None


def test_calls_that_wait_at_a_leaving_peer_are_offered_slots(
    membership, routing
) -> None:
    membership.leaving_ids.add("a")
    membership.deliver_heartbeat("a", ServiceLoad(waiting=1))
    assert routing.peer_with_longest_queue(SERVICE).id == "a"


def test_excluded_and_leaving_peers_are_not_chosen(membership, routing) -> None:
    membership.deliver_heartbeat("a", ServiceLoad(4, 4))
    membership.deliver_heartbeat("b", ServiceLoad(4, 4))
    membership.leaving_ids.add("a")
    assert routing.choose_peer(SERVICE, frozenset({"b"})) is None


def test_busy_home_is_chosen_by_its_slots(membership, routing) -> None:
    membership.deliver_heartbeat("a", ServiceLoad(0, 0))
    membership.deliver_heartbeat("c", ServiceLoad(0, 4))
    assert routing.choose_busy_peer(SERVICE, NO_EXCLUSIONS).id == "c"


def test_refused_calls_count_as_waiting_at_their_entry(routing) -> None:
    for member_id in ("a", "b", "b"):
        routing.note_refused(member_id, SERVICE)
    offered = []
    while (member := routing.peer_with_longest_queue(SERVICE)) is not None:
        offered.append(member.id)
        routing.note_offered(member.id, SERVICE)
    assert offered[0] == "b"
    assert sorted(offered) == ["a", "b", "b"]


def test_peer_without_waiting_calls_gets_no_more_offers(routing) -> None:
    for _ in range(3):
        routing.note_refused("a", SERVICE)
    routing.note_waiting("a", SERVICE, 0)
    assert routing.peer_with_longest_queue(SERVICE) is None


def test_heartbeat_replaces_counted_refusals(membership, routing) -> None:
    routing.note_refused("a", SERVICE)
    membership.deliver_heartbeat("a", ServiceLoad(0, 4, waiting=0))
    assert routing.peer_with_longest_queue(SERVICE) is None


def test_member_that_left_gets_no_offer(membership, routing) -> None:
    routing.note_refused("a", SERVICE)
    del membership.member_by_id["a"]
    assert routing.peer_with_longest_queue(SERVICE) is None


def test_every_source_of_waiting_calls_notifies_the_listener(
    membership, routing
) -> None:
    notified: list[str] = []
    routing.subscribe_waiting(notified.append)
    routing.note_refused("a", SERVICE)
    routing.note_waiting("a", SERVICE, 2)
    membership.deliver_heartbeat("b", ServiceLoad(0, 4, waiting=3))
    assert notified == [SERVICE] * 3
    routing.note_waiting("a", SERVICE, 0)
    membership.deliver_heartbeat("b", ServiceLoad(0, 4))
    assert notified == [SERVICE] * 3
