"""A server that answers each request with the bytes that a test chose."""

import contextlib
import socket
import threading
import time
from collections.abc import Callable, Iterable

from attrs import define, field, frozen


@frozen
class ReceivedRequest:
    """A request as it arrived."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def attempt(self) -> str:
        """Return the id that the answer must echo."""
        return self.headers.get("dotterelpier-attempt", "")


HOST = "127.0.0.1"
Script = Callable[[ReceivedRequest], Iterable[bytes]]


@define
class ScriptedServer:
    """Sends what ``script`` yields; closes the connection after an empty piece.

    A request on a connection that was idle for longer than ``forgets_after_s`` gets no
    answer: the server has forgotten the connection without a sign.
    """

    script: Script
    received: list[ReceivedRequest] = field(factory=list)
    cancelled: list[str] = field(factory=list)
    drops_idle_after_s: float = float("inf")
    closed: threading.Semaphore = field(factory=lambda: threading.Semaphore(0))
    address: str = field(init=False)
    _listener: socket.socket = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._listener = socket.create_server((HOST, 0))
        self.address = f"{HOST}:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Accept no more connections."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve_and_close, args=(connection,), daemon=True
            ).start()

    def _serve_and_close(self, connection: socket.socket) -> None:
        self._serve(connection)
        self.closed.release()

    def _serve(self, connection: socket.socket) -> None:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with connection, connection.makefile("rb") as stream:
            idle_since = time.monotonic()
            while (request := _read_request(stream)) is not None:
                if time.monotonic() - idle_since > self.drops_idle_after_s:
                    return
                for piece in self._answer(request):
                    if not piece:
                        return
                    try:
                        connection.sendall(piece)
                    except OSError:
                        return
                idle_since = time.monotonic()

    def _answer(self, request: ReceivedRequest) -> Iterable[bytes]:
        if request.method == "DELETE" and request.target.startswith("/attempts/"):
            self.cancelled.append(request.target.rpartition("/")[2])
            return (b"HTTP/1.1 204 No Content\r\n\r\n",)
        self.received.append(request)
        return self.script(request)


def _read_request(stream) -> ReceivedRequest | None:
    try:
        method, target, _ = stream.readline().decode().split()
        headers = {}
        while line := stream.readline().strip():
            name, _, value = line.decode("latin-1").partition(":")
            headers[name.lower()] = value.strip()
        body = stream.read(int(headers.get("content-length", 0)))
    except (OSError, ValueError):
        return None
    return ReceivedRequest(method, target, headers, body)


def head(request: ReceivedRequest, *lines: str, status: str = "200 OK") -> bytes:
    """Return the head of an answer that echoes the attempt's id."""
    first = f"HTTP/1.1 {status}"
    echo = f"Dotterelpier-Attempt: {request.attempt}"
    return "\r\n".join((first, echo, *lines, "", "")).encode("latin-1")


def whole_answer(request: ReceivedRequest, body: bytes) -> bytes:
    """Return a whole, correct answer."""
    return head(request, f"Content-Length: {len(body)}") + body
