"""Memory for the answers to clients, and why connections of clients are closed."""

from collections.abc import Callable
from enum import Enum
from typing import Protocol


class CloseReason(str, Enum):
    """Why the connection of a client was closed."""

    MEMORY = "memory"
    THREAD = "thread"
    CONNECTIONS = "connections"
    STALLED = "stalled"
    DEADLINE = "deadline"


class AnswerMemory(Protocol):
    """Memory for the answers to one request of a client.

    It ends with the request: what was reserved is free again by then.
    """

    def try_reserve(self, count: int) -> bool:
        """Reserve bytes for a long answer; return False if it has to wait."""
        ...

    def reserve(
        self, count: int, deadline_at: float, is_aborted: Callable[[], bool]
    ) -> None:
        """Reserve bytes for a long answer; wait while clients hold too many.

        Parameters
        ----------
        count : int
            Bytes of the answer.
        deadline_at : float
            When to give up, in seconds on the monotonic clock.
        is_aborted : Callable
            Whether the answer is no longer wanted; asked again after ``wake``. It must
            not block.

        Raises
        ------
        AnswerAbandonedError
            If the request ended meanwhile, or there was no room by the deadline.
        """
        ...

    def release(self, count: int) -> None:
        """Return reserved bytes before the request ends."""
        ...

    def wake(self) -> None:
        """Make a waiting ``reserve`` ask again whether the answer is wanted."""
        ...


class UncountedAnswerMemory:
    """Memory of exchanges that no client waits for; it is not counted."""

    def try_reserve(self, count: int) -> bool:
        """Return True."""
        return True

    def reserve(
        self, count: int, deadline_at: float, is_aborted: Callable[[], bool]
    ) -> None:
        """Return at once."""

    def release(self, count: int) -> None:
        """Do nothing."""

    def wake(self) -> None:
        """Do nothing."""


UNCOUNTED: AnswerMemory = UncountedAnswerMemory()
