"""Forwarding of requests to backend servers, with retries and hedged requests.

Each request is served from start to end in the thread of its client connection.
"""

from queue import Empty

from attrs import define, evolve, field
from loguru import logger

from dotterelpier.errors import (
    AnswerAbandonedError,
    AnswerLostError,
    AnswerTimeoutError,
    CallError,
    ClientLeftError,
    ConnectFailedError,
    NoManifestError,
    NoRouteError,
    OverloadedError,
    RefusedError,
    RouteFaultyError,
    TaskPoolFullError,
)
from dotterelpier.fleet.account_gate import AccountGate, make_account_gate
from dotterelpier.fleet.request_state import (
    Answered,
    Attempt,
    ClientLeft,
    Event,
    RequestState,
    SlowedDown,
)
from dotterelpier.fleet.splitting import WeightedSplit
from dotterelpier.kernel import Kernel
from dotterelpier.model.hedge import HedgeCandidate
from dotterelpier.model.instance import NO_NOTICE, InstanceNotice
from dotterelpier.model.request import (
    DEFAULT_TIMEOUT_S,
    InstanceAnswer,
    Reply,
    Request,
)
from dotterelpier.model.ticket import Ticket
from dotterelpier.protocols import Clock, Metrics, ServiceName
from dotterelpier.protocols.fleet import (
    Conditions,
    DrainWindow,
    Forwarding,
    Hedging,
    Instances,
    RetryBudget,
    Rollouts,
    Routes,
    WaitingRoom,
)

STEP = "forwarding"
# Shortest time until the deadline in which another attempt can succeed.
MIN_ATTEMPT_S = 0.02
FIRST_SERVER_ERROR_STATUS = 500


