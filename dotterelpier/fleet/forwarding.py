"""Serves requests, each written straight down in the thread of its client."""

from queue import Empty

from attrs import define, field
from loguru import logger

from dotterelpier.errors import (
    AnswerLostError,
    AnswerTimeoutError,
    CallError,
    ClientLeftError,
    ConnectFailedError,
    NoManifestError,
    NoRouteError,
    OverloadedError,
    RefusedError,
    TaskPoolFullError,
)
from dotterelpier.fleet.run import (
    Answered,
    Attempt,
    ClientLeft,
    Event,
    Run,
    TurnedSlow,
)
from dotterelpier.fleet.splitting import WeightedSplit
from dotterelpier.kernel import Kernel
from dotterelpier.model.request import InstanceAnswer, Reply, Request
from dotterelpier.protocols import Clock, Metrics, ServiceName
from dotterelpier.protocols.fleet import (
    Conditions,
    Forwarding,
    Instances,
    RetryBudget,
    Routes,
)

STEP = "forwarding"
# For a client that does not tell how long it waits.
DEFAULT_PATIENCE_S = 30.0
# Share of the response time objective that a request may wait here for room; one that
# waits longer is refused, so that its client can try again in time.
ROOM_WAIT_SHARE = 0.125
# Share of the objective after which an idempotent request is sent to a second backend
# server although the first does not look slow.
HEDGE_SHARE = 0.6
# Later than this share of the objective no second sending can end within it.
HEDGE_LATEST_SHARE = 0.75
# Less time left than this does not suffice for another sending.
LEAST_TIME_S = 0.02
FIRST_FAILURE_STATUS = 500


