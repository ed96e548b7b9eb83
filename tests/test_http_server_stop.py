"""The last moment of a planned stop, at a server's socket."""

import socket
import threading

import pytest

from dotterelpier.clients.http_connection import parse_address
from dotterelpier.frontends.http_server import make_http_server
from dotterelpier.services.tasks import make_tasks
from dotterelpier.settings import LimitSettings
from tests.fleet_system import free_address
from tests.utils import wait_until

REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
TIMEOUT_S = 30.0


def application(environ, start_response):
    start_response("200 OK", [("Content-Length", "4")])
    return [b"done"]


class HeldServer:
    """A server whose task a test can hold."""

    def __init__(self) -> None:
        self.address = free_address()
        self.tasks = make_tasks(LimitSettings())
        self.server = make_http_server(
            application, self.address, 2, 1024, 16384, self.tasks
        )
        self.server.start()

    def hold(self) -> threading.Event:
        """Keep the server's task before its next round until the event is set."""
        held, release = threading.Event(), threading.Event()
        server = self.server._server
        readable = server.readable

        def wait() -> bool:
            held.set()
            release.wait(TIMEOUT_S)
            return readable()

        server.readable = wait
        server.trigger.pull_trigger()
        assert held.wait(TIMEOUT_S)
        return release

    def begin_stop(self) -> threading.Thread:
        """Ask to stop listening, in a thread; return once the task was told."""
        stopping = threading.Thread(target=self.server.stop_listening)
        stopping.start()
        wait_until(lambda: self.server._server.trigger.thunks, "the task is told")
        return stopping

    def connect(self) -> socket.socket:
        parsed = parse_address(self.address)
        return socket.create_connection((parsed.host, parsed.port), TIMEOUT_S)


@pytest.fixture
def held():
    made = HeldServer()
    yield made
    made.server.stop()
    made.tasks.stop()


def stop_behind(held: HeldServer, release: threading.Event) -> None:
    """Ask to stop listening while the task is held, then let it go on."""
    stopping = held.begin_stop()
    release.set()
    stopping.join(TIMEOUT_S)


def answer_on(connection: socket.socket) -> bytes:
    received = b""
    while not received.endswith(b"done") and (piece := connection.recv(4096)):
        received += piece
    return received


def test_request_on_a_connection_not_yet_accepted_is_answered(held) -> None:
    release = held.hold()
    connection = held.connect()
    connection.sendall(REQUEST)
    stop_behind(held, release)
    assert answer_on(connection).endswith(b"done")


def test_request_on_a_kept_connection_not_yet_read_is_answered(held) -> None:
    connection = held.connect()
    connection.sendall(REQUEST)
    assert answer_on(connection).endswith(b"done")
    release = held.hold()
    connection.sendall(REQUEST)
    stop_behind(held, release)
    assert answer_on(connection).endswith(b"done")


def test_request_that_comes_in_the_round_of_the_stop_is_answered(held) -> None:
    """The task learnt in one round of the request and of the stop."""
    connections = [held.connect() for _ in range(20)]
    for connection in connections:
        connection.sendall(REQUEST)
        assert answer_on(connection).endswith(b"done")
    release = held.hold()
    stopping = held.begin_stop()
    for connection in connections:
        connection.sendall(REQUEST)
    release.set()
    stopping.join(TIMEOUT_S)
    assert all(answer_on(item).endswith(b"done") for item in connections)


def test_idle_connections_are_closed_and_new_ones_refused(held) -> None:
    connection = held.connect()
    connection.sendall(REQUEST)
    assert answer_on(connection).endswith(b"done")
    stop_behind(held, held.hold())
    assert connection.recv(4096) == b""
    with pytest.raises(ConnectionRefusedError):
        held.connect()
