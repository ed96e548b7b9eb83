"""Follows a table of the store: reads all rows once, then watches for changes.

Rows come from an entry that publishes the store's tables, or from the store itself.
"""

import threading
from collections.abc import Callable

from attrs import define, field
from loguru import logger

from dotterelpier.errors import (
    HistoryLostError,
    PeerUnavailableError,
    PlatformError,
)
from dotterelpier.kernel import Kernel
from dotterelpier.model.fleet import StoreReply, StoreRow
from dotterelpier.protocols import Clock, ServiceName, TaskKind, Tasks
from dotterelpier.protocols.fleet import Mirrors, RowStore, StoreLink, Stores

# The store limits a watch to 30 s. TCP keep-alive detects a dead connection sooner.
WATCH_WAIT_S = 25.0
# Delay of the store probe after a failed call.
STORE_PROBE_RETRY_S = 0.5
# Longest wait for an announcement before the follower calls the store.
ANNOUNCEMENT_WAIT_S = 0.3
# After a failed store call, a publisher reads from other publishers for this long.
STORE_BACKOFF_S = 2.0
# Delay after a failure of this connection only, while the store is reachable.
RECONNECT_DELAY_S = 0.1
# Longest wait for the store's recovery, after which a follower retries by itself.
OUTAGE_RETRY_S = 10.0