@define
class StraightForwarding:
    """Chooses, sends, waits, sends again where that is allowed, and answers."""

    _clock: Clock
    _metrics: Metrics
    _routes: Routes
    _conditions: Conditions
    _instances: Instances
    _budget: RetryBudget
    _split: WeightedSplit = field(factory=WeightedSplit)

    def serve(self, request: Request) -> Reply:
        """Return the final answer to a request."""
        run = self._begin(request)
        unsubscribe = request.on_client_left(lambda: run.inbox.put(ClientLeft()))
        try:
            reply = self._carry(run)
        except CallError as error:
            self._log_end(run, error.code, error)
            raise
        finally:
            unsubscribe()
            self._abort_pending(run)
        self._log_end(run, "answered", None, reply.status)
        return reply

    def _begin(self, request: Request) -> Run:
        table = self._routes.table()
        if table is None:
            raise NoManifestError("no configuration is known yet", step=STEP)
        route = table.match(request.host, request.path)
        if route is None:
            raise NoRouteError(
                f"no route for {request.host!r} in version {table.version}", step=STEP
            )
        service = self._split.choose(route)
        self._budget.note_request(service)
        timeout_s = request.timeout_s or DEFAULT_PATIENCE_S
        if route.timeout_s is not None:
            timeout_s = min(timeout_s, route.timeout_s)
        deadline_at = request.arrived_at + timeout_s
        return Run(request, route, table.version, service, deadline_at)

    def _carry(self, run: Run) -> Reply:
        self._send_first(run)
        while run.pending:
            match self._next_event(run):
                case Answered(attempt):
                    reply = self._take_answer(run, attempt)
                    if reply is not None:
                        return reply
                    if not run.pending:
                        self._send_again(run)
                case TurnedSlow(attempt):
                    self._hedge(run, attempt, "turned slow")
                case ClientLeft():
                    raise ClientLeftError("the client left", step=STEP)
                case None:
                    self._hedge(run, run.pending[0], "takes long")
        return self._give_up(run)

    def _next_event(self, run: Run) -> Event | None:
        """Return what happens next, None when a second sending is due."""
        now = self._clock.monotonic()
        hedge_at = run.request.arrived_at + run.route.target_s * HEDGE_SHARE
        waits_for_hedge = run.route.idempotent and not run.hedged and now < hedge_at
        until = min(hedge_at, run.deadline_at) if waits_for_hedge else run.deadline_at
        try:
            return run.inbox.get(timeout=max(0.0, until - now))
        except Empty:
            if self._clock.monotonic() < run.deadline_at:
                return None
            raise AnswerTimeoutError(
                "no answer in time", step=STEP, peer=run.pending[-1].peer
            ) from None

    def _send_first(self, run: Run) -> None:
        now = self._clock.monotonic()
        timeout_s = run.route.target_s * ROOM_WAIT_SHARE
        until = min(run.request.arrived_at + timeout_s, run.deadline_at)
        while not self._send(run):
            remaining_s = until - self._clock.monotonic()
            if remaining_s <= 0:
                waited_ms = round((self._clock.monotonic() - now) * 1000, 1)
                message = f"no backend server has room, waited {waited_ms} ms"
                raise OverloadedError(message, step=STEP, peer=run.service)
            self._conditions.wait_for_room(remaining_s)

    def _send(self, run: Run, due_at: float | None = None) -> bool:
        """Send to the best backend server not yet tried; return False if none can.

        One that cannot answer by ``due_at``, the deadline by default, is left out.
        """
        remaining_s = (due_at or run.deadline_at) - self._clock.monotonic()
        choice = self._conditions.pick(
            run.service, run.route, frozenset(run.tried), remaining_s
        )
        if choice is None:
            return False
        instance = choice.instance
        # A connection that was idle for long may be gone without a sign.
        fresh = not run.route.idempotent
        try:
            exchange = self._instances.send(
                instance, run.request, run.deadline_at, fresh
            )
        except TaskPoolFullError as error:
            self._conditions.note_ended(instance.id, None)
            raise OverloadedError(error.message, step=STEP, peer=instance.id) from None
        attempt = Attempt(choice, exchange, self._clock.monotonic(), _nothing)
        if run.route.idempotent:
            attempt.unwatch = self._conditions.watch_slowdown(
                instance.id, lambda: run.inbox.put(TurnedSlow(attempt))
            )
        run.tried.add(instance.id)
        run.pending.append(attempt)
        exchange.answer.add_done_callback(lambda _: run.inbox.put(Answered(attempt)))
        self._log_attempt(run, attempt)
        return True

    def _take_answer(self, run: Run, attempt: Attempt) -> Reply | None:
        """Return the final answer if an attempt brought it."""
        if attempt not in run.pending:
            return None
        run.pending.remove(attempt)
        attempt.unwatch()
        try:
            answer = attempt.exchange.answer.result()
        except CallError as error:
            self._take_error(run, attempt, error)
            return None
        if answer.load is not None:
            self._conditions.note_load(attempt.peer, answer.load)
        failed = answer.status >= FIRST_FAILURE_STATUS
        self._conditions.note_ended(attempt.peer, not failed)
        run.possibly_run += 1
        if not failed:
            duration_s = self._clock.monotonic() - attempt.sent_at
            self._conditions.note_answer(run.route, attempt.choice, duration_s)
            return _reply(answer)
        run.failure = answer
        run.error = AnswerLostError(
            f"status {answer.status}", step=STEP, peer=attempt.peer
        )
        return None

    def _take_error(self, run: Run, attempt: Attempt, error: CallError) -> None:
        error.peer = attempt.peer
        run.error = error
        success: bool | None = False
        if isinstance(error, RefusedError):
            run.refusals += 1
            success = None
            if error.load is not None:
                self._conditions.note_load(attempt.peer, error.load)
            if error.misdirected:
                self._conditions.note_unreachable(attempt.peer, str(error))
        elif isinstance(error, ConnectFailedError):
            success = None
            self._conditions.note_unreachable(attempt.peer, str(error))
        elif error.ran:
            run.possibly_run += 1
        self._conditions.note_ended(attempt.peer, success)
        logger.info(
            "attempt failed",
            request=run.request.id,
            peer=attempt.peer,
            after_ms=self._ms_since(attempt.sent_at),
            code=error.code,
            step=error.step,
            may_have_run=error.ran,
            error=error.message,
        )

    def _send_again(self, run: Run, due_at: float | None = None) -> bool:
        """Send once more where that is allowed, of use and within the budget."""
        if not run.may_repeat or run.sent >= run.route.max_attempts:
            return False
        if self._clock.monotonic() + LEAST_TIME_S > run.deadline_at:
            return False
        if not self._budget.take(run.service):
            self._metrics.count("retries_denied", service=run.service)
            return False
        if not self._send(run, due_at):
            self._budget.give_back(run.service)
            return False
        self._metrics.count("retries", service=run.service)
        return True

    def _hedge(self, run: Run, slow: Attempt, reason: str) -> None:
        """Send to a second backend server while the first one is at work."""
        if run.hedged or slow not in run.pending or not run.route.idempotent:
            return
        now = self._clock.monotonic()
        if now - run.request.arrived_at > run.route.target_s * HEDGE_LATEST_SHARE:
            return
        run.hedged = True
        # A second sending is worth its cost only if it can end within the objective.
        due_at = min(run.request.arrived_at + run.route.target_s, run.deadline_at)
        if self._send_again(run, due_at):
            self._metrics.count("hedges", service=run.service)
            logger.info(
                "second attempt beside the first",
                request=run.request.id,
                peer=run.pending[-1].peer,
                first=slow.peer,
                work_ratio=self._conditions.work_ratio(slow.peer),
                reason=reason,
            )

    def _give_up(self, run: Run) -> Reply:
        """Return or raise what is known after the last attempt."""
        if run.failure is not None:
            return _reply(run.failure)
        assert run.error is not None
        if run.possibly_run:
            if run.error.ran:
                raise run.error
            message = f"an earlier attempt was lost; then {run.error.message}"
            raise AnswerLostError(message, step=STEP, peer=run.error.peer)
        raise OverloadedError(
            f"not run: {run.error.message}", step=STEP, peer=run.error.peer
        )

    def _abort_pending(self, run: Run) -> None:
        for attempt in run.pending:
            attempt.unwatch()
            attempt.exchange.abort()
            overdue_at = attempt.sent_at + run.route.target_s
            overdue = self._clock.monotonic() > overdue_at
            self._conditions.note_ended(attempt.peer, False if overdue else None)
        run.pending.clear()

    def _log_attempt(self, run: Run, attempt: Attempt) -> None:
        choice = attempt.choice
        logger.info(
            "attempt sent",
            request=run.request.id,
            route=run.route.name,
            version=run.version,
            service=run.service,
            peer=attempt.peer,
            zone=choice.instance.zone,
            work_ratio=round(choice.work_ratio, 2),
            known_ms=round(min(choice.age_s, 999.0) * 1000),
            busy=choice.busy,
            slots=choice.instance.slots,
            left_ms=round((run.deadline_at - attempt.sent_at) * 1000),
        )

    def _log_end(
        self, run: Run, outcome: str, error: CallError | None, status: int = 0
    ) -> None:
        fields = {
            "request": run.request.id,
            "route": run.route.name,
            "version": run.version,
            "service": run.service,
            "outcome": outcome,
            "status": status,
            "tried": len(run.tried),
            "duration_ms": self._ms_since(run.request.arrived_at),
        }
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


def _reply(answer: InstanceAnswer) -> Reply:
    return Reply(answer.status, answer.headers, answer.body)


def _nothing() -> None:
    return None


def make_forwarding(kernel: Kernel) -> Forwarding:
    """Return the service that serves requests."""
    return StraightForwarding(
        kernel.find(ServiceName.CLOCK, Clock),
        kernel.find(ServiceName.METRICS, Metrics),
        kernel.find(ServiceName.ROUTES, Routes),
        kernel.find(ServiceName.CONDITIONS, Conditions),
        kernel.find(ServiceName.INSTANCES, Instances),
        kernel.find(ServiceName.RETRY_BUDGET, RetryBudget),
    )
