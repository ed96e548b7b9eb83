"""Audit trail of changes and events, kept in the platform's table."""

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
    """Return the write that adds an entry; keys sort by time, then by revision."""
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
        """Start the task that writes entries."""
        self._tasks.submit(TaskKind.CONTROL, self._write_entries)

    def stop(self) -> None:
        """End the task once the queued entries were tried."""
        self._queue.put(None)

    def entry_write(self, entry: AuditEntry) -> Write:
        """Return the write that adds an entry within another transaction."""
        return entry_write(entry)

    def record(self, entry: AuditEntry) -> None:
        """Add an entry soon, in the background."""
        if self._queue.qsize() >= MAX_QUEUED_ENTRIES:
            self._drop(entry, "too many are queued")
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
    """Return the audit trail."""
    return TableAudit(
        kernel.find(ServiceName.TABLE, Table),
        kernel.find(ServiceName.TASKS, Tasks),
        kernel.find(ServiceName.METRICS, Metrics),
    )
