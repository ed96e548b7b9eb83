"""Slopes from which docs/CAPACITY.md is worked out.

Run with ``python -m bench.slopes NAME``, or ``all`` to write
``bench/results/slopes.json``. Each slope is measured at three sizes or more and
fitted by least squares.
"""

import subprocess
import sys
import threading
import time
from collections.abc import Callable, Sequence
from typing import Any

import fire
import numpy

from bench.machine import MachineUse
from bench.run import write
from bench.sizes import make_members, manifest_text
from dotterelpier.clients.backends import make_backends
from dotterelpier.clients.peers import make_peers
from dotterelpier.frontends.peers import PeerServicer
from dotterelpier.kernel import Kernel, make_kernel
from dotterelpier.model.manifest import BackendServer, Revision
from dotterelpier.model.membership import (
    Assignment,
    Heartbeat,
    Home,
    Member,
    ServiceLoad,
)
from dotterelpier.protocols import ServiceName
from dotterelpier.services.clock import make_clock
from dotterelpier.services.placement import place
from dotterelpier.services.tasks import make_tasks
from dotterelpier.services.timer import make_timer
from dotterelpier.settings import LimitSettings
from dotterelpier.wire import peers as wire
from dotterelpier.wire import peers_pb2_grpc
from dotterelpier.wire.manifest_toml import read_manifest
from dotterelpier.wire.rows import encode_row
from tests.standins.backend import BackendState, make_handler, serve_in_thread
from tests.utils import NET, ROOT

SERVERS_SIZES = (34, 200, 850)
MEMBERS_BY_SERVERS = {34: 14, 200: 60, 850: 250}
SERVICES_SIZES = (3, 12, 37)
CONNECTION_SIZES = (50, 200, 400)
MEMBER_SIZES = (14, 60, 250)
HEARTBEATS = 300
PROBES = 200
REPEATS = 3


def fit_line(sizes: Sequence[float], values: Sequence[float]) -> dict[str, Any]:
    """Return points with their least-squares line."""
    slope, floor = numpy.polyfit(sizes, values, 1)
    return {
        "points": {str(size): value for size, value in zip(sizes, values, strict=True)},
        "slope": float(f"{slope:.4g}"),
        "floor": float(f"{floor:.4g}"),
    }


def min_cpu_s(function: Callable[[], object]) -> float:
    """Return the least processor time that this process needs, of a few tries."""
    best = float("inf")
    for _ in range(REPEATS):
        started = time.process_time()
        function()
        best = min(best, time.process_time() - started)
    return best


def rows() -> dict[str, Any]:
    """Bytes of the rows and of the manifest, by backend servers and members."""
    assignments = []
    for servers in SERVERS_SIZES:
        members = list(make_members(MEMBERS_BY_SERVERS[servers]))
        homes = {
            f"catalogue-{number:03}": Home(members[number % len(members)], 3)
            for number in range(servers)
        }
        assignments.append(len(encode_row(Assignment(7, homes))))
    member_bytes = [
        sum(len(encode_row(member)) for member in make_members(count).values())
        for count in MEMBER_SIZES
    ]
    manifests = [len(manifest_text(servers)) for servers in SERVERS_SIZES]
    return {
        "assignment_row_bytes_by_servers": fit_line(SERVERS_SIZES, assignments),
        "member_rows_bytes_by_members": fit_line(MEMBER_SIZES, member_bytes),
        "manifest_bytes_by_servers": fit_line(SERVERS_SIZES, manifests),
    }


def heartbeats() -> dict[str, Any]:
    """Bytes and processor time of one exchange of heartbeats, by services."""
    sizes = []
    for services in SERVICES_SIZES:
        message = wire.encode_heartbeat(_heartbeat(services))
        sizes.append(len(message.SerializeToString()))
    times = [_beat_cpu_s(services) for services in SERVICES_SIZES]
    return {
        "heartbeat_bytes_by_services": fit_line(SERVICES_SIZES, sizes),
        "exchange_cpu_s_both_ends_by_services": fit_line(SERVICES_SIZES, times),
    }


def _heartbeat(services: int) -> Heartbeat:
    loads = {f"service-{number}": ServiceLoad(7, 96, 3) for number in range(services)}
    return Heartbeat("entry-7.00000007", 41, True, False, load_by_service=loads)


