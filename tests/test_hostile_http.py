"""Hostile HTTP gets clear errors, and none of it reaches a backend server."""

import json
import socket
from collections.abc import Iterator

import pytest
from attrs import define, field
from hypothesis import given
from hypothesis import strategies as st

from dotterelpier.clients.http_connection import parse_address
from dotterelpier.frontends import http_server
from dotterelpier.frontends.callers import make_caller_frontend
from dotterelpier.frontends.client_memory import make_unlimited_client_memory
from dotterelpier.kernel import make_kernel
from dotterelpier.model.call import Answer, Call
from dotterelpier.model.manifest import Manifest, NonIdempotentRule, Revision
from dotterelpier.protocols import ServiceName
from dotterelpier.services.clock import make_clock
from dotterelpier.services.metrics import make_metrics
from dotterelpier.services.tasks import make_tasks
from dotterelpier.settings import LimitSettings, PlatformSettings, Settings
from dotterelpier.wire.backend import forwardable
from dotterelpier.wire.manifest_toml import read_manifest
from tests.fakes import NotDraining
from tests.test_path import SERVER_TEMPLATE, SMALL_MANIFEST
from tests.utils import CONTROL_ADDRESS, NET, request, request_json, running_system

ADDRESS = f"127.{NET}.6.1:8000"
MAX_BODY_BYTES = 1000
MAX_HEADER_BYTES = 2048
HOST_HEADER = b"Host: entry\r\n"
REFUSAL_STATUSES = (400, 404, 413, 431, 501)


@define
class RecordingCalls:
    """Answers each call with its method and path, and records it."""

    calls: list[Call] = field(factory=list)
    headers: tuple[tuple[str, str], ...] = ()
    error: Exception | None = None

    def serve(self, call: Call) -> Answer:
        self.calls.append(call)
        if self.error is not None:
            raise self.error
        return Answer(200, self.headers, f"{call.method} {call.path}".encode())


@define
class FixedManifest:
    """Source of a manifest that never changes."""

    manifest: Manifest

    def current(self) -> Revision:
        return Revision(1, "", "", "", self.manifest)


@pytest.fixture(scope="module")
def recorded() -> RecordingCalls:
    return RecordingCalls()


@pytest.fixture(scope="module", autouse=True)
def frontend(recorded: RecordingCalls) -> Iterator[None]:
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(http_server, "CHANNEL_TIMEOUT_S", 1)
        patch.setattr(http_server, "CLEANUP_INTERVAL_S", 1)
        limits = LimitSettings(
            max_body_bytes=MAX_BODY_BYTES, max_header_bytes=MAX_HEADER_BYTES
        )
        settings = Settings(PlatformSettings("127.0.0.1:1"), limits=limits)
        kernel = make_kernel()
        tasks = make_tasks(limits)
        kernel.register(ServiceName.CLOCK, make_clock())
        kernel.register(ServiceName.TASKS, tasks)
        kernel.register(ServiceName.METRICS, make_metrics())
        kernel.register(ServiceName.CLIENT_MEMORY, make_unlimited_client_memory())
        kernel.register(ServiceName.CALLS, recorded)
        kernel.register(ServiceName.MANIFEST, FixedManifest(_manifest()))
        kernel.register(ServiceName.DIRECTORY, None)
        kernel.register(ServiceName.ADMISSION, None)
        kernel.register(ServiceName.DRAIN, NotDraining())
        server = make_caller_frontend(kernel, settings, ADDRESS)
        server.start()
        yield
        server.stop()
        tasks.stop()


@pytest.fixture(autouse=True)
def reset_recorded(recorded: RecordingCalls) -> None:
    recorded.calls.clear()
    recorded.headers, recorded.error = (), None


def _manifest() -> Manifest:
    server = SERVER_TEMPLATE.format(service="catalogue", net=0, number=1, zone=1)
    return read_manifest(SMALL_MANIFEST + server, "test")


