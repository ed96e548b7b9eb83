"""Tests of the callers that the process tests use."""

import json
import socket
import threading

import pytest

from dotterelpier.clients.http_connection import parse_address
from tests.callers import Caller
from tests.fleet_system import free_address
from tests.scripted_server import ScriptedServer, whole_answer

PAGE = '{{"entries": [{{"address": "{}", "weight": 1}}], "max_age_s": 60}}'


def _answer_and_close(
    listener: socket.socket, body: bytes, closed: threading.Semaphore
) -> None:
    """Answer one request on each connection, then close it without announcing that."""
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
        # The first call fetches the list of entries over a separate connection.
        for connections in (2, 1, 1):
            outcomes.append(caller.call("catalogue", 1).outcome)
            assert all(closed.acquire(timeout=10) for _ in range(connections))
        listener.shutdown(socket.SHUT_RDWR)
    assert outcomes == ["answered"] * 3


def test_entry_that_lists_no_entries_yet_is_passed_over() -> None:
    """One that has just started answers with problem details."""
    problem = b"HTTP/1.1 503 Busy\r\nContent-Length: 18\r\n\r\n" + b'{"status": 503   }'
    starting = ScriptedServer(lambda request: [problem])
    entries = {"entries": [{"address": "x:1", "weight": 1}], "max_age_s": 5}
    listing = ScriptedServer(
        lambda request: [whole_answer(request, json.dumps(entries).encode())]
    )
    for seed in range(10):
        caller = Caller([starting.address, listing.address], seed)
        assert caller._choose_address("catalogue") == "x:1"
    with pytest.raises(ConnectionError):
        Caller([starting.address], 0)._choose_address("catalogue")
    starting.close()
    listing.close()
