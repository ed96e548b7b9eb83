"""Stand-in for a backend server that registers itself in the store."""

import contextlib
import http
import select
import socket
import threading
import time
import uuid
from http.server import BaseHTTPRequestHandler

from standins2.store import Server

HEARTBEAT_S = 1.5


class Endpoint:
    """A backend server with a number of slots.

    ``seen`` holds the id and the time of each request that arrived, and whether it ran.
    ``runs`` holds the id, the begin and the end of each run, and whether it was done; a
    run ends when its connection is closed.
    """

    def __init__(self, store, service, zone, slots=4, queue=4, work_s=0.1, size=0):
        self.store = store
        self.id = "i-" + uuid.uuid4().hex[:10]
        self.service, self.zone, self.slots = service, zone, slots
        self.queue, self.work_s, self.size = queue, work_s, size
        # Every so many answers one breaks off halfway; 0 for none.
        self.breaks_off_every = 0
        self.answers = 0
        self.broken_off = []
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = self.waiting = 0
        self.leaving = False
        self.seen = []
        self.runs = []
        self.lock = threading.Condition()
        handler = type("Handler", (EndpointHandler,), {"endpoint": self})
        self.server = Server(("127.0.0.1", 0), handler)
        self.address = "%s:%d" % self.server.server_address
        self.ended = threading.Event()
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def row(self, state="ready"):
        """Return the next liveness report."""
        self.sequence += 1
        return {
            "address": self.address,
            "born": self.born,
            "serverInfo": {
                "service": self.service,
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
            },
            "status": {
                "state": state,
                "sequence": self.sequence,
                "coldRemainingMs": 0,
            },
        }

    def report(self, state="ready"):
        """Write a liveness report; its answer is the ack."""
        self.store.put_json("servers", self.id, self.row(state))

    def start(self):
        """Register, and report until it leaves."""
        self.report()
        threading.Thread(target=self._beat, daemon=True).start()

    def _beat(self):
        while not self.ended.wait(HEARTBEAT_S):
            if not self.leaving:
                self.report()

    def stop(self):
        """End the process."""
        self.ended.set()
        self.server.shutdown()
        self.server.server_close()


class EndpointHandler(BaseHTTPRequestHandler):
    """Serves requests and status checks."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1
    endpoint = None

    def log_message(self, format, *args):
        """Write no access log."""

    def do_GET(self):
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        if self.path == "/health":
            status = 503 if self.endpoint.leaving else 200
            headers = {"X-Dotterelpier-Instance-Id": self.endpoint.id}
            self._answer(status, b"", headers)
        else:
            self._serve()

    do_POST = do_DELETE = do_GET

    def _serve(self):
        endpoint, request = self.endpoint, self.headers["X-Dotterelpier-Attempt-Id"]
        expected = self.headers.get("X-Dotterelpier-Expected-Instance", endpoint.id)
        arrived_at = time.monotonic()
        if expected != endpoint.id:
            own = {"X-Dotterelpier-Instance-Id": endpoint.id}
            self._answer(421, b"", {**own, **self._echo()})
            return
        with endpoint.lock:
            full = endpoint.running >= endpoint.slots
            refused = full and endpoint.waiting >= endpoint.queue
            endpoint.seen.append((request, arrived_at, not refused))
            if not refused:
                endpoint.waiting += 1
                while endpoint.running >= endpoint.slots:
                    endpoint.lock.wait()
                endpoint.waiting -= 1
                endpoint.running += 1
        if refused:
            self._answer(503, b"", {"X-Dotterelpier-Not-Executed": "1", **self._echo()})
            return
        began_at = time.monotonic()
        done = self._work(began_at + endpoint.work_s)
        with endpoint.lock:
            endpoint.running -= 1
            endpoint.lock.notify()
            endpoint.runs.append((request, began_at, time.monotonic(), done))
        if not done:
            self.close_connection = True
            return
        signature = {"X-Dotterelpier-Server-Signature": f"{endpoint.id}.{request}"}
        body = f"{endpoint.id} {request}".encode()
        body += b"." * max(0, endpoint.size - len(body))
        with endpoint.lock:
            endpoint.answers += 1
            every = endpoint.breaks_off_every
            breaks_off = bool(every) and endpoint.answers % every == 0
            if breaks_off:
                endpoint.broken_off.append(request)
        self._answer(200, body, {**signature, **self._echo()}, breaks_off)

    def _work(self, until):
        """Work until a time; return False if the connection was closed meanwhile."""
        while (left_s := until - time.monotonic()) > 0:
            if select.select([self.connection], [], [], left_s)[0]:
                try:
                    if not self.connection.recv(1, socket.MSG_PEEK):
                        return False
                except OSError:
                    return False
                time.sleep(min(0.02, left_s))
        return True

    def _echo(self):
        return {"X-Dotterelpier-Attempt-Id": self.headers["X-Dotterelpier-Attempt-Id"]}

    def _answer(self, status, body, headers, breaks_off=False):
        endpoint = self.endpoint
        load = f"{endpoint.running},{endpoint.waiting},{endpoint.slots},100"
        headers = {**headers, "X-Dotterelpier-Server-Load": load}
        if endpoint.leaving:
            headers["Server-Leaving"] = "1"
            headers["Connection"] = "close"
            self.close_connection = True
        headers["Content-Length"] = str(len(body))
        phrase = http.HTTPStatus(status).phrase
        lines = [f"HTTP/1.1 {status} {phrase}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        content = "\r\n".join((*lines, "", "")).encode() + body
        if breaks_off:
            content = content[: -(len(body) // 2)]
            self.close_connection = True
        self._write(content)

    def _write(self, content):
        with contextlib.suppress(OSError):
            self.connection.sendall(content)
