"""Answers that break off are never taken for complete ones."""

import threading
import time

import pytest

from dotterelpier.clients import pooled_connection
from dotterelpier.clients.connections import make_connection_pool
from dotterelpier.clients.exchanges import HttpRequest, PooledExchange
from dotterelpier.clients.instances import RULES
from dotterelpier.errors import CallError, PlatformUnavailableError
from dotterelpier.kernel import make_kernel
from dotterelpier.platform.store import make_row_stores
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


CHUNKED = "Transfer-Encoding: chunked"
FIRST_CHUNK = b"00000007\r\npartial\r\n"
# Ends of the bytes at which the last chunk has not arrived for certain.
CUT_CHUNKS = [
    b"",
    b"0",
    b"000",
    b"00000000",
    b"00000000\r",
    b"0;name=value",
    b"0000000",
    b"00000007",
    b"00000007\r\n",
    b"00000007\r\npart",
    b"00000007\r\npartial",
]
# Sizes that only ``int`` takes for hexadecimal numbers.
INVALID_SIZES = [b"-0", b"+0", b" 0", b"0x0", b"0_0", b"-7", b"", b"zero"]


def serve_once(content: bytes) -> ScriptedServer:
    """Return a server that sends these bytes after a head and closes."""
    return ScriptedServer(lambda request: [head(request, CHUNKED) + content, b""])


@pytest.mark.parametrize("whole_answer_bytes", [WHOLE_ANSWER_BYTES, 1])
@pytest.mark.parametrize("end", CUT_CHUNKS)
def test_answer_cut_around_the_size_of_a_chunk_is_not_complete(
    pool, end, whole_answer_bytes
) -> None:
    """A cut within the leading zeros of a size looked like the last chunk."""
    server = serve_once(FIRST_CHUNK + end)
    with pytest.raises(CallError):
        read_whole(send(pool, server, whole_answer_bytes))
    server.close()


@pytest.mark.parametrize("size", INVALID_SIZES)
def test_invalid_size_of_a_chunk_is_not_the_last_chunk(pool, size) -> None:
    server = serve_once(FIRST_CHUNK + size + b"\r\n\r\n")
    with pytest.raises(CallError):
        read_whole(send(pool, server))
    server.close()


@pytest.mark.parametrize(
    "end",
    [b"0\r\n\r\n", b"000\r\n\r\n", b"0;a=b\r\nA: b\r\n\r\n", b"0\r\n", b"0\r\nA: "],
)
def test_answer_with_its_last_chunk_is_complete(pool, end) -> None:
    """RFC 9112, section 8: the last chunk completes the body, a cut trailer or not."""
    server = serve_once(FIRST_CHUNK + end)
    assert read_whole(send(pool, server)) == b"partial"
    server.close()


def read_whole(exchange: PooledExchange) -> bytes:
    """Return the body of an answer, streamed or not; raise what its reader raises."""
    answer = exchange.answer.result(ANSWER_WAIT_S)
    return answer.body if answer.stream is None else b"".join(answer.stream)


@pytest.mark.parametrize("end", [b"0", b"000"])
def test_reply_of_the_store_cut_around_the_size_of_a_chunk_is_an_error(end) -> None:
    rows = b'{"rows": [], "ver": 1, "nowMs": 1}'
    size = f"{len(rows):08x}\r\n".encode()
    server = serve_once(size + rows + b"\r\n" + end)
    with pytest.raises(PlatformUnavailableError):
        make_row_stores(server.address).connect().read("servers")
    server.close()


@pytest.mark.parametrize("lines", range(5))
@pytest.mark.parametrize("cut", [b"", b"\r", b"Content-Le", b"Content-Length: 7"])
def test_answer_cut_within_its_head_is_not_complete(pool, lines, cut) -> None:
    """Clients of another system got a 200 with an empty body for such answers."""
    whole = b"HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 4\r\nC: d\r\n"
    kept = b"".join(whole.splitlines(keepends=True)[:lines])
    server = ScriptedServer(lambda request: [kept + cut, b""])
    assert isinstance(send(pool, server).answer.exception(ANSWER_WAIT_S), CallError)
    server.close()
