"""Connections to other entries that take relayed calls."""

from concurrent.futures import Future

from attrs import define

from dotterelpier.clients.connections import (
    ConnectionPool,
    HttpAnswer,
    HttpRequest,
    PooledExchange,
    make_connection_pool,
)
from dotterelpier.errors import AnswerLostError, RefusedError
from dotterelpier.kernel import Kernel
from dotterelpier.model.call import Answer, Call, Outcome
from dotterelpier.model.membership import Member
from dotterelpier.protocols import (
    Clock,
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
    OUTCOME_HEADER,
    RELAY_HEADER,
    RESERVATION_HEADER,
    TIMEOUT_HEADER,
    forwardable,
    read_service_load,
)

MAX_ANSWER_BYTES = 16 << 20


@define
class RelayClient:
    """Relays calls to other entries over HTTP."""

    _pool: ConnectionPool
    _clock: Clock
    _routing: Routing
    _own_id: str

    def start(self) -> None:
        """Start the pool."""
        self._pool.start()

    def stop(self) -> None:
        """Close all connections."""
        self._pool.stop()

    def relay(self, member: Member, call: Call) -> "Future[Answer]":
        """Relay a call; the future fails with a ``CallError``."""
        headers = dict(call.headers)
        headers["Host"] = member.relay_address
        headers[RELAY_HEADER] = self._own_id
        headers[ATTEMPT_HEADER] = call.id
        remaining_s = call.deadline_at - self._clock.monotonic()
        headers[TIMEOUT_HEADER] = f"{max(remaining_s, 0.0):.4f}"
        if call.idempotency_key:
            headers[KEY_HEADER] = call.idempotency_key
        if call.reservation:
            headers[RESERVATION_HEADER] = call.reservation
        exchange = PooledExchange(
            HttpRequest(call.method, f"/{call.service}{call.path}", headers, call.body),
            call.deadline_at,
            MAX_ANSWER_BYTES,
            decode=lambda answer: self._decode(answer, call, member),
            on_cancel=lambda: None,
        )
        self._pool.send(member.relay_address, exchange, fresh=False)
        return exchange.answer

    def _decode(self, received: HttpAnswer, call: Call, member: Member) -> Answer:
        answer_id = received.headers.get(ATTEMPT_HEADER)
        if answer_id != call.id:
            message = f"answer to call {answer_id!r}, not {call.id!r}"
            raise AnswerLostError(message, step="relay.answer", peer=member.id)
        load = read_service_load(received.headers.get(LOAD_HEADER, ""))
        if load is not None:
            self._routing.learn(member.id, call.service, load)
        return _decode(received, member)


def _decode(received: HttpAnswer, member: Member) -> Answer:
    headers = received.headers
    outcome = headers.get(OUTCOME_HEADER)
    if outcome == Outcome.NOT_RUN:
        message = f"relay refused with status {received.status}"
        raise RefusedError(message, step="relay.answer", peer=member.id)
    if outcome != Outcome.ANSWERED:
        raise AnswerLostError("outcome unknown", step="relay.answer", peer=member.id)
    return Answer(
        received.status,
        forwardable(headers.items()),
        received.body,
        peer=member.id,
    )


def make_relays(kernel: Kernel, limits: LimitSettings, own_id: str) -> Relays:
    """Return the connections to other entries."""
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
    return RelayClient(pool, clock, routing, own_id)
