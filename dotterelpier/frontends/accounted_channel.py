"""Connection whose output, and the thread that writes it, are bounded."""

import contextlib
import fcntl
import math
import socket
import struct
import termios
import time
from typing import Any

from waitress.channel import ClientDisconnected

from dotterelpier.frontends.piece_buffer import PieceBuffer
from dotterelpier.frontends.strict_http import StrictChannel
from dotterelpier.protocols.client_memory import ConnectionAccount

# Discards what waits to be sent at once, and tells the client by a reset that its
# answer is not complete.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
INT = struct.Struct("i")


class AccountedChannel(StrictChannel):
    """Connection that counts what it holds for its client, and can be abandoned."""

    socket: Any
    outbufs: list[Any]
    account: ConnectionAccount
    _flush_exception: Any
    _sent_bytes = 0
    _received_bytes = 0

    def __init__(
        self, server: Any, sock: Any, addr: Any, adj: Any, map: Any = None
    ) -> None:
        super().__init__(server, sock, addr, adj, map=map)
        self.outbufs: list[Any] = [PieceBuffer()]
        self.account: ConnectionAccount = server.client_memory.open_connection(
            self, server.pool
        )

    def peer(self) -> str:
        """Return the address of the client, for the log."""
        return str(self.addr[0]) if self.addr else ""

    def busy(self) -> bool:
        """Return whether a request is being served or an answer is not yet sent."""
        return bool(self.requests or self.total_outbufs_len or self.unparsed)

    def moved_bytes(self) -> int:
        """Return how many bytes the client has sent and read so far.

        What the kernel has taken, but the client has not acknowledged, is not read: the
        kernel may hold megabytes of it.
        """
        unacknowledged = 0
        with contextlib.suppress(OSError, AttributeError, ValueError):
            empty = INT.pack(0)
            answer = fcntl.ioctl(self.socket.fileno(), termios.TIOCOUTQ, empty)
            (unacknowledged,) = INT.unpack(answer)
        return self._received_bytes + self._sent_bytes - unacknowledged

    def abandon(self) -> None:
        """Close the connection soon, whatever waits to be sent; does not block."""
        with contextlib.suppress(OSError):
            # The event loop would close it only once the client takes bytes again.
            self.server.trigger.pull_trigger(self.handle_close)

    def handle_close(self) -> None:
        """Close the connection, with a reset if bytes of an answer are left."""
        if self.total_outbufs_len and self.socket is not None:
            with contextlib.suppress(OSError):
                self.socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
        super().handle_close()
        self.account.close()

    def send(self, data: Any, do_close: bool = True) -> int:
        """Send what the kernel takes; return the number of bytes."""
        count: int = super().send(data, do_close)
        self._sent_bytes += count
        return count

    def received(self, data: bytes) -> bool:
        """Count and process data."""
        self._received_bytes += len(data)
        return super().received(data)

    def write_soon(self, data: bytes) -> int:
        """Queue a piece of output; wait first while too much of it is not read.

        Raises
        ------
        ClientDisconnected
            If the client left, was too slow, or had its deadline meanwhile.
        """
        if not self.connected:
            raise ClientDisconnected
        if not data:
            return 0
        with self.outbuf_lock:
            self._flush_outbufs_below_high_watermark()
            if not self.connected:
                raise ClientDisconnected
            self.outbufs[-1].append(data)
            self.total_outbufs_len += len(data)
            self._flush_exception(self._flush_some, do_close=False)
            if self.total_outbufs_len:
                self.server.pull_trigger()
        return len(data)

    def _flush_some(self, do_close: bool = True) -> bool:
        flushed = bool(super()._flush_some(do_close))  # type: ignore[misc]
        self.account.set_unsent(self.outbufs[0].held_bytes)
        return flushed

    def _flush_outbufs_below_high_watermark(self) -> None:
        if self.total_outbufs_len <= self.adj.outbuf_high_watermark:
            return
        with self.outbuf_lock, self.account.writing() as until:
            _, failed = self._flush_exception(self._flush_some, do_close=False)
            while self.connected and (failed or self._is_above_watermark()):
                self.server.pull_trigger()
                remaining_s = until - time.monotonic()
                if remaining_s <= 0:
                    self.account.give_up()
                    raise ClientDisconnected
                self.outbuf_lock.wait(None if remaining_s == math.inf else remaining_s)

    def _is_above_watermark(self) -> bool:
        return bool(self.total_outbufs_len > self.adj.outbuf_high_watermark)
