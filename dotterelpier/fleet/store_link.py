"""Tracks whether the platform's store is reachable, and answers this entry."""

import threading
from collections.abc import Callable

from attrs import define, field
from loguru import logger

from dotterelpier.kernel import Kernel
from dotterelpier.protocols import Clock, ServiceName
from dotterelpier.protocols.fleet import StoreLink


@define
class SharedStoreLink:
    """State of the store, shared by all tasks that read it.

    During an outage only one task, the store probe, keeps calling the store. The others
    wait for the recovery, as each call has a price, failed ones included.
    """

    _clock: Clock
    _reachable: bool = False
    _answering: bool = True
    _closed: bool = False
    _recovered_at: float = float("-inf")
    _changed: threading.Condition = field(factory=threading.Condition)
    _listeners: list[Callable[[], None]] = field(factory=list)

    def record_success(self) -> None:
        """Record a reply of the store or of an entry that publishes its tables.

        If the store counted as unreachable, wake up the waiting threads and call the
        listeners.
        """
        with self._changed:
            if self._reachable:
                return
            self._reachable = True
            self._recovered_at = self._clock.monotonic()
            self._changed.notify_all()
        logger.info("store is reachable", step="store.link")
        self.interrupt_watches()

    def record_failure(self, error: Exception) -> None:
        """Record that a call to the store failed."""
        with self._changed:
            lost, self._reachable = self._reachable, False
        if lost:
            logger.warning(
                "store is unreachable; retrying", step="store.link", error=str(error)
            )

    def record_answer(self) -> None:
        """Record that the store answered the store probe of this entry."""
        with self._changed:
            resumed, self._answering = not self._answering, True
        if resumed:
            logger.info("store answers this entry again", step="store.link")
            self.interrupt_watches()

    def record_no_answer(self, error: Exception) -> None:
        """Record that the store probe of this entry failed.

        Other entries may still tell what changed, so the store may be reachable.
        """
        with self._changed:
            lost, self._answering = self._answering, False
        if lost:
            logger.warning(
                "store does not answer this entry; interrupting its watches",
                step="store.link",
                error=str(error),
            )
            self.interrupt_watches()

    def is_answering(self) -> bool:
        """Return whether the store answered the last store probe; True at first."""
        return self._answering

    def is_reachable(self) -> bool:
        """Return whether the last recorded call succeeded; False at first."""
        return self._reachable

    def recovered_at(self) -> float:
        """Return when the store last became reachable, on the monotonic clock."""
        return self._recovered_at

    def close(self) -> None:
        """Wake up all threads that wait for the store; later waits end at once."""
        with self._changed:
            self._closed = True
            self._changed.notify_all()

    def wait_until_reachable(self, timeout_s: float) -> bool:
        """Block until the store is reachable; return whether it is."""
        with self._changed:
            self._changed.wait_for(lambda: self._reachable or self._closed, timeout_s)
            return self._reachable

    def interrupt_watches(self) -> None:
        """Call the listeners, as responses to their watches may have been lost."""
        for listener in tuple(self._listeners):
            listener()

    def subscribe_interruption(self, listener: Callable[[], None]) -> None:
        """Call a listener whenever a watch in progress may never be answered.

        It must not block.
        """
        self._listeners.append(listener)


def make_store_link(kernel: Kernel) -> StoreLink:
    """Return a link that counts the store as unreachable until the first success."""
    return SharedStoreLink(kernel.find(ServiceName.CLOCK, Clock))
