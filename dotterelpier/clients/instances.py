"""Client for the backend servers of a fleet: requests and health checks."""

import http.client
import threading
import time
from collections.abc import Set
from concurrent.futures import Future
from typing import Any

from attrs import define, evolve, field

from dotterelpier.clients.connections import ConnectionPool, make_connection_pool
from dotterelpier.clients.exchanges import (
    ConnectionRules,
    HttpAnswer,
    HttpRequest,
    PooledExchange,
)
from dotterelpier.clients.http_connection import (
    ClientConnection,
    CloseDelimitedResponse,
    clean_headers,
    open_connection,
    shut_down,
)
from dotterelpier.errors import AnswerLostError, AnswerTimeoutError, ConnectFailedError
from dotterelpier.kernel import Kernel
from dotterelpier.model.instance import HealthReport, Instance
from dotterelpier.model.request import InstanceAnswer, Request
from dotterelpier.protocols import Clock, ServiceName, TaskKind, Tasks, Timer
from dotterelpier.protocols.fleet import (
    HeaderCodec,
    HealthConnection,
    InstanceExchange,
    Instances,
)

# Zones are about a millisecond apart; a backend server that does not accept by then is
# unreachable or drops connections because its accept queue is full.
CONNECT_TIMEOUT_S = 0.3
# Backend servers close idle connections after 10 s or sooner.
IDLE_TIMEOUT_S = 4.0
# Backend servers may drop a connection silently after it was idle for a third of a
# second; requests that must not be lost use one that was idle for less.
FRESH_IDLE_S = 0.25
# Answers up to this size are received whole before they are passed on, so that the
# request of a truncated one can be retried. Larger ones are streamed, as an entry has
# memory for about a hundred of this size.
WHOLE_ANSWER_BYTES = 1 << 20
MAX_HEALTH_BODY_BYTES = 4096

RULES = ConnectionRules(
    CONNECT_TIMEOUT_S,
    FRESH_IDLE_S,
    close_delimited_allowed=True,
    extra_bytes_allowed=True,
    skips_mismatched=True,
)


@define(eq=False)
class PooledInstanceExchange:
    """A request queued or in flight on a pooled connection to a backend server."""

    answer: "Future[InstanceAnswer]"
    _pool: ConnectionPool
    _exchange: PooledExchange

    def waited_for_memory(self) -> bool:
        """Return whether the answer had to wait for memory before it was read."""
        return self._exchange.waited_for_memory

    def abort(self) -> None:
        """Close the connection; the backend server then stops its work."""
        self._pool.abort(self._exchange)


@define
class InstanceClient:
    """Sends requests and health checks to backend servers."""

    _pool: ConnectionPool
    _clock: Clock
    _codec: HeaderCodec

    def start(self) -> None:
        """Start the task that aborts overdue requests."""
        self._pool.start()

    def stop(self) -> None:
        """Close all pooled connections; requests in flight and later ones fail."""
        self._pool.stop()

    def send(
        self, instance: Instance, request: Request, deadline_at: float, fresh: bool
    ) -> InstanceExchange:
        """Hand a request to a connection without waiting for the answer.

        Parameters
        ----------
        instance : Instance
            Backend server to send to.
        request : Request
            Request of a client.
        deadline_at : float
            Deadline of the answer, in seconds on the monotonic clock.
        fresh : bool
            Whether only a new or recently used connection may be used.

        Raises
        ------
        TaskPoolFullError
            If no further connection may be opened; nothing was sent.
        """
        remaining_s = deadline_at - self._clock.monotonic()
        sent_headers = self._codec.request_headers(request, instance, remaining_s)
        exchange = PooledExchange(
            HttpRequest(request.method, request.target, sent_headers, request.body),
            deadline_at,
            WHOLE_ANSWER_BYTES,
            decode=lambda answer: self._decode(answer, request, instance),
            memory=request.memory,
        )
        self._pool.send(instance.address, exchange, fresh=fresh)
        return PooledInstanceExchange(exchange.answer, self._pool, exchange)

    def _decode(
        self, received: HttpAnswer, request: Request, instance: Instance
    ) -> InstanceAnswer:
        answer = self._codec.decode_answer(
            received.status, received.headers, received.body, request, instance
        )
        return evolve(answer, stream=received.stream, length=received.length)

    def in_use(self, addresses: Set[str]) -> int:
        """Return the connections to some addresses that are not idle."""
        return self._pool.in_use(addresses)

    def health_connection(self, instance: Instance) -> HealthConnection:
        """Return a connection for health checks, opened on its first use."""
        return HttpHealthConnection(instance, self._codec)

    def drop(self, address: str) -> None:
        """Close the idle connections to an address; those in use stay open."""
        self._pool.drop(address)


