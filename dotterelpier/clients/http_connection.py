"""HTTP connections with ``TCP_NODELAY``, and answers whose length is not guessed."""

import enum
import http.client
import io
import re
import select
import socket
import time
from typing import Any

from attrs import define

# A connection whose peer vanished without closing it fails after about these times.
UNACKNOWLEDGED_TIMEOUT_MS = 2000
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2

LENGTH = re.compile(r"[0-9]{1,18}")
CHUNK_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(?:;[^\r\n]*)?\r?\n")
HEADER_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
FORBIDDEN_IN_VALUE = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
FOLDED_LINE = re.compile(r"\r?\n[ \t]+")
STATUSES_WITHOUT_BODY = frozenset({204, 304})
FIRST_FINAL_STATUS = 200
# Of all heads of one answer, interim ones included. http.client alone allows 100 lines
# of 64 KiB each, which a few dozen connections hold at a time.
MAX_HEAD_BYTES = 64 << 10


@define
class Address:
    """Host and port of a peer; an IPv6 address has no brackets."""

    host: str
    port: int


def parse_address(text: str) -> Address:
    """Parse ``IP:port``, with an IPv6 address in brackets.

    Raises
    ------
    ValueError
        If the port is not a number.
    """
    host, _, port = text.rpartition(":")
    return Address(host.strip("[]"), int(port))


class MalformedAnswerError(http.client.HTTPException):
    """An answer is malformed or does not state where it ends."""


class LineKind(enum.Enum):
    """What the next line of an answer is."""

    HEAD = enum.auto()
    CHUNK_SIZE = enum.auto()
    TRAILER = enum.auto()


@define
class AnswerReader:
    """Reads an answer; a truncated head or chunk size is an error.

    ``http.client`` closes its reader as soon as a body ends. This one stays open, so
    that ``peek`` shows whether more bytes came than belong to the answer.

    Attributes
    ----------
    next_line : LineKind
        What ``readline`` returns next.
    """

    _stream: Any
    next_line: LineKind = LineKind.HEAD
    _head_bytes: int = 0

    def begin_head(self) -> None:
        """Expect the head of another answer."""
        self.next_line, self._head_bytes = LineKind.HEAD, 0

    def readline(self, limit: int = -1) -> bytes:
        """Return the next line.

        Raises
        ------
        RemoteDisconnected
            If the head is truncated.
        IncompleteRead
            If the size of a chunk is truncated.
        MalformedAnswerError
            If the size of a chunk is malformed, or the head is too large.
        """
        line: bytes = self._stream.readline(limit)
        if self.next_line is LineKind.HEAD:
            _check_head_line(line, limit)
            self._head_bytes += len(line)
            if self._head_bytes > MAX_HEAD_BYTES:
                message = f"head is larger than {MAX_HEAD_BYTES} bytes"
                raise MalformedAnswerError(message)
        elif self.next_line is LineKind.CHUNK_SIZE and _chunk_size(line) == 0:
            # The body is complete; the trailer is not used and may be truncated.
            self.next_line = LineKind.TRAILER
        return line

    def read(self, size: int = -1) -> bytes:
        """Return up to ``size`` bytes, fewer only at the end."""
        content: bytes = self._stream.read(size)
        return content

    def read1(self, size: int = -1) -> bytes:
        """Return up to ``size`` bytes from at most one read of the socket."""
        content: bytes = self._stream.read1(size)
        return content

    def peek(self) -> bytes:
        """Return bytes that already arrived, without consuming them."""
        content: bytes = self._stream.peek(1)
        return content

    def flush(self) -> None:
        """Do nothing; the reader writes nothing."""

    def close(self) -> None:
        """Do nothing; ``release`` closes the reader."""

    def release(self) -> None:
        """Close the underlying stream."""
        self._stream.close()

    def detach(self) -> Any:
        """Return the unbuffered stream; this reader is not usable afterwards."""
        return self._stream.detach()


def _check_head_line(line: bytes, limit: int) -> None:
    if not line.endswith(b"\n") and len(line) != limit:
        raise http.client.RemoteDisconnected(
            "connection closed within the head of the answer"
        )


