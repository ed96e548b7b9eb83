"""Control messages to other entries over gRPC."""

import threading
from collections.abc import Callable

import grpc
from attrs import define, field

from dotterelpier.errors import ManifestError, PeerUnavailableError
from dotterelpier.model.manifest import Revision
from dotterelpier.model.membership import HandoverState, Heartbeat, Member, SlotOffer
from dotterelpier.protocols import Peers
from dotterelpier.tls import TlsKeys
from dotterelpier.wire import peers as wire
from dotterelpier.wire import peers_pb2, peers_pb2_grpc

BEAT_TIMEOUT_S = 1.0
OFFER_TIMEOUT_S = 0.5
FETCH_TIMEOUT_S = 2.0
HANDOVER_TIMEOUT_S = 120.0
CHANNEL_OPTIONS = (
    ("grpc.enable_retries", 0),
    ("grpc.max_reconnect_backoff_ms", 1000),
    ("grpc.enable_http_proxy", 0),
    ("grpc.max_receive_message_length", 8 << 20),
)


@define
class PeerClient:
    """Channels to peers, one for each address."""

    _own_id: str
    _keys: TlsKeys | None = None
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

    def beat(self, member: Member, heartbeat: Heartbeat) -> Heartbeat:
        """Exchange heartbeats."""
        message = wire.encode_heartbeat(heartbeat)
        try:
            stub = self._stub(member.peer_address)
            reply = stub.Beat(message, timeout=BEAT_TIMEOUT_S)
        except (grpc.RpcError, ValueError) as error:
            self._close_channel(member.peer_address)
            raise _unavailable("peer.beat", member.id, error) from None
        return wire.decode_heartbeat(reply)

    def fetch_manifest(self, member: Member, above: int) -> Revision | None:
        """Return the peer's revision if its number is above the given one."""
        request = peers_pb2.ManifestRequest(above=above)
        try:
            stub = self._stub(member.peer_address)
            reply = stub.FetchManifest(request, timeout=FETCH_TIMEOUT_S)
            return wire.decode_manifest(reply, member.id)
        except (grpc.RpcError, ValueError, ManifestError) as error:
            raise _unavailable("peer.fetch_manifest", member.id, error) from None

    def list_members(self, address: str) -> tuple[Member, ...]:
        """Return the members that the entry at an address knows."""
        request = peers_pb2.MembersRequest()
        try:
            reply = self._stub(address).ListMembers(request, timeout=FETCH_TIMEOUT_S)
            return wire.decode_members(reply)
        except (grpc.RpcError, ValueError) as error:
            self._close_channel(address)
            raise _unavailable("peer.list_members", address, error) from None

    def offer_slot(self, member: Member, offer: SlotOffer) -> bool:
        """Offer a slot; return whether a waiting call took it."""
        message = wire.encode_offer(offer)
        try:
            stub = self._stub(member.peer_address)
            reply = stub.OfferSlot(message, timeout=OFFER_TIMEOUT_S)
        except (grpc.RpcError, ValueError) as error:
            raise _unavailable("peer.offer_slot", member.id, error) from None
        return bool(reply.taken)

    def hand_over(
        self,
        member: Member,
        backend_id: str,
        assignment: int,
        progress: Callable[[HandoverState], None],
    ) -> None:
        """Take a backend server over, calling ``progress`` until none is in flight."""
        request = peers_pb2.HandoverRequest(
            sender_id=self._own_id, backend_id=backend_id, assignment=assignment
        )
        try:
            stub = self._stub(member.peer_address)
            replies = stub.HandOver(request, timeout=HANDOVER_TIMEOUT_S)
            for reply in replies:
                progress(wire.decode_handover(reply))
        except (grpc.RpcError, ValueError) as error:
            raise _unavailable("peer.hand_over", member.id, error) from None

    def _stub(self, address: str) -> peers_pb2_grpc.PeersStub:
        with self._lock:
            channel = self._channel_by_address.get(address)
            if channel is None:
                channel = self._open_channel(address)
                self._channel_by_address[address] = channel
        return peers_pb2_grpc.PeersStub(channel)

    def _open_channel(self, address: str) -> grpc.Channel:
        if self._keys is None:
            return grpc.insecure_channel(address, CHANNEL_OPTIONS)
        credentials = self._keys.channel_credentials()
        return grpc.secure_channel(address, credentials, CHANNEL_OPTIONS)

    def _close_channel(self, address: str) -> None:
        with self._lock:
            channel = self._channel_by_address.pop(address, None)
        if channel is not None:
            channel.close()


def _unavailable(step: str, peer: str, error: Exception) -> PeerUnavailableError:
    detail = error.details() if isinstance(error, grpc.Call) else str(error)
    return PeerUnavailableError(str(detail), step=step, peer=peer)


def make_peers(own_id: str, keys: TlsKeys | None = None) -> Peers:
    """Return the control messages to other entries, encrypted if there are keys."""
    return PeerClient(own_id, keys)
