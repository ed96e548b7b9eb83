"""Stricter parsing of HTTP requests than the default of waitress."""

import io
import re
import threading
import time
from typing import Any

from waitress.channel import HTTPChannel
from waitress.parser import HTTPRequestParser, ParsingError
from waitress.task import ErrorTask

from dotterelpier.errors import (
    DotterelpierError,
    InternalError,
    InvalidCallError,
    OverloadedError,
)
from dotterelpier.frontends.body_budget import BodyMemoryFullError
from dotterelpier.protocols.client_memory import ConnectionAccount
from dotterelpier.wire.backend import OUTCOME_HEADER
from dotterelpier.wire.problem import CONTENT_TYPE, problem_body, problem_outcome

STEP = "http.parse"
HTTP_VERSIONS = ("1.0", "1.1")
INTERNAL_STATUS = 500
UNAVAILABLE_STATUS = 503
# Bodies that arrive now are served within about this time.
RETRY_AFTER_S = "1"
# Counted for each parsed request besides what arrived: its objects, and further copies
# of its headers.
REQUEST_BYTES = 4096
HEADER_COPIES = 2

TARGET_PATTERN = re.compile(r"[!-~]+")
HOST_PATTERN = re.compile(r"[A-Za-z0-9.\-_:\[\]]*")
FOLDED_LINE_PATTERN = re.compile(rb"\r\n[ \t]")
TRANSFER_ENCODING_PATTERN = re.compile(
    rb"(?im)^transfer-encoding:[ \t]*(.*?)[ \t]*\r?$"
)


class StrictParser(HTTPRequestParser):
    """Rejects requests that two HTTP implementations could interpret differently.

    Attributes
    ----------
    account : ConnectionAccount or None
        Account of the connection, in which the bytes of the request are counted.
    arrived_at : float
        When the headers arrived, on the monotonic clock, in seconds.
    """

    request_uri: str
    account: ConnectionAccount | None = None
    arrived_at: float = 0.0
    held_bytes = 0
    counted_bytes = 0

    def received(self, data: bytes) -> int:
        """Parse data; refuse the request if it cannot be held in memory."""
        in_head, in_body = not self.headers_finished, self.body_rcv is not None
        consumed = int(super().received(data))
        if self.error is None and self.body_rcv is not None:
            self._hold_body(consumed if in_body else 0)
        if self.error is None and not self.empty:
            finished = in_head and self.headers_finished
            self._count(consumed, self.header_bytes_received if finished else 0)
        return consumed

    def _hold_body(self, arrived: int) -> None:
        budget = getattr(self.adj, "body_budget", None)
        if budget is None:
            return
        if arrived and budget.try_hold(arrived):
            self.held_bytes += arrived
        elif arrived or not budget.has_room(self.content_length):
            self._refuse("no memory for the body of the request")

    def _count(self, arrived: int, head_bytes: int) -> None:
        """Count bytes that arrived, and what a complete head takes besides."""
        if self.account is None:
            return
        if head_bytes:
            arrived += REQUEST_BYTES + HEADER_COPIES * head_bytes
            if self.account.refuses_requests():
                self._refuse("clients hold too much memory")
                return
        if self.account.try_receive(arrived):
            self.counted_bytes += arrived
        else:
            self._refuse("no memory for the request")

    def _refuse(self, message: str) -> None:
        self.error = BodyMemoryFullError(message)
        self.completed = True

    def get_body_stream(self) -> Any:
        """Return the body as a stream, which shares its bytes with what arrived."""
        stream = super().get_body_stream()
        return io.BytesIO(stream.getvalue()) if self.body_rcv is not None else stream

    def close(self) -> None:
        """Drop the body, and count its bytes as no longer held."""
        super().close()
        if self.held_bytes:
            adjustments: Any = self.adj
            adjustments.body_budget.release(self.held_bytes)
            self.held_bytes = 0
        if self.account is not None and self.counted_bytes:
            self.account.drop_received(self.counted_bytes)
            self.counted_bytes = 0

    def parse_header(self, header_plus: bytes) -> None:
        """Parse the request line and the headers.

        Raises
        ------
        ParsingError
            If they are malformed or ambiguous.
        """
        self.arrived_at = time.monotonic()
        if FOLDED_LINE_PATTERN.search(header_plus):
            raise ParsingError("folded header lines are not allowed")
        super().parse_header(header_plus)
        if self.version not in HTTP_VERSIONS:
            raise ParsingError("version is not HTTP/1.0 or HTTP/1.1")
        if (
            TARGET_PATTERN.fullmatch(self.request_uri) is None
            or "#" in self.request_uri
        ):
            raise ParsingError("target contains characters that are not allowed")
        self._check_host()
        self._check_framing(TRANSFER_ENCODING_PATTERN.findall(header_plus))

    def _check_host(self) -> None:
        host = self.headers.get("HOST")
        if host is None and self.version == "1.1":
            raise ParsingError("Host is missing")
        if host is not None and HOST_PATTERN.fullmatch(host) is None:
            raise ParsingError("Host is not valid or given twice")

    def _check_framing(self, encodings: list[bytes]) -> None:
        if not encodings:
            return
        if self.version == "1.0":
            raise ParsingError("Transfer-Encoding is not allowed in HTTP/1.0")
        if [encoding.lower() for encoding in encodings] != [b"chunked"]:
            raise ParsingError("Transfer-Encoding must be given once, as chunked")
        if "CONTENT_LENGTH" in self.headers:
            raise ParsingError("Content-Length and Transfer-Encoding are both given")


