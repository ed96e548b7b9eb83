"""Limit on the memory that request bodies take while they are received and served."""

import threading

from attrs import define, field
from waitress.utilities import Error


class BodyMemoryFullError(Error):
    """Answer to a request whose body cannot be held; it was not read completely."""

    code = 503
    reason = "Service Unavailable"


@define
class BodyBudget:
    """Counts the bytes of request bodies that are held. Thread-safe.

    Attributes
    ----------
    limit_bytes : int
        Bytes that all bodies together may take.
    """

    limit_bytes: int
    _held_bytes: int = 0
    _lock: threading.Lock = field(factory=threading.Lock)

    def has_room(self, count: int) -> bool:
        """Return whether a body of ``count`` bytes would fit now.

        Only bytes that arrive are counted, so that a client that announces a large body
        and does not send it keeps no memory from others.
        """
        with self._lock:
            return self._held_bytes + count <= self.limit_bytes

    def try_hold(self, count: int) -> bool:
        """Count bytes that arrived; return False if they exceed the limit."""
        with self._lock:
            if self._held_bytes + count > self.limit_bytes:
                return False
            self._held_bytes += count
            return True

    def release(self, count: int) -> None:
        """Count bytes that are no longer held."""
        with self._lock:
            self._held_bytes -= count
