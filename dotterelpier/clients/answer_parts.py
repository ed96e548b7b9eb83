"""Reads the beginning of an answer, and reserves memory for long ones."""

from collections.abc import Callable, Iterator

from attrs import define

from dotterelpier.clients.body_stream import MAX_QUEUED_PIECES
from dotterelpier.clients.exchanges import PooledExchange

PIECE_BYTES = 64 << 10
# Memory for longer answers is reserved before they are read.
SHORT_ANSWER_BYTES = 64 << 10
# What of a streamed answer is held at most once its beginning was passed on.
STREAMED_BYTES = (MAX_QUEUED_PIECES + 2) * PIECE_BYTES


@define(eq=False)
class Reservation:
    """Memory that is reserved for the answer to an exchange."""

    _exchange: PooledExchange
    _is_unwanted: Callable[[], bool]
    _reserved_bytes: int = 0

    def grow(self, count: int) -> None:
        """Reserve so many bytes in all; wait until there is room.

        Raises
        ------
        AnswerAbandonedError
            If the answer is not wanted any more, or there is no room by the deadline.
        """
        exchange = self._exchange
        missing = count - self._reserved_bytes
        if missing <= 0:
            return
        if not exchange.memory.try_reserve(missing):
            exchange.waited_for_memory = True
            exchange.memory.reserve(
                missing,
                exchange.deadline_at,
                lambda: exchange.aborted or self._is_unwanted(),
            )
        self._reserved_bytes = count

    def grow_for(self, length: int | None, received: int) -> None:
        """Reserve for an answer of this length, or of an unknown one (None).

        More than what is held of the beginning of an answer is never needed.
        """
        longest = self._exchange.whole_answer_bytes + PIECE_BYTES
        if (received if length is None else length) > SHORT_ANSWER_BYTES:
            self.grow(longest if length is None else min(length, longest))

    def shrink(self, count: int) -> None:
        """Keep at most so many bytes reserved."""
        excess = self._reserved_bytes - count
        if excess > 0:
            self._exchange.memory.release(excess)
            self._reserved_bytes = count

    def limit_bytes(self) -> int:
        """Return up to which size the answer is held whole."""
        return self._exchange.whole_answer_bytes


def collect(
    pieces: Iterator[bytes], length: int | None, reserved: Reservation
) -> list[bytearray]:
    """Read pieces until the body ends or they exceed what is held whole.

    Small pieces are joined: a body in chunks of a few bytes would else take many times
    its size.
    """
    collected: list[bytearray] = []
    size = 0
    reserved.grow_for(length, size)
    while size <= reserved.limit_bytes() and (piece := next(pieces, b"")):
        if collected and len(collected[-1]) + len(piece) <= PIECE_BYTES:
            collected[-1] += piece
        else:
            collected.append(bytearray(piece))
        size += len(piece)
        reserved.grow_for(length, size)
    return collected


def drain(collected: list[bytearray]) -> Iterator[bytes]:
    """Yield pieces and drop each one, so that it is held only once."""
    while collected:
        yield bytes(collected.pop(0))
