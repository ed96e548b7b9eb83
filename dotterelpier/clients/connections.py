"""Pools of HTTP connections, each served by a task of its own."""

import http.client
import itertools
import re
import socket
import threading
from collections.abc import Callable, Iterator
from concurrent.futures import Future
from queue import Empty, SimpleQueue
from typing import Any

from attrs import define, field, frozen
from loguru import logger

from dotterelpier.clients.body_stream import BodyStream
from dotterelpier.clients.http_connection import (
    CloseDelimitedResponse,
    StrictResponse,
    clean_headers,
    is_readable,
    open_connection,
    shut_down,
)
from dotterelpier.errors import (
    AnswerLostError,
    AnswerMismatchError,
    AnswerTimeoutError,
    CallError,
    ConnectFailedError,
    InvalidCallError,
    OverloadedError,
    RefusedError,
)
from dotterelpier.model.call import Headers
from dotterelpier.protocols import Clock, TaskKind, Tasks, Timer

CONNECT_TIMEOUT_S = 1.0
FRESH_IDLE_S = 1.0
OVERDUE_CHECK_INTERVAL_S = 0.5
PIECE_BYTES = 64 << 10
# Answers of other requests that are skipped before an own one.
MAX_SKIPPED_ANSWERS = 2
KEEP_ALIVE_TIMEOUT_PATTERN = re.compile(r"timeout=([0-9]{1,6})")
# Share of the time that the other side keeps an idle connection in which it is used;
# the rest covers the way there and clocks that run apart.
KEEP_ALIVE_SHARE = 0.5
METHODS_WITH_BODY = frozenset({"POST", "PUT", "PATCH"})


@frozen
class ConnectionRules:
    """How answers are read from the connections of a pool.

    Attributes
    ----------
    connect_timeout_s : float
        Longest wait for a new connection, in seconds.
    proved_for_s : float
        Idle time up to which a connection is used for what must not be lost, in
        seconds.
    open_ends : bool
        Whether an answer may declare no length and end with its connection.
    extra_bytes_allowed : bool
        Whether a whole answer counts although more bytes follow; the connection is
        closed then.
    skips_strays : bool
        Whether answers of other requests are skipped until the own one comes.
    """

    connect_timeout_s: float = CONNECT_TIMEOUT_S
    fresh_idle_s: float = FRESH_IDLE_S
    close_delimited_allowed: bool = False
    extra_bytes_allowed: bool = False
    skips_mismatched: bool = False

    def response_class(self) -> type[StrictResponse]:
        """Return the class that reads answers."""
        return (
            CloseDelimitedResponse if self.close_delimited_allowed else StrictResponse
        )


