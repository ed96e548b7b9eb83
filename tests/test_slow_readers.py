"""Clients that send slowly or do not read must not exhaust an entry.

Each test lets a crowd misbehave and checks what must hold with any number of such
clients: the process lives, its memory stays within that of its settings, its open
descriptors stay below its limit, and an ordinary request is answered while the crowd is
still there. Being refused or closed is allowed for the crowd. The bounds are those of
the settings; nothing is asserted about times or about the share of served requests.
"""

import contextlib
import os
import subprocess
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import attrs
import pytest

from dotterelpier.settings import LimitSettings
from dotterelpier.wire.fleet import (
    CHANGES_PATH,
    PING_PATH,
    encode_changes_request,
    encode_ping_request,
)
from tests.fleet_processes import EntryProcess, EntryProcesses
from tests.fleet_system import (
    ATTEMPT_ID_HEADER,
    HOST,
    ScriptedInstance,
    answer,
    config,
    route,
)
from tests.slow_clients import Crowd, Watch, limit_descriptors
from tests.standins.row_store import start_row_store
from tests.test_path import SERVER_TEMPLATE, SMALL_MANIFEST
from tests.utils import System, request, running_system, wait_until

# Memory of the process in its settings. It takes about 45 MB before the first request.
MEMORY_MB = 128
# Descriptor limit of the process, which has about 30 open before the first request.
DESCRIPTORS = 1024
FEW_DESCRIPTORS = 160
CROWD = 120
# More connections than there are few descriptors.
DESCRIPTOR_CROWD = 200
# Worker threads that serve clients.
THREADS = 64
# Just under the size up to which answers are received whole.
WHOLE_BYTES = (1 << 20) - 1
STREAMED_BYTES = 16 << 20
# A client that does not read leaves this many answers of ``WHOLE_BYTES`` in the buffers
# of the kernel and the next one in those of the process.
ROUNDS = 5
TABLE_ROWS = 48
ROW_BYTES = 64 << 10
# How long an ordinary client goes on repeating its request.
PATIENCE_S = 30.0
CALLER_THREADS = 16
PAGE_CROWD = 4
SLOW_S = 3.0


def get(target: str, host: str = HOST) -> bytes:
    """Return a request as the clients of the crowd send it."""
    lines = (
        f"GET {target} HTTP/1.1",
        f"Host: {host}",
        f"{ATTEMPT_ID_HEADER}: crowd",
        "X-Dotterelpier-Deadline-Ms: 9000",
    )
    return "\r\n".join((*lines, "", "")).encode()


def post(target: str, length: int) -> bytes:
    """Return the head of a request with a body."""
    line = f"Content-Length: {length}\r\n\r\n".encode()
    return get(target).replace(b"GET", b"POST").removesuffix(b"\r\n") + line


def script(received):
    """Answer ``/a/SIZE/STATUS/SECONDS`` with that size and status after that time."""
    _, _, size, status, seconds = received.target.split("/")
    time.sleep(float(seconds))
    return [answer(received, b"x" * int(size), status=f"{status} Some Reason")]


def answered(address: str, target: str, method: str = "GET", body: bytes = b"") -> None:
    """Repeat an ordinary request, each time on a new connection, until it succeeds."""
    headers = {"Host": HOST, ATTEMPT_ID_HEADER: "ordinary"}
    wait_until(
        lambda: request(address, method, target, body, headers, 5.0).status == 200,
        f"{target} is answered",
        PATIENCE_S,
    )


@pytest.fixture
def serve(tmp_path: Path, request: pytest.FixtureRequest) -> Iterator[EntryProcess]:
    """Start one entry of a fleet, and a backend server that it uses."""
    descriptors = getattr(request, "param", DESCRIPTORS)
    with running_entry(tmp_path, script, descriptors) as entry:
        yield entry


@contextlib.contextmanager
def running_entry(
    tmp_path: Path, script: Any, descriptors: int = DESCRIPTORS
) -> Iterator[EntryProcess]:
    """Run one entry of a fleet, and a backend server that answers by a script."""
    address, state = start_row_store()
    slow_route = route("/a/", "svc", timeoutMs=10_000, targetLatencyMs=5000)
    state.put_json("op", "config", config(1, {"r": slow_route}, "svc"))
    for number in range(TABLE_ROWS):
        state.put("op", f"note/{number}", os.urandom(ROW_BYTES))
    instance = ScriptedInstance("i-1", "svc", script, load="0,0,400,100")
    row = instance.row()
    row["serverInfo"]["slots"] = 400
    state.put_json("servers", "i-1", row)
    processes = EntryProcesses(tmp_path)
    limits = f"[limits]\nmemory_mb = {MEMORY_MB}"
    try:
        entry = processes.launch("entry-1", address, "zone-a", limits)
        limit_descriptors(entry.process.pid, descriptors)
        wait_until(entry.ready, "the entry is ready")
        answered(entry.address_by_use["caller"], "/a/1/200/0")
        yield entry
    finally:
        processes.stop()


