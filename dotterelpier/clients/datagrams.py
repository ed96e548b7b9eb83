"""Datagrams between the entries of a fleet.

A result that is lost is replaced by the next one, so nothing is sent again, and none
waits behind another.
"""

import socket
import threading
from collections.abc import Callable

from attrs import define, field
from loguru import logger

from dotterelpier.clients.http_connection import parse_address
from dotterelpier.errors import SettingsError
from dotterelpier.kernel import Kernel
from dotterelpier.protocols import ServiceName, TaskKind, Tasks
from dotterelpier.protocols.fleet import DatagramKind, Datagrams

MAX_DATAGRAM_BYTES = 65_536


@define
class UdpDatagrams:
    """One socket, and the task that receives from it."""

    _address: str
    _tasks: Tasks
    _receiver_by_kind: dict[bytes, Callable[[bytes], None]] = field(factory=dict)
    _socket: socket.socket | None = None
    _stopped: threading.Event = field(factory=threading.Event)

    def start(self) -> None:
        """Listen, and start the task.

        Raises
        ------
        SettingsError
            If the address cannot be listened on.
        """
        parsed = parse_address(self._address)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            self._socket.bind((parsed.host, parsed.port))
        except OSError as error:
            raise SettingsError(
                error.strerror or str(error), step="udp.listen", peer=self._address
            ) from None
        self._tasks.submit(TaskKind.PEER, self._serve)

    def stop(self) -> None:
        """End the task."""
        self._stopped.set()
        # The task waits in a read, which closing the socket would not end.
        self._send(self._address, b"")

    def subscribe(self, kind: DatagramKind, receiver: Callable[[bytes], None]) -> None:
        """Give each datagram of a kind to a receiver, which must not block."""
        self._receiver_by_kind[kind.value] = receiver

    def send(self, address: str, kind: DatagramKind, content: bytes) -> None:
        """Send a datagram; it may be lost."""
        self._send(address, kind.value + content)

    def _send(self, address: str, content: bytes) -> None:
        if self._socket is None:
            return
        parsed = parse_address(address)
        try:
            self._socket.sendto(content, (parsed.host, parsed.port))
        except OSError as error:
            logger.info("datagram not sent", peer=address, error=repr(error))

    def _serve(self) -> None:
        assert self._socket is not None
        while not self._stopped.is_set():
            try:
                content, sender = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError as error:
                # An unreachable receiver of an earlier datagram is reported here.
                logger.info("datagram not received", error=repr(error))
                continue
            self._dispatch(content, sender)
        self._socket.close()

    def _dispatch(self, content: bytes, sender: tuple[str, int]) -> None:
        receiver = self._receiver_by_kind.get(content[:1])
        if receiver is None:
            return
        try:
            receiver(content[1:])
        except Exception as error:
            peer = f"{sender[0]}:{sender[1]}"
            logger.warning("datagram not read", peer=peer, error=repr(error))


def make_datagrams(kernel: Kernel, address: str) -> Datagrams:
    """Return the datagrams of the entry that listens on ``IP:port``."""
    return UdpDatagrams(address, kernel.find(ServiceName.TASKS, Tasks))
