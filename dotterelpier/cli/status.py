"""The command that shows the status of entries."""

import http.client
from collections.abc import Iterable
from pathlib import Path

from dotterelpier.cli.environment import Environment
from dotterelpier.cli.tables import format_flag, format_seconds, format_table
from dotterelpier.clients.http_connection import open_connection
from dotterelpier.clients.platform import make_platform_client
from dotterelpier.errors import (
    PeerUnavailableError,
    PlatformError,
    SettingsError,
    UsageError,
)
from dotterelpier.exit_status import ExitStatus
from dotterelpier.model.membership import Member
from dotterelpier.model.status import EntryStatus
from dotterelpier.settings import Settings, read_settings
from dotterelpier.wire.manifest_toml import is_address
from dotterelpier.wire.rows import MEMBER_PREFIX, decode_row
from dotterelpier.wire.structure import decode_json, encode_json

TIMEOUT_S = 2.0
STATUS_PATH = "/v1/status"


def run_status(
    settings: Path,
    address: str,
    ask_all: bool,
    as_json: bool,
    environment: Environment,
) -> ExitStatus:
    """Show the status of one entry or of all members."""
    addresses = _addresses(settings, address, ask_all, environment)
    answers, failures = _fetch_all(addresses)
    if as_json:
        environment.show(encode_json(answers).decode())
    else:
        environment.show("\n\n".join(_tables(answers)))
    for failure in failures:
        environment.report(f"dotterelpier: {failure}")
    return ExitStatus.ENTRY_UNAVAILABLE if failures else ExitStatus.OK


def _addresses(
    settings: Path, address: str, ask_all: bool, environment: Environment
) -> tuple[str, ...]:
    if address:
        if not is_address(address):
            raise UsageError(f"address: {address!r} is not IP:port", step="status")
        return _fetch_member_addresses(address) if ask_all else (address,)
    checked = read_settings(settings)
    if ask_all:
        return _read_member_addresses(checked, environment)
    if checked.entry is None:
        raise SettingsError("entry: the table is missing, use --all", step="status")
    return (checked.entry.operator_address,)


def _read_member_addresses(
    settings: Settings, environment: Environment
) -> tuple[str, ...]:
    platform = make_platform_client(settings.platform, environment.clock)
    try:
        rows = platform.scan(MEMBER_PREFIX)
        members = [decode_row(row, Member) for row in rows]
        return tuple(sorted(member.operator_address for member in members))
    except PlatformError as error:
        if settings.entry is None:
            raise
        environment.report(f"dotterelpier: {error}; asking the own entry")
        return _fetch_member_addresses(settings.entry.operator_address)


def _fetch_member_addresses(address: str) -> tuple[str, ...]:
    return tuple(sorted(member.operator_address for member in _fetch(address).members))


def _fetch_all(
    addresses: tuple[str, ...],
) -> tuple[list[EntryStatus], list[PeerUnavailableError]]:
    answers, failures = [], []
    for address in addresses:
        try:
            answers.append(_fetch(address))
        except PeerUnavailableError as error:
            failures.append(error)
    return answers, failures


def _fetch(address: str) -> EntryStatus:
    try:
        connection = open_connection(address, TIMEOUT_S)
        try:
            connection.request("GET", STATUS_PATH)
            content = connection.getresponse().read()
        finally:
            connection.close()
        return decode_json(content, EntryStatus)
    except (OSError, ValueError, http.client.HTTPException) as error:
        reason = getattr(error, "strerror", None) or str(error) or repr(error)
        raise PeerUnavailableError(reason, step="status", peer=address) from None


def _tables(answers: list[EntryStatus]) -> Iterable[str]:
    if not answers:
        return
    yield _entries_table(answers)
    yield _members_table(answers)
    yield _backend_servers_table(answers)
    yield _services_table(answers)


def _entries_table(answers: list[EntryStatus]) -> str:
    headings = (
        "ENTRY",
        "ZONE",
        "REVISION",
        "HOMES",
        "LEASE LEFT",
        "PLATFORM",
        "TAKES WORK",
        "STOPPING",
        "CALLS",
    )
    rows = [
        (
            entry.id,
            entry.zone,
            entry.revision,
            len(entry.backend_servers),
            format_seconds(entry.lease_left_s),
            format_flag(entry.platform_reached),
            format_flag(entry.may_take_work),
            format_flag(entry.draining),
            entry.calls_in_flight,
        )
        for entry in answers
    ]
    return format_table(headings, rows)


def _members_table(answers: list[EntryStatus]) -> str:
    headings = ("MEMBER", "ZONE", "SEEN BY", "REVISION", "HEARD", "LEAVING")
    rows = [
        (
            member.id,
            member.zone,
            entry.id,
            member.revision,
            "self" if member.id == entry.id else format_seconds(member.heard_age_s),
            format_flag(member.leaving),
        )
        for entry in answers
        for member in entry.members
    ]
    return format_table(headings, rows)


def _backend_servers_table(answers: list[EntryStatus]) -> str:
    headings = (
        "BACKEND SERVER",
        "HOME",
        "ZONE",
        "STATE",
        "IN FLIGHT",
        "LIMIT",
        "EVIDENCE",
        "NEW WORK",
        "BUDGET SPENT",
    )
    rows = [
        (
            server.id,
            entry.id,
            server.zone,
            "cold" if server.cold else "warm",
            server.in_flight,
            server.limit,
            format_seconds(server.evidence_age_s),
            format_flag(server.allowed),
            f"{server.budget_spent:.0%}",
        )
        for entry in answers
        for server in entry.backend_servers
    ]
    return format_table(headings, sorted(rows))


def _services_table(answers: list[EntryStatus]) -> str:
    headings = ("SERVICE", "ENTRY", "FREE SLOTS", "SLOTS", "WAITING CALLS")
    rows = [
        (name, entry.id, load.free_slots, load.slots, load.waiting)
        for entry in answers
        for name, load in entry.load_by_service.items()
    ]
    return format_table(headings, sorted(rows))
