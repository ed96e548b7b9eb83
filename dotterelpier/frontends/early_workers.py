"""Share of a server's worker threads for requests that are served early."""

import threading
from collections.abc import Callable
from typing import Protocol

from attrs import define, field

from dotterelpier.frontends.dispatcher import LazyDispatcher, make_dispatcher

# Early requests use at most this share of the threads, and as large a share must be
# idle when one is started. So they never queue for a thread, and a burst on other
# connections finds threads.
EARLY_SHARE = 0.25


class WorkerTask(Protocol):
    """Work for a thread, as waitress defines it."""

    def service(self) -> None:
        """Do the work."""
        ...

    def cancel(self) -> None:
        """Note that the work will not be done, because the server stops."""
        ...


@define
class SharedWorkers:
    """Dispatcher of a waitress server that keeps most threads for requests in turn.

    Thread-safe.
    """

    _dispatcher: LazyDispatcher
    _early_limit: int
    _early_busy_limit: int
    _busy: int = 0
    _early: int = 0
    _lock: threading.Lock = field(factory=threading.Lock)

    @property
    def name(self) -> str:
        """Name of the address that the server listens on."""
        return self._dispatcher.name

    @property
    def threads(self) -> int:
        """Largest number of threads."""
        return self._dispatcher.threads

    @property
    def refuses_when_full(self) -> bool:
        """Whether requests are refused while clients hold too much memory."""
        return self._dispatcher.refuses_when_full

    def queued(self) -> int:
        """Return how many connections wait for a thread."""
        return self._dispatcher.queued()

    def add_task(self, task: WorkerTask) -> None:
        """Queue a connection whose next request is complete."""
        with self._lock:
            self._busy += 1
        self._dispatcher.add_task(_CountedTask(task, self._end))

    def try_add_early(self, task: WorkerTask) -> bool:
        """Start an early request; return False if too few threads are idle.

        The caller calls ``end_early`` once the request is served or in turn.
        """
        with self._lock:
            if self._early >= self._early_limit or self._busy >= self._early_busy_limit:
                return False
            self._early += 1
        self.add_task(task)
        return True

    def end_early(self) -> None:
        """Note that an early request is served, or has become the one in turn."""
        with self._lock:
            self._early -= 1

    def set_thread_count(self, count: int) -> None:
        """Do nothing; the size of the pool is fixed. waitress calls it at its start."""

    def shutdown(self, cancel_pending: bool = True, timeout: float = 0) -> bool:
        """Start no more requests; those in progress end by themselves."""
        return self._dispatcher.shutdown(cancel_pending, timeout)

    def _end(self) -> None:
        with self._lock:
            self._busy -= 1


@define(eq=False)
class _CountedTask:
    """A task that reports its end."""

    _task: WorkerTask
    _on_end: Callable[[], None]

    def service(self) -> None:
        try:
            self._task.service()
        finally:
            self._on_end()

    def cancel(self) -> None:
        self._on_end()
        self._task.cancel()


def make_shared_workers(
    threads: int, name: str = "", *, refuses_when_full: bool = False
) -> SharedWorkers:
    """Return a dispatcher with at most ``threads`` worker threads, none started."""
    early_limit = int(threads * EARLY_SHARE)
    dispatcher = make_dispatcher(threads, name, refuses_when_full=refuses_when_full)
    return SharedWorkers(dispatcher, early_limit, threads - early_limit)
