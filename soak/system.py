"""The system under test: entries, their store, backend servers, and proxies."""

import itertools
import time
from pathlib import Path as FilePath

from attrs import define, field

from soak.accounts import (
    ACCOUNT_HEADER,
    CREDENTIAL_HEADER,
    MEMBERS,
    KeyHistory,
    UsedKey,
)
from soak.proxy import Proxy
from soak.record import Execution, Record, answer_body
from tests.fleet_processes import EntryProcess, EntryProcesses
from tests.fleet_system import (
    ScriptedInstance,
    answer,
    attempt_id_of,
    config,
    route,
)
from tests.scripted_server import ReceivedRequest
from tests.standins.row_store import RowStoreState, start_row_store

ZONES = ("zone-a", "zone-b")
# Service whose releases are rolled out; its servers are in no other fault.
ROLLED_SERVICE = "rolled"
LONG_ANSWER_BYTES = 3 << 20
WORK_S = 0.05
SLOW_WORK_S = 0.4


@define(eq=False)
class Server:
    """A backend server behind a proxy.

    Attributes
    ----------
    work_s : float
        Service time of each request, in seconds.
    loses_answers : bool
        Whether it runs requests and closes the connection without a response.
    """

    instance: ScriptedInstance
    proxy: Proxy
    work_s: float = WORK_S
    loses_answers: bool = False


@define(eq=False)
class SoakSystem:
    """Starts and stops all parts, and changes them on behalf of the faults."""

    folder: FilePath
    record: Record
    state: RowStoreState = field(init=False)
    store_address: str = field(init=False)
    entries: EntryProcesses = field(init=False)
    store_proxy_by_entry: dict[str, Proxy] = field(factory=dict)
    servers: list[Server] = field(factory=list)
    instance_by_id: dict[str, ScriptedInstance] = field(factory=dict)
    active_faults: list[str] = field(factory=list)
    version: int = 0
    configured_at: float = 0.0
    keys: KeyHistory = field(factory=KeyHistory)
    _server_numbers: "itertools.count[int]" = field(factory=lambda: itertools.count(1))

    def __attrs_post_init__(self) -> None:
        self.store_address, self.state = start_row_store()
        self.entries = EntryProcesses(self.folder)

    def start(self, entries: int, servers: int) -> None:
        """Start all parts and wait up to 60 s for each entry to accept requests."""
        self.change_configuration()
        for _ in range(servers):
            self.add_server()
        for number in range(1, entries + 1):
            proxy = Proxy(self.store_address)
            name = f"entry-{number}"
            self.store_proxy_by_entry[name] = proxy
            self.entries.launch(name, proxy.address, ZONES[number % len(ZONES)])
        for entry in self.entries.entries:
            self.wait_ready(entry, 60.0)

    def wait_ready(self, entry: EntryProcess, timeout_s: float) -> bool:
        """Wait until an entry accepts requests; return False after the timeout."""
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if entry.ready():
                return True
            time.sleep(0.05)
        return False

    def change_configuration(self) -> None:
        """Write the next version, whose marker route replaces that of the last one."""
        self.version += 1
        routes = {
            "safe": route("/safe/", "svc"),
            "long": route("/long/", "svc", kind="download"),
            "once": route("/once/", "svc", kind="non_idempotent"),
            "rolled": route("/rolled/", ROLLED_SERVICE),
            "mark": route(f"/v{self.version}/", "svc", public=True),
        }
        content = config(self.version, routes, "svc", ROLLED_SERVICE)
        content["tenants"] = self.keys.declaration(self.version)
        self.state.put_json("op", "config", content)
        self.configured_at = self.record.now()
        self.keys.configured_at_by_version[self.version] = self.configured_at

    def valid_key(self, account: str = MEMBERS) -> UsedKey:
        """Return a key that this version and the one before it declare."""
        return UsedKey(account, self.version - 1)

    def start_release(self, service: str, release: str, *, fails: bool) -> list[str]:
        """Start and register the backend servers of a release; return their ids."""
        ids = []
        for zone in ZONES:
            name = f"{service}-{release}-{zone}"
            instance = ScriptedInstance(name, service, None, zone, release=release)
            status = "500 Internal Server Error" if fails else "200 OK"
            instance.script = lambda received, status=status, instance=instance: (
                self._run_release(instance, received, status)
            )
            self.instance_by_id[name] = instance
            self.state.put_json("servers", name, instance.row())
            ids.append(name)
        return ids

    def stop_release(self, ids: list[str]) -> None:
        """End the backend servers of a release at once, without draining them."""
        for name in ids:
            self.state.put("servers", name, None)
            self.instance_by_id.pop(name).server.close()

    def _run_release(
        self, instance: ScriptedInstance, received: ReceivedRequest, status: str
    ) -> list[bytes]:
        self._record_run(instance, received)
        time.sleep(WORK_S)
        return [answer(received, answer_body(attempt_id_of(received)), status=status)]

    def add_server(self) -> Server:
        """Start a backend server and register it under its proxy's address."""
        number = next(self._server_numbers)
        name, zone = f"i-{number}", ZONES[number % len(ZONES)]
        instance = ScriptedInstance(name, "svc", None, zone)
        server = Server(instance, Proxy(instance.server.address))
        instance.script = lambda received: self._work(server, received)
        self.servers.append(server)
        self.register(server)
        return server

    def register(self, server: Server, state: str = "ready") -> None:
        """Write the row that registers a backend server in this state."""
        row = {**server.instance.row(state), "address": server.proxy.address}
        self.state.put_json("servers", server.instance.id, row)

    def remove_server(self, server: Server) -> None:
        """Delete a backend server's row and stop it at once, without draining it."""
        self.servers.remove(server)
        self.state.put("servers", server.instance.id, None)
        server.proxy.close()
        server.instance.server.close()

    def stop(self) -> None:
        """Stop all entries, proxies and backend servers."""
        self.entries.stop()
        for proxy in self.store_proxy_by_entry.values():
            proxy.close()
        for server in self.servers:
            server.proxy.close()
            server.instance.server.close()
        for instance in self.instance_by_id.values():
            instance.server.close()

    def _work(self, server: Server, received: ReceivedRequest) -> list[bytes]:
        request_id = attempt_id_of(received)
        if not received.target.startswith("/v"):
            self._record_run(server.instance, received)
        time.sleep(server.work_s)
        if server.loses_answers:
            return [b""]
        if received.target.startswith("/long/"):
            return [answer(received, bytes(LONG_ANSWER_BYTES))]
        return [answer(received, answer_body(request_id))]

    def _record_run(
        self, instance: ScriptedInstance, received: ReceivedRequest
    ) -> None:
        headers = received.headers
        run = Execution(
            attempt_id_of(received),
            instance.id,
            instance.zone,
            self.record.now(),
            headers.get(ACCOUNT_HEADER.lower(), ""),
        )
        self.record.add_execution(run)
        if CREDENTIAL_HEADER.lower() in headers:
            self.record.add_broken_promise("key passed on", run.id)
