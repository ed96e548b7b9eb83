"""gRPC front end for control messages of other entries."""

import threading
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import grpc
from attrs import define, field

from dotterelpier.errors import SettingsError
from dotterelpier.frontends.client_limits import (
    derive_peer_connections,
    free_descriptors,
)
from dotterelpier.kernel import Kernel
from dotterelpier.protocols import (
    Admission,
    Homes,
    ManifestSource,
    Membership,
    ServiceName,
    Timer,
)
from dotterelpier.settings import Settings
from dotterelpier.tls import TlsKeys, read_tls_keys
from dotterelpier.wire import peers as wire
from dotterelpier.wire import peers_pb2, peers_pb2_grpc

HANDOVER_REPORT_INTERVAL_S = 0.1
DEFAULT_HANDOVER_STREAMS = 8
DEFAULT_CONNECTIONS = 1024
STOP_GRACE_S = 0.5
SERVER_OPTIONS = (
    ("grpc.so_reuseport", 0),
    # A connection on which no peer speaks, or that its peer does not read, is closed.
    ("grpc.server_handshake_timeout_ms", 5000),
    ("grpc.max_connection_idle_ms", 60_000),
    ("grpc.keepalive_time_ms", 20_000),
    ("grpc.keepalive_timeout_ms", 10_000),
)
# Requests in progress for each thread; those beyond are refused, so that requests whose
# answers are not read do not pile up.
REQUESTS_PER_THREAD = 8


@define
class PeerServicer(peers_pb2_grpc.PeersServicer):  # type: ignore[misc]
    """Answers control messages of other entries.

    Each handover stream occupies a worker thread, so their number is limited. A
    handover above the limit gets a single report; the new home then waits until the
    deadlines in it have passed.
    """

    _timer: Timer
    _membership: Membership
    _manifest: ManifestSource
    _admission: Admission
    _homes: Homes
    _handover_streams: threading.Semaphore = field(
        factory=lambda: threading.Semaphore(DEFAULT_HANDOVER_STREAMS)
    )

    def Beat(self, request: peers_pb2.Heartbeat, context: Any) -> peers_pb2.Heartbeat:  # noqa: N802
        """Record a heartbeat of another entry and return the one of this entry."""
        self._membership.record_heartbeat(wire.decode_heartbeat(request))
        return wire.encode_heartbeat(self._membership.heartbeat())

    def FetchManifest(  # noqa: N802
        self, request: peers_pb2.ManifestRequest, context: Any
    ) -> peers_pb2.ManifestReply:
        """Return the current revision of the manifest if it is above the one named."""
        revision = self._manifest.current()
        if revision is not None and revision.number <= request.above:
            revision = None
        return wire.encode_manifest(revision)

    def ListMembers(  # noqa: N802
        self, request: peers_pb2.MembersRequest, context: Any
    ) -> peers_pb2.MembersReply:
        """Return all members that this entry knows."""
        return wire.encode_members(self._membership.known_by_id().values())

    def OfferSlot(  # noqa: N802
        self, request: peers_pb2.SlotOffer, context: Any
    ) -> peers_pb2.SlotOfferReply:
        """Offer a slot to the calls that wait here; return whether one took it."""
        taken = self._admission.take_offer(wire.decode_offer(request))
        return peers_pb2.SlotOfferReply(taken=taken)

    def HandOver(  # noqa: N802
        self, request: peers_pb2.HandoverRequest, context: Any
    ) -> Iterator[peers_pb2.HandoverState]:
        """Hand a backend server over and report until no call to it is in flight."""
        state = self._homes.hand_over(request.backend_id, request.assignment)
        yield wire.encode_handover(state)
        if not state.in_flight or not self._handover_streams.acquire(blocking=False):
            return
        try:
            yield from self._report_until_drained(request.backend_id, context)
        finally:
            self._handover_streams.release()

    def _report_until_drained(
        self, backend_id: str, context: Any
    ) -> Iterator[peers_pb2.HandoverState]:
        subscription = self._timer.every(HANDOVER_REPORT_INTERVAL_S)
        try:
            while context.is_active() and subscription.wait():
                state = self._admission.handover_state(backend_id)
                yield wire.encode_handover(state)
                if not state.in_flight:
                    return
        finally:
            subscription.cancel()


@define
class PeerFrontend:
    """gRPC server for control messages."""

    _servicer: PeerServicer
    _address: str
    _threads: int
    _keys: TlsKeys | None = None
    _connections: int = DEFAULT_CONNECTIONS
    _server: grpc.Server | None = None

    def start(self) -> None:
        """Listen, and serve in threads of its own.

        Raises
        ------
        SettingsError
            If the address cannot be listened on.
        """
        executor = ThreadPoolExecutor(self._threads, thread_name_prefix="peer_frontend")
        connections = ("grpc.max_allowed_incoming_connections", self._connections)
        self._server = grpc.server(
            executor,
            options=(*SERVER_OPTIONS, connections),
            maximum_concurrent_rpcs=self._threads * REQUESTS_PER_THREAD,
        )
        peers_pb2_grpc.add_PeersServicer_to_server(self._servicer, self._server)
        try:
            self._add_port(self._server)
        except RuntimeError as error:
            raise SettingsError(
                str(error), step="peers.listen", peer=self._address
            ) from None
        self._server.start()

    def _add_port(self, server: grpc.Server) -> None:
        if self._keys is None:
            server.add_insecure_port(self._address)
        else:
            server.add_secure_port(self._address, self._keys.server_credentials())

    def stop(self) -> None:
        """Stop listening; wait for requests in flight, at most for the grace period."""
        if self._server is not None:
            self._server.stop(STOP_GRACE_S).wait()


def make_peer_frontend(
    kernel: Kernel, settings: Settings, address: str
) -> PeerFrontend:
    """Return the front end for other entries, which does not listen yet.

    Raises
    ------
    SettingsError
        If a file with a TLS key or certificate cannot be read.
    """
    servicer = PeerServicer(
        kernel.find(ServiceName.TIMER, Timer),
        kernel.find(ServiceName.MEMBERSHIP, Membership),
        kernel.find(ServiceName.MANIFEST, ManifestSource),
        kernel.find(ServiceName.ADMISSION, Admission),
        kernel.find(ServiceName.HOMES, Homes),
        threading.Semaphore(settings.limits.peer_threads // 2),
    )
    keys = read_tls_keys(settings.tls)
    connections = derive_peer_connections(free_descriptors(settings.limits))
    return PeerFrontend(
        servicer, address, settings.limits.peer_threads, keys, connections
    )
