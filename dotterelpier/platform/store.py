"""HTTP client for the rows of the platform's store."""

import base64
import binascii
import http.client
import json
import threading
import time
from typing import Any
from urllib.parse import urlencode

from attrs import define, field, frozen

from dotterelpier.clients.http_connection import (
    ClientConnection,
    StrictResponse,
    is_readable,
    open_connection,
    shut_down,
)
from dotterelpier.errors import (
    ConflictError,
    HistoryLostError,
    PlatformUnavailableError,
)
from dotterelpier.model.fleet import ExpectedRow, RowWrite, StoreReply, StoreRow
from dotterelpier.platform.accounts import CONFIG_KEY, CONFIG_TABLE, hide_keys
from dotterelpier.protocols.fleet import RowStore

# The sites' terms state 4 ms for a read; a slow store takes up to a hundred times as
# long.
CALL_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 1.0
# A page holds at most 1 MB of values, a third more as base64, besides keys.
MAX_REPLY_BYTES = 8 << 20
# Added to the wait time of a watch, for the timeout of its connection.
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
    """One connection to the store; used by one task at a time.

    It connects on its first use and again after an error. All methods but ``abort``
    block, and raise ``PlatformUnavailableError`` if no valid answer comes in time; a
    write may then have taken effect, now or later. The keys in the configuration are
    replaced by digests, as rows are passed on to other entries.
    """

    _address: str
    _connection: ClientConnection | None = None
    _aborts: int = 0
    _closed: bool = False
    _lock: threading.Lock = field(factory=threading.Lock)

    def read(self, table: str) -> StoreReply:
        """Return all rows of a table; a watch after its version misses no change."""
        query: dict[str, Any] = {"table": table, "part": ""}
        first = page = self._get(PATH_GET, query, CALL_TIMEOUT_S)
        row_by_key = {row.key: row for row in page.rows}
        while page.more:
            # A page begins with the last key of the page before it.
            query["from"] = page.rows[-1].key
            page = self._get(PATH_GET, query, CALL_TIMEOUT_S)
            row_by_key.update((row.key, row) for row in page.rows)
        rows = tuple(row_by_key.values())
        return StoreReply(rows, first.version, whole=True, store_ms=first.store_ms)

    def watch(self, table: str, after: int, wait_s: float) -> StoreReply:
        """Return the changes of a table after a version.

        Waits up to ``wait_s`` seconds for the first change.

        Raises
        ------
        HistoryLostError
            If the store no longer keeps the changes after this version.
        """
        query = {"table": table, "after": after, "waitMs": int(wait_s * 1000)}
        page = self._get(PATH_FEED, query, wait_s + WATCH_MARGIN_S)
        return StoreReply(page.rows, page.version, store_ms=page.store_ms)

    def put(self, table: str, key: str, value: bytes) -> int:
        """Write a row, whatever its present version; return its new version."""
        return self.put_all((RowWrite(table, key, value),), ())

    def put_all(
        self, writes: tuple[RowWrite, ...], expected: tuple[ExpectedRow, ...]
    ) -> int:
        """Write rows in one transaction if others have the expected versions.

        Returns the version of the rows that were written.

        Raises
        ------
        ConflictError
            If a row has another version than expected; nothing was written.
        """
        transaction = {
            "expect": [
                {**_row(item.table, item.key), "ver": item.version} for item in expected
            ],
            "writes": [
                {
                    **_row(item.table, item.key),
                    "value": base64.b64encode(item.value).decode(),
                }
                for item in writes
            ],
            "deletes": [],
        }
        return self._commit(transaction, writes[0].key)

    def delete(self, table: str, key: str, version: int) -> None:
        """Delete a row if it has this version.

        Raises
        ------
        ConflictError
            If it has another version or does not exist.
        """
        row = _row(table, key)
        expected = {**row, "ver": version}
        self._commit({"expect": [expected], "writes": [], "deletes": [row]}, key)

    def abort(self) -> None:
        """Shut the connection down, which fails the call that a thread waits for."""
        with self._lock:
            self._aborts += 1
            if self._connection is not None:
                shut_down(self._connection.sock)

    def close(self) -> None:
        """Fail the call that a thread waits for, and all later ones."""
        self._closed = True
        self.abort()

    def _commit(self, transaction: dict[str, Any], key: str) -> int:
        body = json.dumps(transaction).encode()
        status, reply = self._exchange("POST", PATH_TX, body, CALL_TIMEOUT_S)
        if status == STATUS_CONFLICT:
            message = f"row {key!r} does not have the expected version"
            raise ConflictError(message, step="store.commit", peer=self._address)
        if status != STATUS_OK or not isinstance(reply, dict):
            raise self._unavailable(f"unexpected status {status}", "store.commit")
        return int(reply.get("ver", 0))

    def _get(self, path: str, query: dict[str, Any], timeout_s: float) -> "_Page":
        target = f"{path}?{urlencode(query)}"
        status, reply = self._exchange("GET", target, None, timeout_s)
        if status == STATUS_HISTORY_LOST:
            message = "store no longer keeps the requested changes"
            raise HistoryLostError(message, step="store.watch", peer=self._address)
        if status != STATUS_OK:
            raise self._unavailable(f"unexpected status {status}", "store.read")
        try:
            return _decode_page(reply, str(query["table"]))
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
            assert isinstance(response, StrictResponse)
            content = response.read_whole(MAX_REPLY_BYTES)
            if response.will_close:
                self._close()
            return response.status, json.loads(content) if content else None
        except UnicodeDecodeError as error:
            self._close()
            # Its repr would quote the whole reply, with the keys of accounts.
            raise self._unavailable(str(error), "store.exchange") from None
        except (OSError, ValueError, http.client.HTTPException) as error:
            self._close()
            raise self._unavailable(repr(error), "store.exchange") from None

    def _connect(self, timeout_s: float) -> ClientConnection:
        with self._lock:
            connection = self._connection
            if self._closed:
                raise ConnectionAbortedError("the connection was closed here")
        if connection is not None and is_readable(connection.sock):
            # The store closed the idle connection.
            self._close()
            connection = None
        if connection is None:
            connection = self._open()
        connection.sock.settimeout(timeout_s)
        connection.deadline_at = time.monotonic() + timeout_s
        return connection

    def _open(self) -> ClientConnection:
        aborts = self._aborts
        connection = open_connection(self._address, CONNECT_TIMEOUT_S)
        with self._lock:
            self._connection = connection
            # An abort before this had no connection to shut down.
            if self._closed or self._aborts != aborts:
                raise ConnectionAbortedError("aborted while connecting")
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
    """Makes connections to the store at one address."""

    _address: str

    def connect(self) -> RowStore:
        """Return a new connection; it connects on its first use."""
        return RowConnection(self._address)


