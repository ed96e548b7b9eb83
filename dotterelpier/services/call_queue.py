"""Queue of the calls of one service that wait for a slot, in order of arrival."""

from collections import deque
from concurrent.futures import Future

from attrs import define, field

from dotterelpier.model.admission import Slot

MIN_INTERVAL_WEIGHT = 0.1
MIN_GRANTED_CALLS = 16


@define(eq=False)
class Waiter:
    """A call that waits for a slot; its future is completed with the slot."""

    deadline_at: float
    excluded: frozenset[str] = frozenset()
    future: "Future[Slot]" = field(factory=Future)


@define
class CallQueue:
    """Waiting calls, and the mean interval at which they got their slots.

    Not thread-safe: the admission changes it only while it holds its lock. Times are on
    the monotonic clock, in seconds.
    """

    _waiters: deque[Waiter] = field(factory=deque)
    _granted_calls: int = 0
    _mean_interval_s: float = 0.0
    _interval_began_at: float = float("-inf")

    def __len__(self) -> int:
        return len(self._waiters)

    def in_order(self) -> tuple[Waiter, ...]:
        """Return the waiting calls, oldest first."""
        return tuple(self._waiters)

    def add(self, waiter: Waiter, now: float) -> None:
        """Append a call; if the queue was empty, start a new interval at ``now``."""
        if not self._waiters:
            self._interval_began_at = now
        self._waiters.append(waiter)

    def discard(self, waiter: Waiter) -> None:
        """Remove a call that no longer waits, if it is still queued."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def remove_granted(self, waiter: Waiter, now: float) -> None:
        """Remove a call that got a slot, and update the mean interval.

        The mean is a plain average at first and then exponentially weighted.
        """
        self._waiters.remove(waiter)
        self._granted_calls += 1
        weight = max(1 / self._granted_calls, MIN_INTERVAL_WEIGHT)
        self._mean_interval_s += weight * (
            now - self._interval_began_at - self._mean_interval_s
        )
        self._interval_began_at = now

    def expected_wait_s(self) -> float:
        """Return the expected wait of a new call behind all queued ones, in seconds.

        It is zero until ``MIN_GRANTED_CALLS`` calls got a slot.
        """
        if self._granted_calls < MIN_GRANTED_CALLS:
            return 0.0
        return len(self._waiters) * self._mean_interval_s
