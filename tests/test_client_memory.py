"""Accounts of what clients take: waiting for memory, and that nothing is lost."""

import threading

import pytest
from attrs import define
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from dotterelpier.errors import AnswerAbandonedError
from dotterelpier.fleet_settings import FleetLimitSettings
from dotterelpier.frontends.client_accounts import CONNECTION_BYTES
from dotterelpier.frontends.client_limits import derive_resources
from dotterelpier.frontends.client_memory import (
    CountedClientMemory,
    make_client_memory,
)
from dotterelpier.frontends.client_policy import ClientResources
from dotterelpier.frontends.dispatcher import make_dispatcher
from dotterelpier.frontends.piece_buffer import MIN_COPIED_BYTES, PieceBuffer
from dotterelpier.services.clock import make_clock
from tests.fakes import ManualClock, StepTimer
from tests.utils import wait_until

TIMEOUT_S = 30.0
MEMORY_BYTES = 40 * CONNECTION_BYTES
LONG_BYTES = 10 * CONNECTION_BYTES


@define(eq=False)
class FakeConnection:
    """A connection that is only counted."""

    moved: int = 0
    abandoned: bool = False
    is_busy: bool = False

    def peer(self) -> str:
        return "127.0.0.1"

    def busy(self) -> bool:
        return self.is_busy

    def moved_bytes(self) -> int:
        return self.moved

    def abandon(self) -> None:
        self.abandoned = True


def make_memory(clock=None, timer=None, connections: int = 16) -> CountedClientMemory:
    resources = ClientResources(MEMORY_BYTES, connections)
    return make_client_memory(resources, clock or make_clock(), None, timer)


def open_account(memory: CountedClientMemory, connection=None):
    pool = make_dispatcher(4, "clients", refuses_when_full=True)
    return memory.open_connection(connection or FakeConnection(), pool)


class Fetch:
    """A long answer for which a thread reserves memory."""

    def __init__(self, request, timeout_s: float = TIMEOUT_S) -> None:
        self.aborted = False
        self.error: AnswerAbandonedError | None = None
        deadline_at = make_clock().monotonic() + timeout_s
        arguments = (request, deadline_at)
        self.thread = threading.Thread(target=self._run, args=arguments, daemon=True)
        self.thread.start()

    def _run(self, request, deadline_at: float) -> None:
        try:
            request.reserve(LONG_BYTES, deadline_at, lambda: self.aborted)
        except AnswerAbandonedError as error:
            self.error = error

    def end(self) -> AnswerAbandonedError | None:
        self.thread.join(TIMEOUT_S)
        assert not self.thread.is_alive()
        return self.error


def begin_fetches(memory: CountedClientMemory):
    """Return two requests of which the second one cannot reserve, and its account."""
    first = open_account(memory).begin_request()
    account = open_account(memory)
    second = account.begin_request()
    assert first.try_reserve(LONG_BYTES)
    assert not second.try_reserve(LONG_BYTES)
    return first, second, account


@pytest.mark.parametrize("end", ["close", "hand_over"])
def test_long_answer_waits_until_another_one_was_passed_on(end) -> None:
    memory = make_memory()
    first, second, _ = begin_fetches(memory)
    fetch = Fetch(second)
    wait_until(lambda: memory.wanted_bytes == LONG_BYTES, "the second one waits")
    getattr(first, end)()
    assert fetch.end() is None
    assert memory.wanted_bytes == 0


def test_waiting_ends_with_the_connection_the_exchange_or_the_deadline() -> None:
    memory = make_memory()
    _, second, account = begin_fetches(memory)
    assert Fetch(second, timeout_s=0.05).end() is not None
    fetch = Fetch(second)
    wait_until(lambda: memory.wanted_bytes == LONG_BYTES, "it waits")
    fetch.aborted = True
    second.wake()
    assert fetch.end() is not None
    fetch = Fetch(second)
    wait_until(lambda: memory.wanted_bytes == LONG_BYTES, "it waits")
    account.close()
    error = fetch.end()
    assert error is not None and error.ran


def test_stalled_reader_is_closed_for_a_waiting_answer() -> None:
    clock = ManualClock()
    timer = StepTimer(clock)
    memory = make_memory(clock, timer)
    connection = FakeConnection()
    stalled = open_account(memory, connection)
    stalled.set_unsent(15 * CONNECTION_BYTES)
    first, second, _ = begin_fetches(memory)
    fetch = Fetch(second, timeout_s=1e6)
    wait_until(lambda: memory.wanted_bytes == LONG_BYTES, "it waits")
    for _ in range(10):
        clock.advance(0.2)
        timer.tick()
    assert connection.abandoned
    stalled.close()
    first.hand_over()
    assert fetch.end() is None


