"""A caller receives the whole answer to its own request, or an honest error."""

import itertools
import time

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dotterelpier.clients.backends import make_backends
from dotterelpier.errors import AnswerTimeoutError, CallError
from dotterelpier.kernel import make_kernel
from dotterelpier.model.call import Answer, Attempt, Call
from dotterelpier.model.manifest import BackendServer
from dotterelpier.protocols import Backends, ServiceName
from dotterelpier.services.clock import make_clock
from dotterelpier.services.tasks import make_tasks
from dotterelpier.services.timer import make_timer
from dotterelpier.settings import LimitSettings
from tests.scripted_server import ReceivedRequest, ScriptedServer, head, whole_answer

ANSWER_WAIT_S = 10.0


def body_for(request: ReceivedRequest) -> bytes:
    """Return the only right body for a request."""
    return f"answer to {request.target}".encode()


def right(request):
    yield whole_answer(request, body_for(request))


def right_in_chunks(request):
    body = body_for(request)
    yield head(request, "Transfer-Encoding: chunked")
    yield b"%x\r\n%s\r\n" % (len(body), body)
    yield b"0\r\n\r\n"


def truncated(request):
    yield whole_answer(request, body_for(request))[:-3]
    yield b""


def truncated_head(request):
    yield whole_answer(request, b"")[:-4]
    yield b""


def truncated_chunk(request):
    yield head(request, "Transfer-Encoding: chunked") + b"40\r\nanswer"
    yield b""


def missing_last_chunk(request):
    yield head(request, "Transfer-Encoding: chunked") + b"6\r\nanswer\r\n"
    yield b""


def overlong(request):
    yield whole_answer(request, body_for(request)) + b"and more"


def overlong_by_an_answer(request):
    yield whole_answer(request, body_for(request)) + whole_answer(request, b"crossed")


def stray_answer_afterwards(request):
    yield whole_answer(request, body_for(request))
    yield whole_answer(request, b"crossed")


def two_lengths(request):
    lines = ("Content-Length: 3", f"Content-Length: {len(body_for(request))}")
    yield head(request, *lines) + body_for(request)


def length_and_chunks(request):
    lines = ("Content-Length: 6", "Transfer-Encoding: chunked")
    yield head(request, *lines) + b"6\r\nanswer\r\n0\r\n\r\n"


def negative_chunk(request):
    yield head(request, "Transfer-Encoding: chunked") + b"-6\r\nanswer\r\n0\r\n\r\n"
    yield b""


def unknown_coding(request):
    yield head(request, "Transfer-Encoding: gzip, chunked") + b"answer"
    yield b""


def without_length(request):
    yield head(request) + b"answer"
    yield b""


def broken_header(request):
    lines = ("no colon here", f"Content-Length: {len(body_for(request))}")
    yield head(request, *lines) + body_for(request)
    yield b""


def of_another(request):
    yield whole_answer(request, b"crossed").replace(
        request.attempt.encode(), b"another"
    )


def without_id(request):
    yield b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\ncrossed"


def early_hints(request):
    yield head(request, status="103 Early Hints")
    yield whole_answer(request, body_for(request))


def no_http(request):
    yield b"220 mail server ready\r\n"
    yield b""


def closed(request):
    yield b""


SHAPES = (
    right,
    right_in_chunks,
    truncated,
    truncated_head,
    truncated_chunk,
    missing_last_chunk,
    overlong,
    overlong_by_an_answer,
    stray_answer_afterwards,
    two_lengths,
    length_and_chunks,
    negative_chunk,
    unknown_coding,
    without_length,
    broken_header,
    of_another,
    without_id,
    early_hints,
    no_http,
    closed,
)
MUST_ARRIVE = (right, right_in_chunks)


