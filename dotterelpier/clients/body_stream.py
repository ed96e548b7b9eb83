"""Streamed body of a large answer, from a connection's task to the caller."""

import contextlib
from collections.abc import Callable
from queue import Empty, Full, Queue

from attrs import define, field

from dotterelpier.errors import (
    AnswerAbandonedError,
    AnswerTimeoutError,
    CallError,
)
from dotterelpier.protocols import Clock

MAX_QUEUED_PIECES = 8


def _make_queue() -> "Queue[bytes | CallError | None]":
    return Queue(MAX_QUEUED_PIECES)


@define(eq=False)
class BodyStream:
    """Bounded queue of body pieces, so that a slow reader slows the sender down.

    Iterating raises ``CallError`` if the body is incomplete or the deadline passes.

    Attributes
    ----------
    deadline_at : float
        Deadline of both ends, in seconds on the monotonic clock.
    peer : str
        Address that the body comes from, named in errors.
    """

    deadline_at: float
    peer: str
    _clock: Clock
    _abort: Callable[[], None]
    _pieces: "Queue[bytes | CallError | None]" = field(factory=_make_queue)
    _closed: bool = False

    def put(self, piece: bytes | CallError | None) -> bool:
        """Queue a piece, an error, or None at the end; return False once closed.

        Runs in the connection's task. Blocks while the queue is full, and returns False
        if it is still full at the deadline.
        """
        if self._closed:
            return False
        try:
            self._pieces.put(piece, timeout=self._remaining_s())
        except Full:
            return False
        return not self._closed

    def __iter__(self) -> "BodyStream":
        return self

    def __next__(self) -> bytes:
        try:
            piece = self._pieces.get(timeout=self._remaining_s())
        except Empty:
            raise AnswerTimeoutError(
                "body was not complete before the deadline",
                step="answer.body",
                peer=self.peer,
            ) from None
        if piece is None:
            raise StopIteration
        if isinstance(piece, CallError):
            raise piece
        return piece

    def close(self) -> None:
        """Stop reading; shut the connection down if the body has not ended."""
        self._closed = True
        self._abort()
        self.discard()

    def discard(self) -> None:
        """Drop what is queued, so that ``put`` stops waiting for the reader."""
        self._closed = True
        with contextlib.suppress(Empty):
            while True:
                self._pieces.get_nowait()
        message = "the answer was abandoned"
        error = AnswerAbandonedError(message, step="answer.body", peer=self.peer)
        with contextlib.suppress(Full):
            self._pieces.put_nowait(error)

    def _remaining_s(self) -> float:
        return max(0.0, self.deadline_at - self._clock.monotonic())
