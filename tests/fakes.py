"""Fakes of service protocols that tests step manually, without threads or real time."""

import itertools
import time
from collections.abc import Callable, Sequence
from concurrent.futures import Future
from typing import Any

from attrs import define, field

from dotterelpier.errors import ConflictError, PlatformUnavailableError
from dotterelpier.fleet_settings import BoundSettings
from dotterelpier.kernel import Kernel, make_kernel
from dotterelpier.model.audit import AuditEntry
from dotterelpier.model.fleet import StoreReply
from dotterelpier.model.platform import ABSENT, Row, Vm, Write
from dotterelpier.protocols import ServiceName, TaskKind
from dotterelpier.services.audit import entry_write


@define
class ManualClock:
    """A clock that moves only by ``advance``; times are in seconds."""

    now: float = 1000.0
    unix_offset: float = 1_700_000_000.0

    def monotonic(self) -> float:
        return self.now

    def unix(self) -> float:
        return self.now + self.unix_offset

    def advance(self, seconds: float) -> None:
        self.now += seconds


@define(eq=False)
class StepSubscription:
    """Subscription whose ``wait`` never blocks: True once for each tick, then False."""

    interval_s: float
    ticks: int = 0
    cancelled: bool = False

    def wait(self) -> bool:
        if self.ticks <= 0 or self.cancelled:
            return False
        self.ticks -= 1
        return True

    def wake(self) -> None:
        """Do nothing: the next step runs every task anyway."""

    def cancel(self) -> None:
        self.cancelled = True


@define(eq=False)
class StepCallback:
    """Callback that is due once the manual clock reaches ``due_at``."""

    due_at: float
    run: Callable[[], None]
    cancelled: bool = False

    def cancel(self) -> None:
        self.cancelled = True


@define
class StepTimer:
    """Timer whose subscriptions and callbacks advance only by ``tick``."""

    clock: ManualClock
    subscriptions: list[StepSubscription] = field(factory=list)
    callbacks: list[StepCallback] = field(factory=list)

    def every(self, interval_s: float) -> StepSubscription:
        subscription = StepSubscription(interval_s)
        self.subscriptions.append(subscription)
        return subscription

    def after(self, delay_s: float, callback: Callable[[], None]) -> StepCallback:
        item = StepCallback(self.clock.now + delay_s, callback)
        self.callbacks.append(item)
        return item

    def tick(self) -> None:
        """Give each subscription one tick and run the callbacks that are due."""
        for subscription in self.subscriptions:
            subscription.ticks = 1
        due = [item for item in self.callbacks if item.due_at <= self.clock.now]
        for item in due:
            self.callbacks.remove(item)
            if not item.cancelled:
                item.run()


@define
class StepTasks:
    """Tasks service that stores submitted tasks and runs them only by ``step``.

    The futures that ``submit`` returns never complete. ``after_task`` runs after each
    task of a step.
    """

    tasks: list[tuple[TaskKind, Callable[..., Any], tuple[Any, ...]]] = field(
        factory=list
    )
    after_task: Callable[[], None] = lambda: None

    def submit(
        self, kind: TaskKind, function: Callable[..., Any], *args: Any
    ) -> "Future[Any]":
        self.tasks.append((kind, function, args))
        return Future()

    supervise = submit

    def step(self) -> None:
        """Run each task in this thread until its subscription has no tick left.

        Handovers have no subscription; each runs in one step only.
        """
        tasks = tuple(self.tasks)
        self.tasks = [item for item in self.tasks if item[0] is not TaskKind.HANDOVER]
        for _, function, args in tasks:
            function(*args)
            self.after_task()


@define
class MemoryTable:
    """In-memory table of the platform, shared by the fakes of several entries."""

    row_by_key: dict[str, Row] = field(factory=dict)
    _versions: "itertools.count[int]" = field(factory=lambda: itertools.count(1))

    def commit(self, writes: Sequence[Write]) -> tuple[str, ...]:
        for write in writes:
            row = self.row_by_key.get(write.key)
            version = ABSENT if row is None else row.version
            if write.expected is not None and write.expected != version:
                raise ConflictError(f"row {write.key!r}", step="platform.commit")
        return tuple(self._put(write) for write in writes)

    def _put(self, write: Write) -> str:
        version = str(next(self._versions))
        if write.value is None:
            self.row_by_key.pop(write.key, None)
        else:
            self.row_by_key[write.key] = Row(write.key, version, write.value)
        return version


