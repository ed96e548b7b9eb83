"""Keeps the highest manifest revision that this entry has seen."""

import threading
from collections.abc import Callable

from attrs import define, field
from loguru import logger

from dotterelpier.errors import DotterelpierError, PeerUnavailableError
from dotterelpier.kernel import Kernel
from dotterelpier.model.manifest import Revision
from dotterelpier.model.membership import Heartbeat, Member
from dotterelpier.protocols import (
    ManifestKeeper,
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
from dotterelpier.wire.manifest_toml import make_revision
from dotterelpier.wire.rows import (
    MANIFEST_KEY,
    ManifestRow,
    decode_row,
    manifest_object,
)


@define
class HighestManifest:
    """Reads revisions from the platform and from peers and never goes back."""

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
    _heard: dict[str, Member] = field(factory=dict)
    _subscription: Subscription | None = None
    _lock: threading.RLock = field(factory=threading.RLock)

    def start(self) -> None:
        """Start the task that looks for new revisions."""
        self._subscription = self._timer.every(self._poll_s)
        self._membership.subscribe(self._hear_of)
        self._tasks.submit(TaskKind.CONTROL, self._follow, self._subscription)

    def stop(self) -> None:
        """End the task."""
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

    def _hear_of(self, member: Member, heartbeat: Heartbeat) -> None:
        if heartbeat.revision <= self._number():
            return
        with self._lock:
            self._heard[member.id] = member
        if self._subscription is not None:
            self._subscription.wake()

    def _follow(self, subscription: Subscription) -> None:
        while subscription.wait():
            self._pull_from_peers()
            try:
                self._pull_from_platform()
            except DotterelpierError as error:
                logger.warning("manifest not read", error=str(error), code=error.code)

    def _pull_from_peers(self) -> None:
        with self._lock:
            members, self._heard = tuple(self._heard.values()), {}
        for member in members:
            try:
                revision = self._peers.fetch_manifest(member, self._number())
            except PeerUnavailableError as error:
                logger.warning("manifest not fetched", error=str(error))
                continue
            if revision is not None:
                self._install(revision)

    def _pull_from_platform(self) -> None:
        row = self._table.read_if_changed(MANIFEST_KEY, self._row_version)
        if row is None:
            return
        accepted = decode_row(row, ManifestRow)
        if accepted.number > self._number():
            content = self._objects.get(manifest_object(accepted.digest))
            if content is None:
                logger.error("manifest object is missing", digest=accepted.digest)
                return
            origin = manifest_object(accepted.digest)
            self._install(
                make_revision(
                    accepted.number, accepted.apply_id, content.decode(), origin
                )
            )
        self._row_version = row.version

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


def make_manifest_keeper(kernel: Kernel, poll_s: float) -> ManifestKeeper:
    """Return the keeper of the manifest."""
    return HighestManifest(
        kernel.find(ServiceName.TABLE, Table),
        kernel.find(ServiceName.OBJECTS, Objects),
        kernel.find(ServiceName.TIMER, Timer),
        kernel.find(ServiceName.TASKS, Tasks),
        kernel.find(ServiceName.PEERS, Peers),
        kernel.find(ServiceName.MEMBERSHIP, Membership),
        poll_s,
    )
