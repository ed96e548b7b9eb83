"""Protocols of what every other service builds on."""

from collections.abc import Callable, Sequence
from concurrent.futures import Future
from typing import Any, Protocol

from dotterelpier.model.audit import AuditEntry
from dotterelpier.model.platform import Row, Vm, Write
from dotterelpier.protocols.names import TaskKind


class Clock(Protocol):
    """Source of time."""

    def monotonic(self) -> float:
        """Return seconds on a clock that never steps."""
        ...

    def unix(self) -> float:
        """Return seconds since 1970, for people and other machines."""
        ...


class Subscription(Protocol):
    """Ticks of the timer."""

    def wait(self) -> bool:
        """Block until the next tick; return False once cancelled."""
        ...

    def wake(self) -> None:
        """Make the next ``wait`` return at once."""
        ...

    def cancel(self) -> None:
        """End the subscription; safe to repeat."""
        ...


class Cancellable(Protocol):
    """A callback that has not run yet."""

    def cancel(self) -> None:
        """Keep the callback from running; safe to repeat."""
        ...


class Timer(Protocol):
    """Timer service that other services subscribe to."""

    def every(self, interval_s: float) -> Subscription:
        """Subscribe to a tick each ``interval_s`` seconds, the first one at once."""
        ...

    def after(self, delay_s: float, callback: Callable[[], None]) -> Cancellable:
        """Run a short callback once, ``delay_s`` seconds from now."""
        ...


class Tasks(Protocol):
    """Executors for long-lived tasks, one for each kind."""

    def submit(
        self, kind: TaskKind, function: Callable[..., Any], *args: Any
    ) -> Future[Any]:
        """Run a function as a task.

        Raises
        ------
        TaskPoolFullError
            If every thread of this kind is taken.
        """
        ...


class Table(Protocol):
    """Transactional table of the platform.

    All methods raise ``PlatformUnavailableError`` if no answer came; after
    ``commit`` that leaves open whether the write took effect.
    """

    def read(self, key: str) -> Row | None:
        """Return a row, or None if there is none."""
        ...

    def read_if_changed(self, key: str, version: str) -> Row | None:
        """Return a row, or None if it still has this version or does not exist."""
        ...

    def scan(self, prefix: str) -> tuple[Row, ...]:
        """Return all rows whose keys start with a prefix, ordered by key."""
        ...

    def commit(self, writes: Sequence[Write]) -> tuple[str, ...]:
        """Write all rows or none; return their new versions.

        Raises
        ------
        ConflictError
            If a row does not have the version expected.
        """
        ...

    def last_reached_at(self) -> float:
        """Return when the platform last answered, on the monotonic clock."""
        ...


class Objects(Protocol):
    """Object store of the platform; raises ``PlatformUnavailableError``."""

    def get(self, name: str) -> bytes | None:
        """Return an object, or None if there is none."""
        ...

    def put(self, name: str, content: bytes) -> None:
        """Write an object."""
        ...


class Vms(Protocol):
    """The platform's lagging list of VMs; raises ``PlatformUnavailableError``."""

    def list(self) -> tuple[Vm, ...]:
        """Return live and leaving VMs."""
        ...


class Metrics(Protocol):
    """Counters, gauges and histograms with bounded label sets."""

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
        """Allow only these values of a label and drop the series of others.

        What is counted under any other value is counted under ``"other"``.
        """
        ...

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        ...


class Audit(Protocol):
    """Audit trail of changes and events."""

    def entry_write(self, entry: AuditEntry) -> Write:
        """Return the write that adds an entry within another transaction."""
        ...

    def record(self, entry: AuditEntry) -> None:
        """Add an entry soon, in the background; dropped entries are counted."""
        ...