def _send(content: bytes, address: str = ADDRESS) -> bytes:
    """Send bytes, close the sending side and return all that the server answers."""
    parsed = parse_address(address)
    received = b""
    with socket.create_connection((parsed.host, parsed.port), timeout=10) as stream:
        stream.sendall(content)
        stream.shutdown(socket.SHUT_WR)
        try:
            while piece := stream.recv(65536):
                received += piece
        except ConnectionResetError:
            pass
    return received


def _status(received: bytes) -> int:
    return int(received.split(b" ", 2)[1])


def _get(
    target: bytes, headers: bytes = HOST_HEADER, version: bytes = b"HTTP/1.1"
) -> bytes:
    return b"GET " + target + b" " + version + b"\r\n" + headers + b"\r\n"


def _post(headers: bytes, body: bytes, target: bytes = b"/catalogue/x") -> bytes:
    return b"POST " + target + b" HTTP/1.1\r\n" + HOST_HEADER + headers + b"\r\n" + body


SMUGGLED = _get(b"/catalogue/smuggled")
CHUNKED = b"Transfer-Encoding: chunked\r\n"
HOSTILE_REQUESTS = {
    "length and chunks": _post(
        CHUNKED + b"Content-Length: 5\r\n", b"0\r\n\r\n" + SMUGGLED
    ),
    "two lengths": _post(
        b"Content-Length: 5\r\nContent-Length: 0\r\n", b"hello" + SMUGGLED
    ),
    "same length twice": _post(b"Content-Length: 5\r\n" * 2, b"hello"),
    "listed lengths": _post(b"Content-Length: 0, 5\r\n", b"hello"),
    "signed length": _post(b"Content-Length: +5\r\n", b"hello"),
    "hexadecimal length": _post(b"Content-Length: 0x5\r\n", b"hello"),
    "negative length": _post(b"Content-Length: -1\r\n", b""),
    "chunked twice": _post(CHUNKED * 2, b"0\r\n\r\n" + SMUGGLED),
    "unknown coding": _post(b"Transfer-Encoding: xchunked\r\n", b"0\r\n\r\n"),
    "listed codings": _post(b"Transfer-Encoding: gzip, chunked\r\n", b"0\r\n\r\n"),
    "coding with tab": _post(b"Transfer-Encoding:\x0bchunked\r\n", b"0\r\n\r\n"),
    "space before colon": _post(b"Transfer-Encoding : chunked\r\n", b"0\r\n\r\n"),
    "old version chunked": b"POST /catalogue/x HTTP/1.0\r\nConnection: keep-alive\r\n"
    + CHUNKED
    + b"\r\n0\r\n\r\n"
    + SMUGGLED,
    "bad chunk size": _post(CHUNKED, b"5g\r\nhello\r\n0\r\n\r\n"),
    "chunk too long": _post(CHUNKED, b"3\r\nhello\r\n0\r\n\r\n"),
    "folded header": _get(b"/catalogue/x", HOST_HEADER + b"X-A: a\r\n b: c\r\n"),
    "bare line feed": _get(b"/catalogue/x", HOST_HEADER + b"X-A: a\nX-B: b\r\n"),
    "bare carriage return": _get(b"/catalogue/x", HOST_HEADER + b"X-A: a\rX-B: b\r\n"),
    "NUL in header": _get(b"/catalogue/x", HOST_HEADER + b"X-A: a\0b\r\n"),
    "header without colon": _get(b"/catalogue/x", HOST_HEADER + b"nonsense\r\n"),
    "no host": _get(b"/catalogue/x", b""),
    "two hosts": _get(b"/catalogue/x", HOST_HEADER + b"Host: other\r\n"),
    "bad host": _get(b"/catalogue/x", b"Host: a@b/c\r\n"),
    "dot segments": _get(b"/catalogue/../x"),
    "encoded dot segments": _get(b"/catalogue/%2e%2e/x"),
    "half encoded dot segments": _get(b"/catalogue/.%2E/x"),
    "encoded slash and dots": _get(b"/catalogue/a%2f..%2fx"),
    "backslash": _get(b"/catalogue/a\\x"),
    "encoded backslash": _get(b"/catalogue/a%5cx"),
    "empty segment": _get(b"/catalogue//x"),
    "two slashes first": _get(b"//catalogue/x"),
    "encoded NUL": _get(b"/catalogue/a%00x"),
    "encoded line break": _get(b"/catalogue/a%0d%0aX-A:%20b"),
    "raw bytes": _get(b"/catalogue/\xff\xfe"),
    "fragment": _get(b"/catalogue/x#y"),
    "absolute form": _get(b"http://entry/catalogue/x"),
    "asterisk form": b"OPTIONS * HTTP/1.1\r\n" + HOST_HEADER + b"\r\n",
    "authority form": b"CONNECT entry:80 HTTP/1.1\r\n" + HOST_HEADER + b"\r\n",
    "no service": _get(b"/"),
    "lower case method": b"get /catalogue/x HTTP/1.1\r\n" + HOST_HEADER + b"\r\n",
    "unknown method": b"BREW /catalogue/x HTTP/1.1\r\n" + HOST_HEADER + b"\r\n",
    "no version": _get(b"/catalogue/x", version=b""),
    "other version": _get(b"/catalogue/x", version=b"HTTP/2.0"),
    "nonsense": b"\x16\x03\x01\x02\x00\x01\x00\x01\r\n\r\n",
    "long header": _get(
        b"/catalogue/x", HOST_HEADER + b"X-A: " + b"a" * 4000 + b"\r\n"
    ),
    "many headers": _get(b"/catalogue/x", HOST_HEADER + b"X-A: a\r\n" * 400),
    "long target": _get(b"/catalogue/" + b"x" * 4000),
    "long body": _post(b"Content-Length: 2000\r\n", b"x" * 2000),
    "long chunked body": _post(CHUNKED, b"7d0\r\n" + b"x" * 2000 + b"\r\n0\r\n\r\n"),
    "bad timeout": _get(
        b"/catalogue/x", HOST_HEADER + b"Dotterelpier-Timeout: inf\r\n"
    ),
    "two timeouts": _get(
        b"/catalogue/x", HOST_HEADER + b"Dotterelpier-Timeout: 1\r\n" * 2
    ),
    "long key": _get(
        b"/catalogue/x", HOST_HEADER + b"Idempotency-Key: " + b"k" * 300 + b"\r\n"
    ),
}


