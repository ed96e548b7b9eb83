"""UDP datagrams between the entries of a fleet.

A lost datagram is not sent again, because the next one replaces its content. With UDP,
no datagram waits for an earlier one.
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
    """One UDP socket, and the task that receives from it."""

    _address: str
    _tasks: Tasks
    _receiver_by_kind: dict[bytes, Callable[[bytes], None]] = field(factory=dict)
    _socket: socket.socket | None = None
    _stopped: threading.Event = field(factory=threading.Event)

    def start(self) -> None:
        """Bind the socket and start the receiving task.

        Raises
        ------
        SettingsError
            If the socket cannot be bound to the address.
        """
        parsed = parse_address(self._address)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            self._socket.bind((parsed.host, parsed.port))
        except OSError as error:
            raise SettingsError(
                error.strerror or str(error), step="udp.listen", peer=self._address
            ) from None
        self._tasks.supervise(TaskKind.PEER, self._serve)

    def stop(self) -> None:
        """End the receiving task, which then closes the socket."""
        self._stopped.set()
        # An empty datagram wakes the task; closing the socket would not end its read.
        self._send(self._address, b"")

    def subscribe(self, kind: DatagramKind, receiver: Callable[[bytes], None]) -> None:
        """Call a receiver with the content of each datagram of a kind.

        The receiver runs in the receiving task and must not block. If it raises, the
        error is logged and the datagram dropped.
        """
        self._receiver_by_kind[kind.value] = receiver

    def send(self, address: str, kind: DatagramKind, content: bytes) -> None:
        """Send a datagram to ``IP:port``; it may be lost, errors are only logged."""
        self._send(address, kind.value + content)

    def _send(self, address: str, content: bytes) -> None:
        if self._socket is None:
            return
        try:
            parsed = parse_address(address)
            self._socket.sendto(content, (parsed.host, parsed.port))
        except (OSError, ValueError, OverflowError) as error:
            logger.info(
                "sending a datagram failed; dropping it",
                peer=address,
                error=repr(error),
            )

    def _serve(self) -> None:
        assert self._socket is not None
        while not self._stopped.is_set():
            try:
                content, sender = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError as error:
                # The socket reports here that an earlier datagram was undeliverable.
                logger.info(
                    "receiving a datagram failed; waiting for the next",
                    error=repr(error),
                )
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
            logger.warning(
                "datagram receiver failed; dropping the datagram",
                peer=peer,
                error=repr(error),
            )


def make_datagrams(kernel: Kernel, address: str) -> Datagrams:
    """Return the datagram service of the entry that receives at ``IP:port``."""
    return UdpDatagrams(address, kernel.find(ServiceName.TASKS, Tasks))
