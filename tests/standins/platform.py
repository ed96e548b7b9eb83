"""Stand-in for the platform: table, object store, list of VMs.

Run with ``python -m tests.standins.platform --address IP:port``. ``POST /faults``
takes JSON: ``outage`` (bool), ``slow_s`` (float), ``lose_replies`` (int, replies of
writes to lose after they took effect). ``PUT /v1/vms`` replaces the list of VMs.
"""

import itertools
import json
import threading
import time
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

import fire
from attrs import define, field

from tests.standins.http_handler import StandInHandler, StandInServer


@define
class PlatformState:
    """All rows, objects and switches."""

    row_by_key: dict[str, tuple[str, str]] = field(factory=dict)
    object_by_name: dict[str, bytes] = field(factory=dict)
    vms: list[dict[str, str]] = field(factory=list)
    outage: bool = False
    slow_s: float = 0.0
    lose_replies: int = 0
    reads: int = 0
    writes: int = 0
    lock: threading.Lock = field(factory=threading.Lock)
    _versions: "itertools.count[int]" = field(factory=lambda: itertools.count(1))

    def commit(self, writes: list[dict[str, Any]]) -> list[str] | None:
        """Apply all writes and return their versions, None on a conflict."""
        with self.lock:
            self.writes += 1
            for write in writes:
                version = self.row_by_key.get(write["key"], ("", ""))[0]
                if write["expected"] is not None and write["expected"] != version:
                    return None
            return [self._put(write) for write in writes]

    def _put(self, write: dict[str, Any]) -> str:
        version = f'"{next(self._versions)}"'
        if write["value"] is None:
            self.row_by_key.pop(write["key"], None)
        else:
            self.row_by_key[write["key"]] = (version, write["value"])
        return version


def make_handler(state: PlatformState) -> type[StandInHandler]:
    """Return a handler class bound to a state."""

    class Handler(StandInHandler):
        def do_GET(self) -> None:  # noqa: N802
            parts = urlsplit(self.path)
            if parts.path == "/state":
                self.answer_json(200, {"reads": state.reads, "writes": state.writes})
            elif not self._inject_fault():
                state.reads += 1
                self._get(parts.path, parse_qs(parts.query))

        def do_PUT(self) -> None:  # noqa: N802
            body = self.read_body()
            if self.path == "/v1/vms":
                state.vms = json.loads(body)["vms"]
                self.answer_json(200, {})
            elif not self._inject_fault():
                state.object_by_name[unquote(self.path.rpartition("/")[2])] = body
                self.answer_json(200, {})

        def do_POST(self) -> None:  # noqa: N802
            body = json.loads(self.read_body())
            if self.path == "/faults":
                for name, value in body.items():
                    setattr(state, name, value)
                self.answer_json(200, {})
                return
            if self._inject_fault():
                return
            versions = state.commit(body["writes"])
            if state.lose_replies > 0:
                state.lose_replies -= 1
                self.close_connection = True
            elif versions is None:
                self.answer_json(412, {"error": "precondition failed"})
            else:
                self.answer_json(200, {"versions": versions})

        def _inject_fault(self) -> bool:
            if state.slow_s:
                time.sleep(state.slow_s)
            if state.outage:
                self.answer_json(503, {"error": "outage"})
            return state.outage

        def _get(self, path: str, query: dict[str, list[str]]) -> None:
            if path == "/v1/vms":
                self.answer_json(200, {"vms": state.vms})
            elif path == "/v1/rows":
                self._scan(query["prefix"][0])
            elif path.startswith("/v1/rows/"):
                self._read(unquote(path.rpartition("/")[2]))
            else:
                content = state.object_by_name.get(unquote(path.rpartition("/")[2]))
                self.answer(404 if content is None else 200, content or b"")

        def _scan(self, prefix: str) -> None:
            with state.lock:
                rows = [
                    {"key": key, "version": version, "value": value}
                    for key, (version, value) in sorted(state.row_by_key.items())
                    if key.startswith(prefix)
                ]
            self.answer_json(200, {"rows": rows})

        def _read(self, key: str) -> None:
            row = state.row_by_key.get(key)
            if row is None:
                self.answer(404)
            elif self.headers.get("If-None-Match") == row[0]:
                self.answer(304, headers={"ETag": row[0]})
            else:
                self.answer(200, row[1].encode(), {"ETag": row[0]})

    return Handler


def make_platform(host: str, port: int) -> tuple[StandInServer, PlatformState]:
    """Return a server that is listening but not yet serving, and its state."""
    state = PlatformState()
    return StandInServer((host, port), make_handler(state)), state


def main(address: str = "127.0.0.1:9100") -> None:
    """Serve until killed."""
    host, _, port = address.rpartition(":")
    server, _ = make_platform(host, int(port))
    server.serve_forever()


if __name__ == "__main__":
    fire.Fire(main)