@define
class MemoryPlatform:
    """One entry's connection to the platform: table, objects and list of VMs.

    Attributes
    ----------
    down : bool
        Whether every operation fails as in an outage.
    objects_down : bool
        Whether reads of the object store fail.
    lose_replies : int
        Number of commits still to come that take effect but raise an error, as if their
        reply were lost.
    before_commit : Callable or None
        Runs once, before the next commit.
    after_lost_reply : Callable
        Runs after each commit whose reply is lost.
    reached_at : float
        Time of the last operation that reached the platform, on ``clock``.
    """

    clock: ManualClock
    table: MemoryTable = field(factory=MemoryTable)
    object_by_name: dict[str, bytes] = field(factory=dict)
    vms: tuple[Vm, ...] = ()
    down: bool = False
    objects_down: bool = False
    lose_replies: int = 0
    before_commit: Callable[[], None] | None = None
    after_lost_reply: Callable[[], Any] = lambda: None
    reached_at: float = float("-inf")

    def read(self, key: str) -> Row | None:
        self._check_reachable()
        return self.table.row_by_key.get(key)

    def read_if_changed(self, key: str, version: str) -> Row | None:
        row = self.read(key)
        return None if row is None or row.version == version else row

    def scan(self, prefix: str) -> tuple[Row, ...]:
        self._check_reachable()
        rows = self.table.row_by_key
        return tuple(rows[key] for key in sorted(rows) if key.startswith(prefix))

    def commit(self, writes: Sequence[Write]) -> tuple[str, ...]:
        self._check_reachable()
        if self.before_commit is not None:
            hook, self.before_commit = self.before_commit, None
            hook()
        versions = self.table.commit(writes)
        if self.lose_replies > 0:
            self.lose_replies -= 1
            self.after_lost_reply()
            raise PlatformUnavailableError("reply lost", step="platform")
        return versions

    def last_reached_at(self) -> float:
        return self.reached_at

    def get(self, name: str) -> bytes | None:
        self._check_reachable()
        if self.objects_down:
            raise PlatformUnavailableError("outage", step="platform.objects")
        return self.object_by_name.get(name)

    def put(self, name: str, content: bytes) -> None:
        self._check_reachable()
        self.object_by_name[name] = content

    def list(self) -> tuple[Vm, ...]:
        self._check_reachable()
        return self.vms

    def _check_reachable(self) -> None:
        if self.down:
            raise PlatformUnavailableError("outage", step="platform")
        self.reached_at = self.clock.now


@define
class MemoryAudit:
    """Audit service that appends recorded entries to a list."""

    entries: list[AuditEntry] = field(factory=list)

    def entry_write(self, entry: AuditEntry) -> Write:
        return entry_write(entry)

    def record(self, entry: AuditEntry) -> None:
        self.entries.append(entry)


class NotDraining:
    """Drain service of an entry that is not draining and takes calls."""

    def draining(self) -> bool:
        return False

    def takes_calls(self) -> bool:
        return True


def make_step_kernel(clock: ManualClock, platform: MemoryPlatform) -> Kernel:
    """Return a kernel with fakes of the clock, timer, tasks, platform and audit."""
    kernel = make_kernel()
    kernel.register(ServiceName.CLOCK, clock)
    kernel.register(ServiceName.TIMER, StepTimer(clock))
    kernel.register(ServiceName.TASKS, StepTasks())
    for name in (ServiceName.TABLE, ServiceName.OBJECTS, ServiceName.VMS):
        kernel.register(name, platform)
    kernel.register(ServiceName.AUDIT, MemoryAudit())
    return kernel


def step(kernel: Kernel) -> None:
    """Tick the fake timer of a kernel, then run each task for that tick."""
    kernel.find(ServiceName.TIMER, StepTimer).tick()
    kernel.find(ServiceName.TASKS, StepTasks).step()


class SingleEntryReplicas:
    """Replicas of the store's tables in a fleet with a single entry."""

    def is_publisher(self) -> bool:
        """Return True: the only entry reads the store itself."""
        return True

    def store_probe_wait_s(self) -> float:
        """Return a short wait."""
        return 0.7

    def seed_wait_s(self) -> float:
        """Return 0: the entry has no seeds."""
        return 0.0

    def wait_for_seed(self, table: str) -> bool:
        """Return False: the entry has no seeds."""
        return False

    def has_other_publisher(self, table: str) -> bool:
        """Return False: no other entry announces the tables."""
        return False

    def wait_for_other_publisher(self, table: str, timeout_s: float) -> bool:
        """Block for the whole timeout and return False: no other entry announces."""
        time.sleep(timeout_s)
        return False

    def apply_reply(
        self, table: str, reply: StoreReply, *, is_store_probe: bool
    ) -> None:
        """Discard the reply: no other entry needs it."""

    def note_unwatched(self, table: str) -> None:
        """Do nothing: the only entry announces no table."""

    def note_applied(self, table: str, version: int) -> None:
        """Do nothing: nobody asks how fresh the tables are."""


class FixedSettings:
    """Settings that do not change, with given limits."""

    def __init__(self, bounds: BoundSettings | None = None) -> None:
        self._bounds = bounds or BoundSettings()

    def bounds(self) -> BoundSettings:
        """Return the limits."""
        return self._bounds
