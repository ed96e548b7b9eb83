"""Serves calls, each written straight down."""

import threading
import uuid
from collections.abc import Iterator
from concurrent.futures import CancelledError
from concurrent.futures import TimeoutError as FutureTimeoutError
from contextlib import contextmanager

from attrs import define, evolve, field

from dotterelpier.errors import (
    AnswerLostError,
    AnswerTimeoutError,
    CallError,
    ConnectFailedError,
    CutOffError,
    InvalidCallError,
    NoManifestError,
    OverloadedError,
    RefusedError,
    TaskPoolFullError,
    UnknownServiceError,
)
from dotterelpier.kernel import Kernel
from dotterelpier.model.admission import Slot
from dotterelpier.model.call import Answer, Attempt, Call
from dotterelpier.model.evidence import ExchangeResult, Observation
from dotterelpier.model.manifest import Service
from dotterelpier.model.membership import Member
from dotterelpier.protocols import (
    Admission,
    Backends,
    Calls,
    Claims,
    Clock,
    Evidence,
    Homes,
    ManifestKeeper,
    Membership,
    Metrics,
    Relays,
    Routing,
    ServiceName,
)

MAX_RELAYS = 2
MAX_ATTEMPTS = 3

RESULT_BY_ERROR: dict[type[CallError], ExchangeResult] = {
    RefusedError: ExchangeResult.SHED,
    ConnectFailedError: ExchangeResult.CONNECT_FAILED,
    AnswerLostError: ExchangeResult.RESET,
    AnswerTimeoutError: ExchangeResult.TIMEOUT,
}