@pytest.mark.parametrize("name", HOSTILE_REQUESTS)
def test_hostile_request_is_refused_as_not_run(recorded, name: str) -> None:
    received = _send(HOSTILE_REQUESTS[name])
    head, _, body = received.partition(b"\r\n\r\n")
    assert _status(received) in REFUSAL_STATUSES, received
    assert b"Dotterelpier-Outcome: not-run" in head
    assert b"Content-Type: application/problem+json" in head
    problem = json.loads(body)
    assert problem["code"] in ("invalid_call", "unknown_service")
    assert problem["step"] and problem["detail"]
    assert recorded.calls == []


@given(st.binary(max_size=200))
def test_front_end_survives_any_bytes(content: bytes) -> None:
    received = _send(content)
    assert received == b"" or _status(received) in REFUSAL_STATUSES
    assert _status(_send(_get(b"/catalogue/x"))) == 200


@given(
    length=st.one_of(st.integers(-2, 30).map(str), st.sampled_from(["", "1,1", "x"])),
    coding=st.sampled_from(
        [None, "chunked", "Chunked", "identity", "chunked, chunked"]
    ),
    body=st.sampled_from([b"", b"hello", b"5\r\nhello\r\n0\r\n\r\n"]),
)
def test_body_ends_as_its_only_framing_header_states(
    recorded, length, coding, body
) -> None:
    recorded.calls.clear()
    headers = f"Content-Length: {length}\r\n"
    headers += "" if coding is None else f"Transfer-Encoding: {coding}\r\n"
    _send(_post(headers.encode(), body + SMUGGLED))
    if coding is not None or not length.isdecimal():
        assert recorded.calls == []
    else:
        assert recorded.calls[0].body == (body + SMUGGLED)[: int(length)]


