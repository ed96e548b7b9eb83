"""HTTP connections without delayed small writes and without guessed lengths."""

import http.client
import re
import select
import socket
from typing import Any

from attrs import define

# A connection whose other end is gone without a word fails after about these times.
UNACKNOWLEDGED_TIMEOUT_MS = 2000
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2

LENGTH = re.compile(r"[0-9]{1,18}")
HEADER_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
FORBIDDEN_IN_VALUE = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
FOLDED_LINE = re.compile(r"\r?\n[ \t]+")
STATUSES_WITHOUT_BODY = frozenset({204, 304})
FIRST_FINAL_STATUS = 200


@define
class Address:
    """Host and port of a peer."""

    host: str
    port: int


def parse_address(text: str) -> Address:
    """Return ``IP:port`` as host and port."""
    host, _, port = text.rpartition(":")
    return Address(host.strip("[]"), int(port))


class MalformedAnswerError(http.client.HTTPException):
    """The end of an answer cannot be known for certain."""


@define
class AnswerReader:
    """Reads an answer; a head that ends early is an error.

    ``http.client`` closes its reader as soon as a body ends; this one stays open to
    tell whether more bytes came than belong to the answer.
    """

    _stream: Any
    in_head: bool = True

    def readline(self, limit: int = -1) -> bytes:
        """Return a line."""
        line: bytes = self._stream.readline(limit)
        if self.in_head and not line.endswith(b"\n") and len(line) != limit:
            raise http.client.RemoteDisconnected("answer ended within its head")
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
        """Return bytes that came already without taking them."""
        content: bytes = self._stream.peek(1)
        return content

    def flush(self) -> None:
        """Do nothing; the reader writes nothing."""

    def close(self) -> None:
        """Do nothing; ``release`` closes."""

    def release(self) -> None:
        """Close the reader."""
        self._stream.close()


class StrictResponse(http.client.HTTPResponse):
    """An answer whose length is declared beyond doubt."""

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

    def begin(self) -> None:
        """Read the head.

        Raises
        ------
        HTTPException
            If the head is malformed or leaves the length of the body open.
        """
        super().begin()
        self.reader.in_head = False
        if self.status < FIRST_FINAL_STATUS:
            raise MalformedAnswerError(f"interim status {self.status}")
        if self.headers.defects:
            raise MalformedAnswerError(f"malformed head: {self.headers.defects[0]!r}")
        self._check_length()

    def read_next(self) -> "StrictResponse":
        """Return the answer that follows this one on the connection, once read."""
        self.close()
        response = type(self)(self.sock, method=self.method)
        response.reader.release()
        response.reader = self.reader
        response.reader.in_head = True
        response.fp = response.reader  # type: ignore[assignment]
        response.begin()
        return response

    def has_body(self) -> bool:
        """Tell whether a body may follow the head."""
        return self.status not in STATUSES_WITHOUT_BODY and self.method != "HEAD"

    def declared_length(self) -> int | None:
        """Return the declared length in bytes, None if there is none."""
        text = self.headers.get("Content-Length")
        return None if text is None else int(text)

    def _check_length(self) -> None:
        lengths = self.headers.get_all("Content-Length", [])
        codings = self.headers.get_all("Transfer-Encoding", [])
        if len(lengths) > 1 or (lengths and not LENGTH.fullmatch(lengths[0])):
            raise MalformedAnswerError(f"Content-Length: {lengths!r}")
        if codings and (lengths or [item.lower() for item in codings] != ["chunked"]):
            raise MalformedAnswerError(f"Transfer-Encoding: {codings!r}")
        if self.has_body() and not lengths and not codings:
            self._check_close_delimited()

    def _check_close_delimited(self) -> None:
        if not self.allows_close_delimited:
            raise MalformedAnswerError("the answer declares no length")


class CloseDelimitedResponse(StrictResponse):
    """An answer that may declare no length and end with its connection.

    A connection that is reset, not closed, cuts such an answer short and is an error.
    """

    allows_close_delimited = True


def clean_headers(headers: http.client.HTTPMessage) -> tuple[tuple[str, str], ...]:
    """Return headers with folded lines joined (RFC 9112, section 5.2).

    Raises
    ------
    MalformedAnswerError
        If a name or value holds characters that are not allowed.
    """
    cleaned = []
    for name, folded in headers.items():
        value = FOLDED_LINE.sub(" ", folded).strip()
        if not HEADER_NAME.fullmatch(name) or FORBIDDEN_IN_VALUE.search(value):
            raise MalformedAnswerError(f"header {name!r}: {value!r}")
        cleaned.append((name, value))
    return tuple(cleaned)


def open_connection(
    address: str,
    timeout_s: float,
    response_class: type[StrictResponse] = StrictResponse,
) -> http.client.HTTPConnection:
    """Connect to ``IP:port``.

    ``http.client`` writes head and body apart, so the connection must not wait for
    acknowledgements between small writes.

    Raises
    ------
    OSError
        If the connection could not be opened within ``timeout_s`` seconds.
    """
    parsed = parse_address(address)
    connection = http.client.HTTPConnection(
        parsed.host, parsed.port, timeout=max(timeout_s, 0.001)
    )
    connection.response_class = response_class
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
    """Tell whether bytes, a new connection or the end of the stream wait to be read."""
    if sock is None or sock.fileno() < 0:
        return False
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(0))


def shut_down(sock: socket.socket | None) -> None:
    """Break a connection, so that whoever waits for it stops waiting."""
    if sock is not None:
        try:
            sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
