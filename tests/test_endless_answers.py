"""Answers that never end or break off, on the paths that read from servers.

Each endless script ends by itself after ``END_TIMEOUT_S``, so that a reader without a
bound fails the test instead of blocking it. ``ended`` tells whether it got that far.
"""

import itertools
import threading
import time

import pytest
from attrs import define, field

from dotterelpier.clients.fleet_peers import make_fleet_peers
from dotterelpier.clients.http_connection import MalformedAnswerError, open_connection
from dotterelpier.clients.instances import HttpHealthConnection
from dotterelpier.clients.platform import make_platform_client
from dotterelpier.errors import (
    CallError,
    PeerUnavailableError,
    PlatformUnavailableError,
)
from dotterelpier.model.fleet import FleetMember
from dotterelpier.model.instance import Instance
from dotterelpier.platform.headers import make_platform_headers
from dotterelpier.platform.store import make_row_stores
from dotterelpier.services.clock import make_clock
from dotterelpier.settings import PlatformSettings
from tests.fleet_system import (
    ATTEMPT_ID_HEADER,
    ScriptedInstance,
    answer,
    attempt_id_of,
    refusal,
    start_fleet_system,
)
from tests.scripted_server import ScriptedServer
from tests.test_fleet_requests import echo_target, register_and_wait

END_TIMEOUT_S = 20.0
TRICKLE_S = 0.05
CHECK_TIMEOUT_S = 0.3
# Larger than what the entry holds whole of one answer.
LARGE_BYTES = 3 << 20
BLOCK = b"x" * 65_536


@define(eq=False)
class Endless:
    """Script that repeats a piece after a start, until nobody reads it any more."""

    start: bytes
    piece: bytes
    pause_s: float = 0.0
    ended: threading.Event = field(factory=threading.Event)

    def __call__(self, received):
        yield self.start
        until = time.monotonic() + END_TIMEOUT_S
        while time.monotonic() < until:
            time.sleep(self.pause_s)
            yield self.piece
        self.ended.set()
        yield b""


HEAD = b"HTTP/1.1 200 OK\r\n"
SCRIPTS = {
    "head trickles": (b"HTTP/1.1 2", b"0", TRICKLE_S),
    "header trickles": (HEAD + b"A: ", b"a", TRICKLE_S),
    "head has no end": (HEAD, b"A: b\r\n", 0.0),
    "line has no end": (b"", BLOCK, 0.0),
    "long lines have no end": (HEAD, b"A: " + BLOCK[:60_000] + b"\r\n", 0.0),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n", 0.0),
    "body trickles": (HEAD + b"\r\n", b"{", TRICKLE_S),
    "body has no end": (HEAD + b"\r\n", BLOCK, 0.0),
    "chunk has no end": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\nfffffffff\r\n",
        BLOCK,
        0.0,
    ),
    "trailer has no end": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n",
        b"A: b\r\n",
        0.0,
    ),
    "length is a lie": (HEAD + b"Content-Length: 999999999999\r\n\r\n", BLOCK, 0.0),
}


@pytest.fixture(params=SCRIPTS)
def endless(request):
    script = Endless(*SCRIPTS[request.param])
    server = ScriptedServer(script)
    yield server, script
    server.close()


def test_health_check_of_an_endless_answer_ends(endless) -> None:
    server, script = endless
    instance = Instance("i-1", "svc", server.address, "zone-a", 4)
    connection = HttpHealthConnection(instance, make_platform_headers())
    try:
        connection.check("/health", CHECK_TIMEOUT_S)
    except CallError:
        pass
    assert not script.ended.is_set()
    connection.close()
    assert server.closed.acquire(timeout=END_TIMEOUT_S)


def test_store_read_of_an_endless_answer_fails(endless) -> None:
    server, script = endless
    with pytest.raises(PlatformUnavailableError):
        make_row_stores(server.address).connect().read("op")
    assert not script.ended.is_set()


def test_platform_request_with_an_endless_answer_fails(endless) -> None:
    server, script = endless
    settings = PlatformSettings(server.address, timeout_s=CHECK_TIMEOUT_S)
    with pytest.raises(PlatformUnavailableError):
        make_platform_client(settings, make_clock()).get("object")
    assert not script.ended.is_set()


def test_call_of_a_peer_with_an_endless_answer_fails(endless) -> None:
    server, script = endless
    peer = FleetMember("e-2", "zone-a", "127.0.0.1:1", server.address, "x")
    with pytest.raises(PeerUnavailableError):
        make_fleet_peers("e-1").changes(peer, "op", 0)
    assert not script.ended.is_set()


def test_head_is_bounded_in_bytes() -> None:
    """Only the number of lines was bounded, each of up to 64 KiB."""
    long_head = HEAD + b"".join(b"A%d: %s\r\n" % (n, BLOCK[:3000]) for n in range(60))
    server = ScriptedServer(lambda received: [long_head + b"Content-Length: 0\r\n\r\n"])
    connection = open_connection(server.address, CHECK_TIMEOUT_S)
    connection.request("GET", "/")
    with pytest.raises(MalformedAnswerError, match="head is larger"):
        connection.getresponse()
    connection.close()
    server.close()


