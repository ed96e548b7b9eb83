"""Stand-in for the platform's store: rows, transactions and watches over HTTP."""

import base64
import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

READ_ONLY_TABLES = ("op", "servers")
PAGE_ROWS = 500


class Store:
    """Rows with versions from one counter, and the history of all changes."""

    def __init__(self, host="127.0.0.1"):
        self.rows = {}
        self.history = []
        self.version = 0
        self.changed = threading.Condition()
        handler = type("Handler", (StoreHandler,), {"store": self})
        self.server = Server((host, 0), handler)
        self.address = "%s:%d" % self.server.server_address
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def put(self, table, key, value):
        """Write a row, delete it if the value is None; return the new version."""
        with self.changed:
            self.version += 1
            self._apply(table, key, value)
            self.changed.notify_all()
            return self.version

    def put_json(self, table, key, value):
        """Write a row whose value is JSON."""
        return self.put(table, key, json.dumps(value).encode())

    def commit(self, body):
        """Apply a transaction; return whether its conditions held."""
        with self.changed:
            for row in body.get("expect", ()):
                key = row["table"], row["key"]
                if self.rows.get(key, (None, 0))[1] != row["ver"]:
                    return False
            self.version += 1
            for row in body.get("writes", ()):
                value = base64.b64decode(row["value"])
                self._apply(row["table"], row["key"], value)
            for row in body.get("deletes", ()):
                self._apply(row["table"], row["key"], None)
            self.changed.notify_all()
            return True

    def _apply(self, table, key, value):
        if value is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[table, key] = (value, self.version)
        self.history.append((table, key, value, self.version))

    def keys(self, table):
        """Return the keys of a table."""
        with self.changed:
            return {key for name, key in self.rows if name == table}

    def stop(self):
        """Stop listening."""
        self.server.shutdown()
        self.server.server_close()


class Server(ThreadingHTTPServer):
    """HTTP server with a daemon thread for each connection."""

    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        """Ignore connections that break off."""


def encode(table, key, value, version):
    """Return a row as the store sends it."""
    row = {"table": table, "part": "", "key": key, "ver": version}
    if value is None:
        return {**row, "tombstone": True}
    return {**row, "value": base64.b64encode(value).decode()}


class StoreHandler(BaseHTTPRequestHandler):
    """Serves the calls of the store."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1
    store = None

    def log_message(self, format, *args):
        """Write no access log."""

    def do_GET(self):
        parts = urlsplit(self.path)
        query = {key: item[0] for key, item in parse_qs(parts.query).items()}
        if parts.path == "/rows-get":
            self._get(query)
        elif parts.path == "/rows-feed":
            self._feed(query)
        else:
            self._answer(404, {})

    def do_POST(self):
        body = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
        changes = [*body.get("writes", ()), *body.get("deletes", ())]
        if any(row["table"] in READ_ONLY_TABLES for row in changes):
            self._answer(403, {})
            return
        held = self.store.commit(body)
        self._answer(200 if held else 412, {"rows": []})

    def _get(self, query):
        store = self.store
        low, high = query.get("from", ""), query.get("target", "\U0010ffff")
        limit = min(PAGE_ROWS, int(query.get("limit", PAGE_ROWS)))
        with store.changed:
            rows = [
                encode(table, key, value, version)
                for (table, key), (value, version) in sorted(store.rows.items())
                if table == query["table"] and low <= key < high
            ]
            version = store.version
        more = len(rows) > limit
        self._answer(200, {"rows": rows[:limit], "hasMore": more}, version)

    def _feed(self, query):
        store, after = self.store, int(query["after"])
        deadline = time.monotonic() + min(30.0, int(query["waitMs"]) / 1000)
        with store.changed:
            while True:
                rows = [
                    encode(*change)
                    for change in store.history
                    if change[0] == query["table"] and change[3] > after
                ]
                left = deadline - time.monotonic()
                if rows or left <= 0:
                    break
                store.changed.wait(left)
            version = store.version
        self._answer(200, {"rows": rows}, version)

    def _answer(self, status, value, version=None):
        value["ver"] = self.store.version if version is None else version
        value["nowMs"] = int(time.monotonic() * 1000)
        body = json.dumps(value).encode()
        self.send_response_only(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)
        self.wfile.flush()
