"""Applies manifests: one transaction, then acknowledgements by the entries."""

from collections.abc import Callable, Collection, Iterator, Sequence
from contextlib import contextmanager

from attrs import evolve, frozen
from loguru import logger

from dotterelpier.errors import (
    ConflictError,
    ManifestError,
    PlatformError,
    PlatformUnavailableError,
)
from dotterelpier.kernel import make_kernel
from dotterelpier.manifest_changes import manifest_changes
from dotterelpier.model.audit import AuditEntry
from dotterelpier.model.manifest import Manifest, Revision
from dotterelpier.model.membership import Member
from dotterelpier.model.platform import ABSENT, Row, Write
from dotterelpier.protocols import Clock, Objects, ServiceName, Subscription, Table
from dotterelpier.services.audit import entry_write
from dotterelpier.services.tasks import make_tasks
from dotterelpier.services.timer import make_timer
from dotterelpier.settings import LimitSettings
from dotterelpier.wire.manifest_toml import digest, make_revision, read_manifest
from dotterelpier.wire.rows import (
    MANIFEST_KEY,
    MEMBER_PREFIX,
    ManifestRow,
    decode_row,
    encode_row,
    manifest_object,
)

ACKNOWLEDGEMENT_POLL_S = 0.25
COMMIT_ATTEMPTS = 3
STEP = "manifest.apply"


