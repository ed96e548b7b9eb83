"""Offers of free slots to peers whose calls wait."""

from collections.abc import Callable
from queue import SimpleQueue

import pytest
from attrs import define, field

from dotterelpier.errors import PeerUnavailableError
from dotterelpier.kernel import Kernel, make_kernel
from dotterelpier.model.admission import Slot
from dotterelpier.model.manifest import BackendServer
from dotterelpier.model.membership import Member, SlotOffer
from dotterelpier.protocols import ServiceName
from dotterelpier.services.pulling import SlotPulling, make_pulling
from dotterelpier.services.routing import make_routing
from tests.fakes import StepTasks
from tests.test_routing import SERVICE, FakeMembership, make_member

SERVER = BackendServer("one", SERVICE, "127.0.0.9:80", "tt-north-1")


@define
class FakeAdmission:
    """A number of free slots that can be reserved."""

    free: int = 0
    listeners: list[Callable[[str], None]] = field(factory=list)
    slot_by_token: dict[str, Slot] = field(factory=dict)
    released: list[Slot] = field(factory=list)

    def subscribe_free_slots(self, listener: Callable[[str], None]) -> None:
        self.listeners.append(listener)

    def reserve(self, service: str) -> tuple[Slot, str] | None:
        if not self.free:
            return None
        self.free -= 1
        token = f"token-{self.free}"
        self.slot_by_token[token] = Slot(self.free, SERVER)
        return self.slot_by_token[token], token

    def redeem(self, reservation: str) -> Slot | None:
        return self.slot_by_token.pop(reservation, None)

    def release(self, slot: Slot) -> None:
        self.released.append(slot)


@define
class FakePeers:
    """Peers that accept offers, decline them, or do not answer."""

    takes: bool = True
    answers: bool = True
    offers: list[tuple[str, SlotOffer]] = field(factory=list)

    def offer_slot(self, member: Member, offer: SlotOffer) -> bool:
        self.offers.append((member.id, offer))
        if not self.answers:
            raise PeerUnavailableError("no answer", step="peer", peer=member.id)
        return self.takes


@pytest.fixture
def kernel() -> Kernel:
    made = make_kernel()
    membership = FakeMembership({key: make_member(key) for key in ("a", "b")})
    made.register(ServiceName.MEMBERSHIP, membership)
    made.register(ServiceName.TASKS, StepTasks())
    made.register(ServiceName.ADMISSION, FakeAdmission())
    made.register(ServiceName.PEERS, FakePeers())
    made.register(ServiceName.ROUTING, make_routing(made, seed=1))
    return made


@pytest.fixture
def pulling(kernel: Kernel) -> SlotPulling:
    made = make_pulling(kernel)
    assert isinstance(made, SlotPulling)
    made.start()
    return made


def free_slot(kernel: Kernel, pulling: SlotPulling) -> None:
    """Free a slot and run the task of each peer until it has sent its offers."""
    admission = kernel.find(ServiceName.ADMISSION, FakeAdmission)
    admission.free += 1
    for listener in admission.listeners:
        listener(SERVICE)
    for _, function, (member, offers) in kernel.find(
        ServiceName.TASKS, StepTasks
    ).tasks:
        waiting: SimpleQueue[SlotOffer | None] = offers
        waiting.put(None)
        function(member, waiting)


def test_free_slot_goes_to_the_peer_with_most_waiting(kernel, pulling) -> None:
    routing = kernel.find(ServiceName.ROUTING, object)
    for member_id in ("a", "b", "b"):
        routing.note_refused(member_id, SERVICE)
    free_slot(kernel, pulling)
    peers = kernel.find(ServiceName.PEERS, FakePeers)
    assert [member_id for member_id, _ in peers.offers] == ["b"]
    assert peers.offers[0][1].sender_id == "me"


def test_slot_stays_free_when_no_call_waits(kernel, pulling) -> None:
    free_slot(kernel, pulling)
    assert kernel.find(ServiceName.ADMISSION, FakeAdmission).free == 1
    assert not kernel.find(ServiceName.PEERS, FakePeers).offers


def test_slot_of_a_declined_offer_is_released(kernel, pulling) -> None:
    kernel.find(ServiceName.PEERS, FakePeers).takes = False
    kernel.find(ServiceName.ROUTING, object).note_refused("a", SERVICE)
    free_slot(kernel, pulling)
    admission = kernel.find(ServiceName.ADMISSION, FakeAdmission)
    assert len(admission.released) == 1
    assert not admission.slot_by_token


def test_slot_stays_reserved_when_the_reply_to_the_offer_is_lost(
    kernel, pulling
) -> None:
    kernel.find(ServiceName.PEERS, FakePeers).answers = False
    kernel.find(ServiceName.ROUTING, object).note_refused("a", SERVICE)
    free_slot(kernel, pulling)
    admission = kernel.find(ServiceName.ADMISSION, FakeAdmission)
    assert len(admission.slot_by_token) == 1
    assert not admission.released


def test_free_slot_is_offered_once_a_call_waits(kernel, pulling) -> None:
    admission = kernel.find(ServiceName.ADMISSION, FakeAdmission)
    admission.free = 3
    kernel.find(ServiceName.ROUTING, object).note_waiting("a", SERVICE, 2)
    assert admission.free == 1
    assert len(admission.slot_by_token) == 2


def test_task_of_a_peer_that_left_ends(kernel, pulling) -> None:
    routing = kernel.find(ServiceName.ROUTING, object)
    admission = kernel.find(ServiceName.ADMISSION, FakeAdmission)
    admission.free = 2
    routing.note_refused("a", SERVICE)
    pulling.offer(SERVICE)
    (_, _, (_, offers)) = kernel.find(ServiceName.TASKS, StepTasks).tasks[0]
    del kernel.find(ServiceName.MEMBERSHIP, FakeMembership).member_by_id["a"]
    routing.note_refused("b", SERVICE)
    pulling.offer(SERVICE)
    assert [offers.get_nowait() is None for _ in range(2)] == [False, True]
