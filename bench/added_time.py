"""Time that one entry adds to a call, its calls a second, and claims.

Run with ``python -m bench.added_time``; writes ``bench/results/added_time.json``.
"""

import http.client
import tempfile
import threading
import time
import uuid
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import fire

from bench.machine import MachineUse, processor_s
from bench.run import write
from bench.summary import quantiles_ms
from dotterelpier.clients.http_connection import open_connection
from tests.utils import NET, PLATFORM_ADDRESS, System, request_json, running_system

CALLS = 1500
WARM_UP_CALLS = 200
CONCURRENCIES = (1, 4, 16)
CLAIM_CALLS = 240
BACKEND_ADDRESS = f"127.{NET}.4.1:8080"
SLOTS = 64

MANIFEST = f"""
tenant = "bench"

[[zones]]
name = "north-1"
region = "north"

[[services]]
name = "echo"

[[services.non_idempotent]]
method = "POST"

[[backend_servers]]
id = "echo-1"
service = "echo"
address = "127.20.4.1:8080"
zone = "north-1"
slots = {SLOTS}
cold_slots = 64
"""


def direct_headers() -> dict[str, str]:
    """Return what the entry would send along."""
    return {"Dotterelpier-Attempt": uuid.uuid4().hex}


def no_headers() -> dict[str, str]:
    """Return no headers."""
    return {}


def key_headers() -> dict[str, str]:
    """Return a fresh idempotency key."""
    return {"Idempotency-Key": uuid.uuid4().hex}


def exchange(
    connection: http.client.HTTPConnection,
    method: str,
    target: str,
    headers: dict[str, str],
) -> float:
    """Make one call and return its duration in seconds."""
    started = time.perf_counter()
    connection.request(method, target, headers=headers)
    response = connection.getresponse()
    response.read()
    if response.status != 200:
        raise RuntimeError(f"status {response.status} of {target}")
    return time.perf_counter() - started


def measure_direct_and_through_entry(entry_address: str) -> dict[str, Any]:
    """Return durations of calls made directly and through the entry in turn."""
    through = open_connection(entry_address, 5.0)
    direct = open_connection(BACKEND_ADDRESS, 5.0)
    use = MachineUse()
    direct_s, through_s = [], []
    for number in range(WARM_UP_CALLS + CALLS):
        target = f"/items/{number}"
        direct_call_s = exchange(direct, "GET", target, direct_headers())
        entry_call_s = exchange(through, "GET", f"/echo{target}", no_headers())
        if number >= WARM_UP_CALLS:
            direct_s.append(direct_call_s)
            through_s.append(entry_call_s)
    added_s = [b - a for a, b in zip(direct_s, through_s, strict=True)]
    figures = {
        "direct": quantiles_ms(direct_s),
        "through_entry": quantiles_ms(through_s),
        "added_call_by_call": quantiles_ms(added_s),
        "machine_busy_share": round(use.busy_share(), 3),
    }
    figures["added_p99_ms"] = round(
        figures["through_entry"]["p99_ms"] - figures["direct"]["p99_ms"], 3
    )
    return figures


def closed_loop(
    address: str,
    callers: int,
    calls: int,
    method: str,
    make_headers: Callable[[], dict[str, str]],
) -> float:
    """Return calls a second of callers that each call without a pause."""
    start = threading.Barrier(callers + 1)

    def call() -> None:
        connection = open_connection(address, 10.0)
        start.wait()
        for number in range(calls // callers):
            exchange(connection, method, f"/echo/items/{number}", make_headers())

    with ThreadPoolExecutor(callers) as executor:
        pending = [executor.submit(call) for _ in range(callers)]
        start.wait()
        started = time.perf_counter()
        for future in pending:
            future.result()
        return callers * (calls // callers) / (time.perf_counter() - started)


def throughput(address: str, pid: int) -> dict[str, Any]:
    """Return calls a second and processor time a call by callers at once."""
    figures: dict[str, Any] = {}
    for callers in CONCURRENCIES:
        use = MachineUse()
        before = processor_s(pid)
        calls_per_s = closed_loop(address, callers, CALLS, "GET", no_headers)
        cpu_s = (processor_s(pid) - before) / CALLS
        figures[str(callers)] = {
            "calls_per_s": round(calls_per_s, 1),
            "entry_processor_ms_per_call": round(1000 * cpu_s, 3),
            "calls_per_s_and_core": round(1 / cpu_s, 1) if cpu_s else None,
            "machine_busy_share": round(use.busy_share(), 3),
        }
    return figures


def claims(address: str) -> dict[str, Any]:
    """Return claimed calls a second and platform writes a call, by callers."""
    figures: dict[str, Any] = {}
    for callers in CONCURRENCIES:
        before = request_json(PLATFORM_ADDRESS, "/state")["writes"]
        use = MachineUse()
        calls_per_s = closed_loop(address, callers, CLAIM_CALLS, "POST", key_headers)
        writes = request_json(PLATFORM_ADDRESS, "/state")["writes"] - before
        figures[str(callers)] = {
            "calls_per_s": round(calls_per_s, 1),
            "platform_writes_per_call": round(writes / CLAIM_CALLS, 3),
            "machine_busy_share": round(use.busy_share(), 3),
        }
    return figures


def measure(system: System) -> dict[str, Any]:
    """Return all figures of a started system with one entry."""
    (entry,) = system.entries.values()
    pid = system.processes[entry.name].pid
    address = entry.caller_address
    return {
        "added_time": measure_direct_and_through_entry(address),
        "throughput_by_callers": throughput(address, pid),
        "claims_by_callers": claims(address),
    }


def main() -> None:
    """Measure with one entry and one backend server that answers at once."""
    with (
        tempfile.TemporaryDirectory() as folder,
        running_system(Path(folder), MANIFEST) as system,
    ):
        system.start_standins("--service_s", "0.0")
        system.start_entries(1)
        applied = system.apply()
        if applied.returncode:
            raise RuntimeError(applied.stderr)
        system.wait_ready()
        figures = measure(system)
    write("added_time", figures)
    for name, value in figures.items():
        print(name, value)


if __name__ == "__main__":
    fire.Fire(main)
