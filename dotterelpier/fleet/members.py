"""Follows the entries of the fleet by their rows in the store."""

import json
import random
import threading
from collections import deque
from collections.abc import Callable
from functools import partial

from attrs import asdict, define, field
from loguru import logger

from dotterelpier.errors import ConflictError, PlatformError
from dotterelpier.fleet.follower import TableFollower, apply_each, make_follower
from dotterelpier.kernel import Kernel
from dotterelpier.model.fleet import FleetMember, StoreRow
from dotterelpier.protocols import Clock, Metrics, ServiceName, TaskKind, Tasks
from dotterelpier.protocols.fleet import Fleet, RowStore, StoreLink, Stores
from dotterelpier.wire.manifest_toml import is_address
from dotterelpier.wire.structure import structure

TABLE = "entries"
# Entries start together, so their rows arrive in a series.
BATCH_PAUSE_S = 1.0
# Budgets are divided by the largest number of entries known within this time, so that
# entries that left but still run are counted.
SIZE_WINDOW_S = 15.0
# Longest pause after the first failed write of the row of this entry, and after many.
# With these, a large fleet that the store refuses keeps to its rate of writes.
WRITE_RETRY_S = 0.2
WRITE_RETRY_MAX_S = 2.0


@define
class FollowedFleet:
    """Follows the rows of all entries and maintains the row of this one."""

    _me: FleetMember
    _clock: Clock
    _metrics: Metrics
    _store: RowStore
    _link: StoreLink
    _tasks: Tasks
    _make_follower: Callable[..., TableFollower]
    _follower: TableFollower | None = None
    _loaded: bool = False
    _member_by_name: dict[str, FleetMember] = field(factory=dict)
    # Sorted by name; None after a change.
    _members: tuple[FleetMember, ...] | None = None
    _version_by_name: dict[str, int] = field(factory=dict)
    _sizes: deque[tuple[float, int]] = field(factory=deque)
    _lock: threading.RLock = field(factory=threading.RLock)
    _write_requested: threading.Event = field(factory=threading.Event)
    # The connection takes one call at a time.
    _store_lock: threading.Lock = field(factory=threading.Lock)
    _listeners: list[Callable[[], None]] = field(factory=list)
    _leaving: threading.Event = field(factory=threading.Event)

    def start(self) -> None:
        """Follow the rows, and write the row of this entry in a task of its own."""
        self._follower = self._make_follower(self.apply_snapshot, self.apply_changes)
        self._follower.start()
        self._tasks.supervise(TaskKind.CONTROL, self._maintain_own_row)
        self._write_requested.set()

    def stop(self) -> None:
        """Stop following and maintaining rows; the row of this entry stays."""
        self._leaving.set()
        self._write_requested.set()
        if self._follower is not None:
            self._follower.stop()

    def me(self) -> FleetMember:
        """Return this entry, whether or not its row is written."""
        return self._me

    def members(self) -> tuple[FleetMember, ...]:
        """Return the registered entries, ordered by name.

        This entry is included until it leaves.
        """
        with self._lock:
            if self._members is None:
                member_by_name = dict(self._member_by_name)
                if not self._leaving.is_set():
                    member_by_name[self._me.name] = self._me
                names = sorted(member_by_name)
                self._members = tuple(member_by_name[name] for name in names)
            return self._members

    def loaded(self) -> bool:
        """Return whether the table of entries was read at least once."""
        return self._loaded

    def size(self) -> int:
        """Return the largest number of entries known within ``SIZE_WINDOW_S``."""
        now = self._clock.monotonic()
        with self._lock:
            while len(self._sizes) > 1 and self._sizes[1][0] < now - SIZE_WINDOW_S:
                self._sizes.popleft()
            return max(1, max((size for _, size in self._sizes), default=1))

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call a listener after each change, in the thread that applies it.

        The listener must not block.
        """
        self._listeners.append(listener)

    def leave(self) -> None:
        """Delete the row of this entry, so that clients are no longer sent to it.

        The row is not written again. A failure is only logged.
        """
        self._leaving.set()
        with self._lock:
            self._members = None
            version = self._version_by_name.get(self._me.name)
        for listener in tuple(self._listeners):
            listener()
        if version is not None:
            self._delete_row(self._me.name, version)

    def remove(self, member: FleetMember) -> None:
        """Delete the row of an entry that does not answer.

        Do nothing if the row changed meanwhile. A failure is only logged.
        """
        with self._lock:
            if self._member_by_name.get(member.name) != member:
                return
            version = self._version_by_name[member.name]
        logger.warning(
            "removing entry that does not answer",
            peer=member.name,
            row_version=version,
        )
        self._delete_row(member.name, version)

    def apply_snapshot(self, rows: tuple[StoreRow, ...]) -> None:
        """Replace the known members by all rows of the table."""
        self._loaded = True
        present = {row.key for row in rows}
        with self._lock:
            gone = tuple(self._member_by_name.keys() - present)
            written = self._me.name in self._version_by_name
        if written and self._me.name not in present and not self._leaving.is_set():
            self._write_requested.set()
        self.apply_changes((*(StoreRow(name, None, 0) for name in gone), *rows))

    def apply_changes(self, rows: tuple[StoreRow, ...]) -> None:
        """Apply changed rows and call the listeners."""
        apply_each(rows, self._apply_row)
        with self._lock:
            self._sizes.append((self._clock.monotonic(), len(self._member_by_name)))
        self._metrics.set_gauge("members", len(self._member_by_name))
        for listener in tuple(self._listeners):
            listener()

    def _apply_row(self, row: StoreRow) -> None:
        member = _decode(row) if row.value is not None else None
        with self._lock:
            self._members = None
            before = self._member_by_name.pop(row.key, None)
            if member is not None:
                self._member_by_name[row.key] = member
                self._version_by_name[row.key] = row.version
        if member != before:
            logger.info(
                "entry joined" if member else "entry left",
                peer=row.key,
                incarnation=member.incarnation if member else "",
                version=row.version,
            )
        if (
            row.key == self._me.name
            and member != self._me
            and not self._leaving.is_set()
        ):
            self._write_requested.set()

    def _maintain_own_row(self) -> None:
        """Write the row of this entry whenever it is missing or differs."""
        content = json.dumps(asdict(self._me)).encode()
        retry_s = WRITE_RETRY_S
        while self._write_requested.wait() and not self._leaving.is_set():
            self._write_requested.clear()
            try:
                with self._store_lock:
                    version = self._store.put(TABLE, self._me.name, content)
            except PlatformError as error:
                logger.info("row of this entry not written; retrying", error=str(error))
                self._pause_write(random.uniform(retry_s / 2, retry_s))
                retry_s = min(2 * retry_s, WRITE_RETRY_MAX_S)
                self._write_requested.set()
                continue
            retry_s = WRITE_RETRY_S
            with self._lock:
                self._version_by_name[self._me.name] = version
            logger.info("row of this entry written", version=version)

    def _pause_write(self, pause_s: float) -> None:
        """Wait for the recovery of the store, or the whole pause if it only refuses."""
        if self._link.is_reachable():
            self._leaving.wait(pause_s)
        else:
            self._link.wait_until_reachable(pause_s)

    def _delete_row(self, name: str, version: int) -> None:
        try:
            with self._store_lock:
                self._store.delete(TABLE, name, version)
        except ConflictError:
            logger.info(
                "row of an entry changed meanwhile; not deleted",
                peer=name,
                version=version,
            )
        except PlatformError as error:
            logger.warning("row of an entry not deleted", peer=name, error=str(error))


def _decode(row: StoreRow) -> FleetMember | None:
    assert row.value is not None
    try:
        member = structure(json.loads(row.value), FleetMember, extra_keys=True)
        for address in (member.caller_address, member.peer_address):
            if not is_address(address):
                raise ValueError(f"{address!r} is not IP:port")
        return member
    except (ValueError, RecursionError) as error:
        logger.warning(
            "row of an entry is malformed; counting the entry as gone",
            peer=row.key,
            error=str(error),
        )
        return None


def make_fleet(kernel: Kernel, me: FleetMember) -> Fleet:
    """Return the fleet as the store's table states it; ``me`` is this entry."""
    return FollowedFleet(
        me,
        kernel.find(ServiceName.CLOCK, Clock),
        kernel.find(ServiceName.METRICS, Metrics),
        kernel.find(ServiceName.STORES, Stores).connect(),
        kernel.find(ServiceName.STORE_LINK, StoreLink),
        kernel.find(ServiceName.TASKS, Tasks),
        partial(make_follower, kernel, TABLE, batch_pause_s=BATCH_PAUSE_S),
    )
