"""Calls of one service that wait for a slot, in the order of their arrival."""

from collections import deque
from concurrent.futures import Future

from attrs import define, field

from dotterelpier.model.admission import Slot

INTERVAL_WEIGHT = 0.1
MIN_SERVED = 16


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
    _served: int = 0
    _interval_s: float = 0.0
    _moved_at: float = float("-inf")

    def __len__(self) -> int:
        return len(self._waiters)

    def in_order(self) -> tuple[Waiter, ...]:
        """Return the waiting calls, the first first."""
        return tuple(self._waiters)

    def add(self, waiter: Waiter, now: float) -> None:
        """Let a call wait behind all others."""
        if not self._waiters:
            self._moved_at = now
        self._waiters.append(waiter)

    def discard(self, waiter: Waiter) -> None:
        """Take a call out that no longer waits."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def remove_granted(self, waiter: Waiter, now: float) -> None:
        """Take a call out that got a slot."""
        self._waiters.remove(waiter)
        self._served += 1
        weight = max(1 / self._served, INTERVAL_WEIGHT)
        self._interval_s += weight * (now - self._moved_at - self._interval_s)
        self._moved_at = now

    def expected_wait_s(self) -> float:
        """Return how long the calls ahead of a new one are likely to take.

        Zero until enough calls were served to tell.
        """
        if self._served < MIN_SERVED:
            return 0.0
        return len(self._waiters) * self._interval_s
