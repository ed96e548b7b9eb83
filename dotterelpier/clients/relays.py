"""Client that relays calls to other entries."""

from concurrent.futures import Future

from attrs import define

from dotterelpier.clients.connections import ConnectionPool, make_connection_pool
from dotterelpier.clients.exchanges import (
    HttpAnswer,
    HttpRequest,
    PooledExchange,
)
from dotterelpier.errors import AnswerLostError, AnswerMismatchError, RefusedError
from dotterelpier.kernel import Kernel
from dotterelpier.model.call import Answer, Attempt, Outcome
from dotterelpier.model.membership import Member
from dotterelpier.protocols import (
    Admission,
    Clock,
    Exchange,
    Relays,
    Routing,
    ServiceName,
    TaskKind,
    Tasks,
    Timer,
)
from dotterelpier.settings import LimitSettings
from dotterelpier.wire.backend import (
    ATTEMPT_HEADER,
    KEY_HEADER,
    LOAD_HEADER,
    ONCE,
    ONCE_HEADER,
    OUTCOME_HEADER,
    RELAY_HEADER,
    RESERVATION_HEADER,
    TIMEOUT_HEADER,
    WAITING_HEADER,
    forwardable,
    read_service_load,
)


@define(eq=False)
class RelayExchange:
    """A relayed call handed to a connection to another entry.

    Attributes
    ----------
    answer : Future of Answer
        Fails with a ``CallError``.
    ended : Future of bool
        Completes once the answer was read, nothing was sent or the connection was lost.
    """

    answer: "Future[Answer]"
    ended: "Future[bool]"

    def cancel(self) -> None:
        """Do nothing; the other entry ends the call at its deadline."""


@define
class RelayClient:
    """Relays calls to other entries over HTTP."""

    _pool: ConnectionPool
    _clock: Clock
    _routing: Routing
    _admission: Admission
    _own_id: str

    def start(self) -> None:
        """Start the task that aborts overdue calls."""
        self._pool.start()

    def stop(self) -> None:
        """Close all connections; relayed calls in flight and later ones fail."""
        self._pool.stop()

    def relay(self, member: Member, attempt: Attempt) -> Exchange:
        """Hand a call for a peer to a connection without waiting for the answer.

        Raises
        ------
        TaskPoolFullError
            If no further connection may be opened; nothing was sent.
        """
        pooled = PooledExchange(
            self._request(member, attempt),
            attempt.deadline_at,
            attempt.whole_answer_bytes,
            decode=lambda answer: self._decode(answer, attempt, member),
            memory=attempt.call.memory,
        )
        self._pool.send(member.relay_address, pooled, fresh=attempt.fresh_connection)
        return RelayExchange(pooled.answer, pooled.ended)

    def _request(self, member: Member, attempt: Attempt) -> HttpRequest:
        call = attempt.call
        headers = dict(call.headers)
        headers["Host"] = member.relay_address
        headers[RELAY_HEADER] = self._own_id
        headers[ATTEMPT_HEADER] = attempt.id
        remaining_s = attempt.deadline_at - self._clock.monotonic()
        headers[TIMEOUT_HEADER] = f"{max(remaining_s, 0.0):.4f}"
        headers[WAITING_HEADER] = str(self._admission.waiting(call.service))
        if call.idempotency_key:
            headers[KEY_HEADER] = call.idempotency_key
        if call.reservation:
            headers[RESERVATION_HEADER] = call.reservation
        if call.at_most_once:
            headers[ONCE_HEADER] = ONCE
        target = f"/{call.service}{call.path}"
        return HttpRequest(call.method, target, headers, call.body)

    def _decode(self, received: HttpAnswer, attempt: Attempt, member: Member) -> Answer:
        echoed = received.header(ATTEMPT_HEADER)
        if echoed != attempt.id:
            message = f"answer belongs to attempt {echoed!r}, expected {attempt.id!r}"
            raise AnswerMismatchError(message, step="relay.answer", peer=member.id)
        load = read_service_load(received.header(LOAD_HEADER))
        if load is not None:
            self._routing.update_load(member.id, attempt.call.service, load)
        return _decode(received, member)


def _decode(received: HttpAnswer, member: Member) -> Answer:
    outcome = received.header(OUTCOME_HEADER)
    if outcome == Outcome.NOT_RUN:
        message = f"peer refused the relayed call with status {received.status}"
        raise RefusedError(message, step="relay.answer", peer=member.id)
    if outcome != Outcome.ANSWERED:
        raise AnswerLostError(
            "outcome of the relayed call is unknown",
            step="relay.answer",
            peer=member.id,
        )
    return Answer(
        received.status,
        forwardable(received.headers),
        received.body,
        stream=received.stream,
        length=received.length,
        peer=member.id,
    )


def make_relays(kernel: Kernel, limits: LimitSettings, own_id: str) -> Relays:
    """Return the client for relayed calls, with a connection pool not yet started."""
    clock = kernel.find(ServiceName.CLOCK, Clock)
    pool = make_connection_pool(
        "relay",
        TaskKind.RELAY_CONNECTION,
        limits.idle_connection_s,
        clock,
        kernel.find(ServiceName.TASKS, Tasks),
        kernel.find(ServiceName.TIMER, Timer),
    )
    routing = kernel.find(ServiceName.ROUTING, Routing)
    admission = kernel.find(ServiceName.ADMISSION, Admission)
    return RelayClient(pool, clock, routing, admission, own_id)
