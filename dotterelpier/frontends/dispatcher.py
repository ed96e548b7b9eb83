"""Worker threads of a waitress server, started as they are needed."""

from concurrent.futures import ThreadPoolExecutor
from typing import Any

from attrs import define
from loguru import logger

THREAD_NAME_PREFIX = "http"


@define
class LazyDispatcher:
    """Runs the requests of a waitress server in a bounded pool of threads.

    The dispatcher of waitress starts all its threads at once. This one starts a thread
    only if no started one is idle, so that memory follows the load.
    """

    _executor: ThreadPoolExecutor

    def set_thread_count(self, count: int) -> None:
        """Do nothing; the size of the pool is fixed. waitress calls it at its start."""

    def add_task(self, task: Any) -> None:
        """Queue a connection whose next request is complete.

        After ``shutdown``, the request is cancelled.
        """
        try:
            future = self._executor.submit(_serve, task)
        except RuntimeError:
            task.cancel()
            return
        future.add_done_callback(lambda done: done.cancelled() and task.cancel())

    def shutdown(self, cancel_pending: bool = True, timeout: float = 0) -> bool:
        """Start no more requests; those in progress end by themselves."""
        self._executor.shutdown(wait=False, cancel_futures=cancel_pending)
        return True


def _serve(task: Any) -> None:
    try:
        task.service()
    except Exception:
        logger.exception("serving a connection failed unexpectedly")


def make_dispatcher(threads: int) -> LazyDispatcher:
    """Return a dispatcher with at most ``threads`` worker threads, none started."""
    executor = ThreadPoolExecutor(threads, thread_name_prefix=THREAD_NAME_PREFIX)
    return LazyDispatcher(executor)
