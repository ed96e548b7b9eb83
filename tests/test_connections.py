"""Connections to backend servers and peers: reuse, streaming, end of an attempt."""

import threading
import time

import pytest

from dotterelpier.clients import backends as backends_module
from dotterelpier.clients import pooled_connection
from dotterelpier.clients.backends import make_backends
from dotterelpier.clients.exchanges import HttpRequest, PooledExchange
from dotterelpier.clients.relays import make_relays
from dotterelpier.errors import (
    AnswerLostError,
    ConnectFailedError,
    InvalidCallError,
    OverloadedError,
    RefusedError,
)
from dotterelpier.kernel import make_kernel
from dotterelpier.model.call import Attempt, Call
from dotterelpier.model.manifest import BackendServer
from dotterelpier.model.membership import Member
from dotterelpier.protocols import ServiceName
from dotterelpier.services.clock import make_clock
from dotterelpier.services.tasks import make_tasks
from dotterelpier.services.timer import make_timer
from dotterelpier.settings import LimitSettings
from tests.scripted_server import ScriptedServer, head, whole_answer
from tests.test_promise_4 import ANSWER_WAIT_S, backends, expected_body, valid

__all__ = ["backends"]


class NoWaitingCalls:
    """Admission service of an entry at which no call waits."""

    def waiting(self, service: str) -> int:
        return 0


@pytest.fixture(scope="module")
def relays():
    kernel = make_kernel()
    kernel.register(ServiceName.CLOCK, make_clock())
    kernel.register(ServiceName.TASKS, make_tasks(LimitSettings()))
    kernel.register(ServiceName.TIMER, make_timer(kernel))
    kernel.register(ServiceName.ROUTING, None)
    kernel.register(ServiceName.ADMISSION, NoWaitingCalls())
    client = make_relays(kernel, LimitSettings(), "entry-1")
    kernel.register(ServiceName.RELAYS, client)
    kernel.start()
    yield client
    kernel.stop()


def attempt(path: str = "/x", timeout_s: float = 5.0, **options) -> Attempt:
    call = Call("call", "catalogue", "GET", path)
    return Attempt("attempt", call, time.monotonic() + timeout_s, **options)


def backend_at(address: str) -> BackendServer:
    return BackendServer("catalogue-1", "catalogue", address, "tt-north-1")


def test_connection_closed_while_idle_is_not_reused(backends) -> None:
    def close_after_answer(request):
        yield whole_answer(request, expected_body(request))
        yield b""

    server = ScriptedServer(close_after_answer)
    for _ in range(20):
        exchange = backends.send(backend_at(server.address), attempt())
        assert exchange.answer.result(ANSWER_WAIT_S).body == b"answer to /x"
        assert server.closed.acquire(timeout=ANSWER_WAIT_S)
    server.close()


def test_refused_connection_ends_the_attempt(backends) -> None:
    server = ScriptedServer(valid)
    server.close()
    exchange = backends.send(backend_at(server.address), attempt())
    with pytest.raises(ConnectFailedError):
        exchange.answer.result(ANSWER_WAIT_S)
    exchange.ended.result(ANSWER_WAIT_S)


@pytest.mark.parametrize("path", ["/a b", "/a\nb", "/\u2603"])
def test_malformed_request_is_not_sent(backends, path) -> None:
    server = ScriptedServer(valid)
    exchange = backends.send(backend_at(server.address), attempt(path))
    with pytest.raises(InvalidCallError):
        exchange.answer.result(ANSWER_WAIT_S)
    exchange.ended.result(ANSWER_WAIT_S)
    assert not server.received
    server.close()


def test_exchange_aborted_while_its_connection_is_opened_is_not_sent(
    backends, monkeypatch
) -> None:
    """The client may leave in this time; its request must not run any more."""
    received = []
    server = ScriptedServer(lambda request: received.append(request) or [b""])
    opened, aborted = threading.Event(), threading.Event()
    open_now = pooled_connection.open_connection

    def open_slowly(*arguments):
        opened.set()
        aborted.wait(ANSWER_WAIT_S)
        return open_now(*arguments)

    monkeypatch.setattr(pooled_connection, "open_connection", open_slowly)
    pool = backends._pool
    request = HttpRequest("GET", "/x", {"Host": server.address})
    exchange = PooledExchange(
        request, time.monotonic() + 5.0, 1024, decode=lambda answer: answer
    )
    pool.send(server.address, exchange, fresh=True)
    assert opened.wait(ANSWER_WAIT_S)
    pool.abort(exchange)
    aborted.set()
    assert isinstance(exchange.answer.exception(ANSWER_WAIT_S), OverloadedError)
    assert received == []
    server.close()


def test_repeated_refusal_is_not_taken_for_that_of_the_next_attempt(backends) -> None:
    """A server writes an earlier refusal once more on a kept connection."""
    refusals = []

    def refuse_then_repeat(request):
        if not refusals:
            lines = ("Dotterelpier-Outcome: not-run", "Content-Length: 0")
            refusals.append(head(request, *lines, status="503 Busy"))
            return [refusals[0]]
        return [refusals[0], whole_answer(request, expected_body(request))]

    server = ScriptedServer(refuse_then_repeat)
    with pytest.raises(RefusedError):
        backends.send(backend_at(server.address), attempt()).answer.result(
            ANSWER_WAIT_S
        )
    later = Attempt("later", attempt().call, time.monotonic() + 5.0)
    exchange = backends.send(backend_at(server.address), later)
    error = exchange.answer.exception(ANSWER_WAIT_S)
    assert error is not None and error.ran
    server.close()


