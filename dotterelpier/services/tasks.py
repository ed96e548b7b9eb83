"""Bounded thread pools for long-lived tasks."""

import threading
from collections.abc import Callable, Mapping
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any

from attrs import define, field
from loguru import logger

from dotterelpier.errors import TaskPoolFullError
from dotterelpier.protocols import TaskKind, Tasks
from dotterelpier.settings import LimitSettings

CONTROL_THREADS = 16
# Pause before a task that failed unexpectedly is started again.
RESTART_PAUSE_S = 0.5


@define
class ExecutorTasks:
    """One bounded executor for each kind of task.

    A full executor rejects a task instead of queueing it, and no task waits for the
    start of another one of its kind. Tasks can therefore not deadlock.
    """

    _size_by_kind: Mapping[TaskKind, int]
    _executor_by_kind: dict[TaskKind, ThreadPoolExecutor] = field(factory=dict)
    _running_by_kind: dict[TaskKind, int] = field(factory=dict)
    _lock: threading.Lock = field(factory=threading.Lock)
    _stopped: threading.Event = field(factory=threading.Event)

    def submit(
        self, kind: TaskKind, function: Callable[..., Any], *args: Any
    ) -> Future[Any]:
        """Run a function on a thread of its kind; an exception is logged, too.

        Raises
        ------
        TaskPoolFullError
            If all threads of this kind are in use.
        """
        with self._lock:
            running = self._running_by_kind.get(kind, 0)
            if running >= self._size_by_kind[kind]:
                raise TaskPoolFullError(
                    f"all {running} threads for {kind.value} tasks are in use",
                    step="tasks",
                )
            self._running_by_kind[kind] = running + 1
            executor = self._executor(kind)
        return executor.submit(self._run, kind, function, *args)

    def supervise(
        self, kind: TaskKind, function: Callable[..., Any], *args: Any
    ) -> Future[Any]:
        """Run a function like ``submit``, again after each unexpected error.

        The task ends once the function returns.

        Raises
        ------
        TaskPoolFullError
            If all threads of this kind are in use.
        """
        return self.submit(kind, self._run_until_return, function, *args)

    def stop(self) -> None:
        """Start no more tasks; running ones end when their services stop them."""
        self._stopped.set()
        with self._lock:
            executors = tuple(self._executor_by_kind.values())
        for executor in executors:
            executor.shutdown(wait=False, cancel_futures=True)

    def start(self) -> None:
        """Do nothing; each executor is created on first use."""

    def _executor(self, kind: TaskKind) -> ThreadPoolExecutor:
        if kind not in self._executor_by_kind:
            self._executor_by_kind[kind] = ThreadPoolExecutor(
                self._size_by_kind[kind], thread_name_prefix=kind.value
            )
        return self._executor_by_kind[kind]

    def _run_until_return(self, function: Callable[..., Any], *args: Any) -> None:
        while True:
            try:
                function(*args)
                return
            except Exception:
                logger.exception(
                    "task failed unexpectedly; starting it again",
                    task=getattr(function, "__qualname__", repr(function)),
                )
            if self._stopped.wait(RESTART_PAUSE_S):
                return

    def _run(self, kind: TaskKind, function: Callable[..., Any], *args: Any) -> Any:
        try:
            return function(*args)
        except Exception:
            logger.exception("task failed", kind=kind.value)
            raise
        finally:
            with self._lock:
                self._running_by_kind[kind] -= 1


def make_tasks(limits: LimitSettings) -> Tasks:
    """Return executors with the sizes of the settings."""
    return ExecutorTasks(
        {
            TaskKind.TIMER: 1,
            TaskKind.CONTROL: CONTROL_THREADS,
            TaskKind.PEER: limits.peers,
            TaskKind.OFFER: limits.peers,
            TaskKind.HANDOVER: limits.measured,
            TaskKind.MEASURE: limits.measured,
            TaskKind.BACKEND_CONNECTION: limits.backend_connections,
            TaskKind.RELAY_CONNECTION: limits.relay_connections,
            TaskKind.FRONTEND: CONTROL_THREADS,
        }
    )
