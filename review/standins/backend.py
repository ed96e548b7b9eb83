"""Stand-in for a backend server, after the page of the platform."""

import socket
import threading
import time

HEALTH_PATH = "/health"


class Backend:
    """A backend server with slots, a short queue and health checks.

    ``serve`` may be replaced: it gets the connection and the request, and writes the
    answer; it returns whether the connection stays open.
    """

    def __init__(
        self,
        record,
        name,
        service,
        zone,
        slots=4,
        work_s=0.05,
        host="127.0.0.1",
        cold_s=0.0,
    ):
        self.record, self.id, self.service, self.zone = record, name, service, zone
        self.slots, self.work_s = slots, work_s
        self.draining = False
        self.stopped = False
        self.serve = self.answer
        self.arrivals: list[tuple[float, str]] = []
        self._running = 0
        self._lock = threading.Lock()
        self._free = threading.Semaphore(slots)
        self._connections: set[socket.socket] = set()
        self.born_ms = int(time.time() * 1000)
        self._cold_until = time.monotonic() + cold_s
        self._listener = socket.create_server((host, 0), backlog=512)
        self.address = "%s:%d" % self._listener.getsockname()[:2]
        threading.Thread(target=self._accept, daemon=True).start()

    def cold_ms(self) -> int:
        """Return for how many milliseconds the backend server is still cold."""
        return max(0, int((self._cold_until - time.monotonic()) * 1000))

    def row(self, state: str = "ready") -> dict:
        """Return what the backend server writes to its row of the store."""
        return {
            "address": self.address,
            "serverInfo": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": self.slots,
            },
            "status": {
                "state": state,
                "sequence": 1,
                "coldRemainingMs": self.cold_ms(),
            },
            "born": self.born_ms,
        }

    def exit(self) -> None:
        """End as a process does: the port closes, and all connections with it."""
        self.stopped = True
        self.record.write("backend-exits", backend=self.id)
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for connection in tuple(self._connections):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._talk, args=(connection,), daemon=True).start()

    def _talk(self, connection: socket.socket) -> None:
        self._connections.add(connection)
        try:
            reader = connection.makefile("rb")
            while (request := read_request(reader)) is not None:
                if not self._handle(connection, request):
                    return
        except OSError:
            pass
        finally:
            self._connections.discard(connection)
            connection.close()

    def load(self) -> str:
        """Return the value of the load header."""
        running = self._running
        return f"{min(running, self.slots)},{max(0, running - self.slots)},{self.slots},100"

    def _handle(self, connection: socket.socket, request: "Request") -> bool:
        if request.target == HEALTH_PATH:
            status = "503 Service Unavailable" if self.draining else "200 OK"
            lines = [
                f"HTTP/1.1 {status}",
                f"X-Dotterelpier-Instance-Id: {self.id}",
                f"X-Dotterelpier-Server-Load: {self.load()}",
                f"X-Dotterelpier-Cold-Remaining-Ms: {self.cold_ms()}",
                "Content-Length: 0",
            ]
            connection.sendall("\r\n".join((*lines, "", "")).encode())
            return True
        expected = request.headers.get("x-dotterelpier-expected-instance")
        if expected not in (None, self.id):
            lines = [
                "HTTP/1.1 421 Misdirected Request",
                f"X-Dotterelpier-Attempt-Id: {request.attempt}",
                f"X-Dotterelpier-Instance-Id: {self.id}",
                "Content-Length: 0",
            ]
            connection.sendall("\r\n".join((*lines, "", "")).encode())
            return True
        at = self.record.write("arrives", request=request.attempt, backend=self.id)
        self.arrivals.append((at, request.attempt))
        with self._lock:
            self._running += 1
        try:
            with self._free:
                return self.serve(connection, request)
        finally:
            with self._lock:
                self._running -= 1

    def head(self, request: "Request", *lines: str, status: str = "200 OK") -> bytes:
        """Return the head of an answer."""
        every = (
            f"HTTP/1.1 {status}",
            f"X-Dotterelpier-Attempt-Id: {request.attempt}",
            f"X-Dotterelpier-Server-Signature: {self.id}.{request.attempt}",
            f"X-Dotterelpier-Server-Load: {self.load()}",
            *lines,
        )
        return "\r\n".join((*every, "", "")).encode()

    def answer(self, connection: socket.socket, request: "Request") -> bool:
        """Work, and answer completely."""
        time.sleep(self.work_s)
        body = f"{self.id} ran {request.attempt}\n".encode()
        connection.sendall(self.head(request, f"Content-Length: {len(body)}") + body)
        return True


class Request:
    """A request as it was read from a connection."""

    def __init__(self, method, target, headers, body) -> None:
        self.method, self.target, self.headers, self.body = (
            method,
            target,
            headers,
            body,
        )

    @property
    def attempt(self) -> str:
        """Return the id of the client's attempt."""
        return self.headers.get("x-dotterelpier-attempt-id", "")


def read_request(reader) -> Request | None:
    """Return the next request of a connection, None at its end."""
    first = reader.readline()
    if not first:
        return None
    method, target, _ = first.decode().split(" ", 2)
    headers = {}
    while (line := reader.readline()) not in (b"\r\n", b""):
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    body = reader.read(int(headers.get("content-length", 0)))
    return Request(method, target, headers, body)
