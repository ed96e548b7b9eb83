"""Idempotency keys, claimed in the platform's table before a call is sent.

A claim is kept until the deadline of its call plus the retention time of the service,
and then until a sweep deletes it. After that, the same key starts a new call.
"""

import base64
import hashlib
import threading
from collections import deque
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError

from attrs import define, evolve, field
from loguru import logger

from dotterelpier.errors import (
    ClaimUnavailableError,
    ConflictError,
    DuplicateCallError,
    KeyReusedError,
    PlatformError,
)
from dotterelpier.group_commit import GroupCommit, make_group_commit
from dotterelpier.kernel import Kernel
from dotterelpier.model.call import Answer, Call
from dotterelpier.model.claim import Claim, ClaimState
from dotterelpier.model.platform import ABSENT, Row, Write
from dotterelpier.protocols import (
    Claims,
    Clock,
    ManifestSource,
    ServiceName,
    Subscription,
    Table,
    TaskKind,
    Tasks,
    Timer,
)
from dotterelpier.wire.rows import claim_key, decode_row, encode_row

MAX_RECORDED_BYTES = 64 << 10
DEFAULT_RETENTION_S = 86_400.0
RECORD_TIMEOUT_S = 0.25
CORRECTION_INTERVAL_S = 1.0
MAX_CORRECTIONS = 4096
CORRECTIONS_PER_INTERVAL = 32
MAX_TRIES = 600
MAX_TRIES_WITHOUT_ROW = 5


@define
class _Correction:
    """The value a row must get if the call still holds it; None deletes the row."""

    key: str
    call_id: str
    value: bytes | None
    tries: int = 0


