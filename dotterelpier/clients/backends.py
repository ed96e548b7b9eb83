"""Connections to backend servers."""

import http.client

from attrs import define

from dotterelpier.clients.connections import (
    ConnectionPool,
    HttpAnswer,
    HttpRequest,
    PooledExchange,
    make_connection_pool,
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
    NOT_RUN,
    OUTCOME_HEADER,
    attempt_headers,
    forwardable,
    read_load_report,
)

MAX_ANSWER_BYTES = 16 << 20
CANCEL_TIMEOUT_S = 1.0
HEALTH_PATH = "/healthz"
ATTEMPTS_PATH = "/attempts/"
MAX_PROBE_BODY_BYTES = 4096
# The request and the first line of the answer.
PROBE_LINES_BYTES = 110


@define
class BackendClient:
    """Sends attempts and probes to backend servers."""

    _pool: ConnectionPool
    _clock: Clock
    _timer: Timer

    def start(self) -> None:
        """Start the pool."""
        self._pool.start()

    def stop(self) -> None:
        """Close all connections."""
        self._pool.stop()

    def send(self, server: BackendServer, attempt: Attempt) -> Exchange:
        """Give an attempt to a connection."""
        call = attempt.call
        deadline_unix = self._clock.unix() + (
            attempt.deadline_at - self._clock.monotonic()
        )
        headers = dict(call.headers)
        headers["Host"] = server.address
        headers.update(attempt_headers(attempt, deadline_unix))
        exchange = PooledExchange(
            HttpRequest(call.method, call.path, headers, call.body),
            attempt.deadline_at,
            MAX_ANSWER_BYTES,
            decode=lambda answer: _decode(answer, attempt, server),
            on_cancel=lambda: self._cancel(server, attempt),
        )
        self._pool.send(server.address, exchange, fresh=attempt.fresh_connection)
        return exchange

    def probe(self, server: BackendServer, timeout_s: float) -> ProbeAnswer:
        """Probe a backend server on a connection of its own."""
        try:
            connection = open_connection(server.address, timeout_s)
        except OSError as error:
            raise ConnectFailedError(
                repr(error), step="probe", peer=server.address
            ) from None
        # The socket's timeout bounds each read, not the whole probe.
        overdue = self._timer.after(timeout_s, lambda: shut_down(connection))
        try:
            return _exchange_probe(connection, server)
        finally:
            overdue.cancel()
            connection.close()

    def drop(self, backend_id: str) -> None:
        """Close the idle connections to a backend server's address."""
        self._pool.drop(backend_id)

    def _cancel(self, server: BackendServer, attempt: Attempt) -> None:
        cancellation = PooledExchange(
            HttpRequest("DELETE", ATTEMPTS_PATH + attempt.id, {}),
            self._clock.monotonic() + CANCEL_TIMEOUT_S,
            MAX_ANSWER_BYTES,
            decode=lambda answer: Answer(answer.status),
            on_cancel=lambda: None,
        )
        try:
            self._pool.send(server.address, cancellation, fresh=False)
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
        message = "no answer in time"
        raise AnswerTimeoutError(message, step="probe", peer=server.address) from None
    except (OSError, http.client.HTTPException) as error:
        raise AnswerLostError(repr(error), step="probe", peer=server.address) from None
    report = read_load_report(dict(response.headers))
    if report is None:
        message = f"status {response.status} without a load report"
        raise RefusedError(message, step="probe", peer=server.address)
    head = sum(len(name) + len(value) + 4 for name, value in response.headers.items())
    return ProbeAnswer(report, PROBE_LINES_BYTES + head + len(body))


def _decode(received: HttpAnswer, attempt: Attempt, server: BackendServer) -> Answer:
    headers = received.headers
    if headers.get(ATTEMPT_HEADER) != attempt.id:
        raise AnswerMismatchError(
            f"answer to attempt {headers.get(ATTEMPT_HEADER)!r}, not {attempt.id!r}",
            step="backend.answer",
            peer=server.id,
        )
    if headers.get(OUTCOME_HEADER) == NOT_RUN:
        raise RefusedError(
            f"refused with status {received.status}",
            step="backend.answer",
            peer=server.id,
        )
    return Answer(
        received.status,
        forwardable(headers.items()),
        received.body,
        peer=server.id,
        report=read_load_report(dict(headers)),
    )


def make_backends(kernel: Kernel, limits: LimitSettings) -> Backends:
    """Return the connections to backend servers."""
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
