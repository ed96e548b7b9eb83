"""gRPC front end for the other entries of a fleet."""

from concurrent.futures import ThreadPoolExecutor
from typing import Any

import grpc
from attrs import define

from dotterelpier.errors import SettingsError
from dotterelpier.kernel import Kernel
from dotterelpier.protocols import ServiceName
from dotterelpier.protocols.fleet import Fleet, Mirrors
from dotterelpier.wire import fleet_pb2, fleet_pb2_grpc
from dotterelpier.wire.fleet import encode_changes

# Only a few other entries ping this one, each once a second.
THREADS = 4
STOP_GRACE_S = 0.2
SERVER_OPTIONS = (("grpc.so_reuseport", 0),)


@define
class FleetServicer(fleet_pb2_grpc.FleetPeersServicer):  # type: ignore[misc]
    """Answers pings and requests for table changes from other entries."""

    _fleet: Fleet
    _mirrors: Mirrors

    def Ping(  # noqa: N802
        self, request: fleet_pb2.PingRequest, context: Any
    ) -> fleet_pb2.PingReply:
        """Return the name and the incarnation of this entry."""
        me = self._fleet.me()
        return fleet_pb2.PingReply(name=me.name, incarnation=me.incarnation)

    def Changes(  # noqa: N802
        self, request: fleet_pb2.ChangesRequest, context: Any
    ) -> fleet_pb2.ChangesReply:
        """Return the changes of a table that this entry knows after a version."""
        return encode_changes(self._mirrors.changes(request.table, request.after))


@define
class FleetPeerFrontend:
    """gRPC server for messages of other entries."""

    _servicer: FleetServicer
    _address: str
    _server: Any = None

    def start(self) -> None:
        """Listen, and serve in threads of its own.

        Raises
        ------
        SettingsError
            If the address cannot be listened on.
        """
        executor = ThreadPoolExecutor(THREADS, thread_name_prefix="fleet-peer")
        self._server = grpc.server(executor, options=SERVER_OPTIONS)
        fleet_pb2_grpc.add_FleetPeersServicer_to_server(self._servicer, self._server)
        try:
            self._server.add_insecure_port(self._address)
        except RuntimeError as error:
            raise SettingsError(
                str(error), step="grpc.listen", peer=self._address
            ) from None
        self._server.start()

    def stop(self) -> None:
        """Stop listening; wait for requests in flight, at most for the grace period."""
        if self._server is not None:
            self._server.stop(STOP_GRACE_S).wait()


def make_fleet_peer_frontend(kernel: Kernel, address: str) -> FleetPeerFrontend:
    """Return the front end for other entries, which does not listen yet."""
    servicer = FleetServicer(
        kernel.find(ServiceName.FLEET, Fleet),
        kernel.find(ServiceName.MIRRORS, Mirrors),
    )
    return FleetPeerFrontend(servicer, address)
