"""Bodies of requests that do not fit into memory are refused."""

import socket
import threading

import pytest

from dotterelpier.clients.http_connection import parse_address
from dotterelpier.frontends.http_server import make_http_server
from dotterelpier.services.tasks import make_tasks
from dotterelpier.settings import LimitSettings
from tests.fleet_system import free_address
from tests.test_client_limits import REQUEST_HEAD, TIMEOUT_S, status_of
from tests.utils import wait_until

LIMIT_BYTES = 1000


class Server:
    """A server whose application answers once a test lets it."""

    def __init__(self) -> None:
        self.proceed = threading.Event()
        self.served = 0
        self.tasks = make_tasks(LimitSettings())
        self.address = free_address()
        self.server = make_http_server(
            self._application,
            self.address,
            4,
            1 << 20,
            16384,
            self.tasks,
            body_memory_bytes=LIMIT_BYTES,
        )
        self.server.start()

    def _application(self, environ, start_response):
        self.served += 1
        self.proceed.wait(TIMEOUT_S)
        body = environ["wsgi.input"].read()
        start_response("200 OK", [("Content-Length", str(len(body)))])
        return [body]

    def connect(self) -> socket.socket:
        parsed = parse_address(self.address)
        return socket.create_connection((parsed.host, parsed.port), TIMEOUT_S)

    def status_of(self, count: int) -> int:
        with self.connect() as connection:
            return status_of(connection, post(count))

    def stop(self) -> None:
        self.proceed.set()
        self.server.stop()
        self.tasks.stop()


def post(count: int, sent: int | None = None) -> bytes:
    head = REQUEST_HEAD + b"Content-Length: %d\r\n\r\n" % count
    return head + b"x" * (count if sent is None else sent)


@pytest.fixture
def server():
    running = Server()
    yield running
    running.stop()


def test_body_that_cannot_be_held_is_refused_before_it_is_sent(server) -> None:
    with server.connect() as connection:
        connection.sendall(post(LIMIT_BYTES + 1, sent=0))
        answer = connection.recv(4096)
    assert answer.startswith(b"HTTP/1.1 503")
    assert b"Retry-After: " in answer
    assert b"Dotterelpier-Outcome: not-run" in answer
    assert server.served == 0


def test_bodies_of_requests_in_progress_count_until_they_are_answered(server) -> None:
    with server.connect() as first:
        first.sendall(post(600))
        wait_until(lambda: server.served == 1, "the first request is served")
        assert server.status_of(600) == 503
        server.proceed.set()
        assert first.recv(4096).startswith(b"HTTP/1.1 200")
    wait_until(lambda: server.status_of(LIMIT_BYTES) == 200, "the memory is free")


def test_body_whose_client_leaves_midway_is_dropped(server) -> None:
    server.proceed.set()
    with server.connect() as leaving:
        leaving.sendall(post(900, sent=500))
        wait_until(lambda: server.status_of(LIMIT_BYTES) == 503, "half has arrived")
    wait_until(lambda: server.status_of(LIMIT_BYTES) == 200, "the memory is free")


def test_announced_body_that_does_not_come_keeps_no_memory(server) -> None:
    server.proceed.set()
    with server.connect() as silent:
        silent.sendall(post(LIMIT_BYTES, sent=0))
        assert server.status_of(LIMIT_BYTES) == 200


def test_chunked_body_is_refused_once_it_exceeds_the_memory(server) -> None:
    chunk = b"190\r\n" + b"x" * 400 + b"\r\n"
    with server.connect() as connection:
        connection.sendall(REQUEST_HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunk)
        connection.sendall(chunk + chunk)
        assert connection.recv(4096).startswith(b"HTTP/1.1 503")
    assert server.served == 0
    server.proceed.set()
    wait_until(lambda: server.status_of(LIMIT_BYTES) == 200, "the memory is free")
