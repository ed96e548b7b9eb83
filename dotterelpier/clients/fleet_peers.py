"""Messages to the other entries of a fleet over HTTP."""

import http.client
import threading
import time

from attrs import define, field
from google.protobuf.message import DecodeError

from dotterelpier.clients.http_connection import (
    ClientConnection,
    StrictResponse,
    is_readable,
    open_connection,
    shut_down,
)
from dotterelpier.errors import PeerUnavailableError
from dotterelpier.model.fleet import Announcement, FleetMember, StoreReply
from dotterelpier.protocols.fleet import FleetPeers
from dotterelpier.wire.fleet import (
    ANNOUNCEMENT_PATH,
    CHANGES_PATH,
    MESSAGE_TYPE,
    PING_PATH,
    decode_announcement,
    decode_changes,
    decode_ping_reply,
    encode_changes_request,
    encode_ping_request,
)

# A ping between zones takes a few milliseconds; a busy machine may take longer.
PING_TIMEOUT_S = 0.7
CHANGES_TIMEOUT_S = 0.7
STATUS_OK = 200
# Far above the tables of the largest fleet.
MAX_REPLY_BYTES = 32 << 20


@define
class HttpFleetPeers:
    """Connections to entries, at most one idle one for each address.

    A connection is closed after a failed call, so that the next call connects again. A
    network path that lost the state of a connection drops its packets silently.
    """

    _own_name: str
    _idle_by_address: dict[str, ClientConnection] = field(factory=dict)
    _in_use: set[ClientConnection] = field(factory=set)
    _stopped: bool = False
    _lock: threading.Lock = field(factory=threading.Lock)

    def start(self) -> None:
        """Do nothing; a connection is opened by the first call to its address."""

    def stop(self) -> None:
        """Close all connections; calls in flight and later ones fail."""
        with self._lock:
            self._stopped = True
            idle, in_use = tuple(self._idle_by_address.values()), tuple(self._in_use)
            self._idle_by_address.clear()
        for connection in in_use:
            shut_down(connection.sock)
        for connection in idle:
            connection.close()

    def ping(self, member: FleetMember) -> None:
        """Check that an entry is alive, with a timeout of ``PING_TIMEOUT_S``.

        Raises
        ------
        PeerUnavailableError
            If it does not answer in time, or another incarnation answers.
        """
        request = encode_ping_request(self._own_name)
        content = self._call(member, PING_PATH, request, PING_TIMEOUT_S)
        try:
            incarnation = decode_ping_reply(content)
        except DecodeError as error:
            raise _unavailable(member, PING_PATH, repr(error)) from None
        if incarnation != member.incarnation:
            message = f"incarnation is {incarnation}, expected {member.incarnation}"
            raise _unavailable(member, PING_PATH, message)

    def has_ended(self, member: FleetMember) -> bool:
        """Return whether an incarnation of an entry has surely ended.

        It has if its machine refuses connections, or another incarnation answers.
        """
        try:
            connection = open_connection(member.peer_address, PING_TIMEOUT_S)
        except ConnectionRefusedError:
            return True
        except (OSError, ValueError):
            return False
        connection.close()
        request = encode_ping_request(self._own_name)
        try:
            content = self._call(member, PING_PATH, request, PING_TIMEOUT_S)
            return decode_ping_reply(content) != member.incarnation
        except (PeerUnavailableError, DecodeError):
            return False

    def changes(self, member: FleetMember, table: str, after: int) -> StoreReply:
        """Return the changes of a store table after a version, as an entry knows them.

        Raises
        ------
        PeerUnavailableError
            If the entry does not answer within ``CHANGES_TIMEOUT_S``.
        """
        request = encode_changes_request(table, after)
        content = self._call(member, CHANGES_PATH, request, CHANGES_TIMEOUT_S)
        try:
            return decode_changes(content)
        except DecodeError as error:
            raise _unavailable(member, CHANGES_PATH, repr(error)) from None

    def announcement(self, member: FleetMember) -> Announcement:
        """Return the versions of the tables that an entry holds.

        Raises
        ------
        PeerUnavailableError
            If its copies may be outdated, or it does not answer within
            ``PING_TIMEOUT_S``.
        """
        content = self._call(member, ANNOUNCEMENT_PATH, b"", PING_TIMEOUT_S)
        try:
            return decode_announcement(content)
        except DecodeError as error:
            raise _unavailable(member, ANNOUNCEMENT_PATH, repr(error)) from None

    def _call(
        self, member: FleetMember, path: str, content: bytes, timeout_s: float
    ) -> bytes:
        deadline_at = time.monotonic() + timeout_s
        address = member.peer_address
        try:
            connection = self._take(address, timeout_s)
        except (OSError, ValueError) as error:
            raise _unavailable(member, path, repr(error)) from None
        reusable = False
        try:
            connection.deadline_at = deadline_at
            connection.sock.settimeout(timeout_s)
            headers = {"Host": address, "Content-Type": MESSAGE_TYPE}
            connection.request("POST", path, content, headers)
            response = connection.getresponse()
            assert isinstance(response, StrictResponse)
            reply = response.read_whole(MAX_REPLY_BYTES)
            if response.status != STATUS_OK:
                raise _unavailable(member, path, f"status {response.status}")
            reusable = not response.will_close
        except (OSError, http.client.HTTPException, AttributeError) as error:
            # ``stop`` may close the connection, which then has no socket.
            raise _unavailable(member, path, repr(error)) from None
        finally:
            self._give_back(address, connection, reusable)
        return reply

    def _take(self, address: str, timeout_s: float) -> ClientConnection:
        with self._lock:
            if self._stopped:
                raise ConnectionError("the client is stopped")
            connection = self._idle_by_address.pop(address, None)
        if connection is not None and is_readable(connection.sock):
            # The entry closed it, or sent bytes that belong to no call.
            connection.close()
            connection = None
        if connection is None:
            connection = open_connection(address, timeout_s)
        with self._lock:
            self._in_use.add(connection)
        return connection

    def _give_back(
        self, address: str, connection: ClientConnection, reusable: bool
    ) -> None:
        with self._lock:
            self._in_use.discard(connection)
            if reusable and not self._stopped and address not in self._idle_by_address:
                self._idle_by_address[address] = connection
                return
        connection.close()


def _unavailable(member: FleetMember, path: str, detail: str) -> PeerUnavailableError:
    step = f"peer.{path.strip('/')}"
    return PeerUnavailableError(detail, step=step, peer=member.name)


def make_fleet_peers(own_name: str) -> FleetPeers:
    """Return the client for other entries, which names ``own_name`` as the sender."""
    return HttpFleetPeers(own_name)
