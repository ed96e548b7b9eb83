"""Protocols of the basic services: clock, timer, tasks, platform, metrics, audit."""

from collections.abc import Callable, Sequence
from concurrent.futures import Future
from typing import Any, Protocol

from dotterelpier.model.audit import AuditEntry
from dotterelpier.model.platform import Row, Vm, Write
from dotterelpier.protocols.names import TaskKind


class Clock(Protocol):
    """Source of time."""

    def monotonic(self) -> float:
        """Return seconds on a clock that never jumps, for durations and deadlines."""
        ...

    def unix(self) -> float:
        """Return seconds since 1970, for timestamps that leave this machine."""
        ...


class Subscription(Protocol):
    """Subscription to periodic ticks of the timer; ticks not taken are merged."""

    def wait(self) -> bool:
        """Block until the next tick; return False once the subscription ended."""
        ...

    def wake(self) -> None:
        """Make the next ``wait`` return at once."""
        ...

    def cancel(self) -> None:
        """End the subscription and unblock ``wait``; may be called again."""
        ...


class Cancellable(Protocol):
    """Scheduled callback that can be cancelled."""

    def cancel(self) -> None:
        """Keep the callback from running; may be called again."""
        ...


class Timer(Protocol):
    """Periodic ticks and delayed callbacks."""

    def every(self, interval_s: float) -> Subscription:
        """Subscribe to a tick every ``interval_s`` seconds, the first one at once."""
        ...

    def after(self, delay_s: float, callback: Callable[[], None]) -> Cancellable:
        """Run a callback once, ``delay_s`` seconds from now.

        It runs on the thread of the timer, so it must not block.
        """
        ...


class Tasks(Protocol):
    """Bounded executors for long-lived tasks, one for each kind."""

    def submit(
        self, kind: TaskKind, function: Callable[..., Any], *args: Any
    ) -> Future[Any]:
        """Run a function on a thread of its kind of task.

        Raises
        ------
        TaskPoolFullError
            If all threads of this kind are in use.
        """
        ...

    def supervise(
        self, kind: TaskKind, function: Callable[..., Any], *args: Any
    ) -> Future[Any]:
        """Run a function like ``submit``, again after each unexpected error.

        For tasks of which the entry depends; the error is logged.
        """
        ...


class Table(Protocol):
    """Transactional table of the platform.

    All requests raise ``PlatformUnavailableError`` if no answer arrives; after
    ``commit`` the writes may or may not have been applied.
    """

    def read(self, key: str) -> Row | None:
        """Return a row, or None if it does not exist."""
        ...

    def read_if_changed(self, key: str, version: str) -> Row | None:
        """Return a row, or None if its version is unchanged or it does not exist."""
        ...

    def scan(self, prefix: str) -> tuple[Row, ...]:
        """Return all rows whose keys start with a prefix, sorted by key."""
        ...

    def commit(self, writes: Sequence[Write]) -> tuple[str, ...]:
        """Write all rows or none; return their new versions.

        Raises
        ------
        ConflictError
            If a row does not have the expected version; nothing was written.
        """
        ...

    def last_reached_at(self) -> float:
        """Return when the platform last answered, on the monotonic clock."""
        ...


class Objects(Protocol):
    """Object store of the platform.

    All methods raise ``PlatformUnavailableError`` if no answer arrives.
    """

    def get(self, name: str) -> bytes | None:
        """Return the content of an object, or None if it does not exist."""
        ...

    def put(self, name: str, content: bytes) -> None:
        """Write or replace an object."""
        ...


class Vms(Protocol):
    """The platform's list of VMs, which lags behind their actual state.

    All methods raise ``PlatformUnavailableError`` if no answer arrives.
    """

    def list(self) -> tuple[Vm, ...]:
        """Return the VMs that are live or leaving."""
        ...


class Metrics(Protocol):
    """Counters, gauges and histograms with bounded label values.

    A value of a label that is not allowed is replaced by ``"other"``.
    """

    def count(self, name: str, amount: float = 1.0, **labels: str) -> None:
        """Add to a counter."""
        ...

    def set_gauge(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge."""
        ...

    def observe(self, name: str, value: float, **labels: str) -> None:
        """Add a value to a histogram."""
        ...

    def restrict_label_values(self, label: str, values: frozenset[str]) -> None:
        """Allow only these values of a label and remove the series of all others.

        From then on, ``"other"`` replaces any other value.
        """
        ...

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        ...


class Audit(Protocol):
    """Audit trail of changes and events, stored in the platform's table."""

    def entry_write(self, entry: AuditEntry) -> Write:
        """Return the write that adds an entry as part of another transaction."""
        ...

    def record(self, entry: AuditEntry) -> None:
        """Queue an entry to be written in the background.

        An entry that cannot be queued or written is dropped and counted.
        """
        ...
