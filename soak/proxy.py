"""A loopback proxy for TCP connections whose path can be harmed while it runs."""

import contextlib
import select
import socket
import struct
import threading
import time
from enum import Enum

from attrs import define, field

CHUNK_BYTES = 64 << 10
DELAY_S = 0.3
POLL_S = 0.05
# Closing with this option resets the connection.
RESET = struct.pack("ii", 1, 0)


class PathMode(Enum):
    """What becomes of bytes on their way."""

    OPEN = "open"
    DELAYED = "delayed"
    RESET = "reset"
    SILENT = "silent"
    ANSWERS_CUT = "answers cut"


@define(eq=False)
class Proxy:
    """Passes connections on to one address."""

    target: str
    mode: PathMode = PathMode.OPEN
    address: str = field(init=False)
    _listener: socket.socket = field(init=False)
    _pairs: set[tuple[socket.socket, socket.socket]] = field(factory=set)

    def __attrs_post_init__(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def set_mode(self, mode: PathMode) -> None:
        """Change the path of open connections and of those to come."""
        self.mode = mode
        if mode is PathMode.RESET:
            for pair in tuple(self._pairs):
                _reset(pair)

    def close(self) -> None:
        """Accept no more connections and reset the open ones."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for pair in tuple(self._pairs):
            _reset(pair)

    def _accept(self) -> None:
        while True:
            try:
                caller, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(caller,), daemon=True).start()

    def _serve(self, caller: socket.socket) -> None:
        host, _, port = self.target.rpartition(":")
        try:
            server = socket.create_connection((host, int(port)), 1.0)
        except OSError:
            _reset((caller, caller))
            return
        pair = (caller, server)
        self._pairs.add(pair)
        try:
            self._forward(caller, server)
        except (OSError, ValueError):
            # Either end was reset, by the peer or by a change of the path.
            _reset(pair)
        finally:
            self._pairs.discard(pair)
            caller.close()
            server.close()

    def _forward(self, caller: socket.socket, server: socket.socket) -> None:
        while True:
            if self.mode is PathMode.RESET:
                raise OSError("reset by the soak")
            if self.mode is PathMode.SILENT:
                time.sleep(POLL_S)
                continue
            for source in select.select([caller, server], [], [], POLL_S)[0]:
                chunk = source.recv(CHUNK_BYTES)
                if not chunk:
                    return
                if self.mode is PathMode.DELAYED:
                    time.sleep(DELAY_S)
                if source is server and self.mode is PathMode.ANSWERS_CUT:
                    continue
                (server if source is caller else caller).sendall(chunk)


def _reset(pair: tuple[socket.socket, socket.socket]) -> None:
    for sock in pair:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            sock.shutdown(socket.SHUT_RDWR)
            sock.close()
