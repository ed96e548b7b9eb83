"""HTTP client for the platform's table, object store and list of VMs.

Conditional reads use entity tags (RFC 9110, section 8.8.3). A transaction is a batch
of writes with preconditions; the platform answers with 412 if one does not hold.
"""

import http.client
import json
import threading
import time
from collections.abc import Sequence
from typing import Any
from urllib.parse import quote

from attrs import define, field, frozen

from dotterelpier.clients.http_connection import (
    ClientConnection,
    StrictResponse,
    open_connection,
)
from dotterelpier.errors import ConflictError, PlatformUnavailableError
from dotterelpier.model.platform import Row, Vm, VmState, Write
from dotterelpier.protocols import Clock
from dotterelpier.settings import PlatformSettings

OK = 200
NOT_MODIFIED = 304
NOT_FOUND = 404
PRECONDITION_FAILED = 412
MAX_IDLE_CONNECTIONS = 8
# Far above any list of rows of a system of the size designed for.
MAX_REPLY_BYTES = 64 << 20


@frozen
class _Reply:
    status: int
    etag: str
    body: bytes


@define
class PlatformClient:
    """Client for the platform; implements ``Table``, ``Objects`` and ``Vms``.

    Methods raise ``PlatformUnavailableError`` if no valid answer came; a write may then
    have taken effect or not.
    """

    _settings: PlatformSettings
    _clock: Clock
    _idle: list[ClientConnection] = field(factory=list)
    _lock: threading.Lock = field(factory=threading.Lock)
    _reached_at: float = float("-inf")

    def read(self, key: str) -> Row | None:
        """Return a row, or None if it does not exist."""
        reply = self._request("GET", f"/v1/rows/{quote(key, safe='')}")
        return None if reply.status == NOT_FOUND else Row(key, reply.etag, reply.body)

    def read_if_changed(self, key: str, version: str) -> Row | None:
        """Return a row, or None if it still has this version or does not exist."""
        headers = {"If-None-Match": version} if version else {}
        reply = self._request("GET", f"/v1/rows/{quote(key, safe='')}", headers=headers)
        if reply.status in (NOT_FOUND, NOT_MODIFIED):
            return None
        return Row(key, reply.etag, reply.body)

    def scan(self, prefix: str) -> tuple[Row, ...]:
        """Return all rows whose keys start with a prefix, ordered by key."""
        reply = self._request("GET", f"/v1/rows?prefix={quote(prefix, safe='')}")
        return tuple(
            Row(item["key"], item["version"], item["value"].encode())
            for item in self._items(reply, "rows")
        )

    def commit(self, writes: Sequence[Write]) -> tuple[str, ...]:
        """Write all rows or none; return their new versions.

        Raises
        ------
        ConflictError
            If a row does not have the expected version; nothing was written.
        """
        json_writes = [
            {
                "key": write.key,
                "value": None if write.value is None else write.value.decode(),
                "expected": write.expected,
            }
            for write in writes
        ]
        body = json.dumps({"writes": json_writes}).encode()
        reply = self._request("POST", "/v1/transactions", body)
        if reply.status == PRECONDITION_FAILED:
            raise ConflictError(
                f"precondition failed: {reply.body.decode(errors='replace')}",
                step="platform.commit",
                peer=self._settings.address,
            )
        return tuple(str(version) for version in self._items(reply, "versions"))

    def last_reached_at(self) -> float:
        """Return when the platform last answered, in monotonic seconds, or ``-inf``."""
        return self._reached_at

    def get(self, name: str) -> bytes | None:
        """Return the content of an object, or None if it does not exist."""
        reply = self._request("GET", f"/v1/objects/{quote(name, safe='')}")
        return None if reply.status == NOT_FOUND else reply.body

    def put(self, name: str, content: bytes) -> None:
        """Create or replace an object."""
        reply = self._request("PUT", f"/v1/objects/{quote(name, safe='')}", content)
        if reply.status != OK:
            raise self._unavailable(f"unexpected status {reply.status}")

    def list(self) -> tuple[Vm, ...]:
        """Return the live and leaving VMs; the list may lag."""
        reply = self._request("GET", "/v1/vms")
        return tuple(
            Vm(item["address"], VmState(item["state"]))
            for item in self._items(reply, "vms")
        )

    def stop(self) -> None:
        """Close the idle connections; requests in flight continue."""
        with self._lock:
            idle, self._idle = self._idle, []
        for connection in idle:
            connection.close()

    def start(self) -> None:
        """Do nothing; connections are opened when a request needs one."""

    def _items(self, reply: _Reply, key: str) -> Any:
        try:
            return json.loads(reply.body)[key]
        except (ValueError, KeyError, TypeError) as error:
            raise self._unavailable(f"malformed answer: {error!r}") from None

    def _request(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> _Reply:
        connection = self._take_connection()
        connection.deadline_at = time.monotonic() + self._settings.timeout_s
        try:
            connection.request(method, target, body or None, headers or {})
            response = connection.getresponse()
            assert isinstance(response, StrictResponse)
            content = response.read_whole(MAX_REPLY_BYTES)
        except (OSError, http.client.HTTPException) as error:
            connection.close()
            raise self._unavailable(repr(error)) from None
        expected_statuses = (OK, NOT_MODIFIED, NOT_FOUND, PRECONDITION_FAILED)
        if response.status not in expected_statuses:
            connection.close()
            raise self._unavailable(f"unexpected status {response.status}")
        self._return_connection(connection)
        self._reached_at = self._clock.monotonic()
        return _Reply(response.status, response.headers.get("ETag", ""), content)

    def _take_connection(self) -> ClientConnection:
        with self._lock:
            if self._idle:
                return self._idle.pop()
        try:
            return open_connection(self._settings.address, self._settings.timeout_s)
        except OSError as error:
            raise self._unavailable(repr(error)) from None

    def _return_connection(self, connection: ClientConnection) -> None:
        with self._lock:
            if len(self._idle) < MAX_IDLE_CONNECTIONS:
                self._idle.append(connection)
                return
        connection.close()

    def _unavailable(self, message: str) -> PlatformUnavailableError:
        return PlatformUnavailableError(
            message, step="platform", peer=self._settings.address
        )


def make_platform_client(settings: PlatformSettings, clock: Clock) -> PlatformClient:
    """Return a client that opens its connections on use."""
    return PlatformClient(settings, clock)
