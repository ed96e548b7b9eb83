"""Headers that the platform's clients and backend servers send and expect."""

import math
from collections.abc import Mapping

from dotterelpier.errors import (
    AnswerLostError,
    AnswerMismatchError,
    RefusedError,
)
from dotterelpier.model.call import Headers
from dotterelpier.model.instance import HealthReport, Instance, LoadFigures
from dotterelpier.model.request import InstanceAnswer, Request
from dotterelpier.wire.backend import forwardable, wsgi_variable_of

# Id of one try of a client; a repeat by the client has another one.
ATTEMPT_HEADER = "X-Dotterelpier-Attempt-Id"
# Milliseconds from the sending of the request, not a time of day.
DEADLINE_HEADER = "X-Dotterelpier-Deadline-Ms"
EXPECTED_INSTANCE_HEADER = "X-Dotterelpier-Expected-Instance"
INSTANCE_HEADER = "X-Dotterelpier-Instance-Id"
SIGNATURE_HEADER = "X-Dotterelpier-Server-Signature"
LOAD_HEADER = "X-Dotterelpier-Server-Load"
COLD_HEADER = "X-Dotterelpier-Cold-Remaining-Ms"
NOT_EXECUTED_HEADER = "X-Dotterelpier-Not-Executed"

STATUS_OK = 200
STATUS_MISDIRECTED = 421
# Statuses by which a client is promised that its request has not run.
NOT_EXECUTED_STATUSES = frozenset({408, STATUS_MISDIRECTED, 429, 503})
# The load header counts work time in hundredths of the usual.
USUAL_WORK_PERCENT = 100

REPLACED_HEADERS = frozenset(
    name.lower() for name in (DEADLINE_HEADER, EXPECTED_INSTANCE_HEADER)
)


class PlatformHeaders:
    """Reads and writes the headers of clients and backend servers."""

    def request_headers(
        self, request: Request, instance: Instance, remaining_s: float
    ) -> dict[str, str]:
        """Return the headers of a request to a backend server."""
        headers = {
            name: value
            for name, value in request.headers
            if name.lower() not in REPLACED_HEADERS
        }
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
        """Return the answer of a backend server.

        Raises
        ------
        AnswerMismatchError
            If the answer belongs to another request.
        RefusedError
            If the backend server states that it did not run the request.
        AnswerLostError
            If the status would promise what the backend server did not state.
        """
        value_by_name = {name.lower(): value for name, value in headers}
        echoed_id = value_by_name.get(ATTEMPT_HEADER.lower())
        if echoed_id is not None and echoed_id != request.id:
            message = f"answer to {echoed_id!r}"
            raise AnswerMismatchError(message, step="backend.answer", peer=instance.id)
        load = read_load(value_by_name.get(LOAD_HEADER.lower()))
        if status == STATUS_MISDIRECTED or NOT_EXECUTED_HEADER.lower() in value_by_name:
            refusal = RefusedError(
                f"refused with status {status}", step="backend.answer", peer=instance.id
            )
            refusal.misdirected = status == STATUS_MISDIRECTED
            refusal.load = load
            raise refusal
        signed = SIGNATURE_HEADER.lower() in value_by_name
        if status in NOT_EXECUTED_STATUSES or (status < 300 and not signed):
            message = f"status {status}, signed: {signed}"
            raise AnswerLostError(message, step="backend.answer", peer=instance.id)
        if echoed_id is None and signed:
            message = "the answer names no request"
            raise AnswerLostError(message, step="backend.answer", peer=instance.id)
        return InstanceAnswer(status, forwardable(headers), body, signed, load)

    def decode_health(self, status: int, headers: Headers) -> HealthReport:
        """Return what a backend server answered to a health check."""
        value_by_name = {name.lower(): value for name, value in headers}
        return HealthReport(
            value_by_name.get(INSTANCE_HEADER.lower(), ""),
            status == STATUS_OK,
            read_load(value_by_name.get(LOAD_HEADER.lower())),
            _milliseconds(value_by_name.get(COLD_HEADER.lower())),
        )

    def attempt_id(self, value_by_variable: Mapping[str, str]) -> str:
        """Return the id that a client gave to its request, empty if it gave none."""
        return value_by_variable.get(wsgi_variable_of(ATTEMPT_HEADER), "")

    def client_timeout_s(self, value_by_variable: Mapping[str, str]) -> float | None:
        """Return how long a client waits, None if it did not tell."""
        text = value_by_variable.get(wsgi_variable_of(DEADLINE_HEADER))
        if text is None:
            return None
        try:
            value = float(text)
        except ValueError:
            return None
        return value / 1000 if 0 < value < math.inf else None


def read_load(text: str | None) -> LoadFigures | None:
    """Return the load from a header, None if it is missing or not valid."""
    if text is None:
        return None
    try:
        figures = [int(part) for part in text.split(",")]
    except ValueError:
        return None
    if len(figures) < 3 or min(figures) < 0 or figures[2] == 0:
        return None
    work_ratio = figures[3] / USUAL_WORK_PERCENT if len(figures) > 3 else 1.0
    return LoadFigures(figures[0], figures[1], figures[2], work_ratio)


def _milliseconds(text: str | None) -> float:
    try:
        value = float(text or 0)
    except ValueError:
        return 0.0
    return value / 1000 if 0 <= value < math.inf else 0.0


def make_platform_headers() -> PlatformHeaders:
    """Return the codec for the headers of the platform."""
    return PlatformHeaders()
