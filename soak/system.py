"""The system under the soak: entries, their store, backend servers, and proxies."""

import itertools
import time
from pathlib import Path as FilePath

from attrs import define, field

from soak.proxy import Proxy
from soak.record import Execution, Record, answer_body
from tests.fleet_processes import EntryProcess, EntryProcesses
from tests.fleet_system import ScriptedInstance, answer, attempt_id_of, config, route
from tests.scripted_server import ReceivedRequest
from tests.standins.row_store import RowStoreState, start_row_store

ZONES = ("zone-a", "zone-b")
WORK_S = 0.05
SLOW_WORK_S = 0.4


@define(eq=False)
class Server:
    """A backend server behind a proxy."""

    instance: ScriptedInstance
    proxy: Proxy
    work_s: float = WORK_S
    loses_answers: bool = False


@define(eq=False)
class SoakSystem:
    """All parts, started and ended here."""

    folder: FilePath
    record: Record
    state: RowStoreState = field(init=False)
    store_address: str = field(init=False)
    entries: EntryProcesses = field(init=False)
    store_proxy_by_entry: dict[str, Proxy] = field(factory=dict)
    servers: list[Server] = field(factory=list)
    active_faults: list[str] = field(factory=list)
    version: int = 0
    configured_at: float = 0.0
    _server_numbers: "itertools.count[int]" = field(factory=lambda: itertools.count(1))

    def __attrs_post_init__(self) -> None:
        self.store_address, self.state = start_row_store()
        self.entries = EntryProcesses(self.folder)

    def start(self, entries: int, servers: int) -> None:
        """Start all parts; return once every entry takes requests."""
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
        """Wait until an entry takes requests; False if that took too long."""
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if entry.ready():
                return True
            time.sleep(0.05)
        return False

    def change_configuration(self) -> None:
        """Put the next version in force; its own route comes, the last one's goes."""
        self.version += 1
        routes = {
            "safe": route("/safe/", "svc"),
            "once": route("/once/", "svc", kind="non_idempotent"),
            "mark": route(f"/v{self.version}/", "svc"),
        }
        content = config(self.version, routes, "svc")
        self.state.put_json("op", "config", content)
        self.configured_at = self.record.now()

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
        """Write the registration of a backend server."""
        row = {**server.instance.row(state), "address": server.proxy.address}
        self.state.put_json("servers", server.instance.id, row)

    def remove_server(self, server: Server) -> None:
        """End a backend server without a word."""
        self.servers.remove(server)
        self.state.put("servers", server.instance.id, None)
        server.proxy.close()
        server.instance.server.close()

    def stop(self) -> None:
        """End everything that was started here."""
        self.entries.stop()
        for proxy in self.store_proxy_by_entry.values():
            proxy.close()
        for server in self.servers:
            server.proxy.close()
            server.instance.server.close()

    def _work(self, server: Server, received: ReceivedRequest) -> list[bytes]:
        instance = server.instance
        request_id = attempt_id_of(received)
        if not received.target.startswith("/v"):
            run = Execution(request_id, instance.id, instance.zone, self.record.now())
            self.record.add_execution(run)
        time.sleep(server.work_s)
        if server.loses_answers:
            return [b""]
        return [answer(received, answer_body(request_id))]
