"""Command that explains a request from saved logs."""

import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

from attrs import frozen

from dotterelpier.cli.environment import Environment
from dotterelpier.errors import UsageError
from dotterelpier.exit_status import ExitStatus

# Changes of belief about the same backend servers, this long before a request began and
# after it ended, are shown with it.
CONTEXT_BEFORE_S = 5.0
CONTEXT_AFTER_S = 1.0
FIELDS_OUTSIDE_DETAILS = frozenset({"at", "level", "module", "message", "request"})


@frozen
class LogLine:
    """One line of a log.

    Attributes
    ----------
    at : float
        When it was written, in Unix seconds of its machine.
    source : str
        What stood before the JSON, such as the name of the machine.
    fields : dict
        All fields.
    """

    at: float
    source: str
    fields: dict[str, Any]


def run_explain(
    request_id: str, files: tuple[Path, ...], as_json: bool, environment: Environment
) -> ExitStatus:
    """Show the decisions on a request in their order."""
    lines = sorted(_read(files), key=lambda line: line.at)
    request_lines = [line for line in lines if line.fields.get("request") == request_id]
    if not request_lines:
        environment.report(f"explain: no line about request {request_id!r}")
        return ExitStatus.FAILURE
    sources = {line.source for line in request_lines}
    request_peers = {
        line.fields["peer"] for line in request_lines if line.fields.get("peer")
    }
    since, until = (
        request_lines[0].at - CONTEXT_BEFORE_S,
        request_lines[-1].at + CONTEXT_AFTER_S,
    )
    for line in lines:
        about_peer = (
            "request" not in line.fields and line.fields.get("peer") in request_peers
        )
        in_context = line.source in sources and since <= line.at <= until
        if line in request_lines or (about_peer and in_context):
            environment.show(
                _json(line) if as_json else _row(line, request_lines[0].at)
            )
    return ExitStatus.OK


def _read(files: Iterable[Path]) -> Iterator[LogLine]:
    for file in files:
        try:
            text = file.read_text(encoding="utf-8", errors="replace")
        except OSError as error:
            message = f"{file}: {error.strerror}"
            raise UsageError(message, step="explain") from None
        for raw in text.splitlines():
            line = _parse(raw)
            if line is not None:
                yield line


def _parse(raw: str) -> LogLine | None:
    """Return a line, None if it holds no JSON of ours."""
    prefix, brace, rest = raw.partition("{")
    try:
        fields = json.loads(brace + rest)
        return LogLine(float(fields["at"]), _source(prefix), fields)
    except (ValueError, KeyError, TypeError):
        return None


def _source(prefix: str) -> str:
    words = prefix.split()
    return words[-1] if words else ""


def _row(line: LogLine, first_at: float) -> str:
    details = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in FIELDS_OUTSIDE_DETAILS and value not in ("", None)
    )
    offset_ms = (line.at - first_at) * 1000
    source = f"{line.source} " if line.source else ""
    return f"{offset_ms:+10.1f} ms  {source}{line.fields.get('message')}: {details}"


def _json(line: LogLine) -> str:
    return json.dumps({"source": line.source, **line.fields})