def check(
    process: "subprocess.Popen[bytes]", watch: Watch, descriptors: int = DESCRIPTORS
) -> None:
    """Check that a process lives and stayed within its memory and descriptors."""
    assert process.poll() is None
    assert watch.bytes_max < MEMORY_MB * 1e6
    assert 0 < watch.descriptors_max < descriptors


def misbehave(
    entry: EntryProcess,
    use: str,
    count: int,
    act: Callable[[Crowd], None],
    ordinary: Callable[[], None] = lambda: None,
    descriptors: int = DESCRIPTORS,
) -> None:
    """Let a crowd act, then check the process; ``ordinary`` must succeed as well."""
    process = entry.process
    with Watch(process.pid) as watch, Crowd(entry.address_by_use[use], count) as crowd:
        act(crowd)
        answered(entry.address_by_use["caller"], "/a/1/200/0")
        ordinary()
        time.sleep(0.5)
    check(process, watch, descriptors)


def send_rounds(content: bytes, rounds: int = ROUNDS) -> Callable[[Crowd], None]:
    """Return an act: each client sends once a round and reads nothing."""

    def act(crowd: Crowd) -> None:
        for _ in range(rounds):
            crowd.send(content)
            time.sleep(1.0)

    return act


@pytest.mark.parametrize("status", [200, 500])
def test_unread_answers_that_are_held_whole(serve, status) -> None:
    """Each connection buffered an answer, without a common bound."""
    act = send_rounds(get(f"/a/{WHOLE_BYTES}/{status}/0"))
    misbehave(serve, "caller", CROWD, act)


@pytest.mark.parametrize("status", [200, 500])
def test_unread_streams(serve, status) -> None:
    """Each stream that nobody read held a worker thread for good."""
    act = send_rounds(get(f"/a/{STREAMED_BYTES}/{status}/0"), rounds=2)
    misbehave(serve, "caller", THREADS, act)


def test_unread_answers_of_pipelined_requests(serve) -> None:
    """The first unread answers held the thread that was to serve the next request."""
    act = send_rounds(get(f"/a/{WHOLE_BYTES}/200/0") * 8, rounds=2)
    misbehave(serve, "caller", THREADS, act)


def test_many_small_pipelined_requests(serve) -> None:
    """All requests that had arrived were parsed, however long they had to wait."""
    small = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
    act = send_rounds(get(f"/a/1/200/{SLOW_S}") + small * 280, rounds=1)
    misbehave(serve, "caller", CROWD, act)


def test_unread_answers_to_head(serve) -> None:
    """An answer without a body also has a head that must be held."""
    head = get(f"/a/{WHOLE_BYTES}/200/0").replace(b"GET", b"HEAD")
    misbehave(serve, "caller", CROWD, send_rounds(head * 16, rounds=2))


ARRIVALS = {
    "nothing": (b"", b""),
    "head": (get("/a/1/200/0").removesuffix(b"\r\n") + b"X-Long: ", b"a"),
    "body": (post("/a/1/200/0", 1000), b"a"),
}


@pytest.mark.parametrize("serve", [FEW_DESCRIPTORS], indirect=True)
@pytest.mark.parametrize(
    ("use", "kind"),
    [
        ("caller", "nothing"),
        ("caller", "head"),
        ("caller", "body"),
        ("readiness", "nothing"),
        ("directory", "head"),
        ("metrics", "nothing"),
        ("peer", "body"),
    ],
)
def test_requests_that_arrive_slowly(serve, use, kind) -> None:
    """Connections took all descriptors, so that none was left for others."""
    start, piece = ARRIVALS[kind]

    def act(crowd: Crowd) -> None:
        crowd.trickle(start, piece)
        time.sleep(1.0)

    misbehave(serve, use, DESCRIPTOR_CROWD, act, descriptors=FEW_DESCRIPTORS)


