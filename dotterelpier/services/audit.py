"""Audit trail of changes and events, stored in the platform's table."""

import uuid
from queue import SimpleQueue

from attrs import define, field
from loguru import logger

from dotterelpier.errors import PlatformError
from dotterelpier.kernel import Kernel
from dotterelpier.model.audit import AuditEntry
from dotterelpier.model.platform import Write
from dotterelpier.protocols import (
    Audit,
    Metrics,
    ServiceName,
    Table,
    TaskKind,
    Tasks,
)
from dotterelpier.wire.rows import AUDIT_PREFIX, encode_row

MAX_QUEUED_ENTRIES = 1000


def entry_write(entry: AuditEntry) -> Write:
    """Return the write that adds an entry; its key sorts by time, then by revision."""
    order = f"{entry.at:017.6f}-{entry.revision:010d}"
    key = f"{AUDIT_PREFIX}{order}-{uuid.uuid4().hex[:8]}"
    return Write(key, encode_row(entry))


@define
class TableAudit:
    """Writes entries in the background, each in a transaction of its own."""

    _table: Table
    _tasks: Tasks
    _metrics: Metrics
    _queue: "SimpleQueue[AuditEntry | None]" = field(factory=SimpleQueue)

    def start(self) -> None:
        """Start the task that writes the queued entries."""
        self._tasks.supervise(TaskKind.CONTROL, self._write_entries)

    def stop(self) -> None:
        """Let the task end after it has tried to write the queued entries."""
        self._queue.put(None)

    def entry_write(self, entry: AuditEntry) -> Write:
        """Return the write that adds an entry as part of another transaction."""
        return entry_write(entry)

    def record(self, entry: AuditEntry) -> None:
        """Queue an entry for the task; drop and count it if the queue is full."""
        if self._queue.qsize() >= MAX_QUEUED_ENTRIES:
            self._drop(entry, "the queue is full")
            return
        self._queue.put(entry)

    def _write_entries(self) -> None:
        while (entry := self._queue.get()) is not None:
            try:
                self._table.commit([entry_write(entry)])
                self._metrics.count("audit_written")
            except PlatformError as error:
                self._drop(entry, str(error))

    def _drop(self, entry: AuditEntry, reason: str) -> None:
        self._metrics.count("audit_dropped")
        logger.warning(
            "audit entry dropped", event=entry.event, peer=entry.peer, error=reason
        )


def make_audit(kernel: Kernel) -> Audit:
    """Return the audit trail, whose task ``start`` starts."""
    return TableAudit(
        kernel.find(ServiceName.TABLE, Table),
        kernel.find(ServiceName.TASKS, Tasks),
        kernel.find(ServiceName.METRICS, Metrics),
    )
