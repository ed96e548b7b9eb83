"""Callers that query the directory, reuse connections, and never retry a request."""

import http.client
import json
import random
import threading

from attrs import define, field

from dotterelpier.clients.http_connection import is_readable, open_connection
from soak.accounts import CAPPED, CREDENTIAL_HEADER, MEMBERS, UsedKey
from soak.record import Record, SentRequest
from soak.system import SoakSystem
from tests.fleet_system import ATTEMPT_ID_HEADER, HOST, SIGNATURE_HEADER
from tests.utils import request

PAUSE_S = 0.03
TIMEOUT_S = 4.0
DIRECTORY_REFRESH_CALLS = 40
# Shares of the requests with a key that no configuration has, and with one that was
# withdrawn several versions ago.
UNKNOWN_KEY_SHARE = 0.03
OLD_KEY_SHARE = 0.05
OLD_KEY_VERSIONS = 4
# Callers of the account with a usage cap; they ask for several times what it allows.
CAPPED_CALLERS = 4
ROLLED_SHARE = 0.3


@define(eq=False)
class Caller:
    """One caller in a thread of its own; it reuses a connection until that fails."""

    number: int
    system: SoakSystem
    record: Record
    random: random.Random
    _addresses: list[str] = field(factory=list)
    _connection_by_address: dict[str, http.client.HTTPConnection] = field(factory=dict)

    def run(self, stopping: threading.Event) -> None:
        """Send requests one by one, with pauses, until ``stopping`` is set."""
        call_number = 0
        while not stopping.wait(PAUSE_S):
            call_number += 1
            if call_number % DIRECTORY_REFRESH_CALLS == 1 or not self._addresses:
                self._addresses = self._query_directory() or self._addresses
            if self._addresses:
                self._send(f"c{self.number}-{call_number}", self.random.random() < 0.5)

    def _query_directory(self) -> list[str]:
        entry = self.random.choice(self.system.entries.entries)
        target = f"/resolve?name={HOST}&region=r&zone={entry.zone}"
        try:
            page = request(
                entry.address_by_use["directory"], "GET", target, timeout_s=1.0
            )
            return list(json.loads(page.body)["addresses"])
        except (OSError, http.client.HTTPException, ValueError, KeyError):
            # The entry is stopped or not ready; the caller keeps the last answer.
            return []

    def _send(self, request_id: str, idempotent: bool) -> None:
        address = self.random.choice(self._addresses)
        sent_at = self.record.now()
        key = self._key()
        rolled = idempotent and self.random.random() < ROLLED_SHARE
        safe_path = "/rolled/x" if rolled else "/safe/x"
        prefix = safe_path if idempotent else "/once/x"
        headers = {
            "Host": HOST,
            ATTEMPT_ID_HEADER: request_id,
            CREDENTIAL_HEADER: key.text,
            "X-Dotterelpier-Deadline-Ms": "2500",
        }
        sent = SentRequest(request_id, idempotent, sent_at, key=key)
        try:
            connection = self._connection(address)
            connection.request("GET" if idempotent else "POST", prefix, None, headers)
            response = connection.getresponse()
            body = response.read()
            signed = response.headers.get(SIGNATURE_HEADER) is not None
            sent = SentRequest(
                request_id, idempotent, sent_at, response.status, body, signed, key
            )
        except (OSError, http.client.HTTPException):
            # Without a response nothing is promised; the record keeps status 0.
            self._connection_by_address.pop(address, None)
            self._addresses = [item for item in self._addresses if item != address]
        self.record.add_request(sent)

    def _key(self) -> UsedKey:
        draw = self.random.random()
        if draw < UNKNOWN_KEY_SHARE:
            return UsedKey("")
        account = CAPPED if self.number < CAPPED_CALLERS else MEMBERS
        valid = self.system.valid_key(account)
        if draw < UNKNOWN_KEY_SHARE + OLD_KEY_SHARE:
            return UsedKey(account, valid.version - OLD_KEY_VERSIONS)
        return valid

    def _connection(self, address: str) -> http.client.HTTPConnection:
        connection = self._connection_by_address.get(address)
        if connection is None or is_readable(connection.sock):
            connection = open_connection(address, 1.0)
            self._connection_by_address[address] = connection
        if connection.sock is not None:
            connection.sock.settimeout(TIMEOUT_S)
        return connection
