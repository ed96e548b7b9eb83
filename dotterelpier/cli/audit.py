"""The command that reads the audit trail."""

from collections.abc import Iterable
from datetime import UTC, datetime
from pathlib import Path

from attrs import frozen

from dotterelpier.cli.environment import Environment
from dotterelpier.cli.platform import open_platform
from dotterelpier.exit_status import ExitStatus
from dotterelpier.model.audit import AuditEntry
from dotterelpier.wire.rows import AUDIT_PREFIX, decode_row
from dotterelpier.wire.structure import encode_json


@frozen
class AuditFilter:
    """Which entries of the audit trail are wanted.

    Attributes
    ----------
    since, until : float
        Bounds of the time, in seconds since 1970; ``until`` is not included.
    key : str
        Text that a line of the changes must contain, empty for all entries.
    event : str
        Text that the name of the event must start with.
    """

    since: float = float("-inf")
    until: float = float("inf")
    key: str = ""
    event: str = ""

    def matches(self, entry: AuditEntry) -> bool:
        """Tell whether an entry is wanted."""
        return (
            self.since <= entry.at < self.until
            and entry.event.startswith(self.event)
            and (not self.key or any(self.key in line for line in entry.changes))
        )


def run_audit(
    settings: Path,
    since: float,
    until: float,
    key: str,
    event: str,
    as_json: bool,
    environment: Environment,
) -> ExitStatus:
    """Show the entries that are wanted, the oldest first."""
    audit_filter = AuditFilter(since, until, key, event)
    platform = open_platform(settings, environment)
    for row in platform.scan(AUDIT_PREFIX):
        entry = decode_row(row, AuditEntry)
        if not audit_filter.matches(entry):
            continue
        if as_json:
            environment.show(encode_json(entry).decode())
        else:
            environment.show("\n".join(_lines(entry)))
    return ExitStatus.OK


def _lines(entry: AuditEntry) -> Iterable[str]:
    at = datetime.fromtimestamp(entry.at, UTC).isoformat(timespec="milliseconds")
    parts = [at, entry.event, entry.outcome]
    if entry.revision:
        parts.append(f"revision {entry.revision}")
    if entry.digest:
        parts.append(f"digest {entry.digest[:12]}")
    parts.append(f"by {entry.who}")
    if entry.origin:
        parts.append(f"from {entry.origin}")
    if entry.peer:
        parts.append(f"peer {entry.peer}")
    yield "  ".join(parts)
    for change in entry.changes:
        yield f"    {change}"
