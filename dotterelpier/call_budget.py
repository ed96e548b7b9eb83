"""Budgets for retries and hedged requests, and the latency that triggers a hedge."""

import threading
from collections import deque

from attrs import define, field

MAX_SAVED_ATTEMPTS = 20.0
WINDOW_CALLS = 256
MIN_CALLS = 32
RECOMPUTE_INTERVAL_CALLS = 16
HEDGE_QUANTILE = 0.95


@define
class AttemptBudget:
    """Token bucket that limits extra attempts to a share of the calls.

    It starts full, with ``MAX_SAVED_ATTEMPTS``, and never holds more. Thread-safe.
    """

    _saved_attempts: float = MAX_SAVED_ATTEMPTS
    _lock: threading.Lock = field(factory=threading.Lock)

    def deposit(self, share: float) -> None:
        """Add the share of one attempt that a new call earns, up to the cap."""
        with self._lock:
            self._saved_attempts = min(MAX_SAVED_ATTEMPTS, self._saved_attempts + share)

    def try_withdraw(self) -> bool:
        """Withdraw one attempt; return False if less than a whole one is left."""
        with self._lock:
            if self._saved_attempts < 1.0:
                return False
            self._saved_attempts -= 1.0
            return True

    def refund(self) -> None:
        """Refund an attempt that was withdrawn but not sent."""
        self.deposit(1.0)


@define
class LatencyWindow:
    """Sliding window over the latencies of answered attempts. Thread-safe."""

    _latencies_s: "deque[float]" = field(factory=lambda: deque(maxlen=WINDOW_CALLS))
    _added: int = 0
    _quantile_s: float | None = None
    _lock: threading.Lock = field(factory=threading.Lock)

    def add(self, latency_s: float) -> None:
        """Add the latency of an answered attempt, in seconds."""
        with self._lock:
            self._latencies_s.append(latency_s)
            self._added += 1
            if self._added >= MIN_CALLS and self._added % RECOMPUTE_INTERVAL_CALLS == 0:
                ordered = sorted(self._latencies_s)
                self._quantile_s = ordered[int(HEDGE_QUANTILE * len(ordered))]

    def quantile_s(self) -> float | None:
        """Return the 95th percentile, or None before ``MIN_CALLS`` were answered.

        It is recomputed once for every ``RECOMPUTE_INTERVAL_CALLS`` latencies added.
        """
        return self._quantile_s


@define
class CallBudget:
    """Hedge budget, retry budget and latency window of one service."""

    hedges: AttemptBudget = field(factory=AttemptBudget)
    retries: AttemptBudget = field(factory=AttemptBudget)
    latencies: LatencyWindow = field(factory=LatencyWindow)