@define
class TableClaims:
    """Claims keys by conditional inserts, many in one transaction.

    A background task corrects rows whose write failed or lost its reply: it deletes a
    row that holds the key for a call that never ran, and records an answer late.
    """

    _table: Table
    _clock: Clock
    _timer: Timer
    _tasks: Tasks
    _manifest: ManifestSource
    _commits: GroupCommit
    _corrections: "deque[_Correction]" = field(
        factory=lambda: deque(maxlen=MAX_CORRECTIONS)
    )
    _version_by_call_id: dict[str, str] = field(factory=dict)
    _subscription: Subscription | None = None
    _lock: threading.Lock = field(factory=threading.Lock)

    def start(self) -> None:
        """Start the task that commits writes and the one that corrects rows."""
        self._tasks.submit(TaskKind.CONTROL, self._commits.serve)
        self._subscription = self._timer.every(CORRECTION_INTERVAL_S)
        self._tasks.supervise(TaskKind.CONTROL, self._correct, self._subscription)

    def stop(self) -> None:
        """End both tasks; queued writes are still committed, corrections are lost."""
        self._commits.close()
        if self._subscription is not None:
            self._subscription.cancel()

    def claim(self, call: Call) -> Answer | None:
        """Claim the idempotency key of a call, or return the answer recorded for it."""
        key = claim_key(call.service, call.idempotency_key)
        claim = Claim(
            call.id, _request_digest(call), ClaimState.CLAIMED, self._expires_at(call)
        )
        written = self._commits.put(Write(key, encode_row(claim), ABSENT))
        try:
            version = written.result(self._remaining_s(call))
        except FutureTimeoutError:
            written.add_done_callback(lambda _: self._schedule_release(key, call))
            raise _unavailable(
                "the platform did not confirm the claim before the deadline"
            ) from None
        except ConflictError:
            return self._read_earlier(key, call, claim)
        except PlatformError:
            return self._resolve_lost_reply(key, call, claim)
        self._store_version(call, version)
        return None

    def record_outcome(self, call: Call, answer: Answer | None) -> None:
        """Record the answer of a claimed call, or release its key if it did not run.

        Waits up to ``RECORD_TIMEOUT_S`` for the write, so that a retry of the caller
        finds it. If the platform takes longer or fails, the write continues in the
        background.
        """
        with self._lock:
            version = self._version_by_call_id.pop(call.id, None)
        if version is None:
            return
        key = claim_key(call.service, call.idempotency_key)
        value = None if answer is None else self._encode_answered(call, answer)
        written = self._commits.put(Write(key, value, version))
        written.add_done_callback(
            lambda done: self._correct_if_failed(done, _Correction(key, call.id, value))
        )
        try:
            written.result(RECORD_TIMEOUT_S)
        except (FutureTimeoutError, PlatformError) as error:
            logger.warning(
                "outcome not yet recorded in the claim; continuing in the background",
                call=call.id,
                error=repr(error),
            )

    def _remaining_s(self, call: Call) -> float:
        return max(0.0, call.deadline_at - self._clock.monotonic())

    def _expires_at(self, call: Call) -> float:
        kept_s = self._remaining_s(call) + self._retention_s(call.service)
        return self._clock.unix() + kept_s

    def _retention_s(self, service: str) -> float:
        revision = self._manifest.current()
        if revision is None or service not in revision.manifest.service_by_name:
            return DEFAULT_RETENTION_S
        return revision.manifest.service_by_name[service].key_retention_s

    def _store_version(self, call: Call, version: str) -> None:
        with self._lock:
            self._version_by_call_id[call.id] = version

    def _encode_answered(self, call: Call, answer: Answer) -> bytes:
        claim = Claim(
            call.id, _request_digest(call), ClaimState.ANSWERED, self._expires_at(call)
        )
        header_bytes = sum(len(name) + len(value) for name, value in answer.headers)
        size = header_bytes + len(answer.body)
        if answer.stream is None and size <= MAX_RECORDED_BYTES:
            claim = evolve(
                claim,
                status=answer.status,
                headers=[list(pair) for pair in answer.headers],
                body_base64=base64.b64encode(answer.body).decode(),
            )
        return encode_row(claim)

    def _resolve_lost_reply(self, key: str, call: Call, claim: Claim) -> Answer | None:
        try:
            return self._read_earlier(key, call, claim)
        except ClaimUnavailableError:
            self._schedule_release(key, call)
            raise

    def _read_earlier(self, key: str, call: Call, claim: Claim) -> Answer | None:
        try:
            row = self._table.read(key)
            earlier = None if row is None else decode_row(row, Claim)
        except PlatformError as error:
            raise _unavailable(str(error), error.peer) from None
        if row is None or earlier is None:
            raise _unavailable("the platform did not store the claim")
        if earlier.attempt_id == call.id:
            self._store_version(call, row.version)
            return None
        return _recorded_answer(earlier, claim)

    def _schedule_release(self, key: str, call: Call) -> None:
        self._corrections.append(_Correction(key, call.id, None))

    def _correct_if_failed(self, done: "Future[str]", correction: _Correction) -> None:
        if done.exception() is not None:
            self._corrections.append(correction)

    def _correct(self, subscription: Subscription) -> None:
        while subscription.wait():
            for _ in range(min(len(self._corrections), CORRECTIONS_PER_INTERVAL)):
                correction = self._corrections.popleft()
                if not self._apply_correction(correction):
                    self._corrections.append(correction)

    def _apply_correction(self, correction: _Correction) -> bool:
        """Correct a row; return whether the correction is done or given up."""
        correction.tries += 1
        try:
            row = self._table.read(correction.key)
            if row is not None and self._needs_correction(row, correction):
                write = Write(correction.key, correction.value, row.version)
                self._table.commit([write])
        except PlatformError as error:
            logger.debug(
                "claim correction failed; retrying while tries are left",
                key=correction.key,
                error=str(error),
            )
            return correction.tries >= MAX_TRIES
        # A write whose reply was lost may still be in flight and create the row later.
        return row is not None or correction.tries >= MAX_TRIES_WITHOUT_ROW

    def _needs_correction(self, row: Row, correction: _Correction) -> bool:
        held_by_call = decode_row(row, Claim).attempt_id == correction.call_id
        return held_by_call and row.value != correction.value


def _recorded_answer(earlier: Claim, claim: Claim) -> Answer:
    if earlier.request_digest != claim.request_digest:
        raise KeyReusedError(
            "the idempotency key was already used with a different request",
            step="claims.claim",
        )
    if earlier.state is ClaimState.CLAIMED or not earlier.status:
        raise DuplicateCallError(
            "an earlier call with this idempotency key may have run",
            step="claims.claim",
        )
    return Answer(
        earlier.status,
        tuple((name, value) for name, value in earlier.headers),
        base64.b64decode(earlier.body_base64),
    )


def _unavailable(message: str, peer: str = "") -> ClaimUnavailableError:
    return ClaimUnavailableError(message, step="claims.claim", peer=peer)


def _request_digest(call: Call) -> str:
    hashed = hashlib.sha256()
    for part in (call.method, call.service, call.path):
        hashed.update(part.encode() + b"\n")
    hashed.update(call.body)
    return hashed.hexdigest()


def make_claims(kernel: Kernel) -> Claims:
    """Return the claims in the platform's table; their tasks are not started."""
    table = kernel.find(ServiceName.TABLE, Table)
    return TableClaims(
        table,
        kernel.find(ServiceName.CLOCK, Clock),
        kernel.find(ServiceName.TIMER, Timer),
        kernel.find(ServiceName.TASKS, Tasks),
        kernel.find(ServiceName.MANIFEST, ManifestSource),
        make_group_commit(table),
    )
