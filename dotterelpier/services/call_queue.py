"""Calls of one service that wait for a slot, in the order of their arrival."""

from collections import deque
from concurrent.futures import Future

from attrs import define, field

from dotterelpier.model.admission import Slot

MIN_INTERVAL_WEIGHT = 0.1
MIN_GRANTED_CALLS = 16


@define(eq=False)
class Waiter:
    """A call that waits for a slot."""

    deadline_at: float
    excluded: frozenset[str] = frozenset()
    future: "Future[Slot]" = field(factory=Future)


@define
class CallQueue:
    """Waiting calls, and how fast they lately got their slots."""

    _waiters: deque[Waiter] = field(factory=deque)
    _granted_calls: int = 0
    _mean_interval_s: float = 0.0
    _interval_began_at: float = float("-inf")

    def __len__(self) -> int:
        return len(self._waiters)

    def in_order(self) -> tuple[Waiter, ...]:
        """Return the waiting calls, the first first."""
        return tuple(self._waiters)

    def add(self, waiter: Waiter, now: float) -> None:
        """Let a call wait behind all others."""
        if not self._waiters:
            self._interval_began_at = now
        self._waiters.append(waiter)

    def discard(self, waiter: Waiter) -> None:
        """Take a call out that no longer waits."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def remove_granted(self, waiter: Waiter, now: float) -> None:
        """Take a call out that got a slot."""
        self._waiters.remove(waiter)
        self._granted_calls += 1
        weight = max(1 / self._granted_calls, MIN_INTERVAL_WEIGHT)
        self._mean_interval_s += weight * (
            now - self._interval_began_at - self._mean_interval_s
        )
        self._interval_began_at = now

    def expected_wait_s(self) -> float:
        """Return how long the calls ahead of a new one are likely to take.

        Zero until enough calls were served to tell.
        """
        if self._granted_calls < MIN_GRANTED_CALLS:
            return 0.0
        return len(self._waiters) * self._mean_interval_s
