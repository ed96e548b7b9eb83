"""Requests that a client sends before it has the answers to earlier ones."""

import contextlib
import http.client
import itertools
import re
import socket
import threading
import time
from collections import defaultdict

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dotterelpier.clients.http_connection import parse_address
from dotterelpier.protocols import Metrics, ServiceName, StoppableFrontend
from tests.fleet_system import (
    ATTEMPT_ID_HEADER,
    HOST,
    ScriptedInstance,
    answer,
    attempt_id_of,
    refusal,
    route,
    start_fleet_system,
)
from tests.test_fleet_requests import all_usable
from tests.utils import Reply, wait_until

TIMEOUT_S = 30.0
# Larger than what the entry holds whole of one answer.
LARGE = b"0123456789abcdef" * (3 << 16)
FAILED = 'dotterelpier_answers_total{status="server-error"}'
CUTS = st.lists(st.floats(0, 1), max_size=4)
few_examples = settings(max_examples=6)
_ids = itertools.count()


class Entry:
    """An entry with four backend servers, whose answers a test can hold back."""

    def __init__(self) -> None:
        self.instances = [
            ScriptedInstance(f"i-{number}", "svc", self._answer) for number in range(4)
        ]
        self.release_by_target = defaultdict(threading.Event)
        self.system = start_fleet_system()
        # A single attempt excludes hedged requests, which would be counted as runs.
        options = {"timeoutMs": 20_000, "targetLatencyMs": 4000, "maxAttempts": 1}
        routes = {
            "a": route("/a/", "svc", **options),
            "b": route("/b/", "svc", **{**options, "kind": "non_idempotent"}),
            "c": route("/c/", "svc", **{**options, "kind": "download"}),
        }
        self.system.apply(1, routes, "svc")
        self.system.register(*self.instances)
        wait_until(lambda: all_usable(self.system, self.instances), "servers usable")
        kernel = self.system.kernel
        self.frontend = kernel.find(ServiceName.CLIENT_FRONTEND, StoppableFrontend)
        self.metrics = kernel.find(ServiceName.METRICS, Metrics)
        for _ in range(8):
            # The entry learns how long work takes; else it may refuse a burst.
            exchange(self, get("/a/warm"))
        self.reset()

    def runs(self) -> list[str]:
        """Return the targets that reached a backend server."""
        return [run.target for item in self.instances for run in item.runs]

    def wait_for_runs(self, *targets: str) -> None:
        """Wait until these requests, and no others, are at the backend servers."""
        wait_until(lambda: set(targets) <= set(self.runs()), f"{targets} run")
        self.settle()
        assert sorted(self.runs()) == sorted(targets)

    def settle(self) -> None:
        """Let the entry start all that it is going to start."""
        assert exchange(self, get("/none/x"))[0].status == 404
        time.sleep(0.1)

    def count(self, name: str) -> float:
        """Return the value of a counter."""
        found = re.search(
            rf"^{re.escape(name)} (.*)$", self.metrics.render().decode(), re.M
        )
        return float(found[1]) if found else 0.0

    def is_unused(self) -> bool:
        """Return whether no early request holds a thread or memory any more."""
        serving = self.frontend._server._early_serving
        workers, budget = serving.workers, serving._budget
        return not (workers._busy or workers._early or budget._held_bytes)

    def connect(self) -> socket.socket:
        parsed = parse_address(self.system.settings.entry.caller_address)
        return socket.create_connection((parsed.host, parsed.port), TIMEOUT_S)

    def reset(self) -> None:
        for instance in self.instances:
            instance.runs.clear()
        self.release_by_target.clear()

    def release(self, *targets: str) -> None:
        for target in targets:
            self.release_by_target[target].set()

    def _answer(self, received):
        if "hold" in received.target:
            self.release_by_target[received.target].wait(TIMEOUT_S)
        kind = received.target.rpartition("-")[2]
        lines = (
            f"{ATTEMPT_ID_HEADER}: {attempt_id_of(received)}",
            "X-Dotterelpier-Server-Signature: signed",
            "",
            "",
        )
        head = "\r\n".join(lines).encode()
        if kind == "pause":
            return self._pause(received.target, b"HTTP/1.1 200 OK\r\n" + head)
        if kind == "refuse":
            return [refusal(received)]
        if kind == "empty":
            return [b"HTTP/1.1 204 No Content\r\n" + head]
        if kind == "large":
            return [b"HTTP/1.1 200 OK\r\n" + head, LARGE, b""]
        if kind == "cut":
            start = b"HTTP/1.1 200 OK\r\nContent-Length: 9999999\r\n"
            return [start + head, LARGE, b""]
        return [answer(received, received.target.encode())]

    def _pause(self, target, head):
        yield head + LARGE
        self.release_by_target[target].wait(TIMEOUT_S)
        yield b""


