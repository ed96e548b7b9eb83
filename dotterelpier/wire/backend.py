"""Headers exchanged with backend servers and with relaying entries."""

import math
import re
from collections.abc import Iterable, Mapping
from typing import Any

from dotterelpier.model.call import Attempt, Headers
from dotterelpier.model.evidence import LoadReport, Readiness
from dotterelpier.model.membership import ServiceLoad

ATTEMPT_HEADER = "Dotterelpier-Attempt"
DEADLINE_HEADER = "Dotterelpier-Deadline"
LOAD_HEADER = "Dotterelpier-Load"
OUTCOME_HEADER = "Dotterelpier-Outcome"
ONCE_HEADER = "Dotterelpier-Once"
RELAY_HEADER = "Dotterelpier-Relayed-By"
WAITING_HEADER = "Dotterelpier-Waiting"
RESERVATION_HEADER = "Dotterelpier-Reservation"
TIMEOUT_HEADER = "Dotterelpier-Timeout"
KEY_HEADER = "Idempotency-Key"
NOT_RUN = "not-run"
ONCE = "1"

# Headers that concern one connection only (RFC 9110, section 7.6.1), and those
# that this system sets itself.
NOT_FORWARDED = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "trailers",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
        "host",
        "date",
        "server",
    }
)
OWN_HEADER_PREFIX = "dotterelpier-"

HEADER_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")

# A folded header line, or one that would begin another (RFC 9112, section 5.2).
LINE_BREAK = re.compile(r"[\r\n\0][\r\n\0 \t]*")


def forwardable(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return the end-to-end headers, without those that this system sets."""
    headers = tuple(headers)
    connection_options = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for token in value.split(",")
    }
    return tuple(
        (name, LINE_BREAK.sub(" ", value))
        for name, value in headers
        if HEADER_NAME.fullmatch(name)
        and name.lower() not in NOT_FORWARDED
        and name.lower() not in connection_options
        and not name.lower().startswith(OWN_HEADER_PREFIX)
    )


def wsgi_variable_of(header: str) -> str:
    """Return the variable in which WSGI hands a header of a request over."""
    return "HTTP_" + header.upper().replace("-", "_")


def request_headers(value_by_variable: Mapping[str, Any]) -> Headers:
    """Return the headers of a request that WSGI handed over."""
    headers = [
        (name[5:].replace("_", "-").title(), value)
        for name, value in value_by_variable.items()
        if name.startswith("HTTP_")
    ]
    if value_by_variable.get("CONTENT_TYPE"):
        headers.append(("Content-Type", value_by_variable["CONTENT_TYPE"]))
    return tuple(headers)


def attempt_headers(attempt: Attempt, deadline_unix: float) -> dict[str, str]:
    """Return the headers that accompany an attempt."""
    return {
        ATTEMPT_HEADER: attempt.id,
        DEADLINE_HEADER: f"{deadline_unix:.3f}",
    }


def read_load_report(text: str | None) -> LoadReport | None:
    """Return the load report from a header, None if it is missing or not valid."""
    if text is None:
        return None
    value_by_key = _parse_pairs(text)
    try:
        return LoadReport(
            Readiness(value_by_key.get("state", "ready")),
            value_by_key.get("boot", ""),
            max(0, int(value_by_key.get("in_flight", "0"))),
            _read_uptime(value_by_key.get("uptime")),
            len(LOAD_HEADER) + len(text) + len(": \r\n"),
        )
    except ValueError:
        return None


def _read_uptime(text: str | None) -> float | None:
    if text is None:
        return None
    uptime_s = float(text)
    if not 0 <= uptime_s < math.inf:
        raise ValueError(f"uptime {text!r}")
    return uptime_s


def service_load_text(load: ServiceLoad) -> str:
    """Return the load of a service as the value of a header."""
    return f"free={load.free_slots};slots={load.slots};waiting={load.waiting}"


def read_service_load(text: str | None) -> ServiceLoad | None:
    """Return the load of a service from a header, None if it is not valid."""
    value_by_key = _parse_pairs(text or "")
    try:
        return ServiceLoad(
            int(value_by_key["free"]),
            int(value_by_key["slots"]),
            int(value_by_key["waiting"]),
        )
    except (KeyError, ValueError):
        return None


def _parse_pairs(text: str) -> dict[str, str]:
    pairs = (part.partition("=") for part in text.split(";"))
    return {key.strip(): value.strip() for key, _, value in pairs}
