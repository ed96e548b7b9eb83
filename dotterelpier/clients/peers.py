"""Control messages to other entries over gRPC."""

import threading
from collections.abc import Callable

import grpc
from attrs import define, field

from dotterelpier.errors import ManifestError, PeerUnavailableError
from dotterelpier.model.manifest import Revision
from dotterelpier.model.membership import HandoverState, Heartbeat, Member, SlotOffer
from dotterelpier.protocols import Peers
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
            reply = self._stub(member).Beat(message, timeout=BEAT_TIMEOUT_S)
        except (grpc.RpcError, ValueError) as error:
            self._forget(member)
            raise _unavailable("peer.beat", member, error) from None
        return wire.decode_heartbeat(reply)

    def fetch_manifest(self, member: Member, above: int) -> Revision | None:
        """Return the peer's revision if its number is above the given one."""
        request = peers_pb2.ManifestRequest(above=above)
        try:
            reply = self._stub(member).FetchManifest(request, timeout=FETCH_TIMEOUT_S)
            return wire.decode_manifest(reply, member.id)
        except (grpc.RpcError, ValueError, ManifestError) as error:
            raise _unavailable("peer.fetch_manifest", member, error) from None

    def offer_slot(self, member: Member, offer: SlotOffer) -> bool:
        """Offer a slot; return whether a waiting call took it."""
        message = wire.encode_offer(offer)
        try:
            reply = self._stub(member).OfferSlot(message, timeout=OFFER_TIMEOUT_S)
        except (grpc.RpcError, ValueError) as error:
            raise _unavailable("peer.offer_slot", member, error) from None
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
            replies = self._stub(member).HandOver(request, timeout=HANDOVER_TIMEOUT_S)
            for reply in replies:
                progress(wire.decode_handover(reply))
        except (grpc.RpcError, ValueError) as error:
            raise _unavailable("peer.hand_over", member, error) from None

    def _stub(self, member: Member) -> peers_pb2_grpc.PeersStub:
        with self._lock:
            channel = self._channel_by_address.get(member.peer_address)
            if channel is None:
                channel = grpc.insecure_channel(member.peer_address, CHANNEL_OPTIONS)
                self._channel_by_address[member.peer_address] = channel
        return peers_pb2_grpc.PeersStub(channel)

    def _forget(self, member: Member) -> None:
        with self._lock:
            channel = self._channel_by_address.pop(member.peer_address, None)
        if channel is not None:
            channel.close()


def _unavailable(step: str, member: Member, error: Exception) -> PeerUnavailableError:
    detail = error.details() if isinstance(error, grpc.Call) else str(error)
    return PeerUnavailableError(str(detail), step=step, peer=member.id)


def make_peers(own_id: str) -> Peers:
    """Return the control messages to other entries."""
    return PeerClient(own_id)
