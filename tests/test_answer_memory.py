"""Answers that nobody waits for any more keep neither memory nor connections."""

import gc
import itertools
import time
import weakref

import pytest

from dotterelpier.clients.connections import make_connection_pool
from dotterelpier.clients.exchanges import HttpRequest, PooledExchange
from dotterelpier.clients.instances import InstanceClient
from dotterelpier.errors import AnswerAbandonedError
from dotterelpier.protocols import TaskKind
from dotterelpier.services.clock import make_clock
from dotterelpier.services.tasks import make_tasks
from dotterelpier.settings import LimitSettings
from tests.fleet_system import ScriptedInstance, answer, start_fleet_system
from tests.scripted_server import ScriptedServer, whole_answer
from tests.test_fleet_requests import register_and_wait
from tests.utils import wait_until

# Far below the deadlines of the requests.
TIMEOUT_S = 10.0
DEADLINE_S = 60.0
LARGE_BYTES = 24 << 20


@pytest.fixture
def system():
    system = start_fleet_system(retry_slack=50.0)
    yield system
    system.stop()


@pytest.fixture
def without_collector():
    gc.collect()
    gc.disable()
    yield
    gc.enable()


def test_answers_are_freed_without_the_garbage_collector(
    system, monkeypatch, without_collector
) -> None:
    """Futures, attempts and their callbacks referred to each other."""
    numbers, decoded = itertools.count(), []
    decode = InstanceClient._decode

    def fail_in_turns(received):
        failed = next(numbers) % 2 == 0
        return [answer(received, b"body", status="500 No" if failed else "200 OK")]

    def note(*arguments):
        decoded.append(weakref.ref(decode_answer := decode(*arguments)))
        return decode_answer

    monkeypatch.setattr(InstanceClient, "_decode", note)
    instances = [ScriptedInstance(f"i-{n}", "svc", fail_in_turns) for n in (1, 2)]
    register_and_wait(system, *instances)
    for number in range(4):
        assert system.send(f"/a/{number}").status == 200
    assert len(decoded) == 8
    wait_until(lambda: not any(item() for item in decoded), "all answers are freed")


def test_stream_of_a_failed_attempt_is_closed_once_another_one_succeeds(
    system,
) -> None:
    """It kept a connection and a slot of its backend server until the deadline."""
    failing = []

    def fail_first(received):
        if failing:
            return [answer(received, b"good")]
        failing.append(received)
        return [answer(received, bytes(LARGE_BYTES), status="500 No")]

    instances = [ScriptedInstance(f"i-{n}", "svc", fail_first) for n in (1, 2)]
    register_and_wait(system, *instances, timeoutMs=int(DEADLINE_S * 1000))
    assert system.send("/a/x", **deadline_header()).body == b"good"
    failed = next(item for item in instances if failing[0] in item.runs)
    assert failed.server.closed.acquire(timeout=TIMEOUT_S)


def deadline_header() -> dict[str, str]:
    return {"X_Dotterelpier_Deadline_Ms": str(int(DEADLINE_S * 1000))}


class Pool:
    """A connection pool and a server that sends a large answer."""

    def __init__(self) -> None:
        clock, self.tasks = make_clock(), make_tasks(LimitSettings())
        kind = TaskKind.BACKEND_CONNECTION
        self.pool = make_connection_pool("test", kind, 4.0, clock, self.tasks, None)
        body = bytes(LARGE_BYTES)
        self.server = ScriptedServer(lambda request: [whole_answer(request, body)])

    def send(self, memory=None) -> PooledExchange:
        exchange = PooledExchange(
            HttpRequest("GET", "/", {"Host": "x"}),
            time.monotonic() + DEADLINE_S,
            1 << 20,
            decode=lambda received: received,
            **({} if memory is None else {"memory": memory}),
        )
        self.pool.send(self.server.address, exchange, fresh=False)
        return exchange


@pytest.fixture
def pool():
    pool = Pool()
    yield pool
    pool.pool.stop()
    pool.tasks.stop()
    pool.server.close()


def test_aborted_stream_that_nobody_reads_is_closed(pool) -> None:
    """Its task waited for a reader until the deadline."""
    exchange = pool.send()
    stream = exchange.answer.result(TIMEOUT_S).stream
    pool.pool.abort(exchange)
    assert exchange.ended.result(TIMEOUT_S) is False
    assert pool.server.closed.acquire(timeout=TIMEOUT_S)
    with pytest.raises(AnswerAbandonedError):
        list(stream)


class FullMemory:
    """Memory in which there is never room."""

    def __init__(self) -> None:
        self.waiting, self.woken = False, False

    def try_reserve(self, count) -> bool:
        return False

    def reserve(self, count, deadline_at, is_aborted) -> None:
        self.waiting = True
        wait_until(lambda: self.woken and is_aborted(), "the exchange is aborted")
        raise AnswerAbandonedError("aborted", step="test")

    def release(self, count) -> None:
        raise AssertionError("nothing was reserved")

    def wake(self) -> None:
        self.woken = True


def test_answer_that_waits_for_memory_can_be_aborted(pool) -> None:
    memory = FullMemory()
    exchange = pool.send(memory)
    wait_until(lambda: memory.waiting, "it waits for memory")
    assert exchange.waited_for_memory
    pool.pool.abort(exchange)
    assert isinstance(exchange.answer.exception(TIMEOUT_S), AnswerAbandonedError)
    assert pool.server.closed.acquire(timeout=TIMEOUT_S)