class _BeatServicer(PeerServicer):
    """Answers heartbeats with a fixed one."""

    def __init__(self, heartbeat: Heartbeat) -> None:
        self._heartbeat = heartbeat

    def Beat(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Decode the heartbeat and return the own one."""
        wire.decode_heartbeat(request)
        return wire.encode_heartbeat(self._heartbeat)


def _beat_cpu_s(services: int) -> float:
    from concurrent.futures import ThreadPoolExecutor

    import grpc

    heartbeat = _heartbeat(services)
    server = grpc.server(ThreadPoolExecutor(4))
    peers_pb2_grpc.add_PeersServicer_to_server(_BeatServicer(heartbeat), server)
    address = f"127.{NET}.3.1:8002"
    server.add_insecure_port(address)
    server.start()
    member = Member("entry-1", "north-1", "", "", address)
    client = make_peers("entry-7")
    client.beat(member, heartbeat)

    def beat() -> None:
        for _ in range(HEARTBEATS):
            client.beat(member, heartbeat)

    try:
        return min_cpu_s(beat) / HEARTBEATS
    finally:
        client.stop()  # type: ignore[attr-defined]
        server.stop(0).wait()


def placement() -> dict[str, Any]:
    """Processor time of choosing all homes, by backend servers times members."""
    products, times = [], []
    for servers in SERVERS_SIZES:
        declared = read_manifest(manifest_text(servers), "slopes")
        revision = Revision(1, "", "", "", declared)
        members = make_members(MEMBERS_BY_SERVERS[servers])
        products.append(servers * len(members))

        def choose() -> None:
            place(revision, members, Assignment(), lambda *_: True)  # noqa: B023

        times.append(min_cpu_s(choose))
    return {"placement_cpu_s_by_servers_times_members": fit_line(products, times)}


def manifest() -> dict[str, Any]:
    """Processor time of reading a manifest, by backend servers."""
    texts = [manifest_text(servers) for servers in SERVERS_SIZES]
    times = [
        min_cpu_s(lambda text=text: read_manifest(text, "slopes")) for text in texts
    ]
    return {"manifest_cpu_s_by_servers": fit_line(SERVERS_SIZES, times)}


def _client_kernel() -> Kernel:
    kernel = make_kernel()
    limits = LimitSettings()
    kernel.register(ServiceName.CLOCK, make_clock())
    kernel.register(ServiceName.TASKS, make_tasks(limits))
    kernel.register(ServiceName.TIMER, make_timer(kernel), (ServiceName.TASKS,))
    backends = make_backends(kernel, limits)
    kernel.register(ServiceName.BACKENDS, backends, (ServiceName.TIMER,))
    return kernel


def probes() -> dict[str, Any]:
    """Processor time of the prober for one probe, by probes."""
    address = f"127.{NET}.3.2:8080"
    server = BackendServer("one", "catalogue", address, "north-1")
    child = subprocess.Popen(
        [sys.executable, "-m", "bench.slopes", "serve-one", address], cwd=ROOT
    )
    kernel = _client_kernel()
    backends = kernel.find(ServiceName.BACKENDS, object)
    sizes, times = (PROBES, 2 * PROBES, 4 * PROBES), []
    try:
        time.sleep(2.0)
        for count in sizes:
            started = time.process_time()
            for _ in range(count):
                backends.probe(server, 1.0)  # type: ignore[attr-defined]
            times.append(time.process_time() - started)
    finally:
        child.kill()
        child.wait()
    return {"probe_cpu_s_by_probes": fit_line(sizes, times)}


def serve_one(address: str) -> None:
    """Serve one backend server until killed."""
    host, _, port = address.rpartition(":")
    state = BackendState(BackendServer("one", "catalogue", address, "north-1"))
    serve_in_thread(host, int(port), make_handler(state))
    threading.Event().wait()


def memory() -> dict[str, Any]:
    """Resident memory by threads that wait, members and backend servers."""
    return {
        "import_floor_bytes": _child_memory("import dotterelpier.entry"),
        "python_floor_bytes": _child_memory("pass"),
        "bytes_by_waiting_threads": fit_line(
            CONNECTION_SIZES, [_child_memory(_THREADS % n) for n in CONNECTION_SIZES]
        ),
        "bytes_by_members": fit_line(
            MEMBER_SIZES, [_child_memory(_MEMBERS % n) for n in MEMBER_SIZES]
        ),
        "bytes_by_servers": fit_line(
            SERVERS_SIZES, [_child_memory(_SERVERS % n) for n in SERVERS_SIZES]
        ),
    }


_THREADS = """
import dotterelpier.entry, threading
from concurrent.futures import ThreadPoolExecutor
from queue import SimpleQueue
for _ in range(%d):
    threading.Thread(target=SimpleQueue().get, daemon=True).start()
"""
_MEMBERS = """
import dotterelpier.entry
from bench.sizes import make_members
members = [make_members(%d) for _ in range(10)]
"""
_SERVERS = """
import dotterelpier.entry
from bench.sizes import manifest_text
from dotterelpier.wire.manifest_toml import read_manifest
manifest = read_manifest(manifest_text(%d), "slopes")
"""
_REPORT = """
import os
from bench.machine import resident_bytes
print(resident_bytes(os.getpid()))
os._exit(0)
"""


def _child_memory(code: str) -> int:
    done = subprocess.run(
        [
            sys.executable,
            "-c",
            code + _REPORT if "\n" in code else f"{code}\n{_REPORT}",
        ],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    )
    return int(done.stdout.split()[-1])


SLOPE_BY_NAME: dict[str, Callable[[], dict[str, Any]]] = {
    "rows": rows,
    "heartbeats": heartbeats,
    "placement": placement,
    "manifest": manifest,
    "probes": probes,
    "memory": memory,
}


def all_slopes() -> None:
    """Measure all slopes and write them."""
    use = MachineUse()
    figures: dict[str, Any] = {}
    for measure in SLOPE_BY_NAME.values():
        figures.update(measure())
    figures["machine_busy_share"] = round(use.busy_share(), 3)
    write("slopes", figures)


if __name__ == "__main__":
    fire.Fire({**SLOPE_BY_NAME, "all": all_slopes, "serve-one": serve_one})
