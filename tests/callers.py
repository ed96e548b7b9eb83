"""Callers as the brief describes them: ask for entries, keep the answer, connect."""

import contextlib
import http.client
import random
import time
import uuid
from typing import Any

from attrs import define, field, frozen

from dotterelpier.clients.http_connection import is_readable, open_connection
from tests.utils import request_json


@frozen
class CallerResult:
    """What a caller saw of one call."""

    service: str
    outcome: str
    status: int
    latency_s: float
    started_at: float
    key: str = ""


@define
class _CachedEntries:
    """A kept answer of the directory."""

    addresses: list[str]
    weights: list[int]
    expires_at: float


@define
class Caller:
    """Calls services on connections that it keeps."""

    bootstrap: list[str]
    seed: int
    results: list[CallerResult] = field(factory=list)
    _cached_entries_by_service: dict[str, _CachedEntries] = field(factory=dict)
    _connection_by_address: dict[str, http.client.HTTPConnection] = field(factory=dict)
    _random: random.Random = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._random = random.Random(self.seed)

    def call(self, service: str, call_number: int) -> CallerResult:
        """Make one call, every fourth one with a key and a body."""
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
        """Ask the entries known in random order until one answers."""
        shuffled = self._random.sample(self.bootstrap, len(self.bootstrap))
        for address in shuffled[:-1]:
            with contextlib.suppress(OSError, http.client.HTTPException):
                return request_json(address, target)
        return request_json(shuffled[-1], target)

    def _connection(self, address: str) -> http.client.HTTPConnection:
        connection = self._connection_by_address.get(address)
        # A kept connection that the entry closed meanwhile carries no more requests.
        if connection is None or is_readable(connection.sock):
            connection = open_connection(address, 10.0)
            self._connection_by_address[address] = connection
        return connection

    def _invalidate(self, service: str) -> None:
        self._cached_entries_by_service.pop(service, None)
        for connection in self._connection_by_address.values():
            connection.close()
        self._connection_by_address.clear()