@frozen
class ApplyContext:
    """Who applies a manifest.

    Attributes
    ----------
    who : str
        User.
    origin : str
        Host.
    apply_id : str
        Unique id of this apply.
    source : str
        File from which the manifest came, for errors.
    """

    who: str
    origin: str
    apply_id: str
    source: str = MANIFEST_KEY


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
    behind_is_minority : bool
        Whether the members that have not acknowledged it are too few to go on with
        an older revision among themselves, whatever members they know.
    """

    number: int
    digest: str
    acknowledged: int = 0
    members: int = 0
    behind_is_minority: bool = False

    @property
    def in_force(self) -> bool:
        """Tell whether no entry can go on with an older revision."""
        return self.behind_is_minority and 2 * self.acknowledged > self.members


def apply_manifest(
    table: Table, objects: Objects, clock: Clock, text: str, apply_context: ApplyContext
) -> AppliedManifest:
    """Check a manifest and write it as the next revision.

    Each attempt is audited with its outcome; one that changes nothing is not.

    Raises
    ------
    ManifestError
        If the manifest is not valid; nothing was written.
    ConflictError
        If another revision was accepted at the same moment; nothing was written.
    PlatformUnavailableError
        If the platform did not answer. Whether the manifest was accepted is then
        open; applying it again does no harm.
    """
    event = AuditEntry(
        clock.unix(),
        STEP,
        apply_context.who,
        apply_context.origin,
        "accepted",
        step=STEP,
    )
    try:
        after = read_manifest(text, apply_context.source)
    except ManifestError as error:
        refused = evolve(event, digest=digest(text), changes=error.faults)
        _record(table, evolve(refused, outcome="refused"))
        raise
    row = table.read(MANIFEST_KEY)
    accepted = _next_row(row, text, apply_context)
    if row is not None and decode_row(row, ManifestRow).digest == accepted.digest:
        return AppliedManifest(accepted.number - 1, accepted.digest)
    before = _manifest_of(row, objects)
    objects.put(manifest_object(accepted.digest), text.encode())
    event = evolve(
        event,
        revision=accepted.number,
        digest=accepted.digest,
        changes=manifest_changes(before, after),
    )
    writes = [
        entry_write(event),
        Write(MANIFEST_KEY, encode_row(accepted), _version(row)),
        *(entry_write(item) for item in _zone_events(event, before, after)),
    ]
    try:
        _commit(table, writes)
    except ConflictError:
        _record(table, evolve(event, outcome="conflict"))
        raise
    return AppliedManifest(accepted.number, accepted.digest)


def count_acknowledgements(
    members: Collection[Member], applied: AppliedManifest
) -> AppliedManifest:
    """Return a revision with the acknowledgements in the lease rows.

    A lapsed lease does not take a member out of the count: it may serve on.
    """
    behind = [member for member in members if member.revision < applied.number]
    return evolve(
        applied,
        acknowledged=len(members) - len(behind),
        members=len(members),
        behind_is_minority=all(2 * len(behind) < member.known for member in behind),
    )


def wait_for_acknowledgements(
    table: Table,
    clock: Clock,
    applied: AppliedManifest,
    timeout_s: float,
    progress: Callable[[AppliedManifest], None],
) -> AppliedManifest:
    """Wait until a revision is in force, or for a time.

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

    Returns
    -------
    AppliedManifest
        The revision with the last count.
    """
    deadline_at = clock.monotonic() + timeout_s
    with _poll_timer(clock) as subscription:
        while not applied.in_force and subscription.wait():
            counted = _count(table, applied)
            if counted != applied:
                progress(counted)
            applied = counted
            if clock.monotonic() >= deadline_at:
                break
    return applied


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


def _next_row(row: Row | None, text: str, apply_context: ApplyContext) -> ManifestRow:
    number = 0 if row is None else decode_row(row, ManifestRow).number
    return ManifestRow(number + 1, digest(text), apply_context.apply_id)


def _manifest_of(row: Row | None, objects: Objects) -> Manifest | None:
    if row is None:
        return None
    origin = manifest_object(decode_row(row, ManifestRow).digest)
    content = objects.get(origin)
    try:
        return None if content is None else read_manifest(content.decode(), origin)
    except (ManifestError, UnicodeDecodeError) as error:
        logger.warning("manifest before is not readable", error=str(error), step=STEP)
        return None


def _commit(table: Table, writes: Sequence[Write]) -> None:
    """Commit a transaction whose first write is its audit entry.

    A lost reply is settled by trying again: if the first try took effect, the second
    conflicts with it and the audit entry is there.
    """
    for attempt in range(1, COMMIT_ATTEMPTS + 1):
        try:
            table.commit(writes)
            return
        except ConflictError:
            if table.read(writes[0].key) is None:
                raise
            return
        except PlatformUnavailableError as error:
            if attempt == COMMIT_ATTEMPTS:
                raise
            logger.warning("commit repeated", error=str(error), step=STEP)


def _zone_events(
    event: AuditEntry, before: Manifest | None, after: Manifest
) -> Iterator[AuditEntry]:
    if before is None:
        return
    for zone in after.zones:
        old = before.zone_by_name.get(zone.name)
        if old is not None and old.state is not zone.state:
            yield evolve(
                event, event=f"zone.{zone.state.value}", peer=zone.name, changes=()
            )


def _record(table: Table, entry: AuditEntry) -> None:
    try:
        table.commit([entry_write(entry)])
    except PlatformError as error:
        logger.warning("audit entry not written", error=str(error), step=STEP)


def _count(table: Table, applied: AppliedManifest) -> AppliedManifest:
    try:
        rows = table.scan(MEMBER_PREFIX)
        members = [decode_row(row, Member) for row in rows]
    except PlatformUnavailableError as error:
        logger.warning("members not read", error=str(error), step=STEP)
        return applied
    return count_acknowledgements(members, applied)


@contextmanager
def _poll_timer(clock: Clock) -> Iterator[Subscription]:
    kernel = make_kernel()
    kernel.register(ServiceName.CLOCK, clock)
    kernel.register(ServiceName.TASKS, make_tasks(LimitSettings()))
    timer = make_timer(kernel)
    kernel.register(ServiceName.TIMER, timer, (ServiceName.TASKS,))
    kernel.start()
    try:
        yield timer.every(ACKNOWLEDGEMENT_POLL_S)
    finally:
        kernel.stop()
