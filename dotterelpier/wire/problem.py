"""Encodes errors as problem details (RFC 9457)."""

import json
from collections.abc import Mapping

from dotterelpier.errors import (
    AnswerAbandonedError,
    AnswerLostError,
    AnswerMismatchError,
    AnswerTimeoutError,
    CallError,
    ClaimUnavailableError,
    ClientLeftError,
    ConfigurationStaleError,
    ConnectFailedError,
    CutOffError,
    DotterelpierError,
    DuplicateCallError,
    InvalidCallError,
    KeyReusedError,
    NoManifestError,
    NoRouteError,
    OverCapError,
    OverloadedError,
    RefusedError,
    RouteFaultyError,
    StoppingError,
    UnknownKeyError,
    UnknownServiceError,
)
from dotterelpier.model.call import Outcome

CONTENT_TYPE = "application/problem+json"
INTERNAL_STATUS = 500

STATUS_BY_ERROR: Mapping[type[DotterelpierError], int] = {
    InvalidCallError: 400,
    UnknownServiceError: 404,
    DuplicateCallError: 409,
    KeyReusedError: 422,
    AnswerLostError: 502,
    AnswerMismatchError: 502,
    ConnectFailedError: 503,
    RefusedError: 503,
    OverloadedError: 503,
    CutOffError: 503,
    StoppingError: 503,
    NoManifestError: 503,
    ClaimUnavailableError: 503,
    AnswerTimeoutError: 504,
    NoRouteError: 404,
    UnknownKeyError: 401,
    OverCapError: 429,
    ConfigurationStaleError: 503,
    RouteFaultyError: 503,
    ClientLeftError: 502,
    AnswerAbandonedError: 504,
}


def problem_status(error: DotterelpierError) -> int:
    """Return the HTTP status for an error, 500 if its class has none."""
    return STATUS_BY_ERROR.get(type(error), INTERNAL_STATUS)


def problem_outcome(error: DotterelpierError) -> Outcome:
    """Return the outcome to report for a call that failed with this error.

    It is ``NOT_RUN`` only for a ``CallError`` that excludes a run, else ``UNKNOWN``.
    """
    if isinstance(error, CallError) and not error.ran:
        return Outcome.NOT_RUN
    return Outcome.UNKNOWN


def problem_body(error: DotterelpierError, status: int | None = None) -> bytes:
    """Return an error as JSON; ``status`` replaces the HTTP status of its class."""
    details = {
        "type": "about:blank",
        "title": error.code.replace("_", " "),
        "status": problem_status(error) if status is None else status,
        "detail": error.message,
        "code": error.code,
        "step": error.step,
        "peer": error.peer,
    }
    return json.dumps(details).encode()
