"""Test callers: fetch the list of entries, cache it, call over kept connections."""

import contextlib
import http.client
import json
import random
import time
import uuid
from http import HTTPStatus
from typing import Any

from attrs import define, field, frozen

from dotterelpier.clients.http_connection import is_readable, open_connection
from tests.utils import request


@frozen
class CallerResult:
    """Outcome of one call as the caller observed it.

    Attributes
    ----------
    outcome : str
        Value of the ``Dotterelpier-Outcome`` header, "none" without a response.
    status : int
        HTTP status, 0 without a response.
    started_at : float
        Start of the call in seconds on the monotonic clock.
    key : str
        Idempotency key made for the call; only ``POST`` requests send it.
    """

    service: str
    outcome: str
    status: int
    latency_s: float
    started_at: float
    key: str = ""


@define
class _CachedEntries:
    """Cached entries for one service; ``expires_at`` is on the monotonic clock."""

    addresses: list[str]
    weights: list[int]
    expires_at: float


@define
class Caller:
    """Calls services through entries, on one persistent connection to each entry."""

    bootstrap: list[str]
    seed: int
    results: list[CallerResult] = field(factory=list)
    _cached_entries_by_service: dict[str, _CachedEntries] = field(factory=dict)
    _connection_by_address: dict[str, http.client.HTTPConnection] = field(factory=dict)
    _random: random.Random = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._random = random.Random(self.seed)

    def call(self, service: str, call_number: int) -> CallerResult:
        """Make one call, record its result and return it.

        Every fourth call is a ``POST`` with an idempotency key and a body. If the call
        fails without a response, the caller discards the cached entries of the service
        and closes all its connections.
        """
        started_at = time.monotonic()
        key = uuid.UUID(int=self._random.getrandbits(128)).hex
        method = "POST" if call_number % 4 == 0 else "GET"
        headers = {"Idempotency-Key": key} if method == "POST" else {}
        body = b"item" if method == "POST" else None
        try:
            address = self._choose_address(service)
            connection = self._connection(address)
            connection.request(method, f"/{service}/items/{call_number}", body, headers)
            response = connection.getresponse()
            response.read()
            outcome = response.headers.get("Dotterelpier-Outcome", "none")
            status = response.status
        except (OSError, http.client.HTTPException):
            self._invalidate(service)
            outcome, status = "none", 0
        latency_s = time.monotonic() - started_at
        result = CallerResult(service, outcome, status, latency_s, started_at, key)
        self.results.append(result)
        return result

    def _choose_address(self, service: str) -> str:
        cached = self._cached_entries_by_service.get(service)
        if cached is None or cached.expires_at < time.monotonic():
            cached = self._fetch_entries(service)
            self._cached_entries_by_service[service] = cached
        return self._random.choices(cached.addresses, cached.weights)[0]

    def _fetch_entries(self, service: str) -> _CachedEntries:
        answer = self._fetch_from_any(f"/v1/entries?service={service}")
        entries = answer["entries"]
        return _CachedEntries(
            [entry["address"] for entry in entries],
            [entry["weight"] for entry in entries],
            time.monotonic() + answer["max_age_s"],
        )

    def _fetch_from_any(self, target: str) -> Any:
        """Try the bootstrap entries in random order until one lists entries.

        One that has just started may answer that it knows no manifest yet.

        Raises
        ------
        ConnectionError
            If none does.
        """
        for address in self._random.sample(self.bootstrap, len(self.bootstrap)):
            with contextlib.suppress(OSError, http.client.HTTPException):
                reply = request(address, "GET", target)
                if reply.status == HTTPStatus.OK:
                    return json.loads(reply.body)
        raise ConnectionError("no bootstrap entry lists the entries of the service")

    def _connection(self, address: str) -> http.client.HTTPConnection:
        connection = self._connection_by_address.get(address)
        # A readable idle connection was closed by the entry and must not be reused.
        if connection is None or is_readable(connection.sock):
            connection = open_connection(address, 10.0)
            self._connection_by_address[address] = connection
        return connection

    def _invalidate(self, service: str) -> None:
        self._cached_entries_by_service.pop(service, None)
        for connection in self._connection_by_address.values():
            connection.close()
        self._connection_by_address.clear()
