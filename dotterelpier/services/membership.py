"""Lease of this entry, and the members with their liveness."""

import threading
from collections.abc import Callable

from attrs import define, evolve, field
from loguru import logger

from dotterelpier.errors import (
    ConflictError,
    PeerUnavailableError,
    PlatformError,
    TaskPoolFullError,
)
from dotterelpier.kernel import Kernel
from dotterelpier.model.audit import AuditEntry
from dotterelpier.model.membership import Heartbeat, Member, PeerStatus, ServiceLoad
from dotterelpier.model.platform import ABSENT, Write
from dotterelpier.protocols import (
    Audit,
    Clock,
    Membership,
    Peers,
    ServiceName,
    Subscription,
    Table,
    TaskKind,
    Tasks,
    Timer,
    Vms,
)
from dotterelpier.services.heartbeat_tracker import (
    HeartbeatTracker,
    make_heartbeat_tracker,
)
from dotterelpier.services.lease_tracker import NEVER, LeaseTracker, make_lease_tracker
from dotterelpier.services.pruning import RowPruner, make_row_pruner
from dotterelpier.settings import LeaseSettings
from dotterelpier.wire.rows import MEMBER_PREFIX, decode_row, encode_row, member_key

DEFAULT_VM_LIST_LAG_S = 30.0


