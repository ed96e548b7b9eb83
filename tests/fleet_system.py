"""Runs an entry of a fleet in this process with a fake store and backend servers."""

import itertools
import os
import socket
from collections.abc import Iterable
from typing import Any

from attrs import define, field

from dotterelpier.fleet_entry import make_fleet_entry
from dotterelpier.fleet_settings import (
    BoundSettings,
    FleetEntrySettings,
    FleetSettings,
    PeerSettings,
    StoreSettings,
)
from dotterelpier.kernel import Kernel
from tests.scripted_server import ReceivedRequest, ScriptedServer
from tests.standins.row_store import RowStoreState, start_row_store
from tests.utils import Reply, request, wait_until

HOST = "shop.example"
ATTEMPT_ID_HEADER = "X-Dotterelpier-Attempt-Id"
SIGNATURE_HEADER = "X-Dotterelpier-Server-Signature"
NOT_EXECUTED_LINE = "X-Dotterelpier-Not-Executed: 1"
ZONE = "zone-a"
# Second number of the loopback addresses on which this process listens.
PROCESS_NET = 200
_ports = itertools.count(10_000)


def free_address() -> str:
    """Return a loopback address on which nothing listens.

    Each process uses its own host and returns each port once. The ports are below the
    range from which the operating system assigns ports to outgoing connections.
    """
    host = f"127.{PROCESS_NET}.{os.getpid() // 250 % 250}.{1 + os.getpid() % 250}"
    while True:
        port = next(_ports)
        try:
            socket.create_server((host, port)).close()
        except OSError:
            # An earlier process with the same host may still listen.
            continue
        return f"{host}:{port}"


def attempt_id_of(request: ReceivedRequest) -> str:
    """Return the attempt id in the headers of a request."""
    return request.headers[ATTEMPT_ID_HEADER.lower()]


def answer(
    request: ReceivedRequest, body: bytes, *lines: str, status: str = "200 OK"
) -> bytes:
    """Return a complete signed answer to a request."""
    first = (
        f"HTTP/1.1 {status}",
        f"{ATTEMPT_ID_HEADER}: {attempt_id_of(request)}",
        f"{SIGNATURE_HEADER}: signed",
        f"Content-Length: {len(body)}",
        *lines,
    )
    return "\r\n".join((*first, "", "")).encode() + body


def refusal(
    request: ReceivedRequest, status: str = "503 Service Unavailable", *lines: str
) -> bytes:
    """Return an answer that states that the request was not executed."""
    first = (
        f"HTTP/1.1 {status}",
        f"{ATTEMPT_ID_HEADER}: {attempt_id_of(request)}",
        NOT_EXECUTED_LINE,
        "Content-Length: 0",
    )
    return "\r\n".join((*first, *lines, "", "")).encode()


@define(eq=False)
class ScriptedInstance:
    """A backend server that answers by a script; its health checks succeed."""

    id: str
    service: str
    script: Any
    zone: str = ZONE
    load: str = "0,0,4,100"
    cold_ms: int = 0
    release: str = "v1"
    runs: list[ReceivedRequest] = field(factory=list)
    server: ScriptedServer = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.server = ScriptedServer(self._answer)

    def _answer(self, received: ReceivedRequest) -> Iterable[bytes]:
        if received.target == "/health":
            lines = [
                "HTTP/1.1 200 OK",
                f"X-Dotterelpier-Instance-Id: {self.id}",
                f"X-Dotterelpier-Server-Load: {self.load}",
                "Content-Length: 0",
            ]
            if self.cold_ms:
                lines.append(f"X-Dotterelpier-Cold-Remaining-Ms: {self.cold_ms}")
            return ["\r\n".join((*lines, "", "")).encode()]
        expected = received.headers["x-dotterelpier-expected-instance"]
        if expected != self.id:
            return [refusal(received, "421 Misdirected Request")]
        self.runs.append(received)
        return self.script(received)

    def row(
        self, state: str = "ready", report: int = 1, started_at_ms: int = 1
    ) -> dict[str, Any]:
        """Return the row of a report that the backend server writes to the registry."""
        return {
            "address": self.server.address,
            "serverInfo": {
                "service": self.service,
                "version": self.release,
                "zone": self.zone,
                "slots": 4,
            },
            "status": {
                "state": state,
                "sequence": report,
                "coldRemainingMs": self.cold_ms,
            },
            "born": started_at_ms,
        }


