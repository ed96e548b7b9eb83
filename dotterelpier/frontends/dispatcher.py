"""Worker threads of a waitress server, started as they are needed."""

import threading
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any, Protocol

from attrs import define, field
from loguru import logger

from dotterelpier.protocols.client_memory import ThreadPool

THREAD_NAME_PREFIX = "http"


class Workers(ThreadPool, Protocol):
    """Threads of a waitress server, as it uses them."""

    def add_task(self, task: Any) -> None:
        """Queue a connection whose next request is complete."""
        ...

    def shutdown(self, cancel_pending: bool = True, timeout: float = 0) -> bool:
        """Start no more requests; those in progress end by themselves."""
        ...


@define
class LazyDispatcher:
    """Runs the requests of a waitress server in a bounded pool of threads.

    The dispatcher of waitress starts all its threads at once. This one starts a thread
    only if no started one is idle, so that memory follows the load.

    Attributes
    ----------
    name : str
        Name of the address that the server listens on.
    threads : int
        Largest number of threads.
    refuses_when_full : bool
        Whether requests are refused while clients hold too much memory.
    """

    name: str
    threads: int
    refuses_when_full: bool
    _executor: ThreadPoolExecutor
    _queued: int = 0
    _lock: threading.Lock = field(factory=threading.Lock)

    def set_thread_count(self, count: int) -> None:
        """Do nothing; the size of the pool is fixed. waitress calls it at its start."""

    def queued(self) -> int:
        """Return how many connections wait for a thread."""
        return self._queued

    def add_task(self, task: Any) -> None:
        """Queue a connection whose next request is complete.

        After ``shutdown``, the request is cancelled.
        """
        self._count_queued(1)
        try:
            future = self._executor.submit(self._serve, task)
        except RuntimeError:
            self._count_queued(-1)
            task.cancel()
            return
        future.add_done_callback(lambda done: self._cancel(done, task))

    def shutdown(self, cancel_pending: bool = True, timeout: float = 0) -> bool:
        """Start no more requests; those in progress end by themselves."""
        self._executor.shutdown(wait=False, cancel_futures=cancel_pending)
        return True

    def _serve(self, task: Any) -> None:
        self._count_queued(-1)
        try:
            task.service()
        except Exception:
            logger.exception("serving a connection failed unexpectedly")

    def _cancel(self, done: "Future[None]", task: Any) -> None:
        if done.cancelled():
            self._count_queued(-1)
            task.cancel()

    def _count_queued(self, change: int) -> None:
        with self._lock:
            self._queued += change


def make_dispatcher(
    threads: int, name: str = "", *, refuses_when_full: bool = False
) -> LazyDispatcher:
    """Return a dispatcher with at most ``threads`` worker threads, none started."""
    executor = ThreadPoolExecutor(threads, thread_name_prefix=THREAD_NAME_PREFIX)
    return LazyDispatcher(name, threads, refuses_when_full, executor)