def get(target: str, *lines: str, method: str = "GET", version: str = "1.1") -> bytes:
    first = (f"{method} {target} HTTP/{version}", f"Host: {HOST}")
    return "\r\n".join(
        (*first, f"{ATTEMPT_ID_HEADER}: {next(_ids)}", *lines, "", "")
    ).encode()


def post(target: str) -> bytes:
    return get(target, "Content-Length: 4", method="POST") + b"body"


def send_cut(connection: socket.socket, content: bytes, cuts: list[float]) -> None:
    """Send bytes in pieces, cut at these shares of their length."""
    offsets = sorted({0, len(content), *(int(cut * len(content)) for cut in cuts)})
    for start, end in itertools.pairwise(offsets):
        # The entry may have closed the connection already.
        with contextlib.suppress(OSError):
            connection.sendall(content[start:end])
        time.sleep(0.002)


def read_answer(stream) -> Reply | None:
    """Read one answer of several on a connection; return None at its end."""
    try:
        line = stream.readline()
    except ConnectionResetError:
        return None
    if not line:
        return None
    headers = http.client.parse_headers(stream)
    body = b""
    if headers.get("Transfer-Encoding") == "chunked":
        while size := int(stream.readline(), 16):
            body += stream.read(size + 2)[:size]
        stream.readline()
    else:
        body = stream.read(int(headers.get("Content-Length", 0)))
    return Reply(int(line.split()[1]), dict(headers), body)


def read_all(connection: socket.socket) -> list[Reply]:
    """Read answers until the entry closes the connection."""
    with connection.makefile("rb") as stream:
        return list(iter(lambda: read_answer(stream), None))


def exchange(entry: Entry, *requests: bytes) -> list[Reply]:
    """Send requests at once; return their answers."""
    with entry.connect() as connection, connection.makefile("rb") as stream:
        connection.sendall(b"".join(requests))
        return [read_answer(stream) for _ in requests]


@pytest.fixture(scope="module")
def shared_entry():
    entry = Entry()
    yield entry
    entry.system.stop()


@pytest.fixture
def entry(shared_entry):
    shared_entry.reset()
    yield shared_entry
    shared_entry.release(*shared_entry.runs())
    wait_until(shared_entry.is_unused, "threads and memory are free again")


@pytest.mark.parametrize("order", [1, -1])
def test_requests_run_side_by_side_and_are_answered_in_order(entry, order) -> None:
    """Guards against one after another, and against answers that overtake others."""
    targets = [f"/a/hold-{number}" for number in range(20)]
    before = entry.count("dotterelpier_pipelined_requests_total")
    with entry.connect() as connection, connection.makefile("rb") as stream:
        connection.sendall(b"".join(map(get, targets)))
        entry.wait_for_runs(*targets[:8])
        for target in targets[:8][::order]:
            entry.release(target)
        entry.release(*targets)
        bodies = [read_answer(stream).body.decode() for _ in targets]
    assert bodies == targets
    assert sorted(entry.runs()) == sorted(targets)
    assert entry.count("dotterelpier_pipelined_requests_total") > before + 6


@pytest.mark.parametrize("barrier", [get("/b/hold-2"), post("/a/hold-2")])
def test_request_that_may_not_run_twice_runs_alone(entry, barrier) -> None:
    """Guards against sending what the client repeats, or what depends on it."""
    with entry.connect() as connection, connection.makefile("rb") as stream:
        connection.sendall(get("/a/hold-1") + barrier + get("/a/3"))
        entry.wait_for_runs("/a/hold-1")
        entry.release("/a/hold-1")
        target = barrier.split()[1].decode()
        entry.wait_for_runs("/a/hold-1", target)
        entry.release(target)
        bodies = [read_answer(stream).body.decode() for _ in range(3)]
    assert bodies == ["/a/hold-1", target, "/a/3"]