@pytest.fixture(scope="module")
def backends() -> Backends:
    kernel = make_kernel()
    kernel.register(ServiceName.CLOCK, make_clock())
    kernel.register(ServiceName.TASKS, make_tasks(LimitSettings()))
    kernel.register(ServiceName.TIMER, make_timer(kernel))
    kernel.register(ServiceName.BACKENDS, make_backends(kernel, LimitSettings()))
    kernel.start()
    yield kernel.find(ServiceName.BACKENDS, Backends)
    kernel.stop()


_numbers = itertools.count(1)


def send(
    backends: Backends, address: str, timeout_s: float = 5.0, method: str = "GET"
) -> Answer:
    """Send one attempt and wait for its answer."""
    number = next(_numbers)
    call = Call(f"call-{number}", "catalogue", method, f"/items/{number}")
    server = BackendServer("catalogue-1", "catalogue", address, "tt-north-1")
    deadline_at = time.monotonic() + timeout_s
    exchange = backends.send(server, Attempt(f"attempt-{number}", call, deadline_at))
    return exchange.answer.result(ANSWER_WAIT_S)


@pytest.mark.promise(4)
@settings(max_examples=150)
@given(shapes=st.lists(st.sampled_from(SHAPES), min_size=1, max_size=8))
def test_each_answer_is_right_or_an_error(backends, shapes) -> None:
    remaining = iter(shapes)
    server = ScriptedServer(lambda request: next(remaining)(request))
    try:
        for shape in shapes:
            try:
                answer = send(backends, server.address)
            except CallError:
                assert shape not in MUST_ARRIVE
            else:
                assert answer.body == body_for(server.received[-1])
    finally:
        server.close()


@pytest.mark.promise(4)
@pytest.mark.parametrize("shape", SHAPES, ids=lambda shape: shape.__name__)
def test_each_shape_alone(backends, shape) -> None:
    server = ScriptedServer(shape)
    try:
        answer = send(backends, server.address)
    except CallError:
        assert shape not in MUST_ARRIVE
    else:
        assert shape in (*MUST_ARRIVE, stray_answer_afterwards)
        assert answer.body == body_for(server.received[-1])
    finally:
        server.close()


def dribble(request):
    yield head(request, "Content-Length: 1000", "Connection: close")
    for _ in range(200):
        time.sleep(0.05)
        yield b"x"


def silence(request):
    time.sleep(20)
    yield b""


def silence_within_body(request):
    yield whole_answer(request, body_for(request))[:-3]
    time.sleep(20)
    yield b""


@pytest.mark.promise(4)
@pytest.mark.parametrize("shape", [dribble, silence, silence_within_body])
def test_deadline_bounds_the_whole_exchange(backends, shape) -> None:
    server = ScriptedServer(shape)
    with pytest.raises(AnswerTimeoutError):
        send(backends, server.address, timeout_s=0.3)
    server.close()


@pytest.mark.promise(4)
@pytest.mark.parametrize(
    ("method", "status"),
    [("HEAD", "200 OK"), ("GET", "204 No Content"), ("GET", "304 Not Modified")],
)
def test_answers_without_body(backends, method, status) -> None:
    server = ScriptedServer(
        lambda request: [head(request, "Content-Length: 9", status=status)]
    )
    answers = [send(backends, server.address, method=method) for _ in range(2)]
    assert [answer.body for answer in answers] == [b"", b""]
    assert {answer.length for answer in answers} == {9}
    server.close()


@pytest.mark.promise(4)
def test_folded_header_stays_one_header(backends) -> None:
    lines = ("X-Part: a\r\n Set-Cookie: b", "Content-Length: 0")
    server = ScriptedServer(lambda request: [head(request, *lines)])
    assert ("X-Part", "a Set-Cookie: b") in send(backends, server.address).headers
    server.close()


@pytest.mark.promise(4)
@pytest.mark.parametrize("line", ["X-Part: a\x00b", "X Part: a", "X-Part: a\x0bb"])
def test_forbidden_characters_in_headers(backends, line) -> None:
    lines = (line, "Content-Length: 0")
    server = ScriptedServer(lambda request: [head(request, *lines)])
    with pytest.raises(CallError):
        send(backends, server.address)
    server.close()