@frozen
class HttpRequest:
    """A request as it goes over a connection."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes = field(default=b"", repr=False)


@frozen
class HttpAnswer:
    """An answer as it came over a connection.

    Attributes
    ----------
    status : int
        HTTP status code.
    headers : Headers
        All headers, in the order received.
    body : bytes
        Whole body, empty if it is streamed.
    stream : BodyStream or None
        Body of a large answer.
    length : int or None
        Declared length of the body in bytes, if it was declared.
    """

    status: int
    headers: Headers
    body: bytes = field(default=b"", repr=False)
    stream: BodyStream | None = None
    length: int | None = None

    def header(self, name: str) -> str | None:
        """Return the first value of a header."""
        wanted = name.lower()
        values = (value for key, value in self.headers if key.lower() == wanted)
        return next(values, None)


@define(eq=False)
class PooledExchange:
    """One request on its way.

    Attributes
    ----------
    request : HttpRequest
        What is sent.
    deadline_at : float
        When the exchange is broken off, on the monotonic clock.
    whole_answer_bytes : int
        Larger answers are streamed.
    decode : Callable
        Turns what came into the answer, or raises ``CallError``.
    answer : Future
        What ``decode`` returned; fails with a ``CallError``.
    ended : Future of bool
        True once the answer came to its end or nothing was sent, False once
        the connection was lost in between.
    """

    request: HttpRequest
    deadline_at: float
    whole_answer_bytes: int
    decode: Callable[[HttpAnswer], Any]
    answer: "Future[Any]" = field(factory=Future)
    ended: "Future[bool]" = field(factory=Future)
    aborted: bool = False

    def fail(self, error: CallError, *, ended: bool) -> None:
        """End the exchange with an error, unless it has an answer."""
        if not self.ended.done():
            self.ended.set_result(ended)
        if not self.answer.done():
            self.answer.set_exception(error)


@define(eq=False)
class PooledConnection:
    """One connection and its task."""

    address: str
    _pool: "ConnectionPool"
    _exchanges: "SimpleQueue[PooledExchange | None]" = field(factory=SimpleQueue)
    _connection: http.client.HTTPConnection | None = None
    _socket: socket.socket | None = None
    _current: PooledExchange | None = None
    _lock: threading.Lock = field(factory=threading.Lock)
    last_answer_at: float = float("-inf")
    usable_until: float = float("inf")

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
            self._pool.unregister(self)
            self._close()
            self._fail_queued()

    def abort(self) -> None:
        """Break the connection, so that its task stops waiting for an answer."""
        with self._lock:
            self._shut_down()

    def abort_exchange(self, exchange: PooledExchange) -> None:
        """Break the connection if it still performs this exchange."""
        with self._lock:
            if self._current is exchange:
                self._shut_down()

    def abort_overdue(self, now: float) -> None:
        """Break the connection if its exchange is past its deadline."""
        with self._lock:
            if self._current is not None and self._current.deadline_at < now:
                self._shut_down()

    def _shut_down(self) -> None:
        shut_down(self._socket)

    def _next(self) -> PooledExchange | None:
        try:
            return self._exchanges.get(timeout=self._pool.idle_timeout_s)
        except Empty:
            if self._pool.remove_if_idle(self):
                return None
            return self._exchanges.get()

    def _fail_queued(self) -> None:
        while not self._exchanges.empty():
            exchange = self._exchanges.get()
            if exchange is not None:
                error = self._error(ConnectFailedError, "the connection was closed")
                exchange.fail(error, ended=True)

    def _perform(self, exchange: PooledExchange) -> bool:
        """Perform an exchange; return whether the connection can take another."""
        self._set_current(exchange)
        try:
            self._connect(exchange)
            self._prepare_head(exchange.request)
        except CallError as error:
            self._set_current(None)
            exchange.fail(error, ended=True)
            return False
        try:
            return self._send_and_receive(exchange)
        except CallError as error:
            self._set_current(None)
            exchange.fail(error, ended=False)
        except Exception as error:
            logger.exception("exchange failed", peer=self.address)
            self._set_current(None)
            exchange.fail(self._error(AnswerLostError, repr(error)), ended=False)
        return False

    def _set_current(self, exchange: PooledExchange | None) -> None:
        with self._lock:
            self._current = exchange

    def _connect(self, exchange: PooledExchange) -> None:
        remaining_s = exchange.deadline_at - self._pool.clock.monotonic()
        if remaining_s <= 0:
            raise self._error(OverloadedError, "the deadline passed before sending")
        if exchange.aborted:
            raise self._error(OverloadedError, "aborted before sending")
        if self._connection is not None and not self._is_reusable():
            self._close()
        if self._connection is None:
            try:
                self._connection = open_connection(
                    self.address,
                    min(remaining_s, self._pool.rules.connect_timeout_s),
                    self._pool.rules.response_class(),
                )
            except OSError as error:
                raise self._error(ConnectFailedError, repr(error)) from None
            with self._lock:
                self._socket = self._connection.sock

    def _is_reusable(self) -> bool:
        """Tell whether the other side neither closed nor sent anything unasked."""
        is_open = self._socket is not None and self._socket.fileno() >= 0
        return is_open and not is_readable(self._socket)

    def _prepare_head(self, request: HttpRequest) -> None:
        """Prepare the head; ``http.client`` sends nothing of it yet."""
        assert self._connection is not None
        try:
            self._connection.putrequest(request.method, request.target, skip_host=True)
            for name, value in request.headers.items():
                self._connection.putheader(name, value)
            if request.body or request.method in METHODS_WITH_BODY:
                self._connection.putheader("Content-Length", str(len(request.body)))
        except (ValueError, http.client.HTTPException) as error:
            raise self._error(InvalidCallError, repr(error)) from None

    def _send_and_receive(self, exchange: PooledExchange) -> bool:
        response: StrictResponse | None = None
        try:
            response = self._send(exchange)
            for _ in range(self._max_skipped_answers()):
                try:
                    return self._receive(response, exchange)
                except AnswerMismatchError:
                    if response.will_close:
                        raise
                    self._set_socket_timeout(exchange)
                    response = response.read_next()
            return self._receive(response, exchange)
        except (OSError, http.client.HTTPException) as error:
            raise self._to_call_error(exchange, error) from None
        finally:
            if response is not None:
                response.reader.release()

    def _max_skipped_answers(self) -> int:
        return MAX_SKIPPED_ANSWERS if self._pool.rules.skips_mismatched else 0

    def _send(self, exchange: PooledExchange) -> StrictResponse:
        assert self._connection is not None
        self._set_socket_timeout(exchange)
        self._connection.endheaders(exchange.request.body or None)
        self._set_socket_timeout(exchange)
        response = self._connection.getresponse()
        assert isinstance(response, StrictResponse)
        return response

    def _receive(self, response: StrictResponse, exchange: PooledExchange) -> bool:
        pieces = self._pieces(response, exchange)
        start = _collect(pieces, exchange.whole_answer_bytes)
        if sum(map(len, start)) > exchange.whole_answer_bytes:
            return self._stream(response, exchange, itertools.chain(start, pieces))
        answer = _http_answer(response, b"".join(start))
        try:
            decoded = exchange.decode(answer)
        except RefusedError as error:
            reusable = self._check_end(response)
            self._release(reusable)
            exchange.fail(error, ended=True)
            return reusable
        reusable = self._check_end(response)
        self._release(reusable)
        exchange.ended.set_result(True)
        exchange.answer.set_result(decoded)
        return reusable

    def _stream(
        self,
        response: StrictResponse,
        exchange: PooledExchange,
        pieces: Iterator[bytes],
    ) -> bool:
        stream = BodyStream(
            exchange.deadline_at,
            self.address,
            self._pool.clock,
            lambda: self.abort_exchange(exchange),
        )
        answer = exchange.decode(_http_answer(response, b"", stream))
        exchange.answer.set_result(answer)
        try:
            self._pass_on(pieces, stream)
            reusable = self._check_end(response)
        except (OSError, http.client.HTTPException, CallError) as error:
            converted = self._to_call_error(exchange, error)
            stream.put(converted)
            raise converted from None
        stream.put(None)
        self._release(reusable)
        exchange.ended.set_result(True)
        return reusable

    def _pass_on(self, pieces: Iterator[bytes], stream: BodyStream) -> None:
        for piece in pieces:
            if not stream.put(piece):
                raise self._error(AnswerLostError, "the body was not read")

    def _pieces(
        self, response: StrictResponse, exchange: PooledExchange
    ) -> Iterator[bytes]:
        expected = response.length
        received = 0
        while piece := response.read1(PIECE_BYTES):
            received += len(piece)
            yield piece
            self._set_socket_timeout(exchange)
        if expected is not None and received != expected:
            message = f"answer ended after {received} of {expected} bytes"
            raise self._error(AnswerLostError, message)

    def _check_end(self, response: StrictResponse) -> bool:
        """Check that nothing follows; return whether the connection stays open."""
        assert self._socket is not None
        response.close()
        self._socket.setblocking(False)
        if response.reader.peek():
            if not self._pool.rules.extra_bytes_allowed:
                raise self._error(AnswerLostError, "more bytes came than declared")
            return False
        self.last_answer_at = self._pool.clock.monotonic()
        self.usable_until = self.last_answer_at + _keep_alive_s(response)
        return not response.will_close

    def _release(self, reusable: bool) -> None:
        self._set_current(None)
        if reusable:
            self._pool.give_back(self)

    def _set_socket_timeout(self, exchange: PooledExchange) -> None:
        assert self._socket is not None
        remaining_s = exchange.deadline_at - self._pool.clock.monotonic()
        if remaining_s <= 0:
            raise TimeoutError
        self._socket.settimeout(remaining_s)

    def _to_call_error(self, exchange: PooledExchange, error: Exception) -> CallError:
        if isinstance(error, CallError):
            return error
        if self._pool.clock.monotonic() >= exchange.deadline_at:
            return self._error(AnswerTimeoutError, "no whole answer in time")
        if isinstance(error, TimeoutError):
            # The path is gone, and with it that of the other connections.
            self._pool.drop(self.address)
        return self._error(AnswerLostError, repr(error))

    def _error(self, kind: type[CallError], message: str) -> CallError:
        return kind(message, step=self._pool.step, peer=self.address)

    def _close(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None


def _keep_alive_s(response: StrictResponse) -> float:
    """Return for how long the other side surely keeps the connection."""
    stated = KEEP_ALIVE_TIMEOUT_PATTERN.search(response.headers.get("Keep-Alive") or "")
    return int(stated[1]) * KEEP_ALIVE_SHARE if stated else float("inf")


def _collect(pieces: Iterator[bytes], limit_bytes: int) -> list[bytes]:
    """Take pieces until they end or exceed the limit."""
    collected: list[bytes] = []
    size = 0
    while size <= limit_bytes and (piece := next(pieces, b"")):
        collected.append(piece)
        size += len(piece)
    return collected


def _http_answer(
    response: StrictResponse, body: bytes, stream: BodyStream | None = None
) -> HttpAnswer:
    headers = clean_headers(response.headers)
    length = response.declared_length()
    return HttpAnswer(response.status, headers, body, stream, length)


@define(eq=False)
class ConnectionPool:
    """Connections by address; the one used last is used first."""

    step: str
    kind: TaskKind
    idle_timeout_s: float
    clock: Clock
    _tasks: Tasks
    _timer: Timer
    rules: ConnectionRules = ConnectionRules()
    _idle_by_address: dict[str, list[PooledConnection]] = field(factory=dict)
    _connections: set[PooledConnection] = field(factory=set)
    _stopped: bool = False
    _lock: threading.Lock = field(factory=threading.Lock)

    def start(self) -> None:
        """Start the task that aborts overdue exchanges."""
        self._tasks.submit(TaskKind.CONTROL, self._abort_overdue)

    def stop(self) -> None:
        """End the tasks of all connections."""
        with self._lock:
            self._stopped = True
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
        if self._hand_to_idle(address, exchange, fresh):
            return
        connection = PooledConnection(address, self)
        if not self._register(connection):
            error = ConnectFailedError("stopped", step=self.step, peer=address)
            exchange.fail(error, ended=True)
            return
        try:
            self._tasks.submit(self.kind, connection.serve)
        except Exception:
            self.unregister(connection)
            raise
        connection.put(exchange)

    def drop(self, address: str) -> None:
        """Close the idle connections to an address."""
        with self._lock:
            idle = self._idle_by_address.pop(address, [])
        for connection in idle:
            connection.put(None)

    def abort(self, exchange: PooledExchange) -> None:
        """Break the connection that performs an exchange, if one still does."""
        exchange.aborted = True
        with self._lock:
            connections = tuple(self._connections)
        for connection in connections:
            connection.abort_exchange(exchange)

    def give_back(self, connection: PooledConnection) -> None:
        """Make a connection available again."""
        with self._lock:
            self._idle_by_address.setdefault(connection.address, []).append(connection)

    def remove_if_idle(self, connection: PooledConnection) -> bool:
        """Take an idle connection out; return False if an exchange is coming."""
        with self._lock:
            return self._remove_idle(connection)

    def unregister(self, connection: PooledConnection) -> None:
        """Forget a connection that ended; it is given no more exchanges."""
        with self._lock:
            self._remove_idle(connection)
            self._connections.discard(connection)

    def _register(self, connection: PooledConnection) -> bool:
        with self._lock:
            if not self._stopped:
                self._connections.add(connection)
            return not self._stopped

    def _remove_idle(self, connection: PooledConnection) -> bool:
        idle = self._idle_by_address.get(connection.address, [])
        if connection not in idle:
            return False
        idle.remove(connection)
        return True

    def _hand_to_idle(
        self, address: str, exchange: PooledExchange, fresh: bool
    ) -> bool:
        now = self.clock.monotonic()
        with self._lock:
            idle = self._idle_by_address.get(address)
            while idle and idle[-1].usable_until < now:
                idle.pop().put(None)
            fresh_since = now - self.rules.fresh_idle_s
            if not idle or (fresh and idle[-1].last_answer_at < fresh_since):
                return False
            idle.pop().put(exchange)
            return True

    def _abort_overdue(self) -> None:
        subscription = self._timer.every(OVERDUE_CHECK_INTERVAL_S)
        while subscription.wait():
            now = self.clock.monotonic()
            with self._lock:
                connections = tuple(self._connections)
            for connection in connections:
                connection.abort_overdue(now)


def make_connection_pool(
    step: str,
    kind: TaskKind,
    idle_timeout_s: float,
    clock: Clock,
    tasks: Tasks,
    timer: Timer,
    rules: ConnectionRules | None = None,
) -> ConnectionPool:
    """Return an empty pool whose errors name ``step``."""
    rules = rules or ConnectionRules()
    return ConnectionPool(step, kind, idle_timeout_s, clock, tasks, timer, rules)