@pytest.mark.parametrize(
    "closing",
    [
        get("/a/hold-2", "Connection: close"),
        get("/a/hold-2", version="1.0"),
        b"GET /a/hold-2 HTTP/1.1\r\nHost: a b\r\n\r\n",
    ],
)
def test_nothing_behind_an_answer_that_closes_is_sent(entry, closing) -> None:
    """Guards against running a request that the client takes for unread."""
    malformed = b"a b" in closing
    started = ["/a/hold-1"] if malformed else ["/a/hold-1", "/a/hold-2"]
    with entry.connect() as connection:
        connection.sendall(get("/a/hold-1") + closing + get("/a/3"))
        entry.wait_for_runs(*started)
        entry.release(*started)
        statuses = [reply.status for reply in read_all(connection)]
    assert statuses == [200, 400 if malformed else 200]
    assert sorted(entry.runs()) == started


@few_examples
@given(CUTS)
def test_planned_stop_answers_what_was_started_and_sends_no_more(
    shared_entry, cuts
) -> None:
    """Guards against dropping started requests, and against sending others."""
    shared_entry.reset()
    started = ["/a/hold-1", "/a/hold-2", "/a/hold-3"]
    with shared_entry.connect() as connection:
        send_cut(connection, b"".join(map(get, started)), cuts)
        shared_entry.wait_for_runs(*started)
        shared_entry.frontend.close_after_answers()
        try:
            send_cut(connection, get("/a/4") + get("/a/5"), cuts)
            shared_entry.settle()
            shared_entry.release(*started)
            replies = read_all(connection)
        finally:
            shared_entry.frontend._server._server.closes_after_answers = False
    assert [reply.body.decode() for reply in replies] == started
    closes = ["Connection" in reply.headers for reply in replies]
    assert closes == [False, False, True]
    assert sorted(shared_entry.runs()) == started


@few_examples
@given(CUTS)
def test_deadline_counts_from_the_arrival_of_each_request(shared_entry, cuts) -> None:
    """Guards against deadlines that begin on the turn of a request."""
    shared_entry.reset()
    failed = shared_entry.count(FAILED)
    late = get("/a/hold-2", "X-Dotterelpier-Deadline-Ms: 300")
    with shared_entry.connect() as connection, connection.makefile("rb") as stream:
        send_cut(connection, get("/a/hold-1") + late + get("/a/3"), cuts)
        wait_until(lambda: shared_entry.count(FAILED) > failed, "the second timed out")
        shared_entry.release("/a/hold-1")
        assert [read_answer(stream).status for _ in range(3)] == [200, 504, 200]
    shared_entry.release("/a/hold-2")


@few_examples
@given(CUTS)
def test_client_that_leaves_after_cut_requests_ends_them(shared_entry, cuts) -> None:
    """Guards against slots kept for nobody, whatever a read returns."""
    shared_entry.reset()
    failed = shared_entry.count(FAILED)
    targets = ["/a/hold-1", "/a/hold-2", "/a/hold-3"]
    with shared_entry.connect() as connection:
        send_cut(connection, b"".join(map(get, targets)), cuts)
        shared_entry.wait_for_runs(*targets)
    wait_until(lambda: shared_entry.count(FAILED) == failed + 3, "all have ended")
    wait_until(shared_entry.is_unused, "threads and memory are free again")
    shared_entry.release(*targets)


@pytest.mark.parametrize("count", [3, 12])
@pytest.mark.parametrize("second", ["/a/hold-x", "/a/x-large"])
def test_client_that_leaves_ends_all_its_requests(entry, count, second) -> None:
    """Guards against slots and memory kept for nobody, and where reading stopped."""
    failed = entry.count(FAILED)
    targets = ["/a/hold-0", second, *(f"/a/hold-{n}" for n in range(2, count))]
    started = targets[:8]
    with entry.connect() as connection:
        connection.sendall(b"".join(map(get, targets)))
        entry.wait_for_runs(*started)
    ended = failed + sum("hold" in target for target in started)
    wait_until(lambda: entry.count(FAILED) == ended, "all started ones have ended")
    wait_until(entry.is_unused, "threads and memory are free again")
    entry.settle()
    assert sorted(entry.runs()) == sorted(started)


