"""P8: a planned stop cuts no request in flight."""

import http.client
import signal
import socket
import threading
import time
from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path
from typing import Any

import pytest

from tests.callers import Caller
from tests.test_path import SERVER_TEMPLATE, SMALL_MANIFEST
from tests.utils import (
    CONTROL_ADDRESS,
    PLATFORM_ADDRESS,
    System,
    post_json,
    request,
    running_system,
)

DIRECTORY_SETTINGS = "[directory]\nmax_age_s = 1\n"
LARGE_BYTES = 12_000_000
READ_BYTES = 64 << 10
READ_PAUSE_S = 0.02
STOP_TIMEOUT_S = 40.0
CALLERS = 4


@pytest.fixture
def system(tmp_path: Path) -> Iterator[System]:
    text = SMALL_MANIFEST + "".join(
        SERVER_TEMPLATE.format(
            service="catalogue", net=0, number=number, zone=number % 2 + 1
        )
        for number in range(1, 5)
    )
    with running_system(tmp_path, text) as running:
        running.start_standins()
        running.start_entries(3, DIRECTORY_SETTINGS)
        assert running.apply().returncode == 0
        running.wait_ready()
        yield running


def _read_slowly(address: str) -> int:
    """Download from an entry at a few megabytes a second; return the size."""
    host, _, port = address.rpartition(":")
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READ_BYTES)
        sock.settimeout(10.0)
        sock.connect((host, int(port)))
        path = f"/catalogue/large/{LARGE_BYTES}"
        sock.sendall(f"GET {path} HTTP/1.1\r\nHost: entry\r\n\r\n".encode())
        response = http.client.HTTPResponse(sock)
        response.begin()
        size = 0
        while piece := response.read1(READ_BYTES):
            size += len(piece)
            time.sleep(READ_PAUSE_S)
        return size


def _generate_load(system: System, seed: int, stopping: threading.Event) -> Caller:
    addresses = [entry.caller_address for entry in system.entries.values()]
    caller = Caller(addresses, seed)
    request_number = 0
    while not stopping.wait(0.02):
        request_number += 1
        caller.call("catalogue", 4 * request_number + 1)
    return caller


def _stop_twice(system: System, name: str) -> int:
    """Ask an entry to stop, twice; return its exit status."""
    system.signal(name, signal.SIGTERM)
    time.sleep(0.5)
    system.signal(name, signal.SIGTERM)
    return system.processes[name].wait(STOP_TIMEOUT_S)


def _outcomes(pending: list[Future[Caller]]) -> dict[str, int]:
    results = [result for future in pending for result in future.result().results]
    return {
        outcome: sum(result.outcome == outcome for result in results)
        for outcome in {result.outcome for result in results}
    }


@pytest.mark.promise(8)
def test_every_entry_is_replaced_under_load(system: System, record_property: Any):
    stopping = threading.Event()
    with ThreadPoolExecutor(CALLERS + 1) as executor:
        pending = [
            executor.submit(_generate_load, system, seed, stopping)
            for seed in range(CALLERS)
        ]
        for number in (1, 2, 3):
            name = f"entry-{number}"
            download = executor.submit(
                _read_slowly, system.entries[name].caller_address
            )
            time.sleep(0.3)
            assert _stop_twice(system, name) == 0
            assert download.result() == LARGE_BYTES
            system.start_entry(number, system.entries[name].zone, DIRECTORY_SETTINGS)
            system.wait_ready()
        stopping.set()
        outcomes = _outcomes(pending)
    assert set(outcomes) == {"answered"}, outcomes
    record_property("figure", f"3 entries replaced, {outcomes['answered']} answered")


@pytest.mark.promise(8)
def test_stop_while_the_platform_is_down(system: System) -> None:
    for server in system.manifest.backend_servers:
        post_json(CONTROL_ADDRESS, f"/faults/{server.id}", {"service_s": 2.0})
    post_json(PLATFORM_ADDRESS, "/faults", {"outage": True})
    entry = system.entries["entry-2"]
    with ThreadPoolExecutor(1) as executor:
        slow = executor.submit(request, entry.caller_address, "GET", "/catalogue/x")
        time.sleep(0.3)
        assert _stop_twice(system, entry.name) == 0
        reply = slow.result()
    assert (reply.status, reply.outcome) == (200, "answered")
