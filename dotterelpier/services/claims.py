"""Idempotency keys, claimed in the platform's table before anything is sent."""

import base64
import hashlib
import threading

from attrs import define, evolve, field
from loguru import logger

from dotterelpier.errors import (
    ClaimUnavailableError,
    ConflictError,
    DuplicateCallError,
    KeyReusedError,
    PlatformError,
    PlatformUnavailableError,
)
from dotterelpier.kernel import Kernel
from dotterelpier.model.call import Answer, Call
from dotterelpier.model.claim import Claim, ClaimState
from dotterelpier.model.platform import ABSENT, Row, Write
from dotterelpier.protocols import Claims, Clock, ManifestKeeper, ServiceName, Table
from dotterelpier.wire.rows import claim_key, decode_row, encode_row

MAX_RECORDED_BODY_BYTES = 64 << 10
DEFAULT_RETENTION_S = 86_400.0


@define
class TableClaims:
    """Claims keys by conditional inserts."""

    _table: Table
    _clock: Clock
    _manifest: ManifestKeeper
    _version_by_call_id: dict[str, str] = field(factory=dict)
    _lock: threading.Lock = field(factory=threading.Lock)

    def claim(self, call: Call) -> Answer | None:
        """Claim the key of a call; return the recorded answer if it already ran."""
        key = claim_key(call.service, call.idempotency_key)
        claim = Claim(
            call.id,
            _request_digest(call),
            ClaimState.CLAIMED,
            self._clock.unix() + self._retention_s(call.service),
        )
        try:
            (version,) = self._table.commit([Write(key, encode_row(claim), ABSENT)])
        except ConflictError:
            return self._read_earlier(key, claim)
        except PlatformUnavailableError:
            return self._settle_lost_reply(key, claim)
        self._remember(call, version)
        return None

    def settle(self, call: Call, answer: Answer | None) -> None:
        """Record the answer, or None where nothing ran and the key is free again."""
        with self._lock:
            version = self._version_by_call_id.pop(call.id, None)
        if version is None:
            return
        key = claim_key(call.service, call.idempotency_key)
        value = None if answer is None else self._recorded(call, answer)
        try:
            self._table.commit([Write(key, value, version)])
        except PlatformError as error:
            logger.warning("claim not settled", call=call.id, error=str(error))

    def _retention_s(self, service: str) -> float:
        revision = self._manifest.current()
        if revision is None or service not in revision.manifest.service_by_name:
            return DEFAULT_RETENTION_S
        return revision.manifest.service_by_name[service].key_retention_s

    def _remember(self, call_or_claim: Call, version: str) -> None:
        with self._lock:
            self._version_by_call_id[call_or_claim.id] = version

    def _recorded(self, call: Call, answer: Answer) -> bytes:
        claim = Claim(
            call.id,
            _request_digest(call),
            ClaimState.ANSWERED,
            self._clock.unix() + self._retention_s(call.service),
        )
        if answer.stream is None and len(answer.body) <= MAX_RECORDED_BODY_BYTES:
            claim = evolve(
                claim,
                status=answer.status,
                headers=[list(pair) for pair in answer.headers],
                body_base64=base64.b64encode(answer.body).decode(),
            )
        return encode_row(claim)

    def _settle_lost_reply(self, key: str, claim: Claim) -> Answer | None:
        try:
            return self._read_earlier(key, claim)
        except PlatformError as error:
            raise ClaimUnavailableError(
                str(error), step="claims.claim", peer=error.peer
            ) from None

    def _read_earlier(self, key: str, claim: Claim) -> Answer | None:
        try:
            row = self._table.read(key)
        except PlatformError as error:
            raise ClaimUnavailableError(
                str(error), step="claims.read", peer=error.peer
            ) from None
        if row is None:
            raise ClaimUnavailableError(
                "the claim did not take effect", step="claims.read"
            )
        return self._answer_of(row, claim)

    def _answer_of(self, row: Row, claim: Claim) -> Answer | None:
        earlier = decode_row(row, Claim)
        if earlier.attempt_id == claim.attempt_id:
            with self._lock:
                self._version_by_call_id[claim.attempt_id] = row.version
            return None
        if earlier.request_digest != claim.request_digest:
            raise KeyReusedError(
                "the idempotency key came before with another request",
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


def _request_digest(call: Call) -> str:
    hashed = hashlib.sha256()
    for part in (call.method, call.service, call.path):
        hashed.update(part.encode() + b"\n")
    hashed.update(call.body)
    return hashed.hexdigest()


def make_claims(kernel: Kernel) -> Claims:
    """Return the claims kept in the platform's table."""
    return TableClaims(
        kernel.find(ServiceName.TABLE, Table),
        kernel.find(ServiceName.CLOCK, Clock),
        kernel.find(ServiceName.MANIFEST, ManifestKeeper),
    )
