"""Serves each call, from its claim to its answer, on the thread that received it."""

import threading
import uuid
from collections.abc import Mapping, Sequence
from concurrent.futures import FIRST_COMPLETED, CancelledError, Future, wait
from concurrent.futures import TimeoutError as FutureTimeoutError
from functools import partial

from attrs import define, evolve, field

from dotterelpier.call_budget import CallBudget
from dotterelpier.errors import (
    AnswerAbandonedError,
    AnswerLostError,
    AnswerMismatchError,
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
from dotterelpier.model.evidence import ExchangeResult, LoadReport, Observation
from dotterelpier.model.manifest import Service
from dotterelpier.model.membership import Member
from dotterelpier.protocols import (
    Admission,
    Backends,
    Calls,
    Claims,
    Clock,
    Evidence,
    Exchange,
    Homes,
    ManifestSource,
    Membership,
    Metrics,
    Relays,
    Routing,
    ServiceName,
)
from dotterelpier.resumed_body import make_resumed_body

MAX_RELAYS = 2
MAX_ATTEMPTS = 3
CANCELLED_STATUS = 499

RESULT_BY_ERROR: Mapping[type[BaseException], ExchangeResult] = {
    RefusedError: ExchangeResult.SHED,
    ConnectFailedError: ExchangeResult.CONNECT_FAILED,
    AnswerLostError: ExchangeResult.RESET,
    AnswerMismatchError: ExchangeResult.RESET,
    AnswerTimeoutError: ExchangeResult.TIMEOUT,
}
NOT_RETRIED = (OverloadedError, InvalidCallError, AnswerAbandonedError)


@define(eq=False)
class _PendingAttempt:
    """An attempt in flight to a backend server or to another entry."""

    peer_id: str
    exchange: Exchange
    started_at: float
    cancelled: bool = False

    def abandon(self) -> None:
        """Cancel the attempt and discard its answer if one still arrives."""
        self.cancel()
        self.exchange.answer.add_done_callback(_close_stream)

    def cancel(self) -> None:
        """Ask the other side to stop; an answer that still arrives is used."""
        self.cancelled = True
        self.exchange.cancel()

    def error(self) -> CallError | None:
        """Return the error of the completed attempt, or None if it was answered.

        A cancelled attempt that ended with status 499 counts as lost.
        """
        error = self.exchange.answer.exception()
        if isinstance(error, CallError):
            error.peer = self.peer_id
            return error
        if error is not None:
            return self._lost(repr(error))
        stopped = self.exchange.answer.result().status == CANCELLED_STATUS
        return self._lost("cancelled") if self.cancelled and stopped else None

    def _lost(self, message: str) -> AnswerLostError:
        return AnswerLostError(message, step="calls.answer", peer=self.peer_id)


def _close_stream(answer: "Future[Answer]") -> None:
    if answer.exception() is None:
        stream = answer.result().stream
        if stream is not None:
            stream.close()


@define
class CallHandler:
    """Claims keys, acquires slots, sends attempts, hedges and retries.

    A call blocks the thread that serves it. Its exchanges end on other threads, whose
    callbacks record the result and release the slot.
    """

    _clock: Clock
    _manifest: ManifestSource
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
    _budget_by_service: dict[str, CallBudget] = field(factory=dict)
    _idempotent_by_slot_id: dict[int, _PendingAttempt] = field(factory=dict)
    _lock: threading.Lock = field(factory=threading.Lock)

    def start(self) -> None:
        """Cancel idempotent attempts above the limit of a cold server from now on."""
        self._admission.subscribe_cancellations(self._cancel_idempotent)

    def stop(self) -> None:
        """Do nothing; the planned stop waits for the calls in flight."""

    def in_flight(self) -> int:
        """Return the number of calls in flight, those with an open stream included."""
        return self._in_flight

    def serve(self, call: Call) -> Answer:
        """Return the answer to a call; a streamed body resumes after lost connections.

        A streamed call stays in flight until its body is closed.
        """
        service = self._find_service(call)
        at_most_once = call.at_most_once or service.is_non_idempotent(
            call.method, call.path
        )
        call = evolve(call, at_most_once=at_most_once)
        self._count_in_flight(1)
        try:
            answer = self._serve(call, service)
        except BaseException:
            self._count_in_flight(-1)
            raise
        if answer.stream is None:
            self._count_in_flight(-1)
            return answer
        body = make_resumed_body(
            call,
            answer,
            partial(self._run, service=service),
            partial(self._count_in_flight, -1),
        )
        return evolve(answer, stream=body)

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

    def _count_in_flight(self, change: int) -> None:
        with self._lock:
            self._in_flight += change

    def _serve(self, call: Call, service: Service) -> Answer:
        if not self._membership.may_take_work():
            raise CutOffError(
                "entry is cut off from the platform and from a majority of its peers",
                step="calls.serve",
            )
        if call.at_most_once and call.idempotency_key and not call.relayed_by:
            return self._run_claimed(call, service)
        return self._run(call, service)

    def _run_claimed(self, call: Call, service: Service) -> Answer:
        recorded = self._claims.claim(call)
        if recorded is not None:
            return recorded
        try:
            answer = self._run(call, service)
        except CallError as error:
            if not error.ran:
                self._claims.record_outcome(call, None)
            raise
        self._claims.record_outcome(call, answer)
        return answer

    def _run(self, call: Call, service: Service) -> Answer:
        """Make attempts until one is answered or no retry is allowed.

        If one attempt may have run, the call fails with its error, even if later ones
        certainly did not run: the caller must not get an error that says "not run".
        """
        self._budget(service).retries.deposit(service.retry_share)
        excluded: frozenset[str] = frozenset()
        may_have_run: CallError | None = None
        for _ in range(MAX_ATTEMPTS):
            try:
                return self._run_attempt(call, service, excluded)
            except CallError as error:
                failed = error
            if failed.ran:
                may_have_run = failed
            if not self._may_retry(call, service, failed):
                break
            excluded |= {failed.peer}
        raise may_have_run or failed

    def _may_retry(self, call: Call, service: Service, error: CallError) -> bool:
        if self._clock.monotonic() >= call.deadline_at or call.relayed_by:
            return False
        if isinstance(error, NOT_RETRIED) or (error.ran and call.at_most_once):
            return False
        if not self._budget(service).retries.try_withdraw():
            return False
        self._metrics.count("retries", service=service.name)
        return True

    def _run_attempt(
        self, call: Call, service: Service, excluded: frozenset[str]
    ) -> Answer:
        slot = self._redeem(call) or self._admission.try_acquire(
            call.service, excluded, call.deadline_at
        )
        if call.relayed_by:
            self._routing.note_waiting(call.relayed_by, call.service, call.peer_waiting)
        if slot is None and call.relayed_by:
            self._routing.note_refused(call.relayed_by, call.service)
            raise OverloadedError(
                "no free slot for a relayed call", step="calls.relayed"
            )
        if slot is None and not self._admission.waiting(call.service):
            answer = self._relay_to_free_home(call, service, excluded)
            if answer is not None:
                return answer
        if slot is None:
            slot = self._wait_for_slot(call)
        if slot.server is None:
            return self._relay_reserved(call, service, slot)
        return self._await_answer(call, service, self._send(call, service, slot))

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
                "no slot became free before the deadline", step="calls.wait"
            ) from None

    def _relay_to_free_home(
        self, call: Call, service: Service, excluded: frozenset[str]
    ) -> Answer | None:
        tried = excluded
        for _ in range(MAX_RELAYS):
            member = self._routing.choose_peer(
                call.service, tried
            ) or self._routing.choose_busy_peer(call.service, tried)
            if member is None:
                return None
            try:
                pending = self._relay(call, service, member)
                return self._await_answer(call, service, pending)
            except (RefusedError, ConnectFailedError):
                tried |= {member.id}
        return None

    def _relay_reserved(self, call: Call, service: Service, slot: Slot) -> Answer:
        member = self._membership.live_by_id().get(slot.peer_id)
        if member is None:
            raise RefusedError(
                "the entry that offered the slot is no longer live",
                step="calls.relay",
                peer=slot.peer_id,
            )
        reserved = evolve(call, reservation=slot.reservation)
        pending = self._relay(reserved, service, member)
        return self._await_answer(call, service, pending)

    def _relay(self, call: Call, service: Service, member: Member) -> _PendingAttempt:
        attempt = self._attempt(call, service, call.deadline_at)
        started_at = self._clock.monotonic()
        try:
            exchange = self._relays.relay(member, attempt)
        except TaskPoolFullError as error:
            raise OverloadedError(error.message, step="calls.relay") from None
        pending = _PendingAttempt(member.id, exchange, started_at)
        exchange.answer.add_done_callback(partial(self._on_relayed, service, pending))
        return pending

    def _send(self, call: Call, service: Service, slot: Slot) -> _PendingAttempt:
        server = slot.server
        assert server is not None
        try:
            limit = self._homes.send_deadline(server.id, cold=slot.cold)
            if limit is None:
                raise RefusedError(
                    "this entry is no longer the home of the backend server",
                    step="calls.send",
                    peer=server.id,
                )
            attempt = self._attempt(call, service, min(call.deadline_at, limit))
            started_at = self._clock.monotonic()
            exchange = self._backends.send(server, attempt)
        except TaskPoolFullError as error:
            self._admission.release(slot)
            raise OverloadedError(error.message, step="calls.send") from None
        except BaseException:
            self._admission.release(slot)
            raise
        pending = _PendingAttempt(server.id, exchange, started_at)
        if not call.at_most_once:
            self._idempotent_by_slot_id[slot.id] = pending
        exchange.answer.add_done_callback(
            partial(self._on_answered, service, slot, pending)
        )
        return pending

    def _cancel_idempotent(self, slot_ids: tuple[int, ...]) -> None:
        for slot_id in slot_ids:
            pending = self._idempotent_by_slot_id.get(slot_id)
            if pending is not None:
                pending.cancel()

    def _attempt(self, call: Call, service: Service, deadline_at: float) -> Attempt:
        return Attempt(
            uuid.uuid4().hex,
            call,
            deadline_at,
            call.at_most_once,
            service.whole_answer_bytes,
        )

    def _await_answer(
        self, call: Call, service: Service, first: _PendingAttempt
    ) -> Answer:
        """Wait for the answer, and send a hedge if it takes longer than most do.

        The hedge is sent after the 95th percentile of the latencies, if another backend
        server or peer has a free slot and the hedge budget allows it. Relayed and
        non-idempotent calls are not hedged.
        """
        if call.at_most_once or call.relayed_by:
            return _first_answer([first])
        budget = self._budget(service)
        budget.hedges.deposit(service.hedge_share)
        hedge_after_s = budget.latencies.quantile_s()
        if hedge_after_s is None:
            return _first_answer([first])
        wait([first.exchange.answer], timeout=hedge_after_s)
        if first.exchange.answer.done() or not budget.hedges.try_withdraw():
            return _first_answer([first])
        second = self._hedge(call, service, frozenset({first.peer_id}))
        if second is None:
            budget.hedges.refund()
            return _first_answer([first])
        self._metrics.count("hedges", service=service.name)
        return _first_answer([first, second])

    def _hedge(
        self, call: Call, service: Service, excluded: frozenset[str]
    ) -> _PendingAttempt | None:
        unreserved = evolve(call, reservation="")
        slot = self._admission.try_acquire(call.service, excluded, call.deadline_at)
        try:
            if slot is not None:
                return self._send(unreserved, service, slot)
            member = self._routing.choose_peer(call.service, excluded)
            return self._relay(unreserved, service, member) if member else None
        except CallError:
            return None

    def _on_relayed(
        self, service: Service, pending: _PendingAttempt, future: "Future[Answer]"
    ) -> None:
        if future.exception() is None:
            self._add_latency(service, pending)

    def _on_answered(
        self,
        service: Service,
        slot: Slot,
        pending: _PendingAttempt,
        future: "Future[Answer]",
    ) -> None:
        self._idempotent_by_slot_id.pop(slot.id, None)
        error = future.exception()
        try:
            if error is None:
                self._add_latency(service, pending)
                self._observe(pending, _result(pending), future.result().report)
            elif type(error) in RESULT_BY_ERROR:
                report = error.report if isinstance(error, RefusedError) else None
                self._observe(pending, RESULT_BY_ERROR[type(error)], report)
        finally:
            pending.exchange.ended.add_done_callback(
                lambda ended: self._admission.release(slot)
            )

    def _observe(
        self,
        pending: _PendingAttempt,
        result: ExchangeResult,
        report: LoadReport | None,
    ) -> None:
        now = self._clock.monotonic()
        self._evidence.observe(
            Observation(pending.peer_id, result, now, report, now - pending.started_at)
        )

    def _add_latency(self, service: Service, pending: _PendingAttempt) -> None:
        latency_s = self._clock.monotonic() - pending.started_at
        self._budget(service).latencies.add(latency_s)

    def _budget(self, service: Service) -> CallBudget:
        budget = self._budget_by_service.get(service.name)
        if budget is None:
            budget = self._budget_by_service.setdefault(service.name, CallBudget())
        return budget


def _result(pending: _PendingAttempt) -> ExchangeResult:
    if pending.cancelled:
        return ExchangeResult.CANCELLED
    return ExchangeResult.ANSWERED


def _first_answer(attempts: Sequence[_PendingAttempt]) -> Answer:
    """Return the first answer and cancel the other attempts.

    Raises
    ------
    CallError
        If all attempts failed; preferably the error of one that may have run.
    """
    waiting = {pending.exchange.answer: pending for pending in attempts}
    errors: list[CallError] = []
    while waiting:
        done, _ = wait(waiting, return_when=FIRST_COMPLETED)
        pending = waiting.pop(done.pop())
        error = pending.error()
        if error is None:
            for loser in waiting.values():
                loser.abandon()
            return pending.exchange.answer.result()
        errors.append(error)
    raise max(errors, key=lambda error: error.ran)


def make_calls(kernel: Kernel) -> Calls:
    """Return the call service of this entry, not started."""
    return CallHandler(
        kernel.find(ServiceName.CLOCK, Clock),
        kernel.find(ServiceName.MANIFEST, ManifestSource),
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