def test_requests_are_refused_only_where_the_address_refuses_them() -> None:
    memory = make_memory()
    account = open_account(memory)
    operators = memory.open_connection(FakeConnection(), make_dispatcher(2, "pages"))
    account.set_unsent(int(0.9 * MEMORY_BYTES))
    assert account.refuses_requests()
    assert not operators.refuses_requests()
    account.set_unsent(0)
    assert not account.refuses_requests()


def test_connections_beyond_the_limit_close_idle_ones() -> None:
    clock = ManualClock()
    memory = make_memory(clock, StepTimer(clock))
    connections = [FakeConnection() for _ in range(16)]
    for connection in connections:
        open_account(memory, connection)
        clock.advance(1)
    connections[0].is_busy = True
    assert not memory.may_accept()
    memory.make_way()
    abandoned = [connection.abandoned for connection in connections]
    assert abandoned == [False, True, True, True, True] + 11 * [False]


def test_limits_leave_room_for_the_process_itself() -> None:
    for memory_mb in (32, 128, 200, 300, 552, 2000):
        limits = FleetLimitSettings(memory_mb=memory_mb)
        resources = derive_resources(limits, free_descriptors=1000)
        assert 0 < resources.memory_bytes <= 0.6 * memory_mb * 1e6
        assert 16 <= resources.connections < 1000
        if memory_mb >= 128:
            assert resources.memory_bytes + 80e6 < memory_mb * 1e6


class AccountsMachine(RuleBasedStateMachine):
    """Accounts in any order of events; what is held is always the sum of all parts."""

    def __init__(self) -> None:
        super().__init__()
        self.memory = make_memory()
        self.accounts: list = []
        self.requests: list = []

    @rule()
    def open(self) -> None:
        self.accounts.append(open_account(self.memory))

    @precondition(lambda self: self.accounts)
    @rule(data=st.data(), count=st.integers(0, 1000))
    def receive(self, data, count) -> None:
        data.draw(st.sampled_from(self.accounts)).try_receive(count)

    @precondition(lambda self: self.accounts)
    @rule(data=st.data(), count=st.integers(0, 1000))
    def drop(self, data, count) -> None:
        data.draw(st.sampled_from(self.accounts)).drop_received(count)

    @precondition(lambda self: self.accounts)
    @rule(data=st.data(), count=st.integers(0, 1000))
    def unsent(self, data, count) -> None:
        data.draw(st.sampled_from(self.accounts)).set_unsent(count)

    @precondition(lambda self: self.accounts)
    @rule(data=st.data(), arriving=st.booleans())
    def arriving(self, data, arriving) -> None:
        data.draw(st.sampled_from(self.accounts)).set_arriving(arriving)

    @precondition(lambda self: self.accounts)
    @rule(data=st.data(), count=st.integers(1, 1000))
    def begin(self, data, count) -> None:
        request = data.draw(st.sampled_from(self.accounts)).begin_request()
        request.try_reserve(count)
        self.requests.append(request)

    @precondition(lambda self: self.requests)
    @rule(data=st.data(), name=st.sampled_from(["hand_over", "close"]))
    def end(self, data, name) -> None:
        getattr(data.draw(st.sampled_from(self.requests)), name)()

    @precondition(lambda self: self.accounts)
    @rule(data=st.data())
    def close(self, data) -> None:
        data.draw(st.sampled_from(self.accounts)).close()

    @invariant()
    def held_is_the_sum(self) -> None:
        held = sum(account.state.held_bytes for account in self.accounts)
        assert self.memory.held_bytes == held
        assert all(account.state.held_bytes >= 0 for account in self.accounts)

    def teardown(self) -> None:
        for item in (*self.requests, *self.accounts):
            item.close()
        assert self.memory.held_bytes == self.memory.reserved_bytes == 0


TestAccounts = AccountsMachine.TestCase
TestAccounts.settings = settings(max_examples=100, stateful_step_count=30)


@pytest.mark.parametrize("unit", [1, 3 * MIN_COPIED_BYTES])
def test_buffer_gives_back_what_was_written(unit) -> None:
    buffer, written, read = PieceBuffer(), b"", b""
    for number in range(1, 30):
        piece = bytes([number]) * (number * unit)
        buffer.append(piece)
        written += piece
        taken = buffer.get(number * unit * 2 // 3 + 1)
        read += bytes(taken)
        buffer.skip(len(taken))
        assert len(buffer) == len(written) - len(read)
        assert buffer.held_bytes >= len(buffer)
    while len(buffer):
        taken = buffer.get(unit * 7 + 1)
        read += bytes(taken)
        buffer.skip(len(taken))
        first = buffer.held_bytes - len(buffer)
        assert first <= max(len(buffer), MIN_COPIED_BYTES)
    assert read == written
    assert buffer.held_bytes == 0
