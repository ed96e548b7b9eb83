"""Whether the platform's store is reached."""

import threading
from collections.abc import Callable

from attrs import define, field
from loguru import logger

from dotterelpier.kernel import Kernel
from dotterelpier.protocols import Clock, ServiceName
from dotterelpier.protocols.fleet import StoreLink


@define
class SharedStoreLink:
    """What the tasks that read the store know together.

    One of them, the sentinel, keeps asking while the store is out; the others wait for
    it, as each call has a price, refused ones too.
    """

    _clock: Clock
    _reachable: bool = False
    _closed: bool = False
    _recovered_at: float = float("-inf")
    _changed: threading.Condition = field(factory=threading.Condition)
    _listeners: list[Callable[[], None]] = field(factory=list)

    def record_success(self) -> None:
        """Take in an answer of the store."""
        with self._changed:
            if self._reachable:
                return
            self._reachable = True
            self._recovered_at = self._clock.monotonic()
            self._changed.notify_all()
        logger.info("store reached", step="store.link")
        for listener in tuple(self._listeners):
            listener()

    def record_failure(self, error: Exception) -> None:
        """Take in that the store did not answer."""
        with self._changed:
            lost, self._reachable = self._reachable, False
        if lost:
            logger.warning("store lost", step="store.link", error=str(error))

    def is_reachable(self) -> bool:
        """Tell whether the last call was answered."""
        return self._reachable

    def recovered_at(self) -> float:
        """Return when the store came back last, on the monotonic clock."""
        return self._recovered_at

    def close(self) -> None:
        """Let all that wait for the store go on; it counts as lost from now on."""
        with self._changed:
            self._closed = True
            self._changed.notify_all()

    def wait_until_reachable(self, timeout_s: float) -> bool:
        """Block until the store is reached; return False if it took too long."""
        with self._changed:
            self._changed.wait_for(lambda: self._reachable or self._closed, timeout_s)
            return self._reachable

    def subscribe_recovery(self, listener: Callable[[], None]) -> None:
        """Call a listener each time the store comes back; it must not block."""
        self._listeners.append(listener)


def make_store_link(kernel: Kernel) -> StoreLink:
    """Return the link, not yet reached."""
    return SharedStoreLink(kernel.find(ServiceName.CLOCK, Clock))