@frozen
class _Page:
    """Rows of one reply; ``more`` is true if further pages follow."""

    rows: tuple[StoreRow, ...]
    version: int
    more: bool
    store_ms: int


def _row(table: str, key: str) -> dict[str, Any]:
    return {"table": table, "part": "", "key": key}


def _decode_page(reply: dict[str, Any], table: str) -> _Page:
    rows = tuple(_decode_row(item, table) for item in reply.get("rows", ()))
    more = bool(reply.get("hasMore")) and len(rows) > 1
    return _Page(rows, int(reply["ver"]), more, int(reply.get("nowMs") or 0))


def _decode_row(item: dict[str, Any], table: str) -> StoreRow:
    key, version = str(item["key"]), int(item["ver"])
    if item.get("tombstone"):
        return StoreRow(key, None, version)
    try:
        content = base64.b64decode(item.get("value") or "", validate=True)
    except (binascii.Error, TypeError):
        # A value that is not base64 must not read as a deleted row; with empty content,
        # the decoder of the row rejects it.
        content = b""
    if table == CONFIG_TABLE and key == CONFIG_KEY:
        content = hide_keys(content)
    return StoreRow(key, content, version)


def make_row_stores(address: str) -> RowStores:
    """Return a factory of connections to the store at ``IP:port``."""
    return RowStores(address)
