"""Codec for the HTTP headers of the platform's clients and backend servers."""

import math
import re
from collections.abc import Mapping

from dotterelpier.errors import (
    AnswerLostError,
    AnswerMismatchError,
    RefusedError,
)
from dotterelpier.model.account import ANONYMOUS
from dotterelpier.model.call import Headers
from dotterelpier.model.instance import (
    NO_NOTICE,
    HealthReport,
    Instance,
    InstanceNotice,
    LoadFigures,
)
from dotterelpier.model.request import InstanceAnswer, Request
from dotterelpier.wire.backend import forwardable, wsgi_variable_of

# Id of one attempt of a client; a retry by the client has a new id.
ATTEMPT_HEADER = "X-Dotterelpier-Attempt-Id"
# Milliseconds left when the request is sent, not a time of day.
DEADLINE_HEADER = "X-Dotterelpier-Deadline-Ms"
EXPECTED_INSTANCE_HEADER = "X-Dotterelpier-Expected-Instance"
INSTANCE_HEADER = "X-Dotterelpier-Instance-Id"
SIGNATURE_HEADER = "X-Dotterelpier-Server-Signature"
LOAD_HEADER = "X-Dotterelpier-Server-Load"
# Key of an account, which a client sends.
CREDENTIAL_HEADER = "X-Dotterelpier-Credential"
# Name of the account, which a backend server is told.
ACCOUNT_HEADER = "X-Dotterelpier-Tenant"
COLD_HEADER = "X-Dotterelpier-Cold-Remaining-Ms"
NOT_EXECUTED_HEADER = "X-Dotterelpier-Not-Executed"
LEAVING_HEADER = "server-leaving"
LEAVING = "1"
RETRY_AFTER_HEADER = "retry-after"

STATUS_OK = 200
STATUS_MISDIRECTED = 421
STATUS_UNAVAILABLE = 503
# Statuses from which a client concludes that its request has not run.
NOT_EXECUTED_STATUSES = frozenset({408, STATUS_MISDIRECTED, 429, 503})
# The load header gives the work time in percent of the usual work time.
USUAL_WORK_PERCENT = 100

# Figures above these are not valid. Waits of the operating system are limited too.
MAX_LOAD_FIGURE = 1 << 31
SECONDS = re.compile(r"[0-9]{1,400}(\.[0-9]{1,400})?")
MAX_DURATION_MS = 30 * 24 * 3_600_000

# Headers of a client that the entry replaces with its own.
REPLACED_HEADERS = frozenset(
    name.lower() for name in (DEADLINE_HEADER, EXPECTED_INSTANCE_HEADER)
)
# Headers that no backend server gets from a client if the configuration has accounts.
ACCOUNT_HEADERS = frozenset(
    name.lower() for name in (CREDENTIAL_HEADER, ACCOUNT_HEADER)
)


