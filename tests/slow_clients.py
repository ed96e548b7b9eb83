"""Clients that send slowly or do not read, and what they cost a process."""

import contextlib
import os
import resource
import socket
import threading
from pathlib import Path

from attrs import define, field

from dotterelpier.clients.http_connection import parse_address

SAMPLE_INTERVAL_S = 0.02
TRICKLE_INTERVAL_S = 0.1
CONNECT_TIMEOUT_S = 5.0
# The kernel takes a few megabytes for each connection whatever its client reads; with a
# small receive buffer it takes about three.
RECEIVE_BUFFER_BYTES = 4096


def limit_descriptors(pid: int, count: int) -> None:
    """Lower the descriptor limit of a process that was started by the test."""
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (count, count))


@define(eq=False)
class Watch:
    """Samples the resident memory and the open descriptors of a process.

    Attributes
    ----------
    bytes_max, descriptors_max : int
        Largest values since the start, 0 before the first sample.
    """

    _pid: int
    bytes_max: int = 0
    descriptors_max: int = 0
    _stopping: threading.Event = field(factory=threading.Event)

    def __enter__(self) -> "Watch":
        threading.Thread(target=self._sample, daemon=True).start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopping.set()

    def _sample(self) -> None:
        folder = Path(f"/proc/{self._pid}")
        with contextlib.suppress(OSError, ValueError):
            while not self._stopping.wait(SAMPLE_INTERVAL_S):
                status = (folder / "status").read_text()
                kilobytes = int(status.partition("VmRSS:")[2].split()[0])
                self.bytes_max = max(self.bytes_max, kilobytes * 1024)
                count = len(os.listdir(folder / "fd"))
                self.descriptors_max = max(self.descriptors_max, count)


@define(eq=False)
class Crowd:
    """Connections of clients that never read, opened again where they are closed."""

    _address: str
    _count: int
    _connections: list[socket.socket | None] = field(factory=list)
    _stopping: threading.Event = field(factory=threading.Event)

    def __enter__(self) -> "Crowd":
        self._connections = [self._connect() for _ in range(self._count)]
        return self

    def __exit__(self, *_: object) -> None:
        self._stopping.set()
        for connection in self._connections:
            if connection is not None:
                connection.close()

    def send(self, content: bytes) -> None:
        """Send bytes on each connection that is open and takes them."""
        for connection in self._connections:
            if connection is not None:
                with contextlib.suppress(OSError):
                    connection.send(content)

    def trickle(self, start: bytes, piece: bytes) -> None:
        """Send a start, then a piece at each interval, until the context ends."""
        self.send(start)
        threading.Thread(target=self._trickle, args=(start, piece), daemon=True).start()

    def _trickle(self, start: bytes, piece: bytes) -> None:
        while not self._stopping.wait(TRICKLE_INTERVAL_S):
            for number, connection in enumerate(self._connections):
                try:
                    if connection is None or _is_closed(connection):
                        raise ConnectionResetError
                    connection.send(piece)
                except BlockingIOError:
                    continue
                except OSError:
                    self._connections[number] = self._reconnect(connection, start)

    def _reconnect(
        self, connection: socket.socket | None, start: bytes
    ) -> socket.socket | None:
        if connection is not None:
            connection.close()
        connection = self._connect()
        if connection is not None:
            with contextlib.suppress(OSError):
                connection.send(start)
        return connection

    def _connect(self) -> socket.socket | None:
        parsed = parse_address(self._address)
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        connection.settimeout(CONNECT_TIMEOUT_S)
        try:
            connection.connect((parsed.host, parsed.port))
        except OSError:
            connection.close()
            return None
        connection.setblocking(False)
        return connection


def _is_closed(connection: socket.socket) -> bool:
    try:
        return connection.recv(1, socket.MSG_PEEK) == b""
    except BlockingIOError:
        return False
