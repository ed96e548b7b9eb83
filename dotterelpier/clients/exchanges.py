"""Requests, answers and rules of exchanges on pooled connections."""

from collections.abc import Callable
from concurrent.futures import Future
from typing import Any

from attrs import define, field, frozen

from dotterelpier.clients.body_stream import BodyStream
from dotterelpier.clients.http_connection import (
    CloseDelimitedResponse,
    StrictResponse,
)
from dotterelpier.errors import CallError
from dotterelpier.model.call import Headers
from dotterelpier.model.client_memory import UNCOUNTED, AnswerMemory

CONNECT_TIMEOUT_S = 1.0
FRESH_IDLE_S = 1.0


@frozen
class ConnectionRules:
    """Which connections of a pool are reused, and which answers are accepted.

    Attributes
    ----------
    connect_timeout_s : float
        Timeout for opening a connection, in seconds.
    fresh_idle_s : float
        Longest idle time, in seconds, after which a connection still counts as fresh.
        Requests that must not be lost use only new or fresh connections.
    close_delimited_allowed : bool
        Whether an answer may declare no length and end with its connection (RFC 9112,
        section 6.3).
    extra_bytes_allowed : bool
        Whether a complete answer is accepted although more bytes follow it; the
        connection is then closed.
    skips_mismatched : bool
        Whether a few answers to other requests are skipped until the expected one
        comes.
    """

    connect_timeout_s: float = CONNECT_TIMEOUT_S
    fresh_idle_s: float = FRESH_IDLE_S
    close_delimited_allowed: bool = False
    extra_bytes_allowed: bool = False
    skips_mismatched: bool = False

    def response_class(self) -> type[StrictResponse]:
        """Return the class that parses answers under these rules."""
        return (
            CloseDelimitedResponse if self.close_delimited_allowed else StrictResponse
        )


@frozen
class HttpRequest:
    """A request as it is written to a connection."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes = field(default=b"", repr=False)


@frozen
class HttpAnswer:
    """An answer as it was read from a connection.

    Attributes
    ----------
    status : int
        HTTP status code.
    headers : Headers
        All headers, in the order received.
    body : bytes
        Whole body, empty if it is streamed.
    stream : BodyStream or None
        Body of an answer that is too large to be held whole.
    length : int or None
        Declared length of the body in bytes, if it was declared.
    """

    status: int
    headers: Headers
    body: bytes = field(default=b"", repr=False)
    stream: BodyStream | None = None
    length: int | None = None

    def header(self, name: str) -> str | None:
        """Return the first value of a header in any case, or None if it is missing."""
        wanted = name.lower()
        values = (value for key, value in self.headers if key.lower() == wanted)
        return next(values, None)


class AnswerFuture(Future[Any]):
    """Future of an answer that forgets its callbacks once they have run.

    The callbacks refer to an attempt, which refers to the future. Without this, a long
    answer would stay in memory until the garbage collector finds the cycle.
    """

    def _invoke_callbacks(self) -> None:
        super()._invoke_callbacks()  # type: ignore[misc]
        self._done_callbacks.clear()  # type: ignore[attr-defined]


@define(eq=False)
class PooledExchange:
    """A request and its answer, performed on a connection of a pool.

    Attributes
    ----------
    request : HttpRequest
        The request to send.
    deadline_at : float
        When the exchange is aborted, in seconds on the monotonic clock.
    whole_answer_bytes : int
        Answers with larger bodies are streamed.
    decode : Callable
        Returns the decoded answer or raises ``CallError``; runs in the task of the
        connection.
    memory : AnswerMemory
        Memory for a long answer, reserved before it is read.
    answer : Future
        Result of ``decode``; fails with a ``CallError``.
    ended : Future of bool
        True once the answer was read to its end or nothing was sent, False if the
        connection was lost in between.
    aborted : bool
        Whether the exchange must not be sent any more.
    waited_for_memory : bool
        Whether a long answer had to wait for memory before it was read.
    """

    request: HttpRequest
    deadline_at: float
    whole_answer_bytes: int
    decode: Callable[[HttpAnswer], Any]
    memory: AnswerMemory = UNCOUNTED
    answer: "Future[Any]" = field(factory=AnswerFuture)
    ended: "Future[bool]" = field(factory=Future)
    aborted: bool = False
    waited_for_memory: bool = False

    def fail(self, error: CallError, *, ended: bool) -> None:
        """Fail ``answer`` and complete ``ended``, each unless it is already done.

        The error keeps no frames, as those hold what was read of the answer.
        """
        error.__traceback__ = error.__context__ = None
        if not self.ended.done():
            self.ended.set_result(ended)
        if not self.answer.done():
            self.answer.set_exception(error)
