"""One load process: open-loop calls at their intended times.

Run with ``python -m bench.load PLAN RESULT``, both JSON files.
"""

import http.client
import json
import random
import sys
import threading
import time
from collections import deque
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

from attrs import define, field

from dotterelpier.clients.http_connection import open_connection
from tests.utils import request

THREADS = 400
CALLER_DELAY_S = 0.003
TIMEOUT_S = 20.0
DIRECTORY_TIMEOUT_S = 0.5
MAX_ATTEMPTS = 3


@define
class CachedDirectoryAnswer:
    """An answer of the directory, kept for its maximum age."""

    addresses: list[str]
    weights: list[int]
    expires_at: float


@define
class LoadProcess:
    """Callers that share kept answers and connections."""

    bootstrap: list[str]
    rng: random.Random
    _cached_answer_by_service: dict[str, CachedDirectoryAnswer] = field(factory=dict)
    _idle_by_address: dict[str, deque[http.client.HTTPConnection]] = field(factory=dict)
    _lock: threading.Lock = field(factory=threading.Lock)

    def call(self, service: str, number: int, intended_at: float) -> dict[str, Any]:
        """Make one call and return what the caller saw.

        Each way between caller and entry takes ``CALLER_DELAY_S``; the way there
        is part of the intended time.
        """
        lag_s = time.monotonic() - intended_at
        tried: list[str] = []
        outcome = "none"
        while outcome == "none" and len(tried) < MAX_ATTEMPTS:
            address = self._choose_address(service, tried)
            tried.append(address)
            outcome = self._exchange(address, f"/{service}/items/{number}")
        return {
            "outcome": outcome,
            "latency_s": time.monotonic() - intended_at + 2 * CALLER_DELAY_S,
            "lag_s": lag_s,
        }

    def _exchange(self, address: str, target: str) -> str:
        connection = self._pop_idle_connection(address)
        try:
            if connection is None:
                connection = open_connection(address, TIMEOUT_S)
            connection.request(
                "GET", target, headers={"Dotterelpier-Timeout": str(TIMEOUT_S)}
            )
            response = connection.getresponse()
            response.read()
        except (OSError, http.client.HTTPException):
            if connection is not None:
                connection.close()
            return "none"
        self._return_connection(address, connection)
        return response.headers.get("Dotterelpier-Outcome", "none")

    def _pop_idle_connection(self, address: str) -> http.client.HTTPConnection | None:
        try:
            return self._idle_by_address[address].pop()
        except (KeyError, IndexError):
            return None

    def _return_connection(
        self, address: str, connection: http.client.HTTPConnection
    ) -> None:
        self._idle_by_address.setdefault(address, deque()).append(connection)

    def _choose_address(self, service: str, tried: list[str]) -> str:
        with self._lock:
            cached = self._cached_answer_by_service.get(service)
            if cached is None or cached.expires_at < time.monotonic() or tried:
                cached = self._query_directory(service, tried)
                self._cached_answer_by_service[service] = cached
            usable = [
                (address, weight)
                for address, weight in zip(
                    cached.addresses, cached.weights, strict=True
                )
                if address not in tried
            ] or [(self.rng.choice(self.bootstrap), 1)]
            addresses, weights = zip(*usable, strict=True)
            return str(self.rng.choices(addresses, weights)[0])

    def _query_directory(self, service: str, tried: list[str]) -> CachedDirectoryAnswer:
        candidates = [item for item in self.bootstrap if item not in tried]
        self.rng.shuffle(candidates)
        for address in candidates:
            try:
                target = f"/v1/entries?service={service}"
                reply = request(address, "GET", target, timeout_s=DIRECTORY_TIMEOUT_S)
                answer = json.loads(reply.body)
            except (OSError, http.client.HTTPException, ValueError):
                continue
            entries = answer.get("entries")
            if entries:
                return CachedDirectoryAnswer(
                    [entry["address"] for entry in entries],
                    [entry["weight"] for entry in entries],
                    time.monotonic() + answer["max_age_s"],
                )
        return CachedDirectoryAnswer(
            candidates, [1] * len(candidates), time.monotonic() + 1.0
        )


def run(plan: dict[str, Any]) -> list[dict[str, Any]]:
    """Make all calls of a plan and return what came of each."""
    process = LoadProcess(plan["bootstrap"], random.Random(plan["seed"]))
    start_at = plan["start_at"]
    pending = []
    with ThreadPoolExecutor(THREADS) as executor:
        for at_s, service, number in plan["calls"]:
            intended_at = start_at + at_s
            wait_s = intended_at - time.monotonic()
            if wait_s > 0:
                time.sleep(wait_s)
            pending.append(executor.submit(process.call, service, number, intended_at))
        return [future.result() for future in pending]


def main(plan_file: str, result_file: str) -> None:
    """Run a plan and write its result."""
    plan = json.loads(Path(plan_file).read_text())
    Path(result_file).write_text(json.dumps(run(plan)))


if __name__ == "__main__":
    main(sys.argv[1], sys.argv[2])
