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


class PausableServer:
    """A server whose task a test can hold."""

    def __init__(self) -> None:
        self.address = free_address()
        self.tasks = make_tasks(LimitSettings())
        self.server = make_http_server(
            application, self.address, 2, 1024, 16384, self.tasks
        )
        self.server.start()

    def pause(self) -> threading.Event:
        """Keep the server's task before its next round until the event is set."""
        pausable, release = threading.Event(), threading.Event()
        server = self.server._server
        readable = server.readable

        def wait() -> bool:
            pausable.set()
            release.wait(TIMEOUT_S)
            return readable()

        server.readable = wait
        server.trigger.pull_trigger()
        assert pausable.wait(TIMEOUT_S)
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
def pausable():
    pausable_server = PausableServer()
    yield pausable_server
    pausable_server.server.stop()
    pausable_server.tasks.stop()


def stop_listening_while_paused(
    pausable: PausableServer, release: threading.Event
) -> None:
    """Ask to stop listening while the task is held, then let it go on."""
    stopping = pausable.begin_stop()
    release.set()
    stopping.join(TIMEOUT_S)


def answer_on(connection: socket.socket) -> bytes:
    received = b""
    while not received.endswith(b"done") and (piece := connection.recv(4096)):
        received += piece
    return received


def test_request_on_a_connection_not_yet_accepted_is_answered(pausable) -> None:
    release = pausable.pause()
    connection = pausable.connect()
    connection.sendall(REQUEST)
    stop_listening_while_paused(pausable, release)
    assert answer_on(connection).endswith(b"done")


def test_unread_request_on_a_persistent_connection_is_answered(pausable) -> None:
    connection = pausable.connect()
    connection.sendall(REQUEST)
    assert answer_on(connection).endswith(b"done")
    release = pausable.pause()
    connection.sendall(REQUEST)
    stop_listening_while_paused(pausable, release)
    assert answer_on(connection).endswith(b"done")


def test_request_in_the_loop_iteration_of_the_stop_is_answered(pausable) -> None:
    """The task learnt in one round of the request and of the stop."""
    connections = [pausable.connect() for _ in range(20)]
    for connection in connections:
        connection.sendall(REQUEST)
        assert answer_on(connection).endswith(b"done")
    release = pausable.pause()
    stopping = pausable.begin_stop()
    for connection in connections:
        connection.sendall(REQUEST)
    release.set()
    stopping.join(TIMEOUT_S)
    assert all(answer_on(item).endswith(b"done") for item in connections)


def test_idle_connections_are_closed_and_new_ones_refused(pausable) -> None:
    connection = pausable.connect()
    connection.sendall(REQUEST)
    assert answer_on(connection).endswith(b"done")
    stop_listening_while_paused(pausable, pausable.pause())
    assert connection.recv(4096) == b""
    with pytest.raises(ConnectionRefusedError):
        pausable.connect()