def test_request_that_comes_during_a_stream_is_not_sent_before_its_end(entry) -> None:
    """Guards against sending what the client repeats if the stream breaks off."""
    with entry.connect() as connection, connection.makefile("rb") as stream:
        connection.sendall(get("/a/x-pause"))
        assert stream.readline() == b"HTTP/1.1 200 OK\r\n"
        connection.sendall(get("/a/2") + get("/a/3"))
        entry.settle()
        assert entry.runs() == ["/a/x-pause"]
        entry.release("/a/x-pause")
        assert sum(map(len, iter(stream.readline, b""))) > len(LARGE)
    # A stream without length closes the connection if nothing behind it was started.
    assert entry.runs() == ["/a/x-pause"]


def test_refusals_in_the_middle_keep_their_place(entry) -> None:
    """Guards against a refusal that overtakes, closes, or ends the others."""
    requests = ("/a/hold-1", "/a/x-refuse", "/none/2", "/a/3")
    with entry.connect() as connection, connection.makefile("rb") as stream:
        connection.sendall(b"".join(map(get, requests)))
        entry.wait_for_runs("/a/hold-1", "/a/x-refuse")
        entry.release("/a/hold-1")
        assert [read_answer(stream).status for _ in requests] == [200, 503, 404, 200]


@pytest.mark.parametrize(
    "targets",
    [
        ("/a/hold-large", "/a/2", "/a/3"),
        ("/a/hold-1", "/a/x-large", "/a/3"),
        ("/a/hold-empty", "/a/x-empty", "/a/3"),
    ],
)
def test_answer_without_length_does_not_cut_off_started_ones(entry, targets) -> None:
    """Guards against the close that an answer without length had before."""
    with entry.connect() as connection, connection.makefile("rb") as stream:
        connection.sendall(b"".join(map(get, targets)))
        entry.wait_for_runs(*targets)
        entry.release(*targets)
        bodies = [read_answer(stream).body for _ in targets]
        body_by_kind = {"large": LARGE, "empty": b""}
        assert bodies == [
            body_by_kind.get(target.rpartition("-")[2], target.encode())
            for target in targets
        ]


def test_stream_that_breaks_off_ends_the_requests_behind_it(entry) -> None:
    """Guards against an answer behind a cut one, and against slots taken for nobody."""
    failed = entry.count(FAILED)
    with entry.connect() as connection:
        connection.sendall(get("/a/hold-cut") + get("/a/hold-2") + get("/a/3"))
        entry.wait_for_runs("/a/hold-cut", "/a/hold-2", "/a/3")
        entry.release("/a/hold-cut")
        received = b"".join(iter(lambda: connection.recv(1 << 20), b""))
    assert received.count(b"HTTP/1.1") == 1
    wait_until(lambda: entry.count(FAILED) == failed + 1, "the second one ended")


@pytest.mark.parametrize("ahead", [(), ("/a/hold-1",)])
def test_nothing_runs_behind_a_long_answer_that_breaks_off(entry, ahead) -> None:
    """Requests behind it ran, and their answers were lost with the connection."""
    targets = (*ahead, "/c/hold-cut", "/a/2", "/a/3")
    with entry.connect() as connection:
        connection.sendall(b"".join(map(get, targets)))
        entry.wait_for_runs(*ahead, "/c/hold-cut")
        entry.release(*ahead, "/c/hold-cut")
        received = b"".join(iter(lambda: connection.recv(1 << 20), b""))
    assert received.count(b"HTTP/1.1") == len(ahead) + 1
    entry.settle()
    assert sorted(entry.runs()) == sorted((*ahead, "/c/hold-cut"))


def test_requests_behind_a_long_answer_run_once_it_is_complete(entry) -> None:
    with entry.connect() as connection, connection.makefile("rb") as stream:
        connection.sendall(get("/c/hold-1") + get("/a/2") + get("/a/3"))
        entry.wait_for_runs("/c/hold-1")
        entry.release("/c/hold-1")
        bodies = [read_answer(stream).body for _ in range(3)]
    assert bodies == [b"/c/hold-1", b"/a/2", b"/a/3"]