@define
class DirectForwarding:
    """Sends each request directly to a backend server, and retries or hedges it.

    Requests that may have run are sent again only if their route is idempotent.
    ``serve`` is thread-safe.
    """

    _clock: Clock
    _metrics: Metrics
    _conditions: Conditions
    _instances: Instances
    _budget: RetryBudget
    _gate: AccountGate
    _waiting_room: WaitingRoom
    _drain_window: DrainWindow
    _rollouts: Rollouts
    _routes: Routes
    _hedging: Hedging
    _split: WeightedSplit = field(factory=WeightedSplit)

    def is_idempotent(self, host: str, path: str) -> bool:
        """Return whether a request to a path would be sent, and may run twice."""
        table = self._routes.table()
        route = table.match(host, path) if table else None
        return route is not None and bool(route.shares) and route.idempotent

    def has_large_answers(self, host: str, path: str) -> bool:
        """Return whether the route of a request declares large bodies."""
        table = self._routes.table()
        route = table.match(host, path) if table else None
        return route is not None and route.large_bodies

    def serve(self, request: Request) -> Reply:
        """Return the final answer to a request; blocks until it or the deadline.

        Attempts still pending are aborted before it returns or raises. The caller must
        close the stream of a reply that has one.

        Raises
        ------
        CallError
            If no backend server gave an answer; ``ran`` states whether it may have run.
        """
        state = self._begin(request)
        unsubscribe = request.on_client_left(lambda: state.inbox.put(ClientLeft()))
        reply: Reply | None = None
        try:
            reply = self._run_attempts(state)
        except CallError as error:
            if not state.tried:
                self._gate.give_back(state)
            self._log_end(state, error.code, error)
            raise
        finally:
            unsubscribe()
            self._abort_pending(state)
            _close_unused(state, reply)
        self._log_end(state, "answered", None, reply.status)
        return reply

    def _begin(self, request: Request) -> RequestState:
        timeout_s = request.timeout_s or DEFAULT_TIMEOUT_S
        table = self._gate.table(request.arrived_at + timeout_s)
        if table is None:
            raise NoManifestError("no configuration is known yet", step=STEP)
        route = table.match(request.host, request.path)
        if route is None:
            raise NoRouteError(
                f"no route for {request.host!r} in configuration {table.version}",
                step=STEP,
            )
        request = self._gate.identify(table, route, request)
        if request.account is not None and request.account.priority is not None:
            route = evolve(route, priority=request.account.priority)
        if not route.shares:
            message = f"route {route.name!r} is not understood"
            raise RouteFaultyError(message, step=STEP)
        if route.timeout_s is not None:
            timeout_s = min(timeout_s, route.timeout_s)
        deadline_at = request.arrived_at + timeout_s
        self._drain_window.check(request.arrived_at, deadline_at)
        self._gate.admit(request, table, deadline_at)
        service = self._split.choose(route)
        self._budget.note_request(service)
        self._conditions.note_request(service)
        self._rollouts.note_request(service)
        policy = self._hedging.policy()
        return RequestState(request, route, table, service, deadline_at, policy)

    def _run_attempts(self, state: RequestState) -> Reply:
        self._send_first(state)
        state.hedging.note_request(state.service)
        while state.pending:
            match self._next_event(state):
                case Answered(attempt):
                    reply = self._handle_answer(state, attempt)
                    if reply is not None:
                        return reply
                    if not state.pending:
                        self._send_again(state)
                case SlowedDown(attempt):
                    self._hedge(state, attempt, "backend server turned slow")
                case ClientLeft():
                    raise ClientLeftError("the client closed its connection", step=STEP)
                case None:
                    self._hedge(
                        state, state.pending[0], "no answer within the hedge delay"
                    )
        return self._give_up(state)

    def _next_event(self, state: RequestState) -> Event | None:
        """Wait for the next event; return None when a hedged request is due."""
        now = self._clock.monotonic()
        hedge_at = state.hedging.due_at(
            state.route, state.request.arrived_at, state.pending[0].sent_at
        )
        waits_for_hedge = state.route.idempotent and not state.hedged and now < hedge_at
        until = (
            min(hedge_at, state.deadline_at) if waits_for_hedge else state.deadline_at
        )
        try:
            return state.inbox.get(timeout=max(0.0, until - now))
        except Empty:
            if self._clock.monotonic() < state.deadline_at:
                return None
            raise AnswerTimeoutError(
                "no answer before the deadline", step=STEP, peer=state.pending[-1].peer
            ) from None

    def _send_first(self, state: RequestState) -> None:
        """Send the first attempt, once there is room and the request's turn."""
        ticket = self._waiting_room.enter(
            state.service, state.route, state.request.arrived_at, state.deadline_at
        )
        sent = False
        try:
            while not (sent := self._send_in_turn(state, ticket)):
                if not state.inbox.empty():
                    message = "the client closed its connection"
                    raise ClientLeftError(message, step=STEP)
                self._check_open(ticket)
                remaining_s = ticket.wait_until - self._clock.monotonic()
                if remaining_s <= 0:
                    waited_ms = self._ms_since(state.request.arrived_at)
                    reason = f"no backend server has room; waited {waited_ms} ms"
                    raise self._waiting_room.refusal(ticket, reason)
                self._waiting_room.check(ticket)
                self._waiting_room.note_waits(ticket)
                self._conditions.wait_for_room(remaining_s)
        finally:
            self._waiting_room.leave(ticket, sent=sent)

    def _check_open(self, ticket: Ticket) -> None:
        """Refuse a request at once if no backend server wants one while it may wait.

        Raises
        ------
        OverloadedError
            With the time until the first of them wants requests again.
        """
        closed_until = self._conditions.closed_until(ticket.service)
        if closed_until <= ticket.wait_until:
            return
        reason = "all backend servers leave or asked for a longer pause"
        raise self._waiting_room.refusal(ticket, reason, closed_until)

    def _send_in_turn(self, state: RequestState, ticket: Ticket) -> bool:
        self._gate.check_again(state)
        if self._clock.monotonic() >= ticket.wait_until:
            # A late answer is better than none.
            return self._send(state)
        if not self._waiting_room.is_next(ticket):
            return False
        return self._send(state, min(ticket.objective_at, state.deadline_at))

    def _send(
        self, state: RequestState, due_at: float | None = None, *, hedge: bool = False
    ) -> bool:
        """Send to the best backend server not yet tried; return False if there is none.

        Backend servers not expected to answer by ``due_at``, by default the deadline,
        are left out.
        """
        remaining_s = (due_at or state.deadline_at) - self._clock.monotonic()
        choice = self._conditions.pick(
            state.service,
            state.route,
            frozenset(state.tried),
            remaining_s,
            spare_room=hedge and state.hedging.limited,
        )
        if choice is None:
            return False
        instance = choice.instance
        # The backend server may have silently dropped a connection that was idle for
        # long, and a request lost on it could not be sent again.
        fresh = not state.route.idempotent
        try:
            exchange = self._instances.send(
                instance, state.request, state.deadline_at, fresh
            )
        except TaskPoolFullError as error:
            self._conditions.note_ended(instance.id, None)
            choice.tracked.note_not_sent()
            raise self._overloaded(state, error.message, instance.id) from None
        choice.tracked.note_sent(state.route)
        attempt = Attempt(choice, exchange, self._clock.monotonic(), hedge=hedge)
        if state.route.idempotent:
            attempt.unwatch = self._conditions.watch_slowdown(
                instance.id, lambda: state.inbox.put(SlowedDown(attempt))
            )
        state.tried.add(instance.id)
        state.pending.append(attempt)
        exchange.answer.add_done_callback(lambda _: state.inbox.put(Answered(attempt)))
        self._log_attempt(state, attempt)
        return True

    def _handle_answer(self, state: RequestState, attempt: Attempt) -> Reply | None:
        """Record the result of an attempt; return the final answer, None if it failed.

        A late event of an attempt that is no longer pending is ignored.
        """
        if attempt not in state.pending:
            return None
        state.pending.remove(attempt)
        attempt.stop_watching()
        try:
            answer = attempt.exchange.answer.result()
        except AnswerAbandonedError:
            self._conditions.note_ended(attempt.peer, None)
            raise
        except CallError as error:
            self._handle_error(state, attempt, error)
            return None
        self._note_notice(state, attempt, answer.notice)
        if answer.load is not None:
            self._conditions.note_load(attempt.peer, answer.load)
        failed = answer.status >= FIRST_SERVER_ERROR_STATUS
        self._conditions.note_ended(attempt.peer, not failed)
        state.possibly_run_count += 1
        duration_s = self._clock.monotonic() - attempt.sent_at
        attempt.choice.tracked.note_answer(state.route, answer, duration_s)
        if not failed:
            if not attempt.exchange.waited_for_memory():
                self._conditions.note_answer(state.route, attempt.choice, duration_s)
            if attempt.hedge:
                state.hedging.note_won(state.service)
            elif not attempt.exchange.waited_for_memory():
                state.hedging.note_attempt(state.route, duration_s, ended=True)
            return _reply(state, answer)
        _close_unused(state, None)
        state.failure = answer
        state.error = AnswerLostError(
            f"answered with status {answer.status}", step=STEP, peer=attempt.peer
        )
        return None

    def _note_notice(
        self, state: RequestState, attempt: Attempt, notice: InstanceNotice
    ) -> None:
        if notice is not NO_NOTICE:
            self._metrics.count("notices", service=state.service)
            self._conditions.note_notice(attempt.choice.instance, notice)

    def _handle_error(
        self, state: RequestState, attempt: Attempt, error: CallError
    ) -> None:
        error.peer = attempt.peer
        state.error = error
        self._note_notice(state, attempt, error.notice)
        success: bool | None = False
        if isinstance(error, RefusedError):
            state.refusal_count += 1
            success = None
            if error.load is not None:
                self._conditions.note_load(attempt.peer, error.load)
            if error.misdirected:
                self._conditions.note_unreachable(attempt.peer, str(error))
        elif isinstance(error, ConnectFailedError):
            success = None
            self._conditions.note_unreachable(attempt.peer, str(error))
        elif error.ran:
            state.possibly_run_count += 1
        self._conditions.note_ended(attempt.peer, success)
        duration_s = self._clock.monotonic() - attempt.sent_at
        attempt.choice.tracked.note_error(state.route, error, duration_s)
        logger.info(
            "attempt failed",
            request=state.request.id,
            peer=attempt.peer,
            after_ms=self._ms_since(attempt.sent_at),
            code=error.code,
            step=error.step,
            may_have_run=error.ran,
            error=error.message,
        )

    def _send_again(self, state: RequestState) -> bool:
        """Send once more as a retry; return whether it was sent.

        The route's attempts, the deadline, the retry budget and the risk of running
        the request twice may each forbid it.
        """
        if not self._may_send_again(state) or not self._withdraw(state):
            return False
        return self._send_withdrawn(state)

    def _may_send_again(self, state: RequestState) -> bool:
        if not state.may_resend or state.sent_count >= state.route.max_attempts:
            return False
        if self._clock.monotonic() + MIN_ATTEMPT_S > state.deadline_at:
            return False
        return self._gate.may_send_again(state)

    def _withdraw(self, state: RequestState) -> bool:
        withdrawn = self._budget.try_withdraw(state.service)
        if not withdrawn:
            self._metrics.count("retries_denied", service=state.service)
        return withdrawn

    def _send_withdrawn(
        self, state: RequestState, due_at: float | None = None, *, hedge: bool = False
    ) -> bool:
        sent = False
        try:
            charged = self._gate.charge_again(state)
            sent = charged and self._send(state, due_at, hedge=hedge)
        except OverloadedError as error:
            # An earlier attempt may have run or still run, so this is no refusal.
            logger.warning(
                "further attempt not sent",
                request=state.request.id,
                peer=error.peer,
                error=error.message,
            )
        finally:
            if not sent:
                self._budget.refund(state.service)
        if not sent:
            return False
        self._metrics.count("retries", service=state.service)
        return True

    def _hedge(self, state: RequestState, slow: Attempt, reason: str) -> None:
        """Send a hedged request to a second backend server, at most one per request."""
        if state.hedged or slow not in state.pending or not state.route.idempotent:
            return
        if not self._may_send_again(state):
            return
        if slow.exchange.waited_for_memory():
            # Its backend server has answered; a second answer needs memory as well.
            return
        candidate = HedgeCandidate(
            state.service,
            state.route,
            slow.peer,
            state.request.arrived_at,
            slow.sent_at,
        )
        if not state.hedging.admit(candidate, self._clock.monotonic()):
            return
        state.hedged = True
        if not self._withdraw(state):
            state.hedging.note_unsent(state.service, no_room=False)
            return
        # A hedged request is worth its cost only if it can end within the objective.
        due_at = min(state.request.arrived_at + state.route.target_s, state.deadline_at)
        if not self._send_withdrawn(state, due_at, hedge=True):
            state.hedging.note_unsent(state.service, no_room=True)
            return
        self._metrics.count("hedges", service=state.service)
        logger.info(
            "hedged request sent",
            request=state.request.id,
            peer=state.pending[-1].peer,
            first=slow.peer,
            work_ratio=self._conditions.work_ratio(slow.peer),
            reason=reason,
        )

    def _give_up(self, state: RequestState) -> Reply:
        """Return the last server error, or raise whether the request may have run."""
        if state.failure is not None:
            return _reply(state, state.failure)
        assert state.error is not None
        if state.possibly_run_count:
            if state.error.ran:
                raise state.error
            message = (
                f"an earlier attempt may have run; last error: {state.error.message}"
            )
            raise AnswerLostError(message, step=STEP, peer=state.error.peer)
        message = f"not run: {state.error.message}"
        raise self._overloaded(state, message, state.error.peer)

    def _overloaded(
        self, state: RequestState, message: str, peer: str
    ) -> OverloadedError:
        error = OverloadedError(message, step=STEP, peer=peer)
        error.retry_after_s = self._waiting_room.retry_after_s(
            state.service, state.deadline_at
        )
        return error

    def _abort_pending(self, state: RequestState) -> None:
        """Abort the pending attempts; one that exceeds the objective is a failure."""
        for attempt in state.pending:
            attempt.stop_watching()
            attempt.exchange.abort()
            duration_s = self._clock.monotonic() - attempt.sent_at
            waited = attempt.exchange.waited_for_memory()
            overdue = duration_s > state.route.target_s and not waited
            attempt.choice.tracked.note_aborted(state.route, duration_s)
            self._conditions.note_ended(attempt.peer, False if overdue else None)
            if not attempt.hedge:
                state.hedging.note_attempt(state.route, duration_s, ended=False)
        state.pending.clear()

    def _log_attempt(self, state: RequestState, attempt: Attempt) -> None:
        choice = attempt.choice
        logger.info(
            "attempt sent",
            request=state.request.id,
            route=state.route.name,
            version=state.table.version,
            service=state.service,
            peer=attempt.peer,
            zone=choice.instance.zone,
            work_ratio=round(choice.work_ratio, 2),
            known_ms=round(min(choice.load_age_s, 999.0) * 1000),
            busy=choice.estimated_in_flight,
            slots=choice.instance.slots,
            left_ms=round((state.deadline_at - attempt.sent_at) * 1000),
            **choice.tracked.log_fields(),
        )

    def _log_end(
        self,
        state: RequestState,
        outcome: str,
        error: CallError | None,
        status: int = 0,
    ) -> None:
        fields = {
            "request": state.request.id,
            "route": state.route.name,
            "version": state.table.version,
            "service": state.service,
            "outcome": outcome,
            "status": status,
            "tried": len(state.tried),
            "duration_ms": self._ms_since(state.request.arrived_at),
        }
        if state.request.account is not None:
            fields["account"] = state.request.account.name
        if error is None:
            logger.info("request answered", **fields)
            return
        logger.warning(
            "request failed",
            step=error.step,
            peer=error.peer,
            error=error.message,
            **fields,
        )

    def _ms_since(self, at: float) -> float:
        return round((self._clock.monotonic() - at) * 1000, 1)