def route(prefix: str, service: str, **options: Any) -> dict[str, Any]:
    """Return a route as operators write it to the store."""
    return {
        "hostname": HOST,
        "prefix": prefix,
        "kind": "idempotent",
        "timeoutMs": 2000,
        "targetLatencyMs": 400,
        "priority": 1,
        "maxAttempts": 2,
        "service": service,
        **options,
    }


def service(**options: Any) -> dict[str, Any]:
    """Return a service as operators write it to the store."""
    return {
        "healthCheckPath": "/health",
        "maxConnections": 100,
        "protocol": "h1",
        "tls": False,
        "warmupS": 3.0,
        "warmupPerS": 5.0,
        **options,
    }


def config(version: int, routes: dict[str, Any], *services: str) -> dict[str, Any]:
    """Return a configuration as operators write it to the store."""
    return {
        "version": f"{version:08x}",
        "routes": routes,
        "services": {name: service() for name in services},
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 1 << 20,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


@define(eq=False)
class FleetSystem:
    """An entry and the store that it uses."""

    store: RowStoreState
    store_address: str
    settings: FleetSettings
    # Its repr would follow every reference among the services, which takes minutes.
    kernel: Kernel = field(repr=False)
    _ids: "itertools.count[int]" = field(factory=itertools.count)

    def apply(self, version: int, routes: dict[str, Any], *services: str) -> None:
        """Write a configuration to the store."""
        self.store.put_json("op", "config", config(version, routes, *services))

    def register(self, *instances: ScriptedInstance) -> None:
        """Write the rows of backend servers to the registry."""
        for instance in instances:
            self.store.put_json("servers", instance.id, instance.row())

    def send(
        self,
        target: str,
        method: str = "GET",
        body: bytes | None = None,
        **headers: str,
    ) -> Reply:
        """Send a request to the entry as a client does.

        ``headers`` are added; an underscore in a name stands for a hyphen.
        """
        sent_headers = {
            "Host": HOST,
            ATTEMPT_ID_HEADER: f"try-{next(self._ids)}",
            "X-Dotterelpier-Deadline-Ms": "3000",
        }
        sent_headers.update(
            {name.replace("_", "-"): item for name, item in headers.items()}
        )
        return request(
            self.settings.entry.caller_address, method, target, body, sent_headers
        )

    def wait_until_served(self, target: str) -> None:
        """Wait until a request to a path succeeds."""
        wait_until(lambda: self.send(target).status == 200, f"{target} is served")

    def stop(self) -> None:
        """Stop the services of the entry without a planned stop."""
        self.kernel.stop()


def start_fleet_system(**bounds: Any) -> FleetSystem:
    """Start an entry with an empty store; ``bounds`` override its limits."""
    address, state = start_row_store()
    return _start_entry("entry-1", address, state, BoundSettings(**bounds))


def start_another_entry(
    system: FleetSystem, name: str, seeds: tuple[str, ...] = ()
) -> FleetSystem:
    """Start an entry of the same fleet and zone."""
    bounds = system.settings.bounds
    return _start_entry(name, system.store_address, system.store, bounds, seeds)


def _start_entry(
    name: str,
    store_address: str,
    state: RowStoreState,
    bounds: BoundSettings,
    seeds: tuple[str, ...] = (),
) -> FleetSystem:
    entry = FleetEntrySettings(name, ZONE, *(free_address() for _ in range(5)))
    store = StoreSettings(store_address)
    settings = FleetSettings(entry, store, bounds, peers=PeerSettings(seeds))
    kernel = make_fleet_entry(settings)
    kernel.start()
    return FleetSystem(state, store_address, settings, kernel)
