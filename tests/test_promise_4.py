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


def expected_body(request: ReceivedRequest) -> bytes:
    """Return the only right body for a request."""
    return f"answer to {request.target}".encode()


def valid(request):
    yield whole_answer(request, expected_body(request))


def valid_chunked(request):
    body = expected_body(request)
    yield head(request, "Transfer-Encoding: chunked")
    yield b"%x\r\n%s\r\n" % (len(body), body)
    yield b"0\r\n\r\n"


def truncated(request):
    yield whole_answer(request, expected_body(request))[:-3]
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


def extra_bytes(request):
    yield whole_answer(request, expected_body(request)) + b"and more"


def extra_answer(request):
    yield whole_answer(request, expected_body(request)) + whole_answer(
        request, b"crossed"
    )


def unsolicited_answer(request):
    yield whole_answer(request, expected_body(request))
    yield whole_answer(request, b"crossed")


def conflicting_lengths(request):
    lines = ("Content-Length: 3", f"Content-Length: {len(expected_body(request))}")
    yield head(request, *lines) + expected_body(request)


def length_and_chunks(request):
    lines = ("Content-Length: 6", "Transfer-Encoding: chunked")
    yield head(request, *lines) + b"6\r\nanswer\r\n0\r\n\r\n"


def negative_chunk_size(request):
    yield head(request, "Transfer-Encoding: chunked") + b"-6\r\nanswer\r\n0\r\n\r\n"
    yield b""


def unknown_coding(request):
    yield head(request, "Transfer-Encoding: gzip, chunked") + b"answer"
    yield b""


def without_length(request):
    yield head(request) + b"answer"
    yield b""


def malformed_header(request):
    lines = ("no colon here", f"Content-Length: {len(expected_body(request))}")
    yield head(request, *lines) + expected_body(request)
    yield b""


def wrong_attempt_id(request):
    yield whole_answer(request, b"crossed").replace(
        request.attempt.encode(), b"another"
    )


def missing_attempt_id(request):
    yield b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\ncrossed"


def early_hints(request):
    yield head(request, status="103 Early Hints")
    yield whole_answer(request, expected_body(request))


def not_http(request):
    yield b"220 mail server ready\r\n"
    yield b""


def closed_without_answer(request):
    yield b""


SCRIPTS = (
    valid,
    valid_chunked,
    truncated,
    truncated_head,
    truncated_chunk,
    missing_last_chunk,
    extra_bytes,
    extra_answer,
    unsolicited_answer,
    conflicting_lengths,
    length_and_chunks,
    negative_chunk_size,
    unknown_coding,
    without_length,
    malformed_header,
    wrong_attempt_id,
    missing_attempt_id,
    early_hints,
    not_http,
    closed_without_answer,
)
VALID_SCRIPTS = (valid, valid_chunked)


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
@given(scripts=st.lists(st.sampled_from(SCRIPTS), min_size=1, max_size=8))
def test_each_call_gets_its_own_answer_or_an_error(backends, scripts) -> None:
    remaining = iter(scripts)
    server = ScriptedServer(lambda request: next(remaining)(request))
    try:
        for script in scripts:
            try:
                answer = send(backends, server.address)
            except CallError:
                assert script not in VALID_SCRIPTS
            else:
                assert answer.body == expected_body(server.received[-1])
    finally:
        server.close()


@pytest.mark.promise(4)
@pytest.mark.parametrize("shape", SCRIPTS, ids=lambda script: script.__name__)
def test_each_script_on_its_own(backends, script) -> None:
    server = ScriptedServer(script)
    try:
        answer = send(backends, server.address)
    except CallError:
        assert script not in VALID_SCRIPTS
    else:
        assert script in (*VALID_SCRIPTS, unsolicited_answer)
        assert answer.body == expected_body(server.received[-1])
    finally:
        server.close()


def slow_body(request):
    yield head(request, "Content-Length: 1000", "Connection: close")
    for _ in range(200):
        time.sleep(0.05)
        yield b"x"


def no_answer(request):
    time.sleep(20)
    yield b""


def stalled_body(request):
    yield whole_answer(request, expected_body(request))[:-3]
    time.sleep(20)
    yield b""


@pytest.mark.promise(4)
@pytest.mark.parametrize("shape", [slow_body, no_answer, stalled_body])
def test_deadline_bounds_the_whole_exchange(backends, script) -> None:
    server = ScriptedServer(script)
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
def test_forbidden_characters_in_headers_are_rejected(backends, line) -> None:
    lines = (line, "Content-Length: 0")
    server = ScriptedServer(lambda request: [head(request, *lines)])
    with pytest.raises(CallError):
        send(backends, server.address)
    server.close()