class PlatformHeaders:
    """Encodes and decodes the headers of clients and backend servers.

    Holds no state, so that any thread may use it.
    """

    def request_headers(
        self, request: Request, instance: Instance, remaining_s: float
    ) -> dict[str, str]:
        """Return the client's headers with deadline and expected instance replaced.

        If the configuration has accounts, the name of the account replaces the key.

        Parameters
        ----------
        request : Request
            Request of the client.
        instance : Instance
            Backend server that the request is sent to.
        remaining_s : float
            Time until the deadline of the request, in seconds.
        """
        replaced = REPLACED_HEADERS
        if request.account is not None:
            replaced |= ACCOUNT_HEADERS
        headers = {
            name: request.credential if _is_credential(name) else value
            for name, value in request.headers
            if name.lower() not in replaced
        }
        if request.account is not None and request.account is not ANONYMOUS:
            headers[ACCOUNT_HEADER] = request.account.name
        headers[DEADLINE_HEADER] = str(max(1, math.floor(remaining_s * 1000)))
        headers[EXPECTED_INSTANCE_HEADER] = instance.id
        return headers

    def decode_answer(
        self,
        status: int,
        headers: Headers,
        body: bytes,
        request: Request,
        instance: Instance,
    ) -> InstanceAnswer:
        """Return the answer of a backend server, with its end-to-end headers.

        Raises
        ------
        AnswerMismatchError
            If the answer states the attempt id of another request.
        RefusedError
            If the backend server states that it did not run the request; the error
            holds its load.
        AnswerLostError
            If the answer has no attempt id, if a client would conclude from the status
            that the request has not run, although the backend server did not state it,
            or if a success is not signed.
        """
        value_by_name = {name.lower(): value for name, value in headers}
        echoed_id = value_by_name.get(ATTEMPT_HEADER.lower())
        if echoed_id is not None and echoed_id != request.id:
            message = f"answer belongs to request {echoed_id!r}"
            raise AnswerMismatchError(message, step="backend.answer", peer=instance.id)
        if echoed_id is None:
            # It may be a late copy of the answer to an earlier request.
            message = f"answer with status {status} has no attempt id"
            raise AnswerLostError(message, step="backend.answer", peer=instance.id)
        load = read_load(value_by_name.get(LOAD_HEADER.lower()))
        notice = read_notice(status, headers)
        refused = (
            status == STATUS_MISDIRECTED or NOT_EXECUTED_HEADER.lower() in value_by_name
        )
        if refused:
            refusal = RefusedError(
                f"backend server refused the request with status {status}",
                step="backend.answer",
                peer=instance.id,
            )
            refusal.misdirected = status == STATUS_MISDIRECTED
            refusal.load = load
            refusal.notice = notice
            raise refusal
        signed = SIGNATURE_HEADER.lower() in value_by_name
        if status in NOT_EXECUTED_STATUSES or (status < 300 and not signed):
            message = (
                f"answer with status {status} cannot be forwarded, signed: {signed}"
            )
            lost = AnswerLostError(message, step="backend.answer", peer=instance.id)
            lost.notice = notice
            raise lost
        forwarded = forwardable(headers)
        return InstanceAnswer(status, forwarded, body, signed, load, notice=notice)

    def decode_health(self, status: int, headers: Headers) -> HealthReport:
        """Return the health report of an answer; only status 200 counts as healthy."""
        value_by_name = {name.lower(): value for name, value in headers}
        return HealthReport(
            value_by_name.get(INSTANCE_HEADER.lower(), ""),
            status == STATUS_OK,
            read_load(value_by_name.get(LOAD_HEADER.lower())),
            _milliseconds(value_by_name.get(COLD_HEADER.lower())),
            read_notice(status, headers),
        )

    def attempt_id(self, value_by_variable: Mapping[str, str]) -> str:
        """Return the attempt id that a client sent, empty if it sent none."""
        return value_by_variable.get(wsgi_variable_of(ATTEMPT_HEADER), "")

    def credential(self, value_by_variable: Mapping[str, str]) -> str:
        """Return the key that a client sent, empty if it sent none."""
        return value_by_variable.get(wsgi_variable_of(CREDENTIAL_HEADER), "")

    def without_credential(self, headers: Headers) -> Headers:
        """Return headers with an empty value in place of the key."""
        return tuple(
            (name, "" if _is_credential(name) else value) for name, value in headers
        )

    def client_timeout_s(self, value_by_variable: Mapping[str, str]) -> float | None:
        """Return a client's timeout in seconds, None if it is missing or not valid."""
        text = value_by_variable.get(wsgi_variable_of(DEADLINE_HEADER))
        if text is None:
            return None
        try:
            value = float(text)
        except ValueError:
            return None
        return min(value, MAX_DURATION_MS) / 1000 if 0 < value < math.inf else None


def _is_credential(name: str) -> bool:
    return name.lower() == CREDENTIAL_HEADER.lower()


def read_notice(status: int, headers: Headers) -> InstanceNotice:
    """Return what a backend server asks for in an answer.

    A misdirected request was answered by another server than the one meant, so such an
    answer asks for nothing. Of several ``Retry-After`` headers the longest time counts;
    dates and other values that are not a number of seconds do not, as the clocks of
    servers differ.
    """
    if status == STATUS_MISDIRECTED:
        return NO_NOTICE
    leaving, retry_after_s = False, 0.0
    for name, value in headers:
        lower = name.lower()
        if lower == LEAVING_HEADER:
            leaving = leaving or value == LEAVING
        elif lower == RETRY_AFTER_HEADER and status == STATUS_UNAVAILABLE:
            retry_after_s = max(retry_after_s, _seconds(value))
    if not leaving and not retry_after_s:
        return NO_NOTICE
    return InstanceNotice(leaving, retry_after_s)


def _seconds(text: str) -> float:
    """Return a number of seconds from a header, 0 if it is none; limit it."""
    if not SECONDS.fullmatch(text):
        return 0.0
    return min(float(text), MAX_DURATION_MS / 1000)


def read_load(text: str | None) -> LoadFigures | None:
    """Return the load from a header, None if it is missing or not valid.

    The header lists requests running, requests waiting and slots, and optionally the
    work time in percent of the usual work time.
    """
    if text is None:
        return None
    try:
        figures = [int(part) for part in text.split(",")]
    except ValueError:
        return None
    if len(figures) < 3 or figures[2] == 0:
        return None
    if min(figures) < 0 or max(figures) > MAX_LOAD_FIGURE:
        return None
    work_ratio = figures[3] / USUAL_WORK_PERCENT if len(figures) > 3 else 1.0
    return LoadFigures(figures[0], figures[1], figures[2], work_ratio)


def _milliseconds(text: str | None) -> float:
    try:
        value = float(text or 0)
    except ValueError:
        return 0.0
    return value / 1000 if 0 <= value <= MAX_DURATION_MS else 0.0


def make_platform_headers() -> PlatformHeaders:
    """Return the codec for the platform's headers."""
    return PlatformHeaders()
