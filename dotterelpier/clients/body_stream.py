"""Body of a large answer on its way from a connection's task to the caller."""

from collections.abc import Callable
from queue import Empty, Full, Queue

from attrs import define, field

from dotterelpier.errors import AnswerTimeoutError, CallError
from dotterelpier.protocols import Clock

MAX_QUEUED_PIECES = 8


def _make_queue() -> "Queue[bytes | CallError | None]":
    return Queue(MAX_QUEUED_PIECES)


@define(eq=False)
class BodyStream:
    """A bounded queue of pieces, so that a slow reader slows the sender down.

    Iterating raises ``CallError`` where the body broke off.
    """

    deadline_at: float
    peer: str
    _clock: Clock
    _abort: Callable[[], None]
    _pieces: "Queue[bytes | CallError | None]" = field(factory=_make_queue)
    _closed: bool = False

    def put(self, piece: bytes | CallError | None) -> bool:
        """Add a piece, an error or the end; return False if nobody reads."""
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
                "the body did not end in time", step="answer.body", peer=self.peer
            ) from None
        if piece is None:
            raise StopIteration
        if isinstance(piece, CallError):
            raise piece
        return piece

    def close(self) -> None:
        """Stop reading, and break the connection if the body has not ended."""
        self._closed = True
        self._abort()
        while not self._pieces.empty():
            self._pieces.get_nowait()

    def _remaining_s(self) -> float:
        return max(0.0, self.deadline_at - self._clock.monotonic())
