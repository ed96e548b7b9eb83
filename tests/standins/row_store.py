"""Stand-in for the platform's row store: reads, transactions and watches.

Tests inject faults through its state: while ``outage`` is set, every request gets 503;
after ``forget_history``, a watch from an older version gets 410. Responses to calls for
``silent_tables`` are lost, and their connections deliver nothing further. The next
``lost_writes`` transactions take effect, but their connections are closed unanswered.
"""

import base64
import json
import threading
import time
from typing import Any
from urllib.parse import parse_qs, urlsplit

from attrs import define, field

from tests.standins.http_handler import StandInHandler, StandInServer

PAGE_ROWS = 3


@define
class RowStoreState:
    """Rows, change history, fault switches and received requests of the store.

    Attributes
    ----------
    rows : dict
        Value and version by table and key.
    changes : list
        Table, key, value (None if deleted) and version of each change, oldest first.
    oldest_version : int
        Oldest version from which a watch can start.
    calls : list of str
        Path of each request, for reads and watches with the table.
    changed : threading.Condition
        Guards the rows and changes; notified at each change.
    """

    rows: dict[tuple[str, str], tuple[bytes, int]] = field(factory=dict)
    changes: list[tuple[str, str, bytes | None, int]] = field(factory=list)
    version: int = 0
    oldest_version: int = 0
    outage: bool = False
    silent_tables: set[str] = field(factory=set)
    lost_responses: int = 0
    lost_writes: int = 0
    calls: list[str] = field(factory=list)
    changed: threading.Condition = field(factory=threading.Condition)

    def put(self, table: str, key: str, value: bytes | None) -> int:
        """Write a row, or delete it if ``value`` is None; return the new version."""
        with self.changed:
            self.version += 1
            if value is None:
                self.rows.pop((table, key), None)
            else:
                self.rows[table, key] = (value, self.version)
            self.changes.append((table, key, value, self.version))
            self.changed.notify_all()
            return self.version

    def put_json(self, table: str, key: str, value: Any) -> int:
        """Write a row whose value is JSON; return the new version."""
        return self.put(table, key, json.dumps(value).encode())

    def forget_history(self) -> None:
        """Discard all changes up to now, so that older watches get 410."""
        with self.changed:
            self.oldest_version = self.version
            self.changes.clear()

    def keys(self, table: str) -> set[str]:
        """Return the keys of all rows that the table has now."""
        return {key for name, key in self.rows if name == table}


def now_ms() -> int:
    """Return the steady clock of the store in milliseconds."""
    return int(time.monotonic() * 1000)


def _encode_row(
    table: str, key: str, value: bytes | None, version: int
) -> dict[str, Any]:
    row: dict[str, Any] = {"table": table, "part": "", "key": key, "ver": version}
    if value is None:
        row["tombstone"] = True
    else:
        row["value"] = base64.b64encode(value).decode()
    return row


def make_handler(state: RowStoreState) -> type[StandInHandler]:
    """Return a handler class that serves and changes this state."""

    class Handler(StandInHandler):
        table: str | None = None

        def answer_json(self, status: int, value: Any) -> None:
            if self.table not in state.silent_tables:
                super().answer_json(status, value)
                return
            state.lost_responses += 1
            self.close_connection = True
            while self.connection.recv(65536):
                pass

        def do_GET(self) -> None:  # noqa: N802
            parts = urlsplit(self.path)
            query = {key: item[0] for key, item in parse_qs(parts.query).items()}
            state.calls.append(f"{parts.path} {query.get('table')}")
            self.table = query.get("table")
            if state.outage:
                self.answer_json(503, {"error": "outage"})
            elif parts.path == "/rows-get":
                self._read(query)
            else:
                self._watch(query)

        def do_POST(self) -> None:  # noqa: N802
            body = json.loads(self.read_body())
            self.table = None
            state.calls.append("/rows-tx")
            if state.outage:
                self.answer_json(503, {"error": "outage"})
                return
            with state.changed:
                conflict = any(
                    state.rows.get((row["table"], row["key"]), (b"", 0))[1]
                    != row["ver"]
                    for row in body["expect"]
                )
                if not conflict:
                    self._write(body)
                reply = {"ver": state.version, "nowMs": now_ms()}
            if state.lost_writes and not conflict:
                state.lost_writes -= 1
                self.close_connection = True
            else:
                self.answer_json(412 if conflict else 200, {"rows": [], **reply})

        def _write(self, body: dict[str, Any]) -> None:
            for row in body["writes"]:
                state.put(row["table"], row["key"], base64.b64decode(row["value"]))
            for row in body["deletes"]:
                state.put(row["table"], row["key"], None)

        def _read(self, query: dict[str, str]) -> None:
            with state.changed:
                rows = [
                    _encode_row(table, key, value, version)
                    for (table, key), (value, version) in sorted(state.rows.items())
                    if table == query["table"] and key >= query.get("from", "")
                ]
                reply = {
                    "rows": rows[:PAGE_ROWS],
                    "hasMore": len(rows) > PAGE_ROWS,
                    "ver": state.version,
                    "nowMs": now_ms(),
                }
            self.answer_json(200, reply)

        def _watch(self, query: dict[str, str]) -> None:
            after = int(query["after"])
            deadline = time.monotonic() + int(query["waitMs"]) / 1000
            with state.changed:
                while True:
                    if after < state.oldest_version:
                        break
                    rows = [
                        _encode_row(*change)
                        for change in state.changes
                        if change[0] == query["table"] and change[3] > after
                    ]
                    remaining_s = deadline - time.monotonic()
                    if rows or remaining_s <= 0:
                        break
                    state.changed.wait(remaining_s)
                history_lost, version = after < state.oldest_version, state.version
            if history_lost:
                self.answer_json(410, {"error": "history"})
            else:
                reply = {"rows": rows, "ver": version, "nowMs": now_ms()}
                self.answer_json(200, reply)

    return Handler


def start_row_store(host: str = "127.0.0.1") -> tuple[str, RowStoreState]:
    """Serve on a free port in a daemon thread; return the address and the state."""
    state = RowStoreState()
    server = StandInServer((host, 0), make_handler(state))
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return f"{host}:{server.server_address[1]}", state
