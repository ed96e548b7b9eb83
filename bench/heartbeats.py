"""Measures the bytes of one heartbeat and its answer on the wire.

Run with ``python -m bench.heartbeats``. A relay between client and server counts the
bytes of both directions as TCP payload, without the headers of TCP and IP.
"""

import json
import socket
import threading
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import grpc
from attrs import define

from dotterelpier.clients.peers import make_peers
from dotterelpier.model.membership import Heartbeat, Member, ServiceLoad
from dotterelpier.wire import peers as wire
from dotterelpier.wire import peers_pb2, peers_pb2_grpc

HOST = "127.0.0.1"
HEARTBEATS = 200
SERVICES = (3, 6, 37)
CHUNK_BYTES = 65536


class Echo(peers_pb2_grpc.PeersServicer):  # type: ignore[misc]
    """Answers a heartbeat with one of the same size."""

    def Beat(self, request: peers_pb2.Heartbeat, context: Any) -> peers_pb2.Heartbeat:  # noqa: N802
        """Return the heartbeat."""
        return request


@define
class CountingRelay:
    """Passes one connection on and counts its bytes."""

    _target: tuple[str, int]
    _listener: socket.socket
    forwarded_bytes: int = 0

    def serve(self) -> None:
        """Pass the first connection on in two threads."""
        client, _ = self._listener.accept()
        server = socket.create_connection(self._target)
        for source, sink in ((client, server), (server, client)):
            threading.Thread(
                target=self._forward, args=(source, sink), daemon=True
            ).start()

    def _forward(self, source: socket.socket, sink: socket.socket) -> None:
        while content := source.recv(CHUNK_BYTES):
            self.forwarded_bytes += len(content)
            sink.sendall(content)


def measure(services: int) -> float:
    """Return the bytes of one exchange in which each side reports its services."""
    server = grpc.server(ThreadPoolExecutor(2))
    peers_pb2_grpc.add_PeersServicer_to_server(Echo(), server)
    port = server.add_insecure_port(f"{HOST}:0")
    server.start()
    relay = CountingRelay((HOST, port), socket.create_server((HOST, 0)))
    threading.Thread(target=relay.serve, daemon=True).start()
    address = f"{HOST}:{relay._listener.getsockname()[1]}"
    member = Member("entry-1.0123abcd", "zone", address, address, address)
    loads = {f"service-{n:03}": ServiceLoad(40, 90, 3) for n in range(services)}
    heartbeat = Heartbeat(member.id, 2500, True, False, loads)
    client = make_peers("entry-2.0123abcd")
    client.beat(member, heartbeat)
    before = relay.forwarded_bytes
    for _ in range(HEARTBEATS):
        client.beat(member, heartbeat)
    bytes_per_exchange = (relay.forwarded_bytes - before) / HEARTBEATS
    server.stop(0).wait()
    return bytes_per_exchange


def main() -> None:
    """Print one JSON line for each number of services reported."""
    for services in SERVICES:
        loads = {f"service-{n:03}": ServiceLoad(40, 90, 3) for n in range(services)}
        message = wire.encode_heartbeat(
            Heartbeat("entry-1.0123abcd", 2500, True, False, loads)
        )
        result = {
            "services": services,
            "message_bytes": message.ByteSize(),
            "exchange_bytes": round(measure(services), 1),
        }
        print(json.dumps(result))


if __name__ == "__main__":
    main()
