"""Timer service: one task that delivers ticks and runs short callbacks."""

import heapq
import itertools
import threading
from collections.abc import Callable
from queue import Empty, SimpleQueue

from attrs import define, field
from loguru import logger

from dotterelpier.kernel import Kernel
from dotterelpier.protocols import (
    Cancellable,
    Clock,
    ServiceName,
    Subscription,
    TaskKind,
    Tasks,
    Timer,
)


@define
class TickSubscription:
    """Ticks delivered through a queue; a tick not yet taken is not doubled."""

    interval_s: float
    _tick_queue: SimpleQueue[bool] = field(factory=SimpleQueue)
    cancelled: bool = False

    def wait(self) -> bool:
        """Block until the next tick; return False once cancelled."""
        if self.cancelled:
            return False
        ticked = self._tick_queue.get()
        self._discard_queued()
        return ticked and not self.cancelled

    def wake(self) -> None:
        """Make the next ``wait`` return at once."""
        if self._tick_queue.empty():
            self._tick_queue.put(True)

    def cancel(self) -> None:
        """End the subscription."""
        self.cancelled = True
        self._tick_queue.put(False)

    def _discard_queued(self) -> None:
        try:
            while not self.cancelled:
                self._tick_queue.get_nowait()
        except Empty:
            pass


@define
class Callback:
    """A callback that runs once."""

    run: Callable[[], None]
    cancelled: bool = False

    def cancel(self) -> None:
        """Keep the callback from running."""
        self.cancelled = True


@define
class HeapTimer:
    """Timer that keeps what is due in a heap."""

    _clock: Clock
    _tasks: Tasks
    _heap: list[tuple[float, int, TickSubscription | Callback]] = field(factory=list)
    _sequence_numbers: "itertools.count[int]" = field(factory=itertools.count)
    _heap_changed: threading.Condition = field(factory=threading.Condition)
    _stopping: bool = False

    def start(self) -> None:
        """Start the timer task."""
        self._tasks.submit(TaskKind.TIMER, self._run_due_items)

    def stop(self) -> None:
        """Cancel all subscriptions and end the timer task."""
        with self._heap_changed:
            self._stopping = True
            pending = tuple(item for _, _, item in self._heap)
            self._heap_changed.notify()
        for item in pending:
            item.cancel()

    def every(self, interval_s: float) -> Subscription:
        """Subscribe to a tick each ``interval_s`` seconds, the first one at once."""
        subscription = TickSubscription(interval_s)
        self._add(self._clock.monotonic(), subscription)
        return subscription

    def after(self, delay_s: float, callback: Callable[[], None]) -> Cancellable:
        """Run a short callback once, ``delay_s`` seconds from now."""
        item = Callback(callback)
        self._add(self._clock.monotonic() + delay_s, item)
        return item

    def _add(self, due_at: float, item: TickSubscription | Callback) -> None:
        with self._heap_changed:
            if self._stopping:
                item.cancel()
                return
            heapq.heappush(self._heap, (due_at, next(self._sequence_numbers), item))
            if self._heap[0][2] is item:
                self._heap_changed.notify()

    def _run_due_items(self) -> None:
        while (item := self._wait_for_next()) is not None:
            if item.cancelled:
                continue
            if isinstance(item, TickSubscription):
                item.wake()
                self._add(self._clock.monotonic() + item.interval_s, item)
                continue
            try:
                item.run()
            except Exception:
                logger.exception("timer callback failed")

    def _wait_for_next(self) -> TickSubscription | Callback | None:
        with self._heap_changed:
            while not self._stopping:
                now = self._clock.monotonic()
                if self._heap and self._heap[0][0] <= now:
                    return heapq.heappop(self._heap)[2]
                wait_s = self._heap[0][0] - now if self._heap else None
                self._heap_changed.wait(wait_s)
        return None


def make_timer(kernel: Kernel) -> Timer:
    """Return the timer service."""
    return HeapTimer(
        kernel.find(ServiceName.CLOCK, Clock), kernel.find(ServiceName.TASKS, Tasks)
    )