@pytest.fixture
def system():
    system = start_fleet_system(retry_slack=50.0)
    yield system
    system.stop()


def signed_head(received, *lines: str) -> bytes:
    first = (
        "HTTP/1.1 200 OK",
        f"{ATTEMPT_ID_HEADER}: {attempt_id_of(received)}",
        "X-Dotterelpier-Server-Signature: signed",
    )
    return "\r\n".join((*first, *lines, "", "")).encode()


@pytest.mark.parametrize("name", SCRIPTS)
def test_endless_answer_is_not_forwarded_as_a_success(system, name) -> None:
    script = Endless(*SCRIPTS[name])
    instance = ScriptedInstance("i-1", "svc", script)
    register_and_wait(system, instance, kind="non_idempotent", timeoutMs=600)
    reply = system.send("/a/x", "POST", b"body")
    assert reply.status in (502, 504)
    assert not script.ended.is_set()
    instance.script = echo_target
    assert system.send("/a/y", "POST", b"body").status == 200


@pytest.mark.parametrize("lines", [(), (f"Content-Length: {LARGE_BYTES}",)])
def test_large_answer_is_forwarded_whole(system, lines) -> None:
    body = b"0123456789abcdef" * (LARGE_BYTES // 16)

    def send_body(received):
        return [signed_head(received, *lines), body, *([] if lines else [b""])]

    register_and_wait(system, ScriptedInstance("i-1", "svc", send_body))
    reply = system.send("/a/x")
    assert (reply.status, reply.body) == (200, body)


@pytest.mark.parametrize("status", [400, 421, 429, 503])
def test_large_refusal_or_error_is_never_a_success(system, status) -> None:
    def send_body(received):
        lines = [
            f"HTTP/1.1 {status} X",
            f"{ATTEMPT_ID_HEADER}: {attempt_id_of(received)}",
            "X-Dotterelpier-Not-Executed: 1",
            f"Content-Length: {LARGE_BYTES}",
        ]
        return ["\r\n".join((*lines, "", "")).encode(), b"x" * LARGE_BYTES]

    register_and_wait(
        system, ScriptedInstance("i-1", "svc", send_body), kind="non_idempotent"
    )
    assert system.send("/a/x", "POST", b"body").status == 503


@pytest.mark.parametrize(
    "ending",
    [
        (f"Content-Length: {LARGE_BYTES + 1}",),
        ("Transfer-Encoding: chunked",),
    ],
)
def test_large_answer_that_breaks_off_never_looks_complete(system, ending) -> None:
    body = b"x" * LARGE_BYTES
    chunked = "chunked" in ending[0]
    framed = b"%x\r\n%s\r\n" % (LARGE_BYTES, body) if chunked else body

    register_and_wait(
        system,
        ScriptedInstance(
            "i-1", "svc", lambda received: [signed_head(received, *ending), framed, b""]
        ),
    )
    with pytest.raises(Exception, match="IncompleteRead|incomplete|reset"):
        reply = system.send("/a/x")
        raise AssertionError(f"looked complete: {reply.status}, {len(reply.body)}")


def test_large_answer_of_another_request_is_not_skipped(system) -> None:
    """A body must not be read as the head of the next answer."""

    def forge(received):
        forged = answer(received, b"forged")
        other = signed_head(received, f"Content-Length: {LARGE_BYTES}").replace(
            attempt_id_of(received).encode(), b"another"
        )
        return [other, forged * (LARGE_BYTES // len(forged)), b""]

    register_and_wait(
        system, ScriptedInstance("i-1", "svc", forge), kind="non_idempotent"
    )
    assert system.send("/a/x", "POST", b"body").status == 502


@pytest.mark.parametrize("named", [True, False])
def test_repeated_refusal_is_not_taken_for_that_of_the_next_request(
    system, named
) -> None:
    """A server writes an earlier refusal once more on a kept connection.

    The next request runs there, so it must neither be answered as not run nor run at
    another server.
    """
    earlier = []
    numbers = itertools.count()

    def unnamed(content: bytes) -> bytes:
        head, _, rest = content.partition(b"X-Dotterelpier-Attempt-Id")
        return content if named else head + rest.partition(b"\r\n")[2]

    def refuse_then_repeat(received):
        if next(numbers) % 2 == 0:
            earlier.append(refusal(received))
            return [earlier[-1]]
        return [unnamed(earlier[-1]), answer(received, b"ran")]

    faulty = ScriptedInstance("i-1", "svc", refuse_then_repeat)
    register_and_wait(system, faulty, kind="non_idempotent", maxAttempts=1)
    assert system.send("/a/x", "POST", b"1").status == 503
    other = ScriptedInstance("i-2", "svc", echo_target)
    reply = system.send("/a/y", "POST", b"2")
    assert (reply.status, reply.body) == (200, b"ran") if named else reply.status == 502
    assert not other.runs
