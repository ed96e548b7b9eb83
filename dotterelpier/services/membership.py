"""Own lease, and the members with their liveness."""

import threading
from collections.abc import Callable

from attrs import define, evolve, field, frozen
from loguru import logger

from dotterelpier.errors import (
    ConflictError,
    PeerUnavailableError,
    PlatformError,
    TaskPoolFullError,
)
from dotterelpier.kernel import Kernel
from dotterelpier.model.membership import Heartbeat, Member, PeerStatus, ServiceLoad
from dotterelpier.model.platform import ABSENT, Write
from dotterelpier.protocols import (
    Clock,
    Membership,
    Peers,
    ServiceName,
    Subscription,
    Table,
    TaskKind,
    Tasks,
    Timer,
)
from dotterelpier.settings import LeaseSettings
from dotterelpier.wire.rows import MEMBER_PREFIX, decode_row, encode_row, member_key


@frozen
class _Sighting:
    """A lease row, and since when it was seen unchanged."""

    member: Member
    first_seen_at: float


@define
class LeaseMembership:
    """Keeps the own lease row renewed and watches those of the others.

    A lease of another counts as lapsed once its row was seen unchanged for the
    duration of the lease and a margin, on the monotonic clock of this process.
    """

    _me: Member
    _lease: LeaseSettings
    _poll_s: float
    _clock: Clock
    _timer: Timer
    _tasks: Tasks
    _table: Table
    _peers: Peers
    _row_version: str = ABSENT
    _lease_start: float = float("-inf")
    _lease_end: float = float("-inf")
    _sighting_by_id: dict[str, _Sighting] = field(factory=dict)
    _scan_started_at: float = float("-inf")
    _status_by_id: dict[str, PeerStatus] = field(factory=dict)
    _listeners: list[Callable[[Member, Heartbeat], None]] = field(factory=list)
    _load_source: Callable[[], dict[str, ServiceLoad]] = dict
    _subscriptions: list[Subscription] = field(factory=list)
    _lock: threading.RLock = field(factory=threading.RLock)

    def start(self) -> None:
        """Start the tasks that renew the own lease and read the others."""
        renewals = self._subscribe(self._lease.renew_s)
        scans = self._subscribe(self._poll_s)
        self._tasks.submit(TaskKind.CONTROL, self._keep_lease, renewals)
        self._tasks.submit(TaskKind.CONTROL, self._watch_members, scans)

    def stop(self) -> None:
        """End all tasks and delete the own lease row."""
        with self._lock:
            subscriptions = tuple(self._subscriptions)
        for subscription in subscriptions:
            subscription.cancel()
        try:
            self._table.commit([Write(member_key(self._me.id), None)])
        except PlatformError as error:
            logger.warning("lease row not deleted", error=str(error))

    def me(self) -> Member:
        """Return the own lease row."""
        return self._me

    def lease_end(self) -> float:
        """Return when the own lease ends, on the monotonic clock."""
        return self._lease_end

    def lease_start(self) -> float:
        """Return since when the own lease has been held without a gap."""
        return self._lease_start

    def live_by_id(self) -> dict[str, Member]:
        """Return the members whose leases were seen renewed, this one included."""
        now = self._clock.monotonic()
        with self._lock:
            live = {
                member_id: sighting.member
                for member_id, sighting in self._sighting_by_id.items()
                if not self._is_lapsed(sighting, now)
            }
        if self._me.id in live:
            live[self._me.id] = self._me
        return live

    def known_by_id(self) -> dict[str, Member]:
        """Return all members with a lease row, this one included."""
        with self._lock:
            known = {key: item.member for key, item in self._sighting_by_id.items()}
        known[self._me.id] = self._me
        return known

    def peers(self) -> tuple[PeerStatus, ...]:
        """Return what is known of the other live members."""
        live_by_id = self.live_by_id()
        with self._lock:
            return tuple(
                self._status_by_id.get(member_id, PeerStatus(member))
                for member_id, member in live_by_id.items()
                if member_id != self._me.id
            )

    def lapsed(self, member_id: str, since: float) -> bool:
        """Tell whether a member's lease surely ended, or its row is gone."""
        with self._lock:
            if self._scan_started_at <= since:
                return False
            sighting = self._sighting_by_id.get(member_id)
            return sighting is None or self._is_lapsed(sighting, self._scan_started_at)

    def platform_reached(self) -> bool:
        """Tell whether the platform answered lately."""
        return self._is_fresh(self._table.last_reached_at())

    def may_take_work(self) -> bool:
        """Tell whether the platform or a majority of members is in contact."""
        if self.platform_reached():
            return True
        known = self.known_by_id()
        with self._lock:
            heard = sum(
                self._is_fresh(status.heard_at)
                for member_id, status in self._status_by_id.items()
                if member_id in known
            )
        return 2 * (heard + 1) > len(known)

    def cold_sends_allowed(self) -> bool:
        """Tell whether nobody can take over homes while the lease has lapsed."""
        if self.platform_reached():
            return False
        known = self.known_by_id()
        with self._lock:
            return all(
                self._cannot_reach_platform(member_id)
                for member_id in known
                if member_id != self._me.id
            )

    def heard(self, heartbeat: Heartbeat) -> None:
        """Take in a heartbeat."""
        with self._lock:
            sighting = self._sighting_by_id.get(heartbeat.sender_id)
            if sighting is None or heartbeat.sender_id == self._me.id:
                return
            member = sighting.member
            now = self._clock.monotonic()
            self._status_by_id[member.id] = PeerStatus(member, heartbeat, now)
            listeners = tuple(self._listeners)
        for listener in listeners:
            listener(member, heartbeat)

    def subscribe(self, listener: Callable[[Member, Heartbeat], None]) -> None:
        """Call a listener with each heartbeat of a known member."""
        with self._lock:
            self._listeners.append(listener)

    def report_loads_from(self, source: Callable[[], dict[str, ServiceLoad]]) -> None:
        """Put the loads that ``source`` returns into heartbeats."""
        self._load_source = source

    def acknowledge(self, *, revision: int = 0, assignment: int = 0) -> None:
        """State numbers in force here, written with the next renewal."""
        with self._lock:
            self._me = evolve(
                self._me,
                revision=max(revision, self._me.revision),
                assignment=max(assignment, self._me.assignment),
            )

    def set_leaving(self) -> None:
        """State that this entry is in a planned stop."""
        with self._lock:
            self._me = evolve(self._me, leaving=True)
            subscriptions = tuple(self._subscriptions)
        for subscription in subscriptions:
            subscription.wake()

    def heartbeat(self) -> Heartbeat:
        """Return the own heartbeat."""
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

    def _is_lapsed(self, sighting: _Sighting, now: float) -> bool:
        patience_s = sighting.member.lease_s + self._lease.margin_s
        return now - sighting.first_seen_at > patience_s

    def _is_fresh(self, at: float) -> bool:
        return self._clock.monotonic() - at < self._lease.contact_s

    def _cannot_reach_platform(self, member_id: str) -> bool:
        status = self._status_by_id.get(member_id)
        if status is None or status.heartbeat is None:
            return False
        return self._is_fresh(status.heard_at) and not status.heartbeat.platform_reached

    def _keep_lease(self, subscription: Subscription) -> None:
        while subscription.wait():
            try:
                self._renew()
            except PlatformError as error:
                logger.warning("lease not renewed", error=str(error), code=error.code)

    def _renew(self) -> None:
        started_at = self._clock.monotonic()
        with self._lock:
            self._me = evolve(self._me, renewals=self._me.renewals + 1)
            me = self._me
        write = Write(member_key(me.id), encode_row(me), self._row_version)
        try:
            (self._row_version,) = self._table.commit([write])
        except ConflictError:
            # An earlier renewal took effect although its reply was lost, or the
            # row was deleted as that of a dead member.
            row = self._table.read(write.key)
            self._row_version = ABSENT if row is None else row.version
            return
        with self._lock:
            if started_at > self._lease_end:
                self._lease_start = self._clock.monotonic()
            self._lease_end = started_at + me.lease_s

    def _watch_members(self, subscription: Subscription) -> None:
        while subscription.wait():
            started_at = self._clock.monotonic()
            try:
                rows = self._table.scan(MEMBER_PREFIX)
                members = [decode_row(row, Member) for row in rows]
            except PlatformError as error:
                logger.warning("members not read", error=str(error), code=error.code)
                continue
            for member in self._take_in(members, started_at):
                self._start_peer_task(member)

    def _take_in(self, members: list[Member], started_at: float) -> list[Member]:
        now = self._clock.monotonic()
        with self._lock:
            previous = self._sighting_by_id
            self._sighting_by_id = {}
            for member in members:
                sighting = previous.get(member.id)
                if sighting is None or sighting.member.renewals != member.renewals:
                    sighting = _Sighting(member, now)
                self._sighting_by_id[member.id] = sighting
            self._scan_started_at = started_at
            for member_id in self._status_by_id.keys() - self._sighting_by_id.keys():
                del self._status_by_id[member_id]
        return [
            member
            for member in members
            if member.id not in previous and member.id != self._me.id
        ]

    def _start_peer_task(self, member: Member) -> None:
        subscription = self._subscribe(self._lease.heartbeat_s)
        try:
            self._tasks.submit(TaskKind.PEER, self._serve_peer, member, subscription)
        except TaskPoolFullError as error:
            logger.error("peer without a task", peer=member.id, error=str(error))

    def _serve_peer(self, member: Member, subscription: Subscription) -> None:
        logger.info("peer joined", peer=member.id)
        while subscription.wait():
            if member.id not in self.known_by_id():
                break
            try:
                self.heard(self._peers.beat(member, self.heartbeat()))
            except PeerUnavailableError as error:
                logger.debug("peer not heard", peer=member.id, error=str(error))
        logger.info("peer left", peer=member.id)
        subscription.cancel()
        with self._lock:
            if subscription in self._subscriptions:
                self._subscriptions.remove(subscription)


def make_membership(
    kernel: Kernel, me: Member, lease: LeaseSettings, poll_s: float
) -> Membership:
    """Return the membership of this entry."""
    return LeaseMembership(
        me,
        lease,
        poll_s,
        kernel.find(ServiceName.CLOCK, Clock),
        kernel.find(ServiceName.TIMER, Timer),
        kernel.find(ServiceName.TASKS, Tasks),
        kernel.find(ServiceName.TABLE, Table),
        kernel.find(ServiceName.PEERS, Peers),
    )
