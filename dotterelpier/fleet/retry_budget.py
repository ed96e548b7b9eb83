"""Limit on retries and hedged requests, over all entries."""

import threading
from collections import deque

from attrs import define, field

from dotterelpier.kernel import Kernel
from dotterelpier.protocols import Clock, ServiceName
from dotterelpier.protocols.fleet import Fleet, LiveSettings, RetryBudget

# Share of the agreed budget that is used. The windows of the entries differ, and an
# entry that restarts loses count of what it spent.
BUDGET_SHARE = 0.8


@define
class _Window:
    """Times of requests and of retries within the sliding window, oldest first."""

    requests: deque[float] = field(factory=deque)
    retries: deque[float] = field(factory=deque)

    def expire(self, before: float) -> None:
        """Drop the times before ``before``, which is on the monotonic clock."""
        for times in (self.requests, self.retries):
            while times and times[0] < before:
                times.popleft()


@define
class SharedRetryBudget:
    """Keeps this entry's share of the retry budget of each service.

    Each entry applies the ratio to its own requests, so it holds for their sum. The
    slack above the ratio is divided by the number of entries. Hedged requests count as
    retries. Thread-safe.
    """

    _clock: Clock
    _fleet: Fleet
    _settings: LiveSettings
    _window_by_service: dict[str, _Window] = field(factory=dict)
    _lock: threading.Lock = field(factory=threading.Lock)

    def note_request(self, service: str) -> None:
        """Count a client request, which allows more retries."""
        with self._lock:
            self._window(service).requests.append(self._clock.monotonic())

    def try_withdraw(self, service: str) -> bool:
        """Withdraw one retry from the budget; return False if it is used up."""
        bounds = self._settings.bounds()
        slack = bounds.retry_slack / self._fleet.size()
        with self._lock:
            window = self._window(service)
            allowed = bounds.retry_ratio * len(window.requests) + slack
            if len(window.retries) + 1 > allowed * BUDGET_SHARE:
                return False
            window.retries.append(self._clock.monotonic())
            return True

    def refund(self, service: str) -> None:
        """Refund a retry that was not sent, as no backend server was eligible."""
        with self._lock:
            retries = self._window(service).retries
            if retries:
                retries.pop()

    def _window(self, service: str) -> _Window:
        window = self._window_by_service.setdefault(service, _Window())
        window.expire(self._clock.monotonic() - self._settings.bounds().retry_window_s)
        return window


def make_retry_budget(kernel: Kernel) -> RetryBudget:
    """Return the budget with no retries counted; the settings hold its limits."""
    return SharedRetryBudget(
        kernel.find(ServiceName.CLOCK, Clock),
        kernel.find(ServiceName.FLEET, Fleet),
        kernel.find(ServiceName.LIVE_SETTINGS, LiveSettings),
    )
