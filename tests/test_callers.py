"""The callers that the tests of processes use."""

import socket
import threading

from dotterelpier.clients.http_connection import parse_address
from tests.callers import Caller
from tests.fleet_system import free_address

PAGE = '{{"entries": [{{"address": "{}", "weight": 1}}], "max_age_s": 60}}'


def _answer_and_close(
    listener: socket.socket, body: bytes, closed: threading.Semaphore
) -> None:
    """Serve one request on each connection, then close it without a word."""
    head = (
        f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n"
        "Dotterelpier-Outcome: answered\r\n\r\n"
    )
    while True:
        try:
            connection, _ = listener.accept()
        except OSError:
            return
        with connection:
            connection.recv(65536)
            connection.sendall(head.encode() + body)
        closed.release()


def test_connection_closed_by_the_entry_is_not_reused() -> None:
    address = free_address()
    parsed = parse_address(address)
    with socket.create_server((parsed.host, parsed.port)) as listener:
        body, closed = PAGE.format(address).encode(), threading.Semaphore(0)
        serving = threading.Thread(
            target=_answer_and_close, args=(listener, body, closed), daemon=True
        )
        serving.start()
        caller = Caller([address], seed=0)
        outcomes = []
        # The first call asks for entries on a connection of its own.
        for connections in (2, 1, 1):
            outcomes.append(caller.call("catalogue", 1).outcome)
            assert all(closed.acquire(timeout=10) for _ in range(connections))
        listener.shutdown(socket.SHUT_RDWR)
    assert outcomes == ["answered"] * 3
