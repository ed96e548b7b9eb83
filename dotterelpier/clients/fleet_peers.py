"""Messages to the other entries of a fleet over gRPC."""

import threading
from typing import Any

import grpc
from attrs import define, field

from dotterelpier.errors import PeerUnavailableError
from dotterelpier.model.fleet import FleetMember, StoreReply
from dotterelpier.protocols.fleet import FleetPeers
from dotterelpier.wire import fleet_pb2, fleet_pb2_grpc
from dotterelpier.wire.fleet import decode_changes

# A ping passes between zones in a few milliseconds; a busy machine may take longer.
PING_TIMEOUT_S = 0.7
CHANGES_TIMEOUT_S = 0.7
CHANNEL_OPTIONS = (
    ("grpc.enable_retries", 0),
    ("grpc.max_reconnect_backoff_ms", 1000),
    ("grpc.enable_http_proxy", 0),
)


@define
class GrpcFleetPeers:
    """Channels to entries, one for each address."""

    _own_name: str
    _channel_by_address: dict[str, grpc.Channel] = field(factory=dict)
    _lock: threading.Lock = field(factory=threading.Lock)

    def start(self) -> None:
        """Do nothing; channels are opened on use."""

    def stop(self) -> None:
        """Close all channels."""
        with self._lock:
            channels = tuple(self._channel_by_address.values())
            self._channel_by_address.clear()
        for channel in channels:
            channel.close()

    def ping(self, member: FleetMember) -> None:
        """Ask whether an entry lives."""
        request = fleet_pb2.PingRequest(sender=self._own_name)
        reply = self._call(member, "Ping", request, PING_TIMEOUT_S)
        if reply.incarnation != member.incarnation:
            message = f"is now {reply.incarnation}"
            raise _unavailable(member, "peer.ping", message)

    def changes(self, member: FleetMember, table: str, after: int) -> StoreReply:
        """Return what an entry knows of a table of the store after a version."""
        request = fleet_pb2.ChangesRequest(table=table, after=after)
        return decode_changes(self._call(member, "Changes", request, CHANGES_TIMEOUT_S))

    def _call(
        self, member: FleetMember, method: str, request: Any, timeout_s: float
    ) -> Any:
        try:
            stub = fleet_pb2_grpc.FleetPeersStub(self._channel(member.peer_address))
            return getattr(stub, method)(request, timeout=timeout_s)
        except (grpc.RpcError, ValueError) as error:
            # A path that lost track of the connection stays silent on it.
            self._close_channel(member.peer_address)
            detail = error.details() if isinstance(error, grpc.Call) else str(error)
            raise _unavailable(member, f"peer.{method.lower()}", str(detail)) from None

    def _channel(self, address: str) -> grpc.Channel:
        with self._lock:
            channel = self._channel_by_address.get(address)
            if channel is None:
                channel = grpc.insecure_channel(address, CHANNEL_OPTIONS)
                self._channel_by_address[address] = channel
            return channel

    def _close_channel(self, address: str) -> None:
        with self._lock:
            channel = self._channel_by_address.pop(address, None)
        if channel is not None:
            channel.close()


def _unavailable(member: FleetMember, step: str, detail: str) -> PeerUnavailableError:
    return PeerUnavailableError(detail, step=step, peer=member.name)


def make_fleet_peers(own_name: str) -> FleetPeers:
    """Return the messages to other entries."""
    return GrpcFleetPeers(own_name)