@define
class LeaseMembership:
    """Renews the lease of this entry, and watches the lease rows of the others."""

    _me: Member
    _lease: LeaseSettings
    _poll_s: float
    _clock: Clock
    _timer: Timer
    _tasks: Tasks
    _table: Table
    _peers: Peers
    _audit: Audit
    _lease_tracker: LeaseTracker
    _heartbeat_tracker: HeartbeatTracker
    _pruner: RowPruner
    _row_version: str = ABSENT
    _lease_start: float = NEVER
    _lease_end: float = NEVER
    _published_known: int = 0
    _manifest_confirmed_at: float = NEVER
    _listeners: list[Callable[[Member, Heartbeat], None]] = field(factory=list)
    _load_source: Callable[[], dict[str, ServiceLoad]] = dict
    _subscriptions: list[Subscription] = field(factory=list)
    _peer_task_ids: set[str] = field(factory=set)
    _lock: threading.RLock = field(factory=threading.RLock)

    def start(self) -> None:
        """Start the tasks that renew the lease and scan the lease rows."""
        renewals = self._subscribe(self._lease.renew_s)
        scans = self._subscribe(self._poll_s)
        self._tasks.supervise(TaskKind.CONTROL, self._keep_lease_alive, renewals)
        self._tasks.supervise(TaskKind.CONTROL, self._watch_members, scans)

    def stop(self) -> None:
        """Stop all tasks and delete the lease row; a failure is only logged."""
        with self._lock:
            subscriptions = tuple(self._subscriptions)
        for subscription in subscriptions:
            subscription.cancel()
        left = self._audit.entry_write(self._event("member.left", self._me.id))
        try:
            self._table.commit([Write(member_key(self._me.id), None), left])
        except PlatformError as error:
            logger.warning(
                "lease row not deleted; leaving it to be pruned",
                error=str(error),
                code=error.code,
            )

    def me(self) -> Member:
        """Return the lease row of this entry, changes not yet written included."""
        return self._me

    def lease_end(self) -> float:
        """Return when the lease expires unless renewed, on the monotonic clock."""
        return self._lease_end

    def lease_start(self) -> float:
        """Return since when the lease has been held without a gap."""
        return self._lease_start

    def live_by_id(self) -> dict[str, Member]:
        """Return the members with a valid lease or a fresh heartbeat, and this one."""
        now = self._clock.monotonic()
        leased_by_id = self._lease_tracker.leased_by_id(now)
        live = {
            member_id: member
            for member_id, member in self._lease_tracker.known_by_id().items()
            if member_id in leased_by_id
            or self._heartbeat_tracker.has_fresh_heartbeat(member_id, now)
        }
        live[self._me.id] = self._me
        return live

    def leased_by_id(self) -> dict[str, Member]:
        """Return the members whose leases, as last scanned, have not lapsed."""
        leased = self._lease_tracker.leased_by_id(self._clock.monotonic())
        if self._me.id in leased:
            leased[self._me.id] = self._me
        return leased

    def known_by_id(self) -> dict[str, Member]:
        """Return all members with a lease row, this one included."""
        return {**self._lease_tracker.known_by_id(), self._me.id: self._me}

    def peers(self) -> tuple[PeerStatus, ...]:
        """Return the last heartbeat of each other live member."""
        return tuple(
            self._heartbeat_tracker.status(member)
            for member_id, member in self.live_by_id().items()
            if member_id != self._me.id
        )

    def has_lapsed(self, member_id: str, since: float) -> bool:
        """Return whether a member's lease has certainly expired or its row is gone."""
        return self._lease_tracker.has_lapsed(member_id, since)

    def platform_reached(self) -> bool:
        """Return whether the platform answered in the last ``contact_s`` seconds."""
        return self._is_fresh(self._table.last_reached_at())

    def may_take_work(self) -> bool:
        """Return whether the manifest revision in force is confirmed as the highest.

        Either the platform confirmed it in the last ``contact_s`` seconds, or a
        majority of the members, this one included, reports no higher revision.
        """
        if self._is_fresh(self._manifest_confirmed_at):
            return True
        known_by_id = self._lease_tracker.known_by_id()
        if not known_by_id:
            return False
        others = known_by_id.keys() - {self._me.id}
        agreeing = self._heartbeat_tracker.count_agreeing(
            others, self._clock.monotonic(), self._me.revision
        )
        return 2 * (agreeing + 1) > max(len(others) + 1, self._published_known)

    def no_takeover_until(self) -> float:
        """Return until when no other entry can take over homes."""
        now = self._clock.monotonic()
        if now - self._table.last_reached_at() < self._lease.contact_s:
            return NEVER
        others = self._lease_tracker.known_by_id().keys() - {self._me.id}
        return self._heartbeat_tracker.no_takeover_until(others, now)

    def record_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Record a heartbeat; the listeners get it if the sender is known."""
        now = self._clock.monotonic()
        member = self._lease_tracker.known_by_id().get(heartbeat.sender_id)
        if member is None:
            self._heartbeat_tracker.record_unknown_sender(heartbeat, now)
        elif member.id != self._me.id:
            self._heartbeat_tracker.record_heartbeat(
                member, heartbeat, now, self._me.revision
            )
            self._notify_listeners(member, heartbeat)

    def subscribe(self, listener: Callable[[Member, Heartbeat], None]) -> None:
        """Call a listener with each heartbeat of a known member."""
        with self._lock:
            self._listeners.append(listener)

    def set_load_source(self, source: Callable[[], dict[str, ServiceLoad]]) -> None:
        """Set the function that returns the loads for each heartbeat of this entry."""
        self._load_source = source

    def acknowledge(self, *, revision: int = 0, assignment: int = 0) -> None:
        """Raise the numbers in force in the lease row; the next renewal writes them."""
        with self._lock:
            self._me = evolve(
                self._me,
                revision=max(revision, self._me.revision),
                assignment=max(assignment, self._me.assignment),
            )

    def confirm_manifest(self, at: float) -> None:
        """Record that no revision above the current one was accepted before ``at``."""
        self._manifest_confirmed_at = max(at, self._manifest_confirmed_at)

    def set_leaving(self) -> None:
        """Mark this entry as leaving, and wake its lease renewal and heartbeats."""
        with self._lock:
            self._me = evolve(self._me, leaving=True)
            subscriptions = tuple(self._subscriptions)
        for subscription in subscriptions:
            subscription.wake()

    def heartbeat(self) -> Heartbeat:
        """Return a heartbeat with the current state of this entry."""
        me = self._me
        return Heartbeat(
            me.id,
            me.revision,
            self.platform_reached(),
            me.leaving,
            self._load_source(),
        )

    def _subscribe(self, interval_s: float) -> Subscription:
        subscription = self._timer.every(interval_s)
        with self._lock:
            self._subscriptions.append(subscription)
        return subscription

    def _is_fresh(self, at: float) -> bool:
        return self._clock.monotonic() - at < self._lease.contact_s

    def _event(self, event: str, member_id: str) -> AuditEntry:
        return AuditEntry(
            self._clock.unix(),
            event,
            self._me.id,
            self._me.caller_address,
            step="membership",
            peer=member_id,
        )

    def _notify_listeners(self, member: Member, heartbeat: Heartbeat) -> None:
        with self._lock:
            listeners = tuple(self._listeners)
        for listener in listeners:
            listener(member, heartbeat)

    def _keep_lease_alive(self, subscription: Subscription) -> None:
        while subscription.wait():
            try:
                self._renew()
            except PlatformError as error:
                logger.warning(
                    "lease renewal failed; retrying", error=str(error), code=error.code
                )

    def _renew(self) -> None:
        started_at = self._clock.monotonic()
        known = len(self.known_by_id())
        with self._lock:
            renewals = self._me.renewals + 1
            self._me = evolve(self._me, renewals=renewals, known=known)
            me = self._me
        # If the reply to a renewal was lost, the row may hold the count of members of
        # that renewal or of the one before.
        self._published_known = max(known, self._published_known)
        try:
            self._write_row(me)
        except ConflictError:
            # An earlier renewal took effect although its reply was lost, or the row
            # was pruned as that of a dead member.
            row = self._table.read(member_key(me.id))
            self._row_version = ABSENT if row is None else row.version
            self._write_row(me)
        self._published_known = known
        ended_at = self._clock.monotonic()
        first = self._lease_start == NEVER
        with self._lock:
            if ended_at > self._lease_end:
                # Other entries may have observed the lease as lapsed before this write.
                self._lease_start = ended_at
            self._lease_end = started_at + me.lease_s
        if first:
            self._audit.record(self._event("member.joined", me.id))

    def _write_row(self, me: Member) -> None:
        write = Write(member_key(me.id), encode_row(me), self._row_version)
        (self._row_version,) = self._table.commit([write])

    def _watch_members(self, subscription: Subscription) -> None:
        while subscription.wait():
            try:
                self._scan_rows()
                self._prune_rows()
            except PlatformError as error:
                logger.warning(
                    "scanning or pruning lease rows failed; retrying",
                    error=str(error),
                    code=error.code,
                )
                self._query_seeds()

    def _scan_rows(self) -> None:
        started_at = self._clock.monotonic()
        rows = [
            (decode_row(row, Member), row.version)
            for row in self._table.scan(MEMBER_PREFIX)
        ]
        ended_at = self._clock.monotonic()
        self._lease_tracker.record_scan(rows, started_at, ended_at)
        self._heartbeat_tracker.retain(self._lease_tracker.known_by_id().keys())
        self._start_peer_tasks()

    def _prune_rows(self) -> None:
        leased_by_id = self.leased_by_id()
        if self._me.id != min(leased_by_id, default=""):
            return
        for member in self._pruner.prune(
            self._lease_tracker.lapsed_leases(), leased_by_id
        ):
            logger.info("member gone", peer=member.id, step="membership")
            self._audit.record(self._event("member.gone", member.id))

    def _query_seeds(self) -> None:
        """Ask the seeds for the members, unless some are known already."""
        if self._lease_tracker.known_by_id():
            return
        for address in self._lease.seeds:
            if address == self._me.peer_address:
                continue
            try:
                members = self._peers.list_members(address)
            except PeerUnavailableError as error:
                logger.debug(
                    "seed unreachable; trying the next one",
                    peer=address,
                    error=str(error),
                )
                continue
            self._lease_tracker.record_reported(members)
        self._start_peer_tasks()

    def _start_peer_tasks(self) -> None:
        for member in self._lease_tracker.known_by_id().values():
            if member.id not in self._peer_task_ids and member.id != self._me.id:
                self._start_peer_task(member)

    def _start_peer_task(self, member: Member) -> None:
        subscription = self._subscribe(self._lease.heartbeat_s)
        self._peer_task_ids.add(member.id)
        try:
            self._tasks.submit(
                TaskKind.PEER, self._run_heartbeats, member, subscription
            )
        except TaskPoolFullError as error:
            logger.error(
                "heartbeat task not started; retrying after the next member scan",
                peer=member.id,
                error=str(error),
            )
            self._end_peer_task(member, subscription)

    def _run_heartbeats(self, member: Member, subscription: Subscription) -> None:
        while subscription.wait():
            if member.id not in self.known_by_id():
                logger.info("peer left", peer=member.id)
                self._end_peer_task(member, subscription)
                return
            try:
                self._exchange_heartbeats(member)
            except PeerUnavailableError as error:
                logger.debug(
                    "heartbeat failed; retrying", peer=member.id, error=str(error)
                )

    def _exchange_heartbeats(self, member: Member) -> None:
        sent_at = self._clock.monotonic()
        reply = self._peers.beat(member, self.heartbeat())
        if reply.sender_id != member.id:
            raise PeerUnavailableError(
                f"another entry, {reply.sender_id}, answers at its address",
                step="peer.beat",
                peer=member.id,
            )
        self._heartbeat_tracker.record_reply(member, reply, sent_at, self._me.revision)
        self._notify_listeners(member, reply)

    def _end_peer_task(self, member: Member, subscription: Subscription) -> None:
        subscription.cancel()
        with self._lock:
            self._subscriptions.remove(subscription)
            self._peer_task_ids.discard(member.id)


def make_membership(
    kernel: Kernel,
    me: Member,
    lease: LeaseSettings,
    poll_s: float,
    vm_list_lag_s: float = DEFAULT_VM_LIST_LAG_S,
) -> Membership:
    """Return the membership service of this entry, before its first lease.

    Parameters
    ----------
    kernel : Kernel
        Holds the services that it uses.
    me : Member
        Lease row of this entry.
    lease : LeaseSettings
        Durations of leases and heartbeats, and the seeds.
    poll_s : float
        Interval of scanning the lease rows, in seconds.
    vm_list_lag_s : float
        How long the platform's list of VMs may lag, in seconds.
    """
    clock = kernel.find(ServiceName.CLOCK, Clock)
    table = kernel.find(ServiceName.TABLE, Table)
    vms = kernel.find(ServiceName.VMS, Vms)
    return LeaseMembership(
        me,
        lease,
        poll_s,
        clock,
        kernel.find(ServiceName.TIMER, Timer),
        kernel.find(ServiceName.TASKS, Tasks),
        table,
        kernel.find(ServiceName.PEERS, Peers),
        kernel.find(ServiceName.AUDIT, Audit),
        make_lease_tracker(lease.margin_s, lease.contact_s),
        make_heartbeat_tracker(lease.contact_s),
        make_row_pruner(me, vm_list_lag_s, clock, table, vms),
    )
