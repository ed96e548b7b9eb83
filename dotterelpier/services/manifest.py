"""Holds the highest manifest revision known to this entry."""

import threading
from collections.abc import Callable

from attrs import define, field, frozen
from loguru import logger

from dotterelpier.errors import (
    DotterelpierError,
    PeerUnavailableError,
    PlatformUnavailableError,
)
from dotterelpier.kernel import Kernel
from dotterelpier.model.manifest import Revision
from dotterelpier.model.membership import Heartbeat, Member
from dotterelpier.protocols import (
    Clock,
    ManifestSource,
    Membership,
    Objects,
    Peers,
    ServiceName,
    Subscription,
    Table,
    TaskKind,
    Tasks,
    Timer,
)
from dotterelpier.wire.manifest_toml import digest, make_revision
from dotterelpier.wire.rows import (
    MANIFEST_KEY,
    ManifestRow,
    decode_row,
    manifest_object,
)


@frozen
class _ReportedRevision:
    """A peer whose heartbeat reported a higher revision."""

    member: Member
    heartbeat: Heartbeat


@define
class HighestManifest:
    """Follows the manifest on the platform and on the peers.

    The revision in force never decreases.
    """

    _clock: Clock
    _table: Table
    _objects: Objects
    _timer: Timer
    _tasks: Tasks
    _peers: Peers
    _membership: Membership
    _poll_s: float
    _revision: Revision | None = None
    _row_version: str = ""
    _listeners: list[Callable[[Revision], None]] = field(factory=list)
    _reported_by_id: dict[str, _ReportedRevision] = field(factory=dict)
    _subscription: Subscription | None = None
    _lock: threading.RLock = field(factory=threading.RLock)

    def start(self) -> None:
        """Start the task that polls for new revisions."""
        self._subscription = self._timer.every(self._poll_s)
        self._membership.subscribe(self._on_heartbeat)
        self._tasks.supervise(TaskKind.CONTROL, self._follow, self._subscription)

    def stop(self) -> None:
        """Stop polling; the revision in force stays."""
        if self._subscription is not None:
            self._subscription.cancel()

    def current(self) -> Revision | None:
        """Return the revision in force, or None before the first."""
        return self._revision

    def subscribe(self, listener: Callable[[Revision], None]) -> None:
        """Call a listener with the current revision and with each later one."""
        with self._lock:
            self._listeners.append(listener)
            if self._revision is not None:
                listener(self._revision)

    def _on_heartbeat(self, member: Member, heartbeat: Heartbeat) -> None:
        if heartbeat.revision <= self._number():
            return
        with self._lock:
            self._reported_by_id[member.id] = _ReportedRevision(member, heartbeat)
        if self._subscription is not None:
            self._subscription.wake()

    def _follow(self, subscription: Subscription) -> None:
        while subscription.wait():
            try:
                self._pull_from_platform()
            except DotterelpierError as error:
                logger.warning(
                    "manifest read failed; retrying", error=str(error), code=error.code
                )
            self._pull_from_peers()

    def _pull_from_peers(self) -> None:
        """Fetch revisions that peers reported, until the highest is in force."""
        with self._lock:
            reported, self._reported_by_id = self._reported_by_id, {}
        by_number = sorted(
            reported.values(), key=lambda item: item.heartbeat.revision, reverse=True
        )
        for item in by_number:
            if item.heartbeat.revision <= self._number():
                return
            try:
                revision = self._peers.fetch_manifest(item.member, self._number())
            except PeerUnavailableError as error:
                logger.warning(
                    "manifest fetch failed; trying the next peer", error=str(error)
                )
                continue
            if revision is not None:
                self._install(revision)

    def _pull_from_platform(self) -> None:
        started_at = self._clock.monotonic()
        row = self._table.read_if_changed(MANIFEST_KEY, self._row_version)
        if row is not None:
            self._pull_object(decode_row(row, ManifestRow))
            self._row_version = row.version
        self._membership.confirm_manifest(started_at)

    def _pull_object(self, accepted: ManifestRow) -> None:
        if accepted.number <= self._number():
            return
        origin = manifest_object(accepted.digest)
        content = self._objects.get(origin)
        if content is None:
            raise PlatformUnavailableError(
                f"object {origin!r} is missing from the object store",
                step="manifest.read",
            )
        text = content.decode(errors="replace")
        if digest(text) != accepted.digest:
            raise PlatformUnavailableError(
                f"object {origin!r} does not match its digest", step="manifest.read"
            )
        self._install(make_revision(accepted.number, accepted.apply_id, text, origin))

    def _install(self, revision: Revision) -> None:
        with self._lock:
            if revision.number <= self._number():
                return
            self._revision = revision
            listeners = tuple(self._listeners)
            for listener in listeners:
                listener(revision)
        self._membership.acknowledge(revision=revision.number)
        logger.info("manifest in force", revision=revision.number)

    def _number(self) -> int:
        revision = self._revision
        return 0 if revision is None else revision.number


def make_manifest_source(kernel: Kernel, poll_s: float) -> ManifestSource:
    """Return the manifest source of this entry, before its first revision."""
    return HighestManifest(
        kernel.find(ServiceName.CLOCK, Clock),
        kernel.find(ServiceName.TABLE, Table),
        kernel.find(ServiceName.OBJECTS, Objects),
        kernel.find(ServiceName.TIMER, Timer),
        kernel.find(ServiceName.TASKS, Tasks),
        kernel.find(ServiceName.PEERS, Peers),
        kernel.find(ServiceName.MEMBERSHIP, Membership),
        poll_s,
    )