def _chunk_size(line: bytes) -> int:
    """Return the size of a chunk in bytes.

    ``http.client`` takes a truncated size for a smaller one.
    """
    if not line.endswith(b"\n"):
        raise http.client.IncompleteRead(line)
    match = CHUNK_SIZE_LINE.fullmatch(line)
    if match is None:
        raise MalformedAnswerError(f"invalid chunk size: {line[:40]!r}")
    return int(match[1], 16)


class DeadlineStream(io.RawIOBase):
    """Reads from a socket until a deadline, however slowly the bytes arrive.

    The timeout of a socket bounds each read only, so a peer that sends single bytes
    could keep a reader waiting forever.
    """

    def __init__(self, raw: Any, sock: socket.socket, deadline_at: float) -> None:
        super().__init__()
        self._raw = raw
        self._socket = sock
        self._deadline_at = deadline_at

    def readable(self) -> bool:
        """Return True."""
        return True

    def readinto(self, buffer: Any) -> int | None:
        """Read bytes that arrive before the deadline; raise ``TimeoutError`` at it."""
        remaining_s = self._deadline_at - time.monotonic()
        if remaining_s <= 0:
            raise TimeoutError("no complete answer before the deadline")
        self._socket.settimeout(remaining_s)
        count: int | None = self._raw.readinto(buffer)
        return count

    def close(self) -> None:
        """Close the reader; the socket stays open if its connection uses it."""
        if not self.closed:
            self._raw.close()
        super().close()


class StrictResponse(http.client.HTTPResponse):
    """An answer that must declare its length unambiguously."""

    allows_close_delimited = False

    def __init__(
        self,
        sock: socket.socket,
        debuglevel: int = 0,
        method: str | None = None,
        url: str | None = None,
    ) -> None:
        super().__init__(sock, debuglevel, method, url)
        self.sock = sock
        self.method = method
        self.reader = AnswerReader(self.fp)
        self.fp = self.reader  # type: ignore[assignment]

    def set_deadline(self, deadline_at: float) -> None:
        """Fail with ``TimeoutError`` if the answer is not complete by ``deadline_at``.

        Call it before ``begin``; the time is on the monotonic clock, in seconds.
        """
        raw = self.reader.detach()
        stream = DeadlineStream(raw, self.sock, deadline_at)
        self.reader = AnswerReader(io.BufferedReader(stream))
        self.fp = self.reader  # type: ignore[assignment]

    def read_whole(self, limit_bytes: int) -> bytes:
        """Return the body.

        Raises
        ------
        OSError
            If the connection broke; ``TimeoutError`` at the deadline.
        HTTPException
            If the body is truncated or larger than ``limit_bytes``.
        """
        body = self.read(limit_bytes + 1)
        if len(body) > limit_bytes:
            raise MalformedAnswerError(f"body is larger than {limit_bytes} bytes")
        if self.length:
            raise http.client.IncompleteRead(body, self.length)
        return body

    def begin(self) -> None:
        """Read and check the head.

        Raises
        ------
        HTTPException
            If the head is malformed or does not determine the length of the body.
        """
        super().begin()
        self.reader.next_line = LineKind.CHUNK_SIZE
        if self.status < FIRST_FINAL_STATUS:
            raise MalformedAnswerError(f"unexpected interim status {self.status}")
        if self.headers.defects:
            raise MalformedAnswerError(f"malformed head: {self.headers.defects[0]!r}")
        self._check_length()

    def read_next(self) -> "StrictResponse":
        """Read the head of the next answer on the connection; return that answer."""
        self.close()
        response = type(self)(self.sock, method=self.method)
        response.reader.release()
        response.reader = self.reader
        response.reader.begin_head()
        response.fp = response.reader  # type: ignore[assignment]
        response.begin()
        return response

    def has_body(self) -> bool:
        """Return whether a body may follow the head."""
        return self.status not in STATUSES_WITHOUT_BODY and self.method != "HEAD"

    def is_close_delimited(self) -> bool:
        """Return whether only the end of the connection marks the end of the body."""
        return self.has_body() and not self.chunked and self.declared_length() is None

    def declared_length(self) -> int | None:
        """Return the ``Content-Length`` in bytes, or None without this header."""
        text = self.headers.get("Content-Length")
        return None if text is None else int(text)

    def _check_length(self) -> None:
        lengths = self.headers.get_all("Content-Length", [])
        codings = self.headers.get_all("Transfer-Encoding", [])
        if len(lengths) > 1 or (lengths and not LENGTH.fullmatch(lengths[0])):
            raise MalformedAnswerError(f"invalid Content-Length: {lengths!r}")
        if codings and (lengths or [item.lower() for item in codings] != ["chunked"]):
            raise MalformedAnswerError(f"invalid Transfer-Encoding: {codings!r}")
        if self.has_body() and not lengths and not codings:
            self._check_close_delimited()

    def _check_close_delimited(self) -> None:
        if not self.allows_close_delimited:
            raise MalformedAnswerError("answer declares no length")