@define
class StraightCalls:
    """Claims, waits for a slot, sends, retries and answers."""

    _clock: Clock
    _manifest: ManifestKeeper
    _membership: Membership
    _homes: Homes
    _evidence: Evidence
    _admission: Admission
    _routing: Routing
    _backends: Backends
    _relays: Relays
    _claims: Claims
    _metrics: Metrics
    _in_flight: int = 0
    _lock: threading.Lock = field(factory=threading.Lock)

    def in_flight(self) -> int:
        """Return the number of calls being served."""
        return self._in_flight

    def serve(self, call: Call) -> Answer:
        """Return the answer to a call."""
        service = self._find_service(call)
        with self._counted():
            if not self._membership.may_take_work():
                raise CutOffError("entry is cut off", step="calls.serve")
            once = service.is_non_idempotent(call.method, call.path)
            if not once or not call.idempotency_key or call.relayed_by:
                return self._run(call, once)
            return self._run_claimed(call)

    def _find_service(self, call: Call) -> Service:
        revision = self._manifest.current()
        if revision is None:
            raise NoManifestError("no manifest is known yet", step="calls.serve")
        service = revision.manifest.service_by_name.get(call.service)
        if service is None:
            raise UnknownServiceError(
                f"no service {call.service!r} is declared", step="calls.serve"
            )
        if len(call.body) > service.max_body_bytes:
            raise InvalidCallError(
                f"body of {len(call.body)} bytes is above the limit of "
                f"{service.max_body_bytes}",
                step="calls.serve",
            )
        return service

    @contextmanager
    def _counted(self) -> Iterator[None]:
        with self._lock:
            self._in_flight += 1
        try:
            yield
        finally:
            with self._lock:
                self._in_flight -= 1

    def _run_claimed(self, call: Call) -> Answer:
        recorded = self._claims.claim(call)
        if recorded is not None:
            return recorded
        try:
            answer = self._run(call, once=True)
        except CallError as error:
            if not error.ran:
                self._claims.settle(call, None)
            raise
        self._claims.settle(call, answer)
        return answer

    def _run(self, call: Call, once: bool) -> Answer:
        excluded: frozenset[str] = frozenset()
        for attempt in range(1, MAX_ATTEMPTS + 1):
            try:
                return self._run_once(call, once, excluded)
            except CallError as error:
                if attempt == MAX_ATTEMPTS or not self._may_retry(call, error, once):
                    raise
                excluded |= {error.peer}
        raise OverloadedError("no attempt was made", step="calls.run")

    def _may_retry(self, call: Call, error: CallError, once: bool) -> bool:
        if self._clock.monotonic() >= call.deadline_at:
            return False
        if isinstance(error, OverloadedError):
            return False
        return not error.ran or not once

    def _run_once(self, call: Call, once: bool, excluded: frozenset[str]) -> Answer:
        slot = self._redeem(call) or self._admission.try_acquire(
            call.service, excluded, call.deadline_at
        )
        if slot is not None:
            return self._send(call, slot, once)
        if call.relayed_by:
            raise OverloadedError("no slot is free here", step="calls.relayed")
        answer = self._relay_to_free_home(call, excluded)
        if answer is not None:
            return answer
        slot = self._wait_for_slot(call)
        if slot.server is None:
            return self._relay_reserved(call, slot)
        return self._send(call, slot, once)

    def _redeem(self, call: Call) -> Slot | None:
        if not call.reservation:
            return None
        return self._admission.redeem(call.reservation, call.deadline_at)

    def _wait_for_slot(self, call: Call) -> Slot:
        self._evidence.refresh(call.service)
        waiting = self._admission.wait(call.service, call.deadline_at)
        try:
            remaining_s = call.deadline_at - self._clock.monotonic()
            return waiting.result(max(0.0, remaining_s))
        except (FutureTimeoutError, CancelledError):
            if not waiting.cancel() and not waiting.cancelled():
                self._admission.release(waiting.result())
            raise OverloadedError(
                "no slot came free before the deadline", step="calls.wait"
            ) from None

    def _relay_to_free_home(
        self, call: Call, excluded: frozenset[str]
    ) -> Answer | None:
        tried = excluded
        for _ in range(MAX_RELAYS):
            member = self._routing.choose_peer(call.service, tried)
            if member is None:
                return None
            try:
                return self._relay(call, member)
            except (RefusedError, ConnectFailedError):
                tried |= {member.id}
        return None

    def _relay_reserved(self, call: Call, slot: Slot) -> Answer:
        member = self._membership.live_by_id().get(slot.peer_id)
        if member is None:
            raise RefusedError("the home left", step="calls.relay", peer=slot.peer_id)
        return self._relay(evolve(call, reservation=slot.reservation), member)

    def _relay(self, call: Call, member: Member) -> Answer:
        try:
            pending = self._relays.relay(member, call)
        except TaskPoolFullError as error:
            raise OverloadedError(error.message, step="calls.relay") from None
        answer = pending.result()
        if answer.peer_load is not None:
            self._routing.learn(member.id, call.service, answer.peer_load)
        return answer

    def _send(self, call: Call, slot: Slot, once: bool) -> Answer:
        server = slot.server
        assert server is not None
        try:
            limit = self._homes.send_deadline(server.id, cold=slot.cold)
            if limit is None:
                raise RefusedError(
                    "no longer its home", step="calls.send", peer=server.id
                )
            attempt = Attempt(
                uuid.uuid4().hex, call, min(call.deadline_at, limit), once
            )
            started_at = self._clock.monotonic()
            exchange = self._backends.send(server, attempt)
        except TaskPoolFullError as error:
            self._admission.release(slot)
            raise OverloadedError(error.message, step="calls.send") from None
        except CallError:
            self._admission.release(slot)
            raise
        try:
            answer = exchange.answer.result()
        except CallError as error:
            error.peer = server.id
            self._admission.release(slot, may_run=error.ran)
            result = RESULT_BY_ERROR.get(type(error), ExchangeResult.RESET)
            self._observe(server.id, result, started_at, None)
            raise
        self._admission.release(slot)
        self._observe(server.id, ExchangeResult.ANSWERED, started_at, answer)
        return answer

    def _observe(
        self,
        backend_id: str,
        result: ExchangeResult,
        started_at: float,
        answer: Answer | None,
    ) -> None:
        now = self._clock.monotonic()
        report = answer.report if answer is not None else None
        self._evidence.observe(
            Observation(backend_id, result, now, report, now - started_at)
        )


def make_calls(kernel: Kernel) -> Calls:
    """Return the service that serves calls."""
    return StraightCalls(
        kernel.find(ServiceName.CLOCK, Clock),
        kernel.find(ServiceName.MANIFEST, ManifestKeeper),
        kernel.find(ServiceName.MEMBERSHIP, Membership),
        kernel.find(ServiceName.HOMES, Homes),
        kernel.find(ServiceName.EVIDENCE, Evidence),
        kernel.find(ServiceName.ADMISSION, Admission),
        kernel.find(ServiceName.ROUTING, Routing),
        kernel.find(ServiceName.BACKENDS, Backends),
        kernel.find(ServiceName.RELAYS, Relays),
        kernel.find(ServiceName.CLAIMS, Claims),
        kernel.find(ServiceName.METRICS, Metrics),
    )
