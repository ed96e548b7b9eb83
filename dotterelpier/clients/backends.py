"""Client for backend servers: attempts, their cancellation, and health checks."""

import http.client
from collections.abc import Callable
from concurrent.futures import Future, InvalidStateError
from contextlib import suppress

from attrs import define, field

from dotterelpier.clients.connections import ConnectionPool, make_connection_pool
from dotterelpier.clients.exchanges import (
    HttpAnswer,
    HttpRequest,
    PooledExchange,
)
from dotterelpier.clients.http_connection import open_connection, shut_down
from dotterelpier.errors import (
    AnswerLostError,
    AnswerMismatchError,
    AnswerTimeoutError,
    ConnectFailedError,
    RefusedError,
    TaskPoolFullError,
)
from dotterelpier.kernel import Kernel
from dotterelpier.model.call import Answer, Attempt
from dotterelpier.model.evidence import ProbeAnswer
from dotterelpier.model.manifest import BackendServer
from dotterelpier.protocols import (
    Backends,
    Clock,
    Exchange,
    ServiceName,
    TaskKind,
    Tasks,
    Timer,
)
from dotterelpier.settings import LimitSettings
from dotterelpier.wire.backend import (
    ATTEMPT_HEADER,
    LOAD_HEADER,
    NOT_RUN,
    OUTCOME_HEADER,
    attempt_headers,
    forwardable,
    read_load_report,
)

MAX_CANCEL_ANSWER_BYTES = 64 << 10
CANCEL_TIMEOUT_S = 1.0
HEALTH_PATH = "/healthz"
ATTEMPTS_PATH = "/attempts/"
MAX_PROBE_BODY_BYTES = 4096
# Counted for the request and the status line, whose sizes are not measured.
PROBE_FIXED_BYTES = 110
MAX_CLOCK_SKEW_S = 0.25
CANCELLED_STATUSES = frozenset({200, 204})


@define(eq=False)
class BackendExchange:
    """An attempt handed to a connection to a backend server.

    Attributes
    ----------
    answer : Future of Answer
        Fails with a ``CallError``.
    ended : Future of None
        Completes once the backend server certainly no longer works on the attempt.
    """

    answer: "Future[Answer]"
    _on_cancel: Callable[[], None]
    ended: "Future[None]" = field(factory=Future)

    def cancel(self) -> None:
        """Ask the backend server to stop, unless the attempt has ended.

        Returns without waiting; both futures still complete.
        """
        if not self.ended.done():
            self._on_cancel()

    def end(self) -> None:
        """Complete ``ended``; safe to repeat and to call from any thread."""
        with suppress(InvalidStateError):
            self.ended.set_result(None)


