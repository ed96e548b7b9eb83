"""Handovers of backend servers between entries over gRPC."""

from concurrent.futures import ThreadPoolExecutor
from threading import Semaphore

import pytest

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

    def bearing(self, backend_id: str) -> HandoverState:
        return HandoverState(1, self.in_flight, 30.0)

    def hand_over(self, backend_id: str, assignment: int) -> HandoverState:
        return self.bearing(backend_id)

    def heard(self, heartbeat: Heartbeat) -> None:
        pass

    def heartbeat(self) -> Heartbeat:
        return Heartbeat(MEMBER.id)


@pytest.fixture
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


def test_entry_that_is_gone_is_an_error() -> None:
    with pytest.raises(PeerUnavailableError):
        make_peers("entry-2").hand_over(MEMBER, "server-1", 1, lambda _: None)
