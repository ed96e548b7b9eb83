"""Bytes that wait to be sent, as the pieces in which they were written."""

from collections import deque

from attrs import define, field

# Rests of pieces that are shorter than this are not copied.
MIN_COPIED_BYTES = 16 << 10


@define(eq=False)
class PieceBuffer:
    """Buffer for the output of a connection, in place of that of waitress.

    waitress copies what is written, and keeps what it has sent until the next answer
    begins. This one keeps the pieces themselves and drops each once it was sent. Once
    more than half of a piece was sent, its rest is copied, so that no more than twice
    the bytes that wait is held.

    Attributes
    ----------
    held_bytes : int
        Bytes of all pieces of which a part waits.
    """

    held_bytes: int = 0
    # Each piece, and the part of it that waits.
    _pieces: deque[tuple[bytes, memoryview]] = field(factory=deque)
    _size: int = 0

    def __len__(self) -> int:
        return self._size

    def append(self, piece: bytes) -> None:
        """Add a piece at the end."""
        if piece:
            self._pieces.append((piece, memoryview(piece)))
            self._size += len(piece)
            self.held_bytes += len(piece)

    def get(self, count: int) -> memoryview:
        """Return up to ``count`` bytes of the first piece, without removing them."""
        return self._pieces[0][1][:count] if self._pieces else memoryview(b"")

    def skip(self, count: int, allow_prune: bool = False) -> None:
        """Drop ``count`` bytes from the beginning, at most those that ``get`` gave."""
        piece, waiting = self._pieces.popleft()
        rest = waiting[count:]
        self._size -= count
        self.held_bytes -= len(piece)
        if not rest:
            return
        if len(piece) > max(2 * len(rest), MIN_COPIED_BYTES):
            piece = bytes(rest)
            rest = memoryview(piece)
        self._pieces.appendleft((piece, rest))
        self.held_bytes += len(piece)

    def close(self) -> None:
        """Drop everything."""
        self._pieces.clear()
        self._size = self.held_bytes = 0
