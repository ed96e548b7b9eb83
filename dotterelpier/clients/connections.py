"""Pools of HTTP connections, each served by a task of its own."""

import http.client
import threading
from collections.abc import Callable
from concurrent.futures import Future
from queue import Empty, SimpleQueue

from attrs import define, field, frozen

from dotterelpier.clients.http_connection import open_connection, shut_down
from dotterelpier.errors import (
    AnswerLostError,
    AnswerTimeoutError,
    CallError,
    ConnectFailedError,
)
from dotterelpier.model.call import Answer
from dotterelpier.protocols import Clock, TaskKind, Tasks, Timer

CONNECT_TIMEOUT_S = 1.0
JUST_PROVED_S = 1.0
OVERDUE_CHECK_S = 0.5


@frozen
class HttpRequest:
    """A request as it goes over a connection."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes = field(default=b"", repr=False)


@frozen
class HttpAnswer:
    """An answer as it came over a connection, whole."""

    status: int
    headers: http.client.HTTPMessage
    body: bytes = field(repr=False)


@define(eq=False)
class PooledExchange:
    """One request on its way, with the future of its answer."""

    request: HttpRequest
    deadline_at: float
    max_answer_bytes: int
    decode: Callable[[HttpAnswer], Answer]
    on_cancel: Callable[[], None]
    answer: "Future[Answer]" = field(factory=Future)

    def cancel(self) -> None:
        """Ask the other side to stop; the future ends all the same."""
        if not self.answer.done():
            self.on_cancel()


@define(eq=False)
class PooledConnection:
    """One connection and its task."""

    address: str
    _pool: "ConnectionPool"
    _exchanges: "SimpleQueue[PooledExchange | None]" = field(factory=SimpleQueue)
    _connection: http.client.HTTPConnection | None = None
    proved_at: float = float("-inf")
    deadline_at: float = float("inf")

    def put(self, exchange: PooledExchange | None) -> None:
        """Give the task an exchange, or None to end it."""
        self._exchanges.put(exchange)

    def serve(self) -> None:
        """Perform exchanges until the connection breaks or stays idle."""
        try:
            while (exchange := self._next()) is not None:
                if not self._perform(exchange):
                    return
        finally:
            self._pool.forget(self)
            self._close()

    def abort(self) -> None:
        """Break the connection, so that its task stops waiting for an answer."""
        if self._connection is not None:
            shut_down(self._connection)

    def _next(self) -> PooledExchange | None:
        try:
            return self._exchanges.get(timeout=self._pool.idle_s)
        except Empty:
            if self._pool.withdraw(self):
                return None
            return self._exchanges.get()

    def _perform(self, exchange: PooledExchange) -> bool:
        self.deadline_at = exchange.deadline_at
        try:
            received, reusable = self._round_trip(exchange)
            answer = exchange.decode(received)
        except CallError as error:
            exchange.answer.set_exception(error)
            return False
        finally:
            self.deadline_at = float("inf")
        if reusable:
            self._pool.give_back(self)
        exchange.answer.set_result(answer)
        return reusable

    def _round_trip(self, exchange: PooledExchange) -> tuple[HttpAnswer, bool]:
        connection = self._connected(exchange)
        request = exchange.request
        try:
            connection.request(
                request.method, request.target, request.body or None, request.headers
            )
            self._limit_wait(connection, exchange)
            response = connection.getresponse()
            body = self._read_body(connection, response, exchange)
        except TimeoutError:
            raise self._error(AnswerTimeoutError, "no answer in time") from None
        except (OSError, http.client.HTTPException) as error:
            raise self._error(AnswerLostError, repr(error)) from None
        self.proved_at = self._pool.clock.monotonic()
        answer = HttpAnswer(response.status, response.headers, body)
        return answer, not response.will_close

    def _connected(self, exchange: PooledExchange) -> http.client.HTTPConnection:
        remaining_s = exchange.deadline_at - self._pool.clock.monotonic()
        if remaining_s <= 0:
            raise self._error(ConnectFailedError, "deadline passed before sending")
        if self._connection is None:
            try:
                self._connection = open_connection(
                    self.address, min(remaining_s, CONNECT_TIMEOUT_S)
                )
            except OSError as error:
                raise self._error(ConnectFailedError, repr(error)) from None
        self._limit_wait(self._connection, exchange)
        return self._connection

    def _read_body(
        self,
        connection: http.client.HTTPConnection,
        response: http.client.HTTPResponse,
        exchange: PooledExchange,
    ) -> bytes:
        expected = response.length
        pieces: list[bytes] = []
        size = 0
        while piece := response.read1(exchange.max_answer_bytes + 1 - size):
            pieces.append(piece)
            size += len(piece)
            if size > exchange.max_answer_bytes:
                raise self._error(AnswerLostError, "answer is larger than allowed")
            self._limit_wait(connection, exchange)
        if expected is not None and size != expected:
            message = f"answer ended after {size} of {expected} bytes"
            raise self._error(AnswerLostError, message)
        # read1() leaves a response of known length open, which blocks the next one.
        response.close()
        return b"".join(pieces)

    def _limit_wait(
        self, connection: http.client.HTTPConnection, exchange: PooledExchange
    ) -> None:
        if connection.sock is None:
            return
        remaining_s = exchange.deadline_at - self._pool.clock.monotonic()
        if remaining_s <= 0:
            raise TimeoutError
        connection.sock.settimeout(remaining_s)

    def _error(self, kind: type[CallError], message: str) -> CallError:
        return kind(message, step=self._pool.step, peer=self.address)

    def _close(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None


@define(eq=False)
class ConnectionPool:
    """Connections by address; the one used last is used first."""

    step: str
    kind: TaskKind
    idle_s: float
    clock: Clock
    _tasks: Tasks
    _timer: Timer
    _idle_by_address: dict[str, list[PooledConnection]] = field(factory=dict)
    _connections: set[PooledConnection] = field(factory=set)
    _lock: threading.Lock = field(factory=threading.Lock)

    def start(self) -> None:
        """Start the task that aborts overdue exchanges."""
        self._tasks.submit(TaskKind.CONTROL, self._abort_overdue)

    def stop(self) -> None:
        """End the tasks of all connections."""
        with self._lock:
            connections = tuple(self._connections)
            self._idle_by_address.clear()
        for connection in connections:
            connection.put(None)
            connection.abort()

    def send(self, address: str, exchange: PooledExchange, *, fresh: bool) -> None:
        """Give an exchange to a connection.

        Raises
        ------
        TaskPoolFullError
            If no more connections may be opened; nothing was sent.
        """
        connection = self._take_idle(address, fresh)
        if connection is None:
            connection = PooledConnection(address, self)
            with self._lock:
                self._connections.add(connection)
            try:
                self._tasks.submit(self.kind, connection.serve)
            except Exception:
                self.forget(connection)
                raise
        connection.put(exchange)

    def drop(self, address: str) -> None:
        """Close the idle connections to an address."""
        with self._lock:
            idle = self._idle_by_address.pop(address, [])
        for connection in idle:
            connection.put(None)

    def give_back(self, connection: PooledConnection) -> None:
        """Make a connection available again."""
        with self._lock:
            self._idle_by_address.setdefault(connection.address, []).append(connection)

    def withdraw(self, connection: PooledConnection) -> bool:
        """Take an idle connection out; return False if an exchange is coming."""
        with self._lock:
            idle = self._idle_by_address.get(connection.address, [])
            if connection not in idle:
                return False
            idle.remove(connection)
            return True

    def forget(self, connection: PooledConnection) -> None:
        """Forget a connection that ended."""
        with self._lock:
            self._connections.discard(connection)

    def _take_idle(self, address: str, fresh: bool) -> PooledConnection | None:
        proved_after = self.clock.monotonic() - JUST_PROVED_S
        with self._lock:
            idle = self._idle_by_address.get(address)
            if not idle:
                return None
            if fresh and idle[-1].proved_at < proved_after:
                return None
            return idle.pop()

    def _abort_overdue(self) -> None:
        subscription = self._timer.every(OVERDUE_CHECK_S)
        while subscription.wait():
            now = self.clock.monotonic()
            with self._lock:
                connections = tuple(self._connections)
            for connection in connections:
                if connection.deadline_at < now:
                    connection.abort()


def make_connection_pool(
    step: str, kind: TaskKind, idle_s: float, clock: Clock, tasks: Tasks, timer: Timer
) -> ConnectionPool:
    """Return an empty pool whose errors name ``step``."""
    return ConnectionPool(step, kind, idle_s, clock, tasks, timer)
