"""Handovers and member lists between entries, over gRPC."""

from concurrent.futures import ThreadPoolExecutor
from threading import Semaphore

import pytest
from attrs import evolve

from dotterelpier.clients.peers import make_peers
from dotterelpier.errors import PeerUnavailableError
from dotterelpier.frontends.peers import PeerFrontend, PeerServicer
from dotterelpier.kernel import make_kernel
from dotterelpier.model.membership import HandoverState, Heartbeat, Member
from dotterelpier.protocols import ServiceName
from dotterelpier.services.clock import make_clock
from dotterelpier.services.tasks import make_tasks
from dotterelpier.services.timer import make_timer
from dotterelpier.settings import LimitSettings
from tests.utils import NET

ADDRESS = f"127.{NET}.7.1:8002"
MEMBER = Member("entry-1", "north", ADDRESS, ADDRESS, ADDRESS)
THREADS = 4


class BusyHome:
    """A home whose backend servers each have one long request in flight."""

    def __init__(self) -> None:
        self.in_flight = 1
        self.members = [MEMBER]

    def handover_state(self, backend_id: str) -> HandoverState:
        return HandoverState(1, self.in_flight, 30.0)

    def hand_over(self, backend_id: str, assignment: int) -> HandoverState:
        return self.handover_state(backend_id)

    def known_by_id(self) -> dict[str, Member]:
        return {member.id: member for member in self.members}

    def record_heartbeat(self, heartbeat: Heartbeat) -> None:
        pass

    def heartbeat(self) -> Heartbeat:
        return Heartbeat(MEMBER.id)


@pytest.fixture(scope="module")
def home():
    kernel = make_kernel()
    kernel.register(ServiceName.CLOCK, make_clock())
    kernel.register(ServiceName.TASKS, make_tasks(LimitSettings()))
    timer = make_timer(kernel)
    kernel.register(ServiceName.TIMER, timer, (ServiceName.TASKS,))
    kernel.start()
    busy = BusyHome()
    frontend = PeerFrontend(
        PeerServicer(timer, busy, None, busy, busy, Semaphore(THREADS)),
        ADDRESS,
        2 * THREADS,
    )
    frontend.start()
    yield busy
    frontend.stop()
    kernel.stop()


def test_heartbeats_pass_while_many_servers_are_handed_over(home: BusyHome) -> None:
    client = make_peers("entry-2")
    client.beat(MEMBER, Heartbeat("entry-2"))
    handovers = 3 * THREADS
    first_reports: list[HandoverState] = []
    with ThreadPoolExecutor(handovers) as executor:
        pending = [
            executor.submit(
                client.hand_over, MEMBER, str(number), 1, first_reports.append
            )
            for number in range(handovers)
        ]
        try:
            while len({id(state) for state in first_reports}) < handovers:
                client.beat(MEMBER, Heartbeat("entry-2"))
        finally:
            home.in_flight = 0
        for handover in pending:
            handover.result()
    assert first_reports[0].in_flight == 1


def test_members_are_listed(home: BusyHome) -> None:
    other = evolve(MEMBER, id="entry-3", revision=7, leaving=True, lease_s=9.0)
    home.members = [MEMBER, other]
    assert make_peers("entry-2").list_members(ADDRESS) == (MEMBER, other)


def test_member_with_a_malformed_address_is_refused(home: BusyHome) -> None:
    home.members = [evolve(MEMBER, relay_address="localhost:1")]
    with pytest.raises(PeerUnavailableError, match="localhost"):
        make_peers("entry-2").list_members(ADDRESS)


def test_handover_from_a_stopped_entry_raises() -> None:
    gone = evolve(MEMBER, peer_address=f"127.{NET}.7.2:8002")
    with pytest.raises(PeerUnavailableError):
        make_peers("entry-2").hand_over(gone, "server-1", 1, lambda _: None)
