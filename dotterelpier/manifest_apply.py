"""Applies manifests: one transaction, then acknowledgements by the entries."""

import threading
from collections.abc import Callable

from attrs import evolve, frozen

from dotterelpier.errors import ConflictError, PlatformUnavailableError
from dotterelpier.model.audit import AuditEntry
from dotterelpier.model.manifest import Revision
from dotterelpier.model.membership import Member
from dotterelpier.model.platform import ABSENT, Row, Write
from dotterelpier.protocols import Clock, Objects, Table
from dotterelpier.services.audit import entry_write
from dotterelpier.wire.manifest_toml import digest, make_revision
from dotterelpier.wire.rows import (
    MANIFEST_KEY,
    MEMBER_PREFIX,
    ManifestRow,
    decode_row,
    encode_row,
    manifest_object,
)

ACKNOWLEDGEMENT_POLL_S = 0.25


@frozen
class Applicant:
    """Who applies a manifest.

    Attributes
    ----------
    who : str
        User.
    origin : str
        Host.
    apply_id : str
        Unique id of this apply, by which a lost reply is settled.
    """

    who: str
    origin: str
    apply_id: str


@frozen
class AppliedManifest:
    """A manifest that was written, and who acknowledged it.

    Attributes
    ----------
    number : int
        Revision number.
    digest : str
        SHA-256 of the text.
    acknowledged, members : int
        Members that have it in force, and all members.
    """

    number: int
    digest: str
    acknowledged: int = 0
    members: int = 0

    @property
    def in_force(self) -> bool:
        """Tell whether a majority of members acknowledged it."""
        return self.members > 0 and 2 * self.acknowledged > self.members


def apply_manifest(
    table: Table, objects: Objects, clock: Clock, text: str, applicant: Applicant
) -> AppliedManifest:
    """Write a checked manifest as the next revision.

    Raises
    ------
    ConflictError
        If another revision was accepted at the same moment.
    PlatformUnavailableError
        If the platform did not answer.
    """
    row = table.read(MANIFEST_KEY)
    before = None if row is None else decode_row(row, ManifestRow)
    accepted = ManifestRow(
        1 if before is None else before.number + 1, digest(text), applicant.apply_id
    )
    if before is not None and before.digest == accepted.digest:
        return AppliedManifest(before.number, before.digest)
    objects.put(manifest_object(accepted.digest), text.encode())
    writes = (
        Write(MANIFEST_KEY, encode_row(accepted), _version(row)),
        entry_write(_audit_entry(clock, applicant, accepted, "accepted")),
    )
    try:
        table.commit(writes)
    except ConflictError:
        _record_conflict(table, clock, applicant, accepted)
        raise
    except PlatformUnavailableError:
        if not _took_effect(table, applicant):
            raise
    return AppliedManifest(accepted.number, accepted.digest)


def wait_for_acknowledgements(
    table: Table,
    clock: Clock,
    applied: AppliedManifest,
    timeout_s: float,
    progress: Callable[[AppliedManifest], None],
) -> AppliedManifest:
    """Wait until a majority of members acknowledged a revision, or for a time.

    Parameters
    ----------
    table : Table
        Holds the lease rows.
    clock : Clock
        Source of time.
    applied : AppliedManifest
        The revision.
    timeout_s : float
        Longest wait, in seconds.
    progress : callable
        Called whenever the count changes.
    """
    give_up_at = clock.monotonic() + timeout_s
    pause = threading.Event()
    while True:
        counted = _count(table, applied)
        if counted != applied:
            progress(counted)
        applied = counted
        if applied.in_force or clock.monotonic() >= give_up_at:
            return applied
        pause.wait(ACKNOWLEDGEMENT_POLL_S)


def current_manifest(table: Table, objects: Objects) -> Revision | None:
    """Return the accepted revision, or None before the first.

    Raises
    ------
    PlatformUnavailableError
        If the platform did not answer or lost the text.
    """
    row = table.read(MANIFEST_KEY)
    if row is None:
        return None
    accepted = decode_row(row, ManifestRow)
    content = objects.get(manifest_object(accepted.digest))
    if content is None:
        raise PlatformUnavailableError(
            "the text of the manifest is missing", step="manifest.read"
        )
    return make_revision(
        accepted.number, accepted.apply_id, content.decode(), MANIFEST_KEY
    )


def _version(row: Row | None) -> str:
    return ABSENT if row is None else row.version


def _took_effect(table: Table, applicant: Applicant) -> bool:
    row = table.read(MANIFEST_KEY)
    return (
        row is not None and decode_row(row, ManifestRow).apply_id == applicant.apply_id
    )


def _record_conflict(
    table: Table, clock: Clock, applicant: Applicant, accepted: ManifestRow
) -> None:
    table.commit([entry_write(_audit_entry(clock, applicant, accepted, "conflict"))])


def _audit_entry(
    clock: Clock, applicant: Applicant, accepted: ManifestRow, outcome: str
) -> AuditEntry:
    return AuditEntry(
        clock.unix(),
        "manifest.apply",
        applicant.who,
        applicant.origin,
        outcome,
        accepted.number,
        accepted.digest,
        "manifest.apply",
    )


def _count(table: Table, applied: AppliedManifest) -> AppliedManifest:
    members = [decode_row(row, Member) for row in table.scan(MEMBER_PREFIX)]
    acknowledged = sum(member.revision >= applied.number for member in members)
    return evolve(applied, acknowledged=acknowledged, members=len(members))
