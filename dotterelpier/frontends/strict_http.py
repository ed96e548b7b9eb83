"""Stricter reading of HTTP than waitress does by itself."""

import re
import time
from typing import Any

from waitress.channel import HTTPChannel
from waitress.parser import HTTPRequestParser, ParsingError
from waitress.task import ErrorTask

from dotterelpier.errors import DotterelpierError, InternalError, InvalidCallError
from dotterelpier.wire.backend import OUTCOME_HEADER
from dotterelpier.wire.problem import CONTENT_TYPE, problem_body, problem_outcome

STEP = "http.parse"
HTTP_VERSIONS = ("1.0", "1.1")
INTERNAL_STATUS = 500

TARGET_PATTERN = re.compile(r"[!-~]+")
HOST_PATTERN = re.compile(r"[A-Za-z0-9.\-_:\[\]]*")
FOLDED_LINE_PATTERN = re.compile(rb"\r\n[ \t]")
TRANSFER_ENCODING_PATTERN = re.compile(
    rb"(?im)^transfer-encoding:[ \t]*(.*?)[ \t]*\r?$"
)


class StrictParser(HTTPRequestParser):
    """Refuses requests that two readers could understand differently."""

    request_uri: str
    arrived_at: float = 0.0

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
            raise ParsingError("Transfer-Encoding is given twice")
        if "CONTENT_LENGTH" in self.headers:
            raise ParsingError("Content-Length and Transfer-Encoding are both given")


class ProblemTask(ErrorTask):
    """Answers a request that was not understood with problem details."""

    def execute(self) -> None:
        """Write the answer and close the connection."""
        request: Any = self.request
        http_error = request.error
        error = _make_error(http_error.code, str(http_error.body))
        body = problem_body(error, http_error.code)
        self.status = f"{http_error.code} {http_error.reason}"
        self.response_headers = [
            ("Content-Type", CONTENT_TYPE),
            (OUTCOME_HEADER, problem_outcome(error).value),
        ]
        self.set_close_on_finish()
        self.content_length = len(body)
        self.write(body)


class StrictChannel(HTTPChannel):
    """A connection whose requests must each arrive whole within the timeout."""

    parser_class = StrictParser
    error_task_class = ProblemTask
    request_started_at = 0.0

    def received(self, data: bytes) -> bool:
        """Take in data without prolonging a request that is arriving already."""
        partial_request, started_at = self.request, self.request_started_at
        processed = super().received(data)
        request: Any = self.request
        if request is None or request is not partial_request:
            started_at = self.last_activity
        self.request_started_at = started_at
        if request is not None:
            self.last_activity = started_at - self._header_timeout_offset_s(request)
        return processed

    def _header_timeout_offset_s(self, request: Any) -> float:
        """Return what a request's head lacks of the time that waitress gives it."""
        header_timeout_s = getattr(self.adj, "header_timeout", None)
        if header_timeout_s is None or request.headers_finished:
            return 0.0
        return float(max(0.0, self.adj.channel_timeout - header_timeout_s))


def _make_error(status: int, message: str) -> DotterelpierError:
    if status == INTERNAL_STATUS:
        return InternalError("the request could not be served", step=STEP)
    return InvalidCallError(message, step=STEP)