def _reply(state: RequestState, answer: InstanceAnswer) -> Reply:
    return Reply(
        answer.status,
        answer.headers,
        answer.body,
        answer.stream,
        answer.length,
        state.deadline_at,
    )


def _close_unused(state: RequestState, reply: Reply | None) -> None:
    """Close the stream of the last server error unless it is the reply."""
    stream = None if state.failure is None else state.failure.stream
    if stream is not None and (reply is None or reply.stream is not stream):
        stream.close()


def make_forwarding(kernel: Kernel) -> Forwarding:
    """Return the service that forwards requests."""
    return DirectForwarding(
        kernel.find(ServiceName.CLOCK, Clock),
        kernel.find(ServiceName.METRICS, Metrics),
        kernel.find(ServiceName.CONDITIONS, Conditions),
        kernel.find(ServiceName.INSTANCES, Instances),
        kernel.find(ServiceName.RETRY_BUDGET, RetryBudget),
        make_account_gate(kernel),
        kernel.find(ServiceName.WAITING_ROOM, WaitingRoom),
        kernel.find(ServiceName.DRAIN_WINDOW, DrainWindow),
        kernel.find(ServiceName.ROLLOUTS, Rollouts),
        kernel.find(ServiceName.ROUTES, Routes),
        kernel.find(ServiceName.HEDGING, Hedging),
    )
