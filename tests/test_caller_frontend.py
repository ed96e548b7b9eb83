"""Answers of the front end for callers: problems, lengths and streamed bodies."""

import http.client
import socket
import threading
from collections.abc import Iterator

import pytest
from attrs import define, field

from dotterelpier.clients.http_connection import parse_address
from dotterelpier.errors import AnswerLostError, RefusedError
from dotterelpier.frontends.callers import make_caller_frontend
from dotterelpier.frontends.client_memory import make_unlimited_client_memory
from dotterelpier.kernel import make_kernel
from dotterelpier.model.call import Answer, Call
from dotterelpier.model.manifest import Manifest, Revision, Service
from dotterelpier.protocols import ServiceName
from dotterelpier.services.clock import make_clock
from dotterelpier.services.metrics import make_metrics
from dotterelpier.services.tasks import make_tasks
from dotterelpier.settings import LimitSettings, PlatformSettings, Settings
from tests.fakes import NotDraining
from tests.utils import NET

ADDRESS = f"127.{NET}.6.2:8000"
PIECE = bytes(64 << 10)
TIMEOUT_S = 10.0


@define(eq=False)
class StubBody:
    """Streamed body that ends, fails or never ends, and records its closing."""

    pieces: Iterator[bytes]
    closed: threading.Event = field(factory=threading.Event)

    def __iter__(self) -> "StubBody":
        return self

    def __next__(self) -> bytes:
        return next(self.pieces)

    def close(self) -> None:
        self.closed.set()


@define
class StubCalls:
    """Returns or raises the answer set by a test, for a service without rules."""

    answer: Answer | Exception = Answer(200)

    def serve(self, call: Call) -> Answer:
        if isinstance(self.answer, Exception):
            raise self.answer
        return self.answer

    def current(self) -> Revision:
        return Revision(1, "", "", "", Manifest("t", (), (Service("guides"),), ()))


@pytest.fixture(scope="module")
def calls() -> Iterator[StubCalls]:
    stub = StubCalls()
    tasks = make_tasks(LimitSettings())
    kernel = make_kernel()
    for name, service in {
        ServiceName.CLOCK: make_clock(),
        ServiceName.TASKS: tasks,
        ServiceName.METRICS: make_metrics(),
        ServiceName.CLIENT_MEMORY: make_unlimited_client_memory(),
        ServiceName.CALLS: stub,
        ServiceName.MANIFEST: stub,
        ServiceName.DIRECTORY: None,
        ServiceName.ADMISSION: None,
        ServiceName.DRAIN: NotDraining(),
    }.items():
        kernel.register(name, service)
    settings = Settings(PlatformSettings("127.0.0.1:1"))
    server = make_caller_frontend(kernel, settings, ADDRESS)
    server.start()
    yield stub
    server.stop()
    tasks.stop()


@pytest.fixture
def connection(calls) -> Iterator[http.client.HTTPConnection]:
    parsed = parse_address(ADDRESS)
    opened = http.client.HTTPConnection(parsed.host, parsed.port, timeout=TIMEOUT_S)
    yield opened
    opened.close()


def send_request(
    connection: http.client.HTTPConnection, method: str = "GET"
) -> http.client.HTTPResponse:
    connection.request(method, "/guides/7")
    return connection.getresponse()


@pytest.mark.promise(4)
def test_problem_in_answer_to_head_has_no_body(calls) -> None:
    calls.answer = RefusedError("shed", step="test")
    parsed = parse_address(ADDRESS)
    # http.client discards data after the head, so the test reads from the socket.
    with socket.create_connection((parsed.host, parsed.port), TIMEOUT_S) as raw_socket:
        raw_socket.sendall(
            b"HEAD /guides/7 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        )
        received = b"".join(iter(lambda: raw_socket.recv(65536), b""))
    assert received.startswith(b"HTTP/1.1 503")
    assert received.endswith(b"\r\n\r\n")


@pytest.mark.promise(4)
def test_answer_to_head_keeps_the_content_length(calls, connection) -> None:
    calls.answer = Answer(200, length=1234)
    assert send_request(connection, "HEAD").headers["Content-Length"] == "1234"


@pytest.mark.promise(4)
@pytest.mark.parametrize("length", [None, 3 * len(PIECE)])
def test_caller_detects_a_broken_stream(calls, connection, length) -> None:
    def breaking():
        yield PIECE
        yield PIECE
        raise AnswerLostError("reset", step="test")

    body = StubBody(breaking())
    calls.answer = Answer(200, stream=body, length=length)
    response = send_request(connection)
    with pytest.raises(http.client.IncompleteRead):
        response.read()
    assert body.closed.wait(TIMEOUT_S)


@pytest.mark.parametrize("length", [None, 3 * len(PIECE)])
def test_caller_receives_the_whole_stream(calls, connection, length) -> None:
    body = StubBody(iter([PIECE] * 3))
    calls.answer = Answer(200, stream=body, length=length)
    assert send_request(connection).read() == PIECE * 3
    assert body.closed.wait(TIMEOUT_S)


def test_stream_is_closed_once_the_caller_disconnects(calls, connection) -> None:
    def endless():
        while True:
            yield PIECE

    body = StubBody(endless())
    calls.answer = Answer(200, stream=body)
    send_request(connection).read(10)
    connection.close()
    assert body.closed.wait(TIMEOUT_S)
