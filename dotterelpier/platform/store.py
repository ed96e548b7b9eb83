"""Connections to the rows of the platform's store."""

import base64
import binascii
import http.client
import json
import threading
from typing import Any
from urllib.parse import urlencode

from attrs import define, field, frozen

from dotterelpier.clients.http_connection import (
    is_readable,
    open_connection,
    shut_down,
)
from dotterelpier.errors import (
    ConflictError,
    HistoryLostError,
    PlatformUnavailableError,
)
from dotterelpier.model.fleet import StoreReply, StoreRow
from dotterelpier.protocols.fleet import RowStore

# A read takes 4 ms by the sites' terms, and up to a hundred times that while the store
# is slow.
CALL_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 1.0
# Above the waiting time that a watch asks for.
WATCH_MARGIN_S = 1.0

PATH_GET = "/rows-get"
PATH_FEED = "/rows-feed"
PATH_TX = "/rows-tx"
STATUS_OK = 200
STATUS_CONFLICT = 412
STATUS_HISTORY_LOST = 410

JSON_HEADERS = {"Content-Type": "application/json"}


@define(eq=False)
class RowConnection:
    """One connection to the store; used by one task at a time."""

    _address: str
    _connection: http.client.HTTPConnection | None = None
    _lock: threading.Lock = field(factory=threading.Lock)

    def read(self, table: str) -> StoreReply:
        """Return all rows of a table."""
        query: dict[str, Any] = {"table": table, "part": ""}
        first = page = self._get(PATH_GET, query, CALL_TIMEOUT_S)
        row_by_key = {row.key: row for row in page.rows}
        while page.more:
            # The range begins with the last key, which comes again.
            query["from"] = page.rows[-1].key
            page = self._get(PATH_GET, query, CALL_TIMEOUT_S)
            row_by_key.update((row.key, row) for row in page.rows)
        rows = tuple(row_by_key.values())
        return StoreReply(rows, first.version, whole=True)

    def watch(self, table: str, after: int, wait_s: float) -> StoreReply:
        """Return the changes of a table after a version, waiting for the first."""
        query = {"table": table, "after": after, "waitMs": int(wait_s * 1000)}
        page = self._get(PATH_FEED, query, wait_s + WATCH_MARGIN_S)
        return StoreReply(page.rows, page.version)

    def put(self, table: str, key: str, value: bytes) -> int:
        """Write a row; return its version."""
        row = {"table": table, "part": "", "key": key}
        write = {**row, "value": base64.b64encode(value).decode()}
        return self._commit({"expect": [], "writes": [write], "deletes": []}, key)

    def delete(self, table: str, key: str, version: int) -> None:
        """Delete a row that still has a version."""
        row = {"table": table, "part": "", "key": key}
        expected = {**row, "ver": version}
        self._commit({"expect": [expected], "writes": [], "deletes": [row]}, key)

    def abort(self) -> None:
        """Break off the call that another thread waits for."""
        with self._lock:
            if self._connection is not None:
                shut_down(self._connection.sock)

    def _commit(self, transaction: dict[str, Any], key: str) -> int:
        body = json.dumps(transaction).encode()
        status, reply = self._exchange("POST", PATH_TX, body, CALL_TIMEOUT_S)
        if status == STATUS_CONFLICT:
            message = f"row {key!r} changed"
            raise ConflictError(message, step="store.commit", peer=self._address)
        if status != STATUS_OK or not isinstance(reply, dict):
            raise self._unavailable(f"status {status}", "store.commit")
        return int(reply.get("ver", 0))

    def _get(self, path: str, query: dict[str, Any], timeout_s: float) -> "_Page":
        target = f"{path}?{urlencode(query)}"
        status, reply = self._exchange("GET", target, None, timeout_s)
        if status == STATUS_HISTORY_LOST:
            message = "the changes asked for are no longer known"
            raise HistoryLostError(message, step="store.watch", peer=self._address)
        if status != STATUS_OK:
            raise self._unavailable(f"status {status}", "store.read")
        try:
            return _decode_page(reply)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            message = f"malformed reply: {error!r}"
            raise self._unavailable(message, "store.read") from None

    def _exchange(
        self, method: str, target: str, body: bytes | None, timeout_s: float
    ) -> tuple[int, Any]:
        try:
            connection = self._connect(timeout_s)
            headers = JSON_HEADERS if body is not None else {}
            connection.request(method, target, body, headers)
            response = connection.getresponse()
            content = response.read()
            if response.will_close:
                self._close()
            return response.status, json.loads(content) if content else None
        except (OSError, ValueError, http.client.HTTPException) as error:
            self._close()
            raise self._unavailable(repr(error), "store.exchange") from None

    def _connect(self, timeout_s: float) -> http.client.HTTPConnection:
        with self._lock:
            connection = self._connection
        if connection is not None and is_readable(connection.sock):
            # The store closed it while it was idle.
            self._close()
            connection = None
        if connection is None:
            connection = open_connection(self._address, CONNECT_TIMEOUT_S)
            with self._lock:
                self._connection = connection
        connection.sock.settimeout(timeout_s)
        return connection

    def _close(self) -> None:
        with self._lock:
            connection, self._connection = self._connection, None
        if connection is not None:
            connection.close()

    def _unavailable(self, message: str, step: str) -> PlatformUnavailableError:
        return PlatformUnavailableError(message, step=step, peer=self._address)


@define
class RowStores:
    """Opens connections to the store."""

    _address: str

    def connect(self) -> RowStore:
        """Return a connection, opened on its first use."""
        return RowConnection(self._address)


@frozen
class _Page:
    """One reply with rows; ``more`` tells that the range goes on."""

    rows: tuple[StoreRow, ...]
    version: int
    more: bool


def _decode_page(reply: dict[str, Any]) -> _Page:
    rows = tuple(_decode_row(item) for item in reply.get("rows", ()))
    return _Page(rows, int(reply["ver"]), bool(reply.get("hasMore")) and len(rows) > 1)


def _decode_row(item: dict[str, Any]) -> StoreRow:
    key, version = str(item["key"]), int(item["ver"])
    if item.get("tombstone"):
        return StoreRow(key, None, version)
    try:
        return StoreRow(
            key, base64.b64decode(item.get("value") or "", validate=True), version
        )
    except (binascii.Error, TypeError):
        # An unreadable value is not a deleted row; its decoder will refuse it.
        return StoreRow(key, b"", version)


def make_row_stores(address: str) -> RowStores:
    """Return the store at ``IP:port``."""
    return RowStores(address)