@define(eq=False)
class TableFollower:
    """Task that follows one table and passes its rows on.

    Attributes
    ----------
    table : str
        Name of the table.
    on_snapshot : Callable
        Called with all rows after a full read, in the thread of this task.
    on_changes : Callable
        Called with the changed rows, in the thread of this task; the value of a
        deleted row is None.
    batch_pause_s : float
        Pause after a reply with written rows, in seconds, so that one call returns a
        series of changes. Deletions alone are followed without a pause.
    is_store_probe : bool
        Whether this task keeps calling the store during an outage to detect its
        recovery.
    """

    table: str
    on_snapshot: Callable[[tuple[StoreRow, ...]], None]
    on_changes: Callable[[tuple[StoreRow, ...]], None]
    batch_pause_s: float
    is_store_probe: bool
    _store: RowStore
    _link: StoreLink
    _mirrors: Mirrors
    _clock: Clock
    _tasks: Tasks
    _cursor: int | None = None
    # Newest version up to which the table was passed on; kept when the cursor is lost.
    _passed_on_version: int = -1
    _store_backoff_until: float = float("-inf")
    # Whether the next call goes to the store, as no other entry can tell what changed.
    _read_store_next: bool = False
    _is_watching: bool = False
    # Whether the watch in progress was aborted because its response may be lost.
    _interrupted: bool = False
    _stopped: threading.Event = field(factory=threading.Event)

    def start(self) -> None:
        """Follow the table in a task of its own."""
        self._tasks.supervise(TaskKind.CONTROL, self._serve)
        if not self.is_store_probe:
            self._link.subscribe_interruption(self._interrupt)

    def stop(self) -> None:
        """Abort the call in progress and end the task."""
        self._stopped.set()
        self._store.close()

    def _interrupt(self) -> None:
        if self._is_watching:
            self._interrupted = True
            self._store.abort()

    def _serve(self) -> None:
        while not self._stopped.is_set():
            try:
                self._follow_once()
            except HistoryLostError:
                logger.info(
                    "store no longer knows the changes; reading the whole table",
                    table=self.table,
                    after=self._cursor,
                )
                self._cursor, self._read_store_next = None, True
            except PeerUnavailableError as error:
                self._read_store_next = True
                logger.info(
                    "no table changes from other entries; asking the store",
                    table=self.table,
                    peer=error.peer,
                    error=str(error),
                )
            except PlatformError as error:
                self._back_off(error)

    def _follow_once(self) -> None:
        reply = self._next_reply()
        self._check_not_older(reply)
        self._link.record_success()
        try:
            if reply.whole:
                self.on_snapshot(reply.rows)
            elif reply.rows:
                self.on_changes(reply.rows)
        except Exception:
            # The same rows would fail again; the later ones must not wait for them.
            logger.exception(
                "rows not applied; following the later changes",
                table=self.table,
                after=self._cursor,
                version=reply.version,
            )
        if reply.version >= 0:
            self._cursor = self._passed_on_version = reply.version
            self._mirrors.note_applied(self.table, reply.version)
        if any(row.value is not None for row in reply.rows):
            self._stopped.wait(self.batch_pause_s)

    def _check_not_older(self, reply: StoreReply) -> None:
        """Reject a whole table that is older than what was passed on before.

        Another entry may be behind the store, and this one lost its cursor.
        """
        if reply.whole and reply.version < self._passed_on_version:
            # The other entry catches up meanwhile, if the store does not answer.
            self._stopped.wait(RECONNECT_DELAY_S)
            message = (
                f"table as of version {reply.version} is older than the one in force,"
                f" {self._passed_on_version}"
            )
            raise PeerUnavailableError(message, step="follower", peer=self.table)

    def _next_reply(self) -> StoreReply:
        reads_from_peers, self._read_store_next = self._reads_from_peers(), False
        if reads_from_peers:
            self._mirrors.note_unwatched(self.table)
            after = -1 if self._cursor is None else self._cursor
            backoff_s = self._remaining_backoff_s()
            if backoff_s > 0:
                return self._mirrors.watch(self.table, after, backoff_s)
            return self._mirrors.watch(
                self.table, after, WATCH_WAIT_S, until_publisher=True
            )
        if self._cursor is None:
            reply = self._store.read(self.table)
        else:
            reply = self._watch_store(self._cursor)
        if self.is_store_probe:
            self._link.record_answer()
        self._mirrors.apply_reply(self.table, reply, is_store_probe=self.is_store_probe)
        return reply

    def _watch_store(self, after: int) -> StoreReply:
        probe_wait_s = self._mirrors.store_probe_wait_s()
        wait_s = probe_wait_s if self.is_store_probe else WATCH_WAIT_S
        self._is_watching = True
        try:
            return self._store.watch(self.table, after, wait_s)
        finally:
            self._is_watching = False

    def _remaining_backoff_s(self) -> float:
        """Return for how much longer a publisher reads from others, in seconds."""
        if not self.is_store_probe and not self._link.is_answering():
            return STORE_BACKOFF_S
        return self._store_backoff_until - self._clock.monotonic()

    def _reads_from_peers(self) -> bool:
        """Return whether to read from another entry instead of the store."""
        if self._read_store_next:
            return False
        if self._cursor is None:
            return self._mirrors.wait_for_seed(self.table)
        if self._mirrors.is_publisher():
            backing_off = self._remaining_backoff_s() > 0
            return backing_off and self._mirrors.has_other_publisher(self.table)
        wait_s = max(ANNOUNCEMENT_WAIT_S, self._mirrors.seed_wait_s())
        return self._mirrors.wait_for_other_publisher(self.table, wait_s)

    def _back_off(self, error: PlatformError) -> None:
        logger.info(
            "table not read from the store; retrying",
            table=self.table,
            after=self._cursor,
            error=str(error),
        )
        interrupted, self._interrupted = self._interrupted, False
        if interrupted and self._link.is_answering():
            return
        if self.is_store_probe:
            self._link.record_no_answer(error)
        self._store_backoff_until = self._clock.monotonic() + STORE_BACKOFF_S
        self._mirrors.note_unwatched(self.table)
        if self._mirrors.has_other_publisher(self.table):
            return
        if self.is_store_probe:
            self._link.record_failure(error)
            self._mirrors.wait_for_other_publisher(self.table, STORE_PROBE_RETRY_S)
        elif self._link.is_reachable():
            self._stopped.wait(RECONNECT_DELAY_S)
        else:
            self._link.wait_until_reachable(OUTAGE_RETRY_S)


def apply_each(
    rows: tuple[StoreRow, ...], apply_row: Callable[[StoreRow], None]
) -> None:
    """Apply rows one by one; an unexpected error skips only its own row."""
    for row in rows:
        try:
            apply_row(row)
        except Exception:
            logger.exception(
                "row not applied; going on with the others",
                key=row.key,
                version=row.version,
            )


def make_follower(
    kernel: Kernel,
    table: str,
    on_snapshot: Callable[[tuple[StoreRow, ...]], None],
    on_changes: Callable[[tuple[StoreRow, ...]], None],
    *,
    batch_pause_s: float = 0.0,
    is_store_probe: bool = False,
) -> TableFollower:
    """Return a follower with its own store connection, not yet started."""
    return TableFollower(
        table,
        on_snapshot,
        on_changes,
        batch_pause_s,
        is_store_probe,
        kernel.find(ServiceName.STORES, Stores).connect(),
        kernel.find(ServiceName.STORE_LINK, StoreLink),
        kernel.find(ServiceName.MIRRORS, Mirrors),
        kernel.find(ServiceName.CLOCK, Clock),
        kernel.find(ServiceName.TASKS, Tasks),
    )
