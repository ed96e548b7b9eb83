"""Records of roll-outs in the store: reading, conditional writes, and their task."""

from collections.abc import Callable, Iterable
from queue import SimpleQueue

from attrs import define, field, frozen
from loguru import logger

from dotterelpier.errors import ConflictError, PlatformError
from dotterelpier.fleet.rollouts.course import CourseStep, StoreAction
from dotterelpier.model.fleet import ExpectedRow, RowWrite, StoreRow
from dotterelpier.model.rollout import (
    RolloutOrder,
    RolloutRecord,
    RolloutState,
    StoredRecord,
)
from dotterelpier.protocols import Clock
from dotterelpier.protocols.fleet import Codec, RowStore, Stores
from dotterelpier.wire.structure import decode_json, encode_json

TABLE = "rollouts"
NO_RECORD = StoredRecord(None, 0)


@frozen
class StoreResult:
    """Outcome of a call to the store for one order.

    Attributes
    ----------
    order : RolloutOrder
        The order.
    stored : StoredRecord or None
        The record that was read or written; None if the call failed or conflicted.
    was_read : bool
        Whether it was a read.
    store_ms : int
        Clock of the store in the reply, 0 if unknown.
    asked_at, replied_at : float
        When the call began and ended, on the monotonic clock in seconds.
    """

    order: RolloutOrder
    stored: StoredRecord | None
    was_read: bool
    store_ms: int
    asked_at: float
    replied_at: float


@define(eq=False)
class RecordKeeper:
    """Task that reads and writes the records, one call after the other.

    Calls may take long; the messages between the entries do not wait for them.
    """

    _stores: Stores
    _codec: Codec
    _clock: Clock
    _on_result: Callable[[StoreResult], None]
    _store: RowStore = field(init=False)
    _calls: "SimpleQueue[tuple[RolloutOrder, CourseStep] | None]" = field(
        factory=SimpleQueue
    )

    def __attrs_post_init__(self) -> None:
        self._store = self._stores.connect()

    def request(self, order: RolloutOrder, step: CourseStep) -> None:
        """Queue the call that a step wants."""
        self._calls.put((order, step))

    def stop(self) -> None:
        """Abort the call in progress, and end the task."""
        self._calls.put(None)
        self._store.close()

    def serve(self) -> None:
        """Perform the calls until stopped."""
        while (call := self._calls.get()) is not None:
            self.perform(*call)

    def perform(self, order: RolloutOrder, step: CourseStep) -> None:
        """Perform one call, and pass its outcome on."""
        asked_at = self._clock.monotonic()
        is_read = step.action is StoreAction.READ
        stored, store_ms = None, 0
        try:
            if is_read:
                reply = self._store.read(TABLE)
                stored = find_record(reply.rows, order.service)
                store_ms = reply.store_ms
            elif step.record is not None:
                stored = self._write(order, step.record, step.expected_version)
        except ConflictError:
            logger.info(
                "record of a roll-out changed meanwhile; reading it",
                service=order.service,
                expected_version=step.expected_version,
            )
        except PlatformError as error:
            logger.warning(
                "record of a roll-out not read or written; reading it again",
                service=order.service,
                action=step.action.value,
                error=str(error),
            )
        replied_at = self._clock.monotonic()
        self._on_result(
            StoreResult(order, stored, is_read, store_ms, asked_at, replied_at)
        )

    def _write(
        self, order: RolloutOrder, record: RolloutRecord, expected_version: int
    ) -> StoredRecord:
        """Write a record and the state that operators see, as one transaction.

        The order must still be the same, so that no state is told of a later one.
        """
        writes: tuple[RowWrite, ...]
        writes = (RowWrite(TABLE, order.service, encode_json(record)),)
        if record.state is not RolloutState.COMPLETING:
            status = self._codec.rollout_status_row(order, record.state)
            # The last row has the version of the transaction.
            writes = (status, *writes)
        expected = (
            ExpectedRow(TABLE, order.service, expected_version),
            self._codec.rollout_order_row(order),
        )
        version = self._store.put_all(writes, expected)
        return StoredRecord(record, version)


def find_record(rows: Iterable[StoreRow], service: str) -> StoredRecord:
    """Return the record of a service among the rows of the table."""
    for row in rows:
        if row.key == service:
            return decode_record(row)
    return NO_RECORD


def decode_record(row: StoreRow) -> StoredRecord:
    """Return the record of a row; one that cannot be read may be overwritten."""
    if row.value is None:
        return NO_RECORD
    try:
        return StoredRecord(decode_json(row.value, RolloutRecord), row.version)
    except (ValueError, RecursionError) as error:
        logger.error(
            "record of a roll-out is malformed",
            service=row.key,
            version=row.version,
            error=str(error),
        )
        return StoredRecord(None, row.version)