@define
class BackendClient:
    """Sends attempts, their cancellations and health checks to backend servers."""

    _pool: ConnectionPool
    _clock: Clock
    _timer: Timer
    _address_by_id: dict[str, str] = field(factory=dict)

    def start(self) -> None:
        """Start the task that aborts overdue attempts."""
        self._pool.start()

    def stop(self) -> None:
        """Close all connections; attempts in flight and later ones fail."""
        self._pool.stop()

    def send(self, server: BackendServer, attempt: Attempt) -> Exchange:
        """Hand an attempt to a connection without waiting for the answer.

        Raises
        ------
        TaskPoolFullError
            If no further connection may be opened; nothing was sent.
        """
        self._address_by_id[server.id] = server.address
        pooled = PooledExchange(
            self._request(server, attempt),
            attempt.deadline_at,
            attempt.whole_answer_bytes,
            decode=lambda answer: _decode(answer, attempt, server),
            memory=attempt.call.memory,
        )
        exchange = BackendExchange(
            pooled.answer, lambda: self._cancel(server, attempt, None)
        )
        pooled.ended.add_done_callback(
            lambda ended: self._on_ended(server, attempt, exchange, ended.result())
        )
        self._pool.send(server.address, pooled, fresh=attempt.fresh_connection)
        return exchange

    def probe(self, server: BackendServer, timeout_s: float) -> ProbeAnswer:
        """Send a health check on a new connection and return the load report.

        Connecting and the exchange may each take up to ``timeout_s`` seconds.

        Raises
        ------
        CallError
            If the connection failed, no answer came in time, or the answer has no load
            report.
        """
        try:
            connection = open_connection(server.address, timeout_s)
        except OSError as error:
            raise ConnectFailedError(
                repr(error), step="probe", peer=server.address
            ) from None
        # The socket timeout bounds each read only; this bounds the whole exchange.
        probe_timeout = self._timer.after(timeout_s, lambda: shut_down(connection.sock))
        try:
            return _exchange_probe(connection, server)
        finally:
            probe_timeout.cancel()
            connection.close()

    def drop(self, backend_id: str) -> None:
        """Close the idle connections to the last known address of a backend server."""
        address = self._address_by_id.get(backend_id)
        if address is not None:
            self._pool.drop(address)

    def _request(self, server: BackendServer, attempt: Attempt) -> HttpRequest:
        call = attempt.call
        remaining_s = attempt.deadline_at - self._clock.monotonic()
        headers = dict(call.headers)
        headers["Host"] = server.address
        headers.update(attempt_headers(attempt, self._clock.unix() + remaining_s))
        return HttpRequest(call.method, call.path, headers, call.body)

    def _on_ended(
        self,
        server: BackendServer,
        attempt: Attempt,
        exchange: BackendExchange,
        ended: bool,
    ) -> None:
        if ended:
            exchange.end()
            return
        # The backend server may continue with a request whose connection broke. It
        # stops when it is cancelled, or at the deadline in the headers, by its clock.
        ends_at = attempt.deadline_at + MAX_CLOCK_SKEW_S
        remaining_s = max(0.0, ends_at - self._clock.monotonic())
        self._timer.after(remaining_s, exchange.end)
        self._cancel(server, attempt, exchange)

    def _cancel(
        self,
        server: BackendServer,
        attempt: Attempt,
        exchange: BackendExchange | None,
    ) -> None:
        cancellation = PooledExchange(
            HttpRequest("DELETE", ATTEMPTS_PATH + attempt.id, {"Host": server.address}),
            self._clock.monotonic() + CANCEL_TIMEOUT_S,
            MAX_CANCEL_ANSWER_BYTES,
            decode=lambda answer: Answer(answer.status),
        )
        if exchange is not None:
            cancellation.answer.add_done_callback(
                lambda answer: _end_if_cancelled(exchange, answer)
            )
        try:
            self._pool.send(server.address, cancellation, fresh=exchange is not None)
        except TaskPoolFullError:
            return


def _exchange_probe(
    connection: http.client.HTTPConnection, server: BackendServer
) -> ProbeAnswer:
    try:
        connection.request("GET", HEALTH_PATH)
        response = connection.getresponse()
        body = response.read(MAX_PROBE_BODY_BYTES)
    except TimeoutError:
        message = "no answer before the timeout"
        raise AnswerTimeoutError(message, step="probe", peer=server.address) from None
    except (OSError, http.client.HTTPException) as error:
        raise AnswerLostError(repr(error), step="probe", peer=server.address) from None
    report = read_load_report(response.headers.get(LOAD_HEADER))
    if report is None:
        message = f"answer with status {response.status} has no load report"
        raise RefusedError(message, step="probe", peer=server.address)
    head = sum(len(name) + len(value) + 4 for name, value in response.headers.items())
    return ProbeAnswer(report, PROBE_FIXED_BYTES + head + len(body))


def _end_if_cancelled(exchange: BackendExchange, answer: "Future[Answer]") -> None:
    if answer.exception() is None and answer.result().status in CANCELLED_STATUSES:
        exchange.end()


def _decode(received: HttpAnswer, attempt: Attempt, server: BackendServer) -> Answer:
    echoed = received.header(ATTEMPT_HEADER)
    if echoed != attempt.id:
        raise AnswerMismatchError(
            f"answer belongs to attempt {echoed!r}, expected {attempt.id!r}",
            step="backend.answer",
            peer=server.id,
        )
    if received.header(OUTCOME_HEADER) == NOT_RUN:
        refusal = RefusedError(
            f"refused with status {received.status}",
            step="backend.answer",
            peer=server.id,
        )
        refusal.report = read_load_report(received.header(LOAD_HEADER))
        raise refusal
    return Answer(
        received.status,
        forwardable(received.headers),
        received.body,
        stream=received.stream,
        length=received.length,
        peer=server.id,
        report=read_load_report(received.header(LOAD_HEADER)),
    )


def make_backends(kernel: Kernel, limits: LimitSettings) -> Backends:
    """Return the client for backend servers, with a connection pool not yet started."""
    clock = kernel.find(ServiceName.CLOCK, Clock)
    timer = kernel.find(ServiceName.TIMER, Timer)
    pool = make_connection_pool(
        "backend",
        TaskKind.BACKEND_CONNECTION,
        limits.idle_connection_s,
        clock,
        kernel.find(ServiceName.TASKS, Tasks),
        timer,
    )
    return BackendClient(pool, clock, timer)