@define(eq=False)
class HttpHealthConnection:
    """A connection for the health checks of one backend server."""

    _instance: Instance
    _codec: HeaderCodec
    _connection: ClientConnection | None = None
    _lock: threading.Lock = field(factory=threading.Lock)

    def check(self, path: str, timeout_s: float) -> HealthReport:
        """Request the health path and return the report of the backend server.

        Connecting and the whole exchange may each take up to ``timeout_s`` seconds. A
        lost answer on a reused connection leads to one retry on a new one, within the
        same time.

        Raises
        ------
        CallError
            If the connection failed or no answer came in time.
        """
        deadline_at = time.monotonic() + timeout_s
        reused = self._connection is not None
        try:
            return self._check(path, deadline_at)
        except AnswerLostError:
            if not reused:
                raise
            # The backend server may have closed the idle connection.
            return self._check(path, deadline_at)

    def close(self) -> None:
        """Close the connection from any thread; a check in progress fails."""
        with self._lock:
            connection, self._connection = self._connection, None
        if connection is not None:
            shut_down(connection.sock)
            connection.close()

    def _check(self, path: str, deadline_at: float) -> HealthReport:
        connection = self._open(deadline_at)
        try:
            connection.request("GET", path, headers={"Host": self._instance.address})
            response = connection.getresponse()
            response.read(MAX_HEALTH_BODY_BYTES)
            report = self._codec.decode_health(
                response.status, clean_headers(response.headers)
            )
            if response.will_close or not response.isclosed():
                self.close()
            return report
        except TimeoutError:
            self.close()
            raise self._error(
                AnswerTimeoutError, "no answer before the timeout"
            ) from None
        except (OSError, http.client.HTTPException, AttributeError) as error:
            self.close()
            raise self._error(AnswerLostError, repr(error)) from None

    def _open(self, deadline_at: float) -> ClientConnection:
        connection = self._connection
        timeout_s = max(0.001, deadline_at - time.monotonic())
        if connection is None:
            try:
                address = self._instance.address
                connection = open_connection(address, timeout_s, CloseDelimitedResponse)
            except OSError as error:
                raise self._error(ConnectFailedError, repr(error)) from None
            with self._lock:
                self._connection = connection
        connection.sock.settimeout(timeout_s)
        connection.deadline_at = deadline_at
        return connection

    def _error(self, kind: type[Any], message: str) -> Any:
        return kind(message, step="health.check", peer=self._instance.id)


def make_instances(kernel: Kernel) -> Instances:
    """Return the client for backend servers, with a connection pool not yet started."""
    clock = kernel.find(ServiceName.CLOCK, Clock)
    pool = make_connection_pool(
        "instance",
        TaskKind.BACKEND_CONNECTION,
        IDLE_TIMEOUT_S,
        clock,
        kernel.find(ServiceName.TASKS, Tasks),
        kernel.find(ServiceName.TIMER, Timer),
        RULES,
    )
    codec = kernel.find(ServiceName.HEADER_CODEC, HeaderCodec)
    return InstanceClient(pool, clock, codec)
