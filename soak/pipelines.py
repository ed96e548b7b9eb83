"""Callers that send requests ahead of the answers, and callers that hardly read."""

import http.client
import random
import socket
import threading

from attrs import define, field

from dotterelpier.clients.http_connection import parse_address
from soak.accounts import CREDENTIAL_HEADER
from soak.record import Record, SentRequest
from soak.system import SoakSystem
from tests.fleet_system import ATTEMPT_ID_HEADER, HOST, SIGNATURE_HEADER

REQUESTS_AHEAD = 4
PAUSE_S = 0.2
TIMEOUT_S = 4.0
SLOW_READERS = 3
# A slow reader keeps its connection for so long, and reads a little of the answer.
READER_HOLD_S = 2.0
READER_BYTES = 4096


@define(eq=False)
class PipeliningCaller:
    """Sends several idempotent requests at once, and checks the order of the answers.

    An answer to another request of the connection breaks the integrity of responses,
    since each answer names its request.
    """

    system: SoakSystem
    record: Record
    random: random.Random
    _number: int = 0

    def run(self, stopping: threading.Event) -> None:
        """Pipeline on a new connection each time, until ``stopping`` is set."""
        while not stopping.wait(PAUSE_S):
            entry = self.random.choice(self.system.entries.entries)
            try:
                self._pipeline(entry.address_by_use["caller"])
            except (OSError, http.client.HTTPException):
                # Requests without an answer promise nothing.
                continue

    def _pipeline(self, address: str) -> None:
        self._number += 1
        ids = [f"p{self._number}-{number}" for number in range(REQUESTS_AHEAD)]
        key = self.system.valid_key()
        sent_at = self.record.now()
        unanswered = list(ids)
        with _connect(address) as connection:
            try:
                content = b"".join(_request("/safe/p", item, key.text) for item in ids)
                connection.sendall(content)
                for request_id in ids:
                    sent = _read_answer(connection, request_id, sent_at)
                    unanswered.remove(request_id)
                    self.record.add_request(sent)
            finally:
                for request_id in unanswered:
                    self.record.add_request(SentRequest(request_id, True, sent_at))


@define(eq=False)
class SlowReaders:
    """Asks for long answers on several connections, and reads only their beginning."""

    system: SoakSystem
    record: Record
    random: random.Random
    _connections: list[socket.socket] = field(factory=list)
    _number: int = 0

    def run(self, stopping: threading.Event) -> None:
        """Hold a few connections at a time until ``stopping`` is set."""
        while not stopping.wait(READER_HOLD_S):
            for connection in self._connections:
                connection.close()
            entry = self.random.choice(self.system.entries.entries)
            address = entry.address_by_use["caller"]
            self._connections = [
                connection
                for _ in range(SLOW_READERS)
                if (connection := self._ask(address)) is not None
            ]
        for connection in self._connections:
            connection.close()

    def _ask(self, address: str) -> socket.socket | None:
        self._number += 1
        request_id = f"r{self._number}"
        self.record.add_request(SentRequest(request_id, True, self.record.now()))
        try:
            connection = _connect(address)
            content = _request("/long/x", request_id, self.system.valid_key().text)
            connection.sendall(content)
            connection.recv(READER_BYTES)
        except OSError:
            return None
        return connection


def _connect(address: str) -> socket.socket:
    parsed = parse_address(address)
    return socket.create_connection((parsed.host, parsed.port), TIMEOUT_S)


def _request(target: str, request_id: str, key: str) -> bytes:
    lines = (
        f"GET {target} HTTP/1.1",
        f"Host: {HOST}",
        f"{ATTEMPT_ID_HEADER}: {request_id}",
        f"{CREDENTIAL_HEADER}: {key}",
        "X-Dotterelpier-Deadline-Ms: 2500",
    )
    return "\r\n".join((*lines, "", "")).encode()


def _read_answer(
    connection: socket.socket, request_id: str, sent_at: float
) -> SentRequest:
    response = http.client.HTTPResponse(connection)
    # ``HTTPResponse`` reads ahead into a buffer of its own, which would swallow the
    # beginning of the next answer.
    response.fp.close()
    response.fp = connection.makefile("rb", buffering=0)
    response.begin()
    body = response.read()
    signed = response.headers.get(SIGNATURE_HEADER) is not None
    return SentRequest(request_id, True, sent_at, response.status, body, signed)
