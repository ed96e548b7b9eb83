"""Answers that break off are never taken for complete ones."""

import threading
import time

import pytest

from dotterelpier.clients import pooled_connection
from dotterelpier.clients.connections import make_connection_pool
from dotterelpier.clients.exchanges import HttpRequest, PooledExchange
from dotterelpier.clients.instances import RULES
from dotterelpier.errors import CallError
from dotterelpier.kernel import make_kernel
from dotterelpier.protocols import ServiceName, TaskKind
from dotterelpier.services.clock import make_clock
from dotterelpier.services.tasks import make_tasks
from dotterelpier.services.timer import make_timer
from dotterelpier.settings import LimitSettings
from tests.scripted_server import ScriptedServer, head, whole_answer

ANSWER_WAIT_S = 10.0
HALF = b"a" * 2000
WHOLE_ANSWER_BYTES = 1 << 20
# Less than half of an answer, which is streamed then.
STREAMED_BYTES = 1000


@pytest.fixture
def pool():
    kernel = make_kernel()
    kernel.register(ServiceName.CLOCK, make_clock())
    kernel.register(ServiceName.TASKS, make_tasks(LimitSettings()))
    kernel.register(ServiceName.TIMER, make_timer(kernel))
    kernel.start()
    pool = make_connection_pool(
        "instance",
        TaskKind.BACKEND_CONNECTION,
        5.0,
        *(kernel.find(name, object) for name in ("clock", "tasks", "timer")),
        RULES,
    )
    pool.start()
    yield pool
    pool.stop()
    kernel.stop()


def send(pool, server, whole_answer_bytes=WHOLE_ANSWER_BYTES) -> PooledExchange:
    request = HttpRequest("GET", "/x", {"Host": server.address})
    exchange = PooledExchange(
        request,
        time.monotonic() + ANSWER_WAIT_S,
        whole_answer_bytes,
        decode=lambda answer: answer,
    )
    pool.send(server.address, exchange, fresh=True)
    return exchange


class HalfAnswers:
    """Server that sends half of an answer without a length, and then waits."""

    def __init__(self) -> None:
        self.half_sent, self.go_on = threading.Event(), threading.Event()
        self.server = ScriptedServer(self._answer)

    def _answer(self, request):
        yield head(request, "Connection: close") + HALF
        self.half_sent.set()
        self.go_on.wait(ANSWER_WAIT_S)
        yield HALF
        yield b""


@pytest.fixture
def half_answers():
    server = HalfAnswers()
    yield server
    server.go_on.set()
    server.server.close()


def stop_pool(pool, exchange) -> None:
    pool.stop()


def abort_exchange(pool, exchange) -> None:
    pool.abort(exchange)


def pass_deadline(pool, exchange) -> None:
    exchange.deadline_at = time.monotonic() - 1.0


ENDINGS = [stop_pool, abort_exchange, pass_deadline]


@pytest.mark.parametrize("end", ENDINGS)
def test_connection_ended_on_this_side_does_not_complete_an_answer(
    pool, half_answers, end
) -> None:
    """A planned stop passed parts of answers without a length on as complete."""
    exchange = send(pool, half_answers.server)
    assert half_answers.half_sent.wait(ANSWER_WAIT_S)
    end(pool, exchange)
    assert isinstance(exchange.answer.exception(ANSWER_WAIT_S), CallError)
    assert exchange.ended.result(ANSWER_WAIT_S) is False


@pytest.mark.parametrize("end", ENDINGS)
def test_connection_ended_on_this_side_does_not_complete_a_stream(
    pool, half_answers, end
) -> None:
    exchange = send(pool, half_answers.server, STREAMED_BYTES)
    stream = exchange.answer.result(ANSWER_WAIT_S).stream
    end(pool, exchange)
    with pytest.raises(CallError):
        list(stream)
    assert exchange.ended.result(ANSWER_WAIT_S) is False


def test_nothing_is_sent_on_a_connection_that_opens_during_a_stop(
    pool, monkeypatch
) -> None:
    server = ScriptedServer(lambda request: [whole_answer(request, b"done")])
    opened, stopped = threading.Event(), threading.Event()
    open_now = pooled_connection.open_connection

    def open_slowly(*arguments):
        opened.set()
        stopped.wait(ANSWER_WAIT_S)
        return open_now(*arguments)

    monkeypatch.setattr(pooled_connection, "open_connection", open_slowly)
    exchange = send(pool, server)
    assert opened.wait(ANSWER_WAIT_S)
    pool.stop()
    stopped.set()
    assert isinstance(exchange.answer.exception(ANSWER_WAIT_S), CallError)
    assert server.received == []
    server.close()


def test_answer_that_ends_with_its_connection_is_complete(pool, half_answers) -> None:
    exchange = send(pool, half_answers.server)
    half_answers.go_on.set()
    assert exchange.answer.result(ANSWER_WAIT_S).body == HALF + HALF
