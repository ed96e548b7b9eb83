"""What the calls of one service may spend on second attempts, and when."""

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
    """Allows extra attempts as a share of the calls made."""

    _saved_attempts: float = MAX_SAVED_ATTEMPTS
    _lock: threading.Lock = field(factory=threading.Lock)

    def deposit(self, share: float) -> None:
        """Add what one call allows."""
        with self._lock:
            self._saved_attempts = min(MAX_SAVED_ATTEMPTS, self._saved_attempts + share)

    def take(self) -> bool:
        """Take one extra attempt if there is one."""
        with self._lock:
            if self._saved_attempts < 1.0:
                return False
            self._saved_attempts -= 1.0
            return True

    def give_back(self) -> None:
        """Return an attempt that was not made."""
        self.deposit(1.0)


@define
class LatencyWindow:
    """Latencies of the last calls, in seconds."""

    _latencies_s: "deque[float]" = field(factory=lambda: deque(maxlen=WINDOW_CALLS))
    _added: int = 0
    _quantile_s: float | None = None
    _lock: threading.Lock = field(factory=threading.Lock)

    def add(self, latency_s: float) -> None:
        """Add the latency of a call."""
        with self._lock:
            self._latencies_s.append(latency_s)
            self._added += 1
            if self._added >= MIN_CALLS and self._added % RECOMPUTE_INTERVAL_CALLS == 0:
                ordered = sorted(self._latencies_s)
                self._quantile_s = ordered[int(HEDGE_QUANTILE * len(ordered))]

    def quantile_s(self) -> float | None:
        """Return the 95th percentile, or None before enough calls were made."""
        return self._quantile_s


@define
class CallBudget:
    """Budgets and latencies of one service."""

    hedges: AttemptBudget = field(factory=AttemptBudget)
    retries: AttemptBudget = field(factory=AttemptBudget)
    latencies: LatencyWindow = field(factory=LatencyWindow)