def test_large_bodies_that_stay_incomplete(serve) -> None:
    """Bodies that never become complete must not take the memory of the process."""

    def act(crowd: Crowd) -> None:
        crowd.send(post("/a/1/200/0", 1_000_000))
        for _ in range(16):
            crowd.send(b"x" * 60_000)
            time.sleep(0.05)

    misbehave(serve, "caller", CROWD, act)


PAGES = {
    "readiness": "/readiness",
    "directory": f"/resolve?name={HOST}&region=r&zone=zone-a",
    "metrics": "/metrics",
}


@pytest.mark.parametrize("use", PAGES)
def test_pages_that_nobody_reads(serve, use) -> None:
    """A page held the threads of its address for good."""
    small = f"GET {PAGES[use]} HTTP/1.1\r\nHost: x\r\n\r\n".encode()
    address = serve.address_by_use[use]
    misbehave(
        serve,
        use,
        PAGE_CROWD,
        send_rounds(small * (8192 // len(small)), rounds=4),
        lambda: answered(address, PAGES[use]),
    )


def test_snapshots_that_nobody_reads(serve) -> None:
    """Copies of a table for other entries were buffered without a bound."""
    body = encode_changes_request("op", 0)
    head = post(CHANGES_PATH, len(body))
    address = serve.address_by_use["peer"]
    ping = encode_ping_request("entry-2")
    misbehave(
        serve,
        "peer",
        CROWD,
        send_rounds(head + body, rounds=3),
        lambda: answered(address, PING_PATH, "POST", ping),
    )


@pytest.fixture
def entry(tmp_path: Path, request: pytest.FixtureRequest) -> Iterator[System]:
    """Start two processes of ``dotterelpier entry``, and backend servers."""
    whole = '[[services]]\nname = "catalogue"\n'
    text = SMALL_MANIFEST.replace(whole, whole + "whole_answer_bytes = 1048576\n")
    assert text != SMALL_MANIFEST
    servers = "".join(
        SERVER_TEMPLATE.format(service="catalogue", net=3, number=number, zone=1)
        for number in range(1, CALLER_THREADS + 1)
    )
    with running_system(tmp_path, text + servers) as system:
        system.start_standins()
        limits = ["[limits]", f"caller_threads = {CALLER_THREADS}"]
        if "memory_mb" in attrs.fields_dict(LimitSettings):
            # Older releases know no such limit; it is what they are to keep as well.
            limits.append(f"memory_mb = {MEMORY_MB}")
        system.start_entries(2, "\n".join(limits))
        descriptors = getattr(request, "param", DESCRIPTORS)
        for name in system.entries:
            limit_descriptors(system.processes[name].pid, descriptors)
        assert system.apply().returncode == 0
        system.wait_ready()
        yield system


@pytest.mark.parametrize(
    ("size", "count", "rounds"),
    [(WHOLE_BYTES, CROWD, ROUNDS), (STREAMED_BYTES, 2 * CALLER_THREADS, 4)],
)
def test_unread_answers_of_calls(entry, size, count, rounds) -> None:
    """``dotterelpier entry`` buffered answers without a bound, as ``serve`` did.

    Half of the calls are relayed to the other entry.
    """
    processes = [entry.processes[name] for name in entry.entries]
    addresses = [item.caller_address for item in entry.entries.values()]
    first, second = (Watch(process.pid) for process in processes)
    with first, second, Crowd(addresses[0], count) as crowd:
        send_rounds(get(f"/catalogue/large/{size}"), rounds)(crowd)
        for address in addresses:
            answered(address, "/catalogue/tips")
        time.sleep(0.5)
    check(processes[0], first)
    check(processes[1], second)


@pytest.mark.parametrize("entry", [FEW_DESCRIPTORS], indirect=True)
@pytest.mark.parametrize("port", [8000, 8001, 8002, 8003])
def test_idle_connections_of_calls(entry, port) -> None:
    """Connections that send nothing took all descriptors of ``dotterelpier entry``."""
    process = entry.processes["entry-1"]
    host, address = (
        entry.entries["entry-1"].host,
        entry.entries["entry-1"].caller_address,
    )
    with (
        Watch(process.pid) as watch,
        Crowd(f"{host}:{port}", DESCRIPTOR_CROWD) as crowd,
    ):
        crowd.trickle(b"", b"")
        time.sleep(1.0)
        answered(address, "/catalogue/tips")
        time.sleep(0.5)
    check(process, watch, FEW_DESCRIPTORS)
