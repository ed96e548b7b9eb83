"""A pooled HTTP connection, whose task performs its exchanges one after another."""

import http.client
import re
import socket
import threading
from collections.abc import Iterator
from queue import Empty, SimpleQueue
from typing import Protocol

from attrs import define, field
from loguru import logger

from dotterelpier.clients.answer_parts import (
    PIECE_BYTES,
    STREAMED_BYTES,
    Reservation,
    collect,
    drain,
)
from dotterelpier.clients.body_stream import BodyStream
from dotterelpier.clients.exchanges import (
    ConnectionRules,
    HttpAnswer,
    HttpRequest,
    PooledExchange,
)
from dotterelpier.clients.http_connection import (
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
from dotterelpier.protocols import Clock

# Answers to other requests that may be skipped before the expected one.
MAX_SKIPPED_ANSWERS = 2
KEEP_ALIVE_TIMEOUT_PATTERN = re.compile(r"timeout=([0-9]{1,6})")
# Share of the peer's keep-alive timeout during which an idle connection is reused; the
# rest covers network latency and clock drift.
KEEP_ALIVE_SHARE = 0.5
METHODS_WITH_BODY = frozenset({"POST", "PUT", "PATCH"})


class ConnectionOwner(Protocol):
    """Pool of a connection, as its task uses it."""

    step: str
    idle_timeout_s: float
    clock: Clock
    rules: ConnectionRules

    def give_back(self, connection: "PooledConnection") -> None:
        """Make a connection available for the next exchange."""
        ...

    def remove_if_idle(self, connection: "PooledConnection") -> bool:
        """Remove an idle connection; return False if it was already taken for use."""
        ...

    def unregister(self, connection: "PooledConnection") -> None:
        """Remove a connection whose task ends."""
        ...

    def drop(self, address: str) -> None:
        """Close the idle connections to an address."""
        ...


@define(eq=False)
class PooledConnection:
    """A connection and its task, which opens it on demand.

    Attributes
    ----------
    address : str
        Peer as ``IP:port``.
    last_answer_at : float
        When the last answer was complete, in seconds on the monotonic clock.
    usable_until : float
        Until when the connection is reused if it stays idle, on the same clock.
    """

    address: str
    _pool: ConnectionOwner
    _exchanges: "SimpleQueue[PooledExchange | None]" = field(factory=SimpleQueue)
    _connection: http.client.HTTPConnection | None = None
    _socket: socket.socket | None = None
    _current: PooledExchange | None = None
    _body: BodyStream | None = None
    # Set for good once this side ended the connection; the end of the bytes then does
    # not mark the end of an answer.
    _is_shut_down: bool = False
    _lock: threading.Lock = field(factory=threading.Lock)
    last_answer_at: float = float("-inf")
    usable_until: float = float("inf")

    def put(self, exchange: PooledExchange | None) -> None:
        """Queue an exchange for the task, or None to end the task."""
        self._exchanges.put(exchange)

    def serve(self) -> None:
        """Perform queued exchanges until the connection breaks or is idle too long."""
        try:
            while self._perform_next():
                pass
        finally:
            self._pool.unregister(self)
            self._close()
            self._fail_queued()

    def _perform_next(self) -> bool:
        """Perform an exchange; return False if there is none or it was the last one.

        The task must not refer to it while it waits for the next one, as its answer
        would stay in memory.
        """
        exchange = self._next()
        return exchange is not None and self._perform(exchange)

    def abort(self) -> None:
        """Shut the connection down, so that its task stops waiting for an answer."""
        with self._lock:
            self._shut_down()

    def abort_exchange(self, exchange: PooledExchange) -> None:
        """Shut the connection down if it still performs this exchange.

        Its answer is not read any more, so the task must not wait for that either.
        """
        with self._lock:
            if self._current is not exchange:
                return
            self._shut_down()
            body = self._body
        exchange.memory.wake()
        if body is not None:
            body.discard()

    def abort_overdue(self, now: float) -> None:
        """Shut the connection down if its exchange is past its deadline."""
        with self._lock:
            if self._current is not None and self._current.deadline_at < now:
                self._shut_down()

    def _is_unwanted(self) -> bool:
        return self._is_shut_down

    def _shut_down(self) -> None:
        self._is_shut_down = True
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
                error = self._error(
                    ConnectFailedError,
                    "connection was closed before the request was sent",
                )
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
            logger.exception(
                "exchange failed unexpectedly; closing the connection",
                peer=self.address,
            )
            self._set_current(None)
            exchange.fail(self._error(AnswerLostError, repr(error)), ended=False)
        return False

    def _set_current(self, exchange: PooledExchange | None) -> None:
        with self._lock:
            self._current = exchange
            self._body = None

    def _connect(self, exchange: PooledExchange) -> None:
        remaining_s = exchange.deadline_at - self._pool.clock.monotonic()
        if remaining_s <= 0:
            raise self._error(
                OverloadedError, "deadline passed before the request was sent"
            )
        if exchange.aborted:
            raise self._error(OverloadedError, "aborted before the request was sent")
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
            # An abort before this had no socket to shut down.
            if exchange.aborted or self._is_shut_down:
                message = "aborted while the connection was opened"
                raise self._error(OverloadedError, message)

    def _is_reusable(self) -> bool:
        """Return whether it is open and the peer sent no unsolicited bytes."""
        is_open = self._socket is not None and self._socket.fileno() >= 0
        return is_open and not is_readable(self._socket)

    def _prepare_head(self, request: HttpRequest) -> None:
        """Build the head in memory; ``http.client`` does not send it yet."""
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
        reserved = Reservation(exchange, self._is_unwanted)
        try:
            start = collect(pieces, response.length, reserved)
            if sum(map(len, start)) > exchange.whole_answer_bytes:
                return self._stream(response, exchange, start, pieces, reserved)
            answer = _http_answer(response, b"".join(start))
            reserved.shrink(len(answer.body))
            start.clear()
            decoded = exchange.decode(answer)
        except RefusedError as error:
            reserved.shrink(0)
            reusable = self._release(self._check_end(response))
            exchange.fail(error, ended=True)
            return reusable
        except Exception:
            reserved.shrink(0)
            raise
        reusable = self._release(self._check_end(response))
        exchange.ended.set_result(True)
        exchange.answer.set_result(decoded)
        return reusable

    def _stream(
        self,
        response: StrictResponse,
        exchange: PooledExchange,
        start: list[bytearray],
        pieces: Iterator[bytes],
        reserved: Reservation,
    ) -> bool:
        stream = BodyStream(
            exchange.deadline_at,
            self.address,
            self._pool.clock,
            lambda: self.abort_exchange(exchange),
        )
        try:
            answer = exchange.decode(_http_answer(response, b"", stream))
        except AnswerMismatchError as error:
            # The next answer could be found only by reading all of this one.
            raise self._error(AnswerLostError, error.message) from None
        with self._lock:
            self._body = stream
        exchange.answer.set_result(answer)
        try:
            self._pass_on(drain(start), stream)
            reserved.shrink(STREAMED_BYTES)
            self._pass_on(pieces, stream)
            reusable = self._check_end(response)
        except (OSError, http.client.HTTPException, CallError) as error:
            converted = self._to_call_error(exchange, error)
            stream.put(converted)
            raise converted from None
        stream.put(None)
        reusable = self._release(reusable)
        exchange.ended.set_result(True)
        return reusable

    def _pass_on(self, pieces: Iterator[bytes], stream: BodyStream) -> None:
        for piece in pieces:
            if not stream.put(piece):
                raise self._error(
                    AnswerLostError, "reader closed the stream or was too slow"
                )

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
        if self._is_shut_down and response.is_close_delimited():
            message = "connection was shut down here before the answer ended"
            raise ConnectionAbortedError(message)

    def _check_end(self, response: StrictResponse) -> bool:
        """Check that no bytes follow the answer; return whether to keep the connection.

        Raises ``AnswerLostError`` if bytes follow and the rules do not allow it.
        """
        assert self._socket is not None
        response.close()
        self._socket.setblocking(False)
        if response.reader.peek():
            if not self._pool.rules.extra_bytes_allowed:
                raise self._error(
                    AnswerLostError, "more bytes follow the end of the answer"
                )
            return False
        self.last_answer_at = self._pool.clock.monotonic()
        self.usable_until = self.last_answer_at + _keep_alive_s(response)
        return not response.will_close

    def _release(self, reusable: bool) -> bool:
        """End the exchange; return whether the connection takes another."""
        with self._lock:
            self._current = self._body = None
            reusable = reusable and not self._is_shut_down
        if reusable:
            self._pool.give_back(self)
        return reusable

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
            return self._error(
                AnswerTimeoutError, "no complete answer before the deadline"
            )
        if isinstance(error, TimeoutError):
            # TCP got no acknowledgement from the peer, so the network path is broken
            # for the idle connections to this address too.
            self._pool.drop(self.address)
        return self._error(AnswerLostError, repr(error))

    def _error(self, kind: type[CallError], message: str) -> CallError:
        return kind(message, step=self._pool.step, peer=self.address)

    def _close(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None


def _keep_alive_s(response: StrictResponse) -> float:
    """Return how long an idle connection may be reused, in seconds."""
    stated = KEEP_ALIVE_TIMEOUT_PATTERN.search(response.headers.get("Keep-Alive") or "")
    return int(stated[1]) * KEEP_ALIVE_SHARE if stated else float("inf")


def _http_answer(
    response: StrictResponse, body: bytes, stream: BodyStream | None = None
) -> HttpAnswer:
    headers = clean_headers(response.headers)
    length = response.declared_length()
    return HttpAnswer(response.status, headers, body, stream, length)