class ProblemTask(ErrorTask):
    """Answers a malformed request, or one whose application failed, with a problem."""

    def execute(self) -> None:
        """Write problem details as the answer and close the connection after it."""
        request: Any = self.request
        http_error = request.error
        error = _make_error(http_error.code, str(http_error.body))
        body = problem_body(error, http_error.code)
        self.status = f"{http_error.code} {http_error.reason}"
        self.response_headers = [
            ("Content-Type", CONTENT_TYPE),
            (OUTCOME_HEADER, problem_outcome(error).value),
        ]
        if http_error.code == UNAVAILABLE_STATUS:
            self.response_headers.append(("Retry-After", RETRY_AFTER_S))
        self.set_close_on_finish()
        self.content_length = len(body)
        self.write(body)


class StrictChannel(HTTPChannel):
    """Connection on which each request must arrive completely within the timeout."""

    parser_class = StrictParser
    error_task_class = ProblemTask
    server: Any
    adj: Any
    requests: list[Any]
    requests_lock: threading.Lock
    request_started_at = 0.0
    # When data last arrived, on the monotonic clock, and what of it was not parsed yet.
    read_at = 0.0
    unparsed = b""

    # Set by the subclass that counts what a connection holds.
    account: Any = None

    def received(self, data: bytes) -> bool:
        """Process data without extending the timeout of a partly received request.

        waitress measures its timeout from the latest read. A client could keep a
        connection open by sending a request in small pieces, so here the timeout of a
        request starts with its first data.
        """
        with self.requests_lock:
            partial_request, started_at = self.request, self.request_started_at
            if data:
                self.read_at = time.monotonic()
            processed = self._parse(self.unparsed + data)
            request: Any = self.request
            if request is None or request is not partial_request:
                started_at = self.last_activity
            self.request_started_at = started_at
            if request is not None:
                self.last_activity = started_at - self._header_timeout_offset_s(request)
        if self.account is not None:
            self.account.set_arriving(request is not None)
        return processed

    def _parse(self, data: bytes) -> bool:
        """Parse requests up to the number that is read ahead; keep the other data.

        Parsed requests take many times the bytes that they arrived in.
        """
        self.unparsed = b""
        if self.will_close or self.close_when_flushed:
            return False
        while data and len(self.requests) <= self.adj.channel_request_lookahead:
            if self.request is None:
                self.request = self._make_parser()
            request: Any = self.request
            consumed = request.received(data)
            request.arrived_at = min(request.arrived_at, self.read_at)
            data = data[consumed:]
            if self._wants_continue(request):
                self.send_continue()
            if request.completed:
                self.sent_continue = False
                self.request = None
                if not request.empty:
                    self.requests.append(request)
                    if len(self.requests) == 1:
                        self.server.add_task(self)
        self.unparsed = data
        return True

    def _make_parser(self) -> Any:
        parser = self.parser_class(self.adj)
        parser.account = self.account
        return parser

    def _wants_continue(self, request: Any) -> bool:
        """Return whether a client waits for permission to send a body, and may."""
        wants = request.expect_continue and request.headers_finished
        return bool(wants and not self.requests and not self.sent_continue)

    def readable(self) -> bool:
        """Return whether to read; what was read before must be parsed first."""
        return not self.unparsed and bool(super().readable())

    def service(self) -> None:
        """Serve a request, then parse what arrived behind it."""
        super().service()
        if self.unparsed:
            self.received(b"")

    def _header_timeout_offset_s(self, request: Any) -> float:
        """Return by how many seconds the start of a request is backdated.

        waitress has a single timeout, the one for idle connections. Backdating makes
        it expire after the header timeout, if that is shorter, while the headers are
        incomplete.
        """
        header_timeout_s = getattr(self.adj, "header_timeout", None)
        if header_timeout_s is None or request.headers_finished:
            return 0.0
        return float(max(0.0, self.adj.channel_timeout - header_timeout_s))


def _make_error(status: int, message: str) -> DotterelpierError:
    if status == INTERNAL_STATUS:
        return InternalError("the request could not be served", step=STEP)
    if status == UNAVAILABLE_STATUS:
        return OverloadedError(message, step=STEP)
    return InvalidCallError(message, step=STEP)
