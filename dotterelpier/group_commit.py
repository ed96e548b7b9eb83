"""Commits the writes of many threads in one transaction of the platform's table."""

from concurrent.futures import Future
from queue import Empty, SimpleQueue

from attrs import define, field, frozen
from loguru import logger

from dotterelpier.errors import (
    ConflictError,
    PlatformError,
    PlatformUnavailableError,
)
from dotterelpier.model.platform import Write
from dotterelpier.protocols import Table

MAX_WRITES = 64


@frozen
class PendingWrite:
    """A write that is not yet committed, and the future of its row version."""

    write: Write
    version: "Future[str]" = field(factory=Future)


@define(eq=False)
class GroupCommit:
    """Batches the writes that arrive while a transaction is in flight.

    A batch holds at most one write for each key; further writes of a key wait for the
    next batch. If a precondition fails, the batch is split in halves and retried, so
    that a conflicting write does not fail the others.
    """

    _table: Table
    _queued_writes: "SimpleQueue[PendingWrite | None]" = field(factory=SimpleQueue)
    _deferred_writes: list[PendingWrite] = field(factory=list)
    _closed: bool = False

    def put(self, write: Write) -> "Future[str]":
        """Queue a write from any thread; return the future of its row version.

        The future fails with a ``PlatformError``: ``ConflictError`` if the precondition
        of this write failed, ``PlatformUnavailableError`` if it is not known whether it
        was written.
        """
        pending = PendingWrite(write)
        self._queued_writes.put(pending)
        return pending.version

    def close(self) -> None:
        """End ``serve`` after the writes queued so far; it ignores later ones."""
        self._queued_writes.put(None)

    def serve(self) -> None:
        """Commit batches until closed; block while no write is queued."""
        while batch := self._next_batch():
            self._commit(batch)

    def _next_batch(self) -> list[PendingWrite]:
        candidates, self._deferred_writes = self._deferred_writes, []
        if not candidates and not self._closed:
            self._add_or_close(self._queued_writes.get(), candidates)
        while len(candidates) < MAX_WRITES and not self._closed:
            try:
                self._add_or_close(self._queued_writes.get_nowait(), candidates)
            except Empty:
                break
        pending_by_key: dict[str, PendingWrite] = {}
        for pending in candidates:
            first = pending_by_key.setdefault(pending.write.key, pending)
            if first is not pending:
                self._deferred_writes.append(pending)
        return list(pending_by_key.values())

    def _add_or_close(
        self, pending: PendingWrite | None, candidates: list[PendingWrite]
    ) -> None:
        if pending is None:
            self._closed = True
        else:
            candidates.append(pending)

    def _commit(self, batch: list[PendingWrite]) -> None:
        try:
            versions = self._table.commit([pending.write for pending in batch])
        except ConflictError as error:
            self._split(batch, error)
        except PlatformError as error:
            _fail(batch, error)
        except Exception as error:
            logger.exception("transaction failed; failing its writes")
            _fail(batch, PlatformUnavailableError(repr(error), step="group_commit"))
        else:
            for pending, version in zip(batch, versions, strict=True):
                pending.version.set_result(version)

    def _split(self, batch: list[PendingWrite], error: ConflictError) -> None:
        if len(batch) == 1:
            _fail(batch, error)
            return
        middle = len(batch) // 2
        self._commit(batch[:middle])
        self._commit(batch[middle:])


def _fail(batch: list[PendingWrite], error: PlatformError) -> None:
    for pending in batch:
        pending.version.set_exception(error)


def make_group_commit(table: Table) -> GroupCommit:
    """Return a group commit; the caller must run its ``serve`` as a task."""
    return GroupCommit(table)