class CloseDelimitedResponse(StrictResponse):
    """An answer that may declare no length and end with its connection.

    If the connection is reset instead of closed, the answer is truncated, which is an
    error.
    """

    allows_close_delimited = True


class ClientConnection(http.client.HTTPConnection):
    """A connection whose answers are parsed strictly and within a deadline.

    Attributes
    ----------
    deadline_at : float or None
        When the answers must be complete, in seconds on the monotonic clock. None
        leaves it to the timeout of the socket, which bounds each read only.
    """

    deadline_at: float | None = None

    def __init__(
        self,
        address: Address,
        timeout_s: float,
        answer_class: type[StrictResponse],
    ) -> None:
        super().__init__(address.host, address.port, timeout=timeout_s)
        self._answer_class = answer_class
        self.response_class = self._make_answer  # type: ignore[assignment]

    def _make_answer(
        self, sock: socket.socket, debuglevel: int = 0, method: str | None = None
    ) -> StrictResponse:
        answer = self._answer_class(sock, debuglevel, method)
        if self.deadline_at is not None:
            answer.set_deadline(self.deadline_at)
        return answer


def clean_headers(headers: http.client.HTTPMessage) -> tuple[tuple[str, str], ...]:
    """Return headers with folded lines unfolded (RFC 9112, section 5.2).

    Raises
    ------
    MalformedAnswerError
        If a name or value holds characters that are not allowed.
    """
    cleaned = []
    for name, folded in headers.items():
        value = FOLDED_LINE.sub(" ", folded).strip()
        if not HEADER_NAME.fullmatch(name) or FORBIDDEN_IN_VALUE.search(value):
            raise MalformedAnswerError(f"invalid header {name!r}: {value!r}")
        cleaned.append((name, value))
    return tuple(cleaned)


def open_connection(
    address: str,
    timeout_s: float,
    response_class: type[StrictResponse] = StrictResponse,
) -> ClientConnection:
    """Connect to ``IP:port``.

    ``http.client`` writes head and body separately, so the connection uses
    ``TCP_NODELAY``: a small write must not wait for the acknowledgement of another.

    Parameters
    ----------
    address : str
        Peer as ``IP:port``.
    timeout_s : float
        Timeout for connecting, and at first for each read and write, in seconds.
    response_class : type, default=StrictResponse
        Class that parses the answers.

    Raises
    ------
    OSError
        If the connection could not be opened within ``timeout_s`` seconds.
    """
    connection = ClientConnection(
        parse_address(address), max(timeout_s, 0.001), response_class
    )
    connection.connect()
    _set_options(connection.sock)
    return connection


def _set_options(sock: socket.socket) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS
    )
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


def is_readable(sock: socket.socket | None) -> bool:
    """Return whether bytes, a new connection or the end of the stream can be read."""
    if sock is None or sock.fileno() < 0:
        return False
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(0))


def shut_down(sock: socket.socket | None) -> None:
    """Shut a socket down in both directions, so that threads blocked on it return.

    Does nothing for None or a socket that is not connected.
    """
    if sock is not None:
        try:
            sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
