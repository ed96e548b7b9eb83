"""HTTP connections without delayed small writes."""

import http.client
import socket

from attrs import define


@define
class Address:
    """Host and port of a peer."""

    host: str
    port: int


def parse_address(text: str) -> Address:
    """Return ``IP:port`` as host and port."""
    host, _, port = text.rpartition(":")
    return Address(host.strip("[]"), int(port))


def open_connection(address: str, timeout_s: float) -> http.client.HTTPConnection:
    """Connect to ``IP:port``.

    ``http.client`` writes head and body apart, so the connection must not wait for
    acknowledgements between small writes.

    Raises
    ------
    OSError
        If the connection could not be opened within ``timeout_s`` seconds.
    """
    parsed = parse_address(address)
    connection = http.client.HTTPConnection(
        parsed.host, parsed.port, timeout=max(timeout_s, 0.001)
    )
    connection.connect()
    connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return connection


def shut_down(connection: http.client.HTTPConnection) -> None:
    """Break a connection, so that whoever waits for it stops waiting."""
    sock = connection.sock
    if sock is not None:
        try:
            sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