@given(st.text("/%.2eE5cC\\0aA;?", max_size=12))
def test_forwarded_path_stays_below_its_service(recorded, tail: str) -> None:
    recorded.calls.clear()
    _send(_get(b"/catalogue/" + tail.encode()))
    for call in recorded.calls:
        path = call.path.partition("?")[0]
        assert call.service == "catalogue"
        assert path.startswith("/")
        assert not {"..", "."} & set(path.lower().replace("%2e", ".").split("/"))


def test_slow_request_times_out_while_others_are_served(recorded) -> None:
    parsed = parse_address(ADDRESS)
    with socket.create_connection((parsed.host, parsed.port), timeout=0.2) as slow:
        slow.sendall(b"POST /catalogue/x HTTP/1.1\r\n" + HOST_HEADER)
        closed = False
        while not closed:
            assert _status(_send(_get(b"/catalogue/x"))) == 200
            try:
                slow.sendall(b"X-A: a\r\n")
                closed = slow.recv(1) == b""
            except TimeoutError:
                continue
            except OSError:
                closed = True
    assert {call.method for call in recorded.calls} == {"GET"}


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("X-Folded", "a\r\n b"),
        ("X-Split", "a\r\nSet-Cookie: stolen"),
        ("X-Nul", "a\0b"),
        ("Trailers", "x"),
        ("Transfer-Encoding", "chunked"),
        ("Content-Length", "99"),
        ("X Space", "a"),
        ("", "a"),
    ],
)
def test_answer_headers_cannot_inject_others(recorded, name, value) -> None:
    recorded.headers = forwardable([(name, value)])
    received = _send(_get(b"/catalogue/x"))
    head, _, body = received.partition(b"\r\n\r\n")
    names = [line.partition(b":")[0] for line in head.split(b"\r\n")[1:]]
    assert _status(received) == 200
    assert b"Set-Cookie" not in names
    assert names.count(b"Content-Length") == 1
    assert body == b"GET /x"


def test_unexpected_error_is_answered_with_unknown_outcome(recorded) -> None:
    recorded.error = RuntimeError("secret")
    received = _send(_get(b"/catalogue/x"))
    assert _status(received) == 500
    assert b"Dotterelpier-Outcome: unknown" in received
    assert b"application/problem+json" in received
    assert b"secret" not in received


def test_error_after_the_call_is_answered_with_unknown_outcome(recorded) -> None:
    recorded.headers = (("Connection", "close"),)
    received = _send(_get(b"/catalogue/x"))
    assert _status(received) == 500
    assert b"Dotterelpier-Outcome: unknown" in received
    assert b"application/problem+json" in received


@pytest.mark.parametrize(
    "path", ["/spares", "/spares?a=1", "/%73pares", "/spares?x=/y", "/s%70ares?"]
)
def test_no_spelling_of_a_path_evades_a_rule(path: str) -> None:
    assert NonIdempotentRule("POST", "/spares").matches("POST", path)


def test_hostile_requests_never_reach_a_backend_server(tmp_path) -> None:
    server = SERVER_TEMPLATE.format(service="catalogue", net=0, number=1, zone=1)
    with running_system(tmp_path, SMALL_MANIFEST + server) as system:
        system.start_standins()
        system.start_entries(1)
        assert system.apply().returncode == 0
        system.wait_ready()
        address = system.entries["entry-1"].caller_address
        for name, content in HOSTILE_REQUESTS.items():
            if name.startswith(("long", "many")):
                continue
            assert _status(_send(content, address)) in REFUSAL_STATUSES, name
        assert request_json(CONTROL_ADDRESS, "/journal") == []
        assert request(address, "GET", "/catalogue/x").outcome == "answered"
