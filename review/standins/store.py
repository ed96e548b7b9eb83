"""Stand-in for the platform's row store, after the page of the platform.

Each entry gets a port of its own, so that faults can be limited to some machines.
"""

import base64
import json
import socket
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

MAX_PAGE_ROWS = 500


class Store:
    """Rows, their history, and a port for each machine."""

    def __init__(self, record) -> None:
        self.record = record
        self.changed = threading.Condition()
        self.version = 0
        self.row_by_key: dict[tuple[str, str], tuple[bytes, int]] = {}
        self.changes: list[tuple[str, str, bytes | None, int]] = []
        # Machines that the store gives no response at present.
        self.silent: set[str] = set()
        # Machines with a read of the feed in progress, by table.
        self.feeds: dict[str, list[str]] = {}
        self._servers: list[ThreadingHTTPServer] = []

    def put(self, table: str, key: str, value: object) -> float:
        """Write a row as operators and backend servers do; return when it was acked."""
        with self.changed:
            self._write(table, key, json.dumps(value).encode())
            return self.record.write("store-acked", table=table, key=key)

    def delete(self, table: str, key: str) -> float:
        """Remove a row; return when this was acked."""
        with self.changed:
            self._write(table, key, None)
            return self.record.write("store-acked", table=table, key=key, gone=1)

    def _write(self, table: str, key: str, value: bytes | None) -> None:
        self.version += 1
        if value is None:
            self.row_by_key.pop((table, key), None)
        else:
            self.row_by_key[table, key] = (value, self.version)
        self.changes.append((table, key, value, self.version))
        self.changed.notify_all()

    def keys(self, table: str) -> set[str]:
        """Return the keys of a table."""
        with self.changed:
            return {key for name, key in self.row_by_key if name == table}

    def watchers(self, table: str) -> list[str]:
        """Return the machines whose read of the feed of a table is in progress."""
        with self.changed:
            return sorted(set(self.feeds.get(table, [])))

    def open_port(self, machine: str) -> str:
        """Serve one machine on a free port; return the address."""
        server = _Server(("127.0.0.1", 0), _make_handler(self, machine))
        self._servers.append(server)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        return f"127.0.0.1:{server.server_address[1]}"


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 512

    def handle_error(self, request, client_address) -> None:
        """Ignore errors of connections."""


def _row(table: str, key: str, value: bytes | None, version: int) -> dict:
    row = {"table": table, "part": "", "key": key, "ver": version}
    if value is None:
        row["tombstone"] = True
    else:
        row["value"] = base64.b64encode(value).decode()
    return row


def _make_handler(store: Store, machine: str):
    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        wbufsize = -1

        def setup(self) -> None:
            super().setup()
            self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

        def log_message(self, *args) -> None:
            """Write no access log."""

        def _answer(self, status: int, value: dict) -> None:
            if machine in store.silent:
                # A connection on which a response is lost delivers nothing further.
                store.record.write(
                    "store-silent", machine=machine, path=self.path.split("&waitMs")[0]
                )
                while True:
                    if not self.connection.recv(65536):
                        raise ConnectionError
            body = json.dumps(value).encode()
            self.send_response_only(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)
            self.wfile.flush()

        def do_GET(self) -> None:
            parts = urlsplit(self.path)
            query = {key: item[0] for key, item in parse_qs(parts.query).items()}
            if parts.path == "/rows-get":
                self._answer(200, self._read(query))
            else:
                self._answer(200, self._feed(query))

        def _read(self, query: dict) -> dict:
            with store.changed:
                rows = [
                    _row(table, key, value, version)
                    for (table, key), (value, version) in sorted(
                        store.row_by_key.items()
                    )
                    if table == query["table"] and key >= query.get("from", "")
                ]
                page = rows[:MAX_PAGE_ROWS]
                return {
                    "rows": page,
                    "hasMore": len(rows) > len(page),
                    "ver": store.version,
                    "nowMs": int(time.monotonic() * 1000),
                }

        def _feed(self, query: dict) -> dict:
            after, table = int(query["after"]), query["table"]
            until = time.monotonic() + int(query["waitMs"]) / 1000
            with store.changed:
                store.feeds.setdefault(table, []).append(machine)
                try:
                    while True:
                        rows = [
                            _row(*change)
                            for change in store.changes
                            if change[0] == table and change[3] > after
                        ]
                        left_s = until - time.monotonic()
                        if rows or left_s <= 0:
                            break
                        store.changed.wait(left_s)
                finally:
                    store.feeds[table].remove(machine)
                return {
                    "rows": rows,
                    "ver": store.version,
                    "nowMs": int(time.monotonic() * 1000),
                }

        def do_POST(self) -> None:
            body = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
            if machine in store.silent:
                self._answer(503, {})
            with store.changed:
                for row in body["expect"]:
                    current = store.row_by_key.get((row["table"], row["key"]), (b"", 0))
                    if current[1] != row["ver"]:
                        conflict = True
                        break
                else:
                    conflict = False
                    for row in body["writes"]:
                        value = base64.b64decode(row["value"])
                        store._write(row["table"], row["key"], value)
                    for row in body["deletes"]:
                        store._write(row["table"], row["key"], None)
                reply = {"ver": store.version, "nowMs": int(time.monotonic() * 1000)}
            self._answer(
                412 if conflict else 200, {"rows": [], **reply} if conflict else reply
            )

    return Handler