def test_stream_whose_turn_comes_too_late_is_not_begun(entry) -> None:
    """Guards against a success that breaks off, as its stream ended meanwhile."""
    late = get("/a/x-large", "X-Dotterelpier-Deadline-Ms: 400")
    with entry.connect() as connection, connection.makefile("rb") as stream:
        connection.sendall(get("/a/hold-1") + late + get("/a/3"))
        entry.wait_for_runs("/a/hold-1", "/a/x-large", "/a/3")
        time.sleep(0.5)
        entry.release("/a/hold-1")
        assert [read_answer(stream).status for _ in range(3)] == [200, 504, 200]


def test_long_heads_are_not_read_ahead(entry) -> None:
    """Guards against a crowd that fills the memory with requests in queue."""
    targets = [f"/a/hold-{number}" for number in range(8)]
    with entry.connect() as connection, connection.makefile("rb") as stream:
        for target in targets:
            connection.sendall(get(target, "X-Long: " + "x" * 12_000))
        entry.wait_for_runs(*targets[:3])
        entry.release(*targets)
        bodies = [read_answer(stream).body.decode() for _ in targets]
    assert bodies == targets


def test_closing_answer_arrives_whole_although_more_was_sent(entry) -> None:
    """Guards against a reset, which drops what the system has not sent yet."""
    with entry.connect() as connection, connection.makefile("rb") as stream:
        connection.sendall(get("/a/x-large", "Connection: close"))
        connection.sendall(get("/a/2", "X-Long: " + "x" * 10_000) * 10)
        entry.settle()
        assert read_answer(stream).body == LARGE
    assert entry.runs() == ["/a/x-large"]


def test_event_loop_survives_a_client_that_leaves_before_its_100_continue(
    entry,
) -> None:
    """Guards against closing the connection under a lock that is held already."""
    server = entry.frontend._server._server
    with entry.connect() as connection:
        wait_until(lambda: server.active_channels, "the connection is accepted")
        (channel,) = server.active_channels.values()
        channel.send = lambda data, do_close=True: channel.handle_close() or 0
        connection.sendall(get("/a/1", "Content-Length: 1", "Expect: 100-continue"))
        wait_until(lambda: not server.active_channels, "the connection is closed")
    assert exchange(entry, get("/a/2"))[0].status == 200


KINDS = {
    "/a/x-ok": 200,
    "/a/x-empty": 204,
    "/a/x-refuse": 503,
    "/none/x": 404,
    "/b/x": 200,
    "post": 200,
    "/a/x-large": 200,
    "close": 200,
    "malformed": 400,
}


def make_request(kind: str, number: int) -> bytes:
    target = kind if kind.startswith("/") else f"/a/{kind}"
    target = target.replace("/x", f"/{number}")
    if kind == "post":
        return post(target)
    if kind == "malformed":
        return get(target, "Malformed")
    return get(target, *(["Connection: close"] if kind == "close" else []))


@given(
    st.lists(st.sampled_from([*list(KINDS)[:6] * 3, *KINDS]), min_size=1, max_size=12),
    CUTS,
)
def test_requests_cut_at_any_byte_are_answered_in_order(
    shared_entry, kinds, cuts
) -> None:
    """Guards against answers lost, doubled or out of place, whatever a read returns.

    An answer without length closes the connection if nothing behind it was started, so
    the client may get fewer answers, as before.
    """
    shared_entry.reset()
    requests = [make_request(kind, number) for number, kind in enumerate(kinds)]
    targets = [request.split()[1].decode() for request in requests]
    content = b"".join(requests)
    with shared_entry.connect() as connection:
        send_cut(connection, content, cuts)
        with connection.makefile("rb") as stream:
            replies = list(
                itertools.islice(iter(lambda: read_answer(stream), None), len(kinds))
            )
    answered = kinds[: len(replies)]
    assert [reply.status for reply in replies] == [KINDS[kind] for kind in answered]
    for reply, target in zip(replies, targets, strict=False):
        assert reply.status != 200 or reply.body in (target.encode(), LARGE)
    if len(replies) < len(kinds):
        assert "Connection" in replies[-1].headers
        assert answered[-1] in ("close", "malformed", "/a/x-empty", "/a/x-large")
    expected = [
        target
        for kind, target in zip(answered, targets, strict=False)
        if kind not in ("/none/x", "malformed")
    ]
    assert sorted(shared_entry.runs()) == sorted(expected)