def test_refusal_ends_the_attempt(backends) -> None:
    lines = ("Dotterelpier-Outcome: not-run", "Content-Length: 0")
    server = ScriptedServer(
        lambda request: [head(request, *lines, status="503 Service Unavailable")]
    )
    exchange = backends.send(backend_at(server.address), attempt())
    with pytest.raises(RefusedError):
        exchange.answer.result(ANSWER_WAIT_S)
    exchange.ended.result(ANSWER_WAIT_S)
    server.close()


def test_lost_attempt_ends_once_its_cancellation_is_confirmed(
    backends, monkeypatch
) -> None:
    # On a busy machine a cancellation may take longer than entries wait for it.
    monkeypatch.setattr(backends_module, "CANCEL_TIMEOUT_S", ANSWER_WAIT_S)
    server = ScriptedServer(lambda request: [b""])
    exchange = backends.send(backend_at(server.address), attempt(timeout_s=60.0))
    with pytest.raises(AnswerLostError):
        exchange.answer.result(ANSWER_WAIT_S)
    exchange.ended.result(ANSWER_WAIT_S)
    assert server.cancelled == ["attempt"]
    server.close()


def test_unconfirmed_cancellation_ends_attempt_at_deadline(backends) -> None:
    listener_closed = threading.Event()

    def close_and_stop_listening(request):
        server.close()
        listener_closed.set()
        yield b""

    server = ScriptedServer(close_and_stop_listening)
    # Long enough for the request to arrive on a busy machine.
    sent = attempt(timeout_s=4.0)
    exchange = backends.send(backend_at(server.address), sent)
    with pytest.raises(AnswerLostError):
        exchange.answer.result(ANSWER_WAIT_S)
    assert listener_closed.is_set()
    exchange.ended.result(ANSWER_WAIT_S)
    assert time.monotonic() >= sent.deadline_at


def test_large_answer_is_streamed(backends) -> None:
    body = bytes(range(256)) * 4096
    server = ScriptedServer(lambda request: [whole_answer(request, body)])
    exchange = backends.send(
        backend_at(server.address), attempt(whole_answer_bytes=1000)
    )
    answer = exchange.answer.result(ANSWER_WAIT_S)
    assert (answer.body, answer.length) == (b"", len(body))
    assert not exchange.ended.done()
    assert b"".join(answer.stream) == body
    exchange.ended.result(ANSWER_WAIT_S)
    server.close()


def test_truncated_stream_raises_an_error(backends) -> None:
    body = bytes(range(256)) * 4096
    server = ScriptedServer(lambda request: [whole_answer(request, body)[:-1], b""])
    exchange = backends.send(
        backend_at(server.address), attempt(whole_answer_bytes=1000)
    )
    answer = exchange.answer.result(ANSWER_WAIT_S)
    with pytest.raises(AnswerLostError):
        b"".join(answer.stream)
    server.close()


def test_closing_the_stream_cancels_the_attempt(backends) -> None:
    body = bytes(8 << 20)
    server = ScriptedServer(lambda request: [whole_answer(request, body)])
    exchange = backends.send(
        backend_at(server.address), attempt(whole_answer_bytes=1000)
    )
    answer = exchange.answer.result(ANSWER_WAIT_S)
    next(answer.stream)
    answer.stream.close()
    exchange.ended.result(ANSWER_WAIT_S)
    assert server.cancelled == ["attempt"]
    server.close()


@pytest.mark.parametrize("at_most_once", [True, False])
def test_relay_sends_the_once_header_only_if_required(relays, at_most_once) -> None:
    lines = ("Dotterelpier-Outcome: answered", "Content-Length: 0")
    server = ScriptedServer(lambda request: [head(request, *lines)])
    call = Call(
        "call",
        "catalogue",
        "POST",
        "/x",
        idempotency_key="key",
        at_most_once=at_most_once,
    )
    sent = Attempt("attempt", call, time.monotonic() + 5.0)
    member = Member("entry-2", "tt-north-1", "", server.address, "")
    assert relays.relay(member, sent).answer.result(ANSWER_WAIT_S).status == 200
    received = server.received[0].headers
    assert received.get("dotterelpier-once") == ("1" if at_most_once else None)
    assert received["dotterelpier-relayed-by"] == "entry-1"
    server.close()


@pytest.mark.parametrize(
    ("outcome", "error"), [("not-run", RefusedError), ("unknown", AnswerLostError)]
)
def test_relayed_outcome_selects_the_error(relays, outcome, error) -> None:
    lines = (f"Dotterelpier-Outcome: {outcome}", "Content-Length: 0")
    server = ScriptedServer(lambda request: [head(request, *lines)])
    member = Member("entry-2", "tt-north-1", "", server.address, "")
    with pytest.raises(error):
        relays.relay(member, attempt()).answer.result(ANSWER_WAIT_S)
    server.close()


def test_stopped_client_opens_no_connection() -> None:
    kernel = make_kernel()
    kernel.register(ServiceName.CLOCK, make_clock())
    kernel.register(ServiceName.TASKS, make_tasks(LimitSettings()))
    kernel.register(ServiceName.TIMER, make_timer(kernel))
    stopped = make_backends(kernel, LimitSettings())
    kernel.register(ServiceName.BACKENDS, stopped)
    kernel.start()
    server = ScriptedServer(valid)
    first = stopped.send(backend_at(server.address), attempt())
    assert first.answer.result(ANSWER_WAIT_S).status == 200
    stopped.stop()
    second = stopped.send(backend_at(server.address), attempt())
    with pytest.raises(ConnectFailedError):
        second.answer.result(ANSWER_WAIT_S)
    assert len(server.received) == 1
    kernel.stop()
    server.close()
