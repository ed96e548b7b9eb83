"""Homes of backend servers, assigned in one row of the platform's table."""

import threading
from collections.abc import Callable

from attrs import define, evolve, field, frozen
from loguru import logger

from dotterelpier.errors import (
    ConflictError,
    DotterelpierError,
    PeerUnavailableError,
    TaskPoolFullError,
)
from dotterelpier.kernel import Kernel
from dotterelpier.model.audit import AuditEntry
from dotterelpier.model.membership import (
    Assignment,
    HandoverState,
    Home,
    HomeGrant,
    Member,
)
from dotterelpier.model.platform import ABSENT, Write
from dotterelpier.protocols import (
    Audit,
    Clock,
    Homes,
    ManifestSource,
    Membership,
    Peers,
    ServiceName,
    Subscription,
    Table,
    TaskKind,
    Tasks,
    Timer,
)
from dotterelpier.services.placement import NO_ENTRY, place
from dotterelpier.wire.rows import ASSIGNMENT_KEY, decode_row, encode_row

NOTHING_IN_FLIGHT = HandoverState(0, 0, 0.0)
LONGEST_CALL_S = 3600.0


@frozen
class _Handover:
    """Handover of one backend server from one of its former homes."""

    backend_id: str
    member_id: str
    lost_in: int


@define
class AssignedHomes:
    """Follows the assignment row, and updates it if this entry is the coordinator.

    The coordinator is the member with the lowest id among those with a valid lease. If
    two entries both act as coordinator, the compare-and-set of the row lets one win.
    """

    _poll_s: float
    _clock: Clock
    _timer: Timer
    _tasks: Tasks
    _table: Table
    _peers: Peers
    _membership: Membership
    _manifest: ManifestSource
    _audit: Audit
    _assignment: Assignment = field(factory=Assignment)
    _row_version: str = ABSENT
    _read_started_at: float = float("-inf")
    _changed_at: float = float("-inf")
    _active_ids: set[str] = field(factory=set)
    _draining_ids: set[str] = field(factory=set)
    _released_in_by_id: dict[str, int] = field(factory=dict)
    _running_handovers: set[_Handover] = field(factory=set)
    _state_by_handover: dict[_Handover, HandoverState] = field(factory=dict)
    _listeners: list[Callable[[str, HomeGrant | None], None]] = field(factory=list)
    _handover_state_source: Callable[[str], HandoverState] = lambda _: NOTHING_IN_FLIGHT
    _subscription: Subscription | None = None
    _lock: threading.RLock = field(factory=threading.RLock)

    def start(self) -> None:
        """Start the task that polls the assignment row."""
        self._subscription = self._timer.every(self._poll_s)
        self._manifest.subscribe(lambda _: self._wake())
        self._tasks.supervise(TaskKind.CONTROL, self._follow, self._subscription)

    def stop(self) -> None:
        """Stop polling; the assignment in force stays."""
        if self._subscription is not None:
            self._subscription.cancel()

    def is_home(self, backend_id: str) -> bool:
        """Return whether this entry may send to a warm backend server now."""
        return self.send_deadline(backend_id, cold=False) is not None

    def send_deadline(self, backend_id: str, *, cold: bool) -> float | None:
        """Return the latest deadline of an attempt sent now, None to send nothing."""
        if backend_id not in self._active_ids:
            return None
        lease_end = self._membership.lease_end()
        if self._clock.monotonic() < lease_end:
            if self._read_started_at < self._membership.lease_start():
                return None
            return lease_end if cold else float("inf")
        if not self._membership.may_take_work():
            return None
        if not cold:
            return float("inf")
        until = self._membership.no_takeover_until()
        return until if until > self._clock.monotonic() else None

    def assignment(self) -> Assignment:
        """Return the assignment in force on this entry."""
        return self._assignment

    def subscribe(self, listener: Callable[[str, HomeGrant | None], None]) -> None:
        """Call a listener for each home of this entry now, and on each change."""
        with self._lock:
            self._listeners.append(listener)
            for backend_id in self._active_ids:
                listener(backend_id, self._grant(backend_id))

    def set_handover_state_source(self, source: Callable[[str], HandoverState]) -> None:
        """Set the function that returns a server's limit and requests in flight."""
        self._handover_state_source = source

    def hand_over(self, backend_id: str, assignment: int) -> HandoverState:
        """Stop sending to a backend server and return what is still in flight."""
        with self._lock:
            released_in = self._released_in_by_id.get(backend_id, 0)
            self._released_in_by_id[backend_id] = max(released_in, assignment)
            limit = self._handover_state_source(backend_id).limit
            if self._since(backend_id) < assignment:
                self._deactivate(backend_id)
        return evolve(self._handover_state_source(backend_id), limit=limit)

    def _wake(self) -> None:
        if self._subscription is not None:
            self._subscription.wake()

    def _since(self, backend_id: str) -> int:
        home = self._assignment.home_by_backend_id.get(backend_id)
        return 0 if home is None else home.since

    def _follow(self, subscription: Subscription) -> None:
        while subscription.wait():
            try:
                self._read_assignment()
                self._activate_homes()
                self._acknowledge()
                self._coordinate()
            except DotterelpierError as error:
                logger.warning(
                    "homes update failed; retrying", error=str(error), code=error.code
                )

    def _read_assignment(self) -> None:
        started_at = self._clock.monotonic()
        row = self._table.read_if_changed(ASSIGNMENT_KEY, self._row_version)
        if row is not None:
            self._install(decode_row(row, Assignment), row.version)
        with self._lock:
            self._read_started_at = started_at

    def _install(self, assignment: Assignment, row_version: str) -> None:
        own_id = self._membership.me().id
        with self._lock:
            self._row_version = row_version
            self._changed_at = self._clock.monotonic()
            self._assignment = assignment
            own_ids = {
                backend_id
                for backend_id, home in assignment.home_by_backend_id.items()
                if home.entry_id == own_id
            }
            for backend_id in self._active_ids - own_ids:
                self._deactivate(backend_id)
            self._state_by_handover = {
                handover: state
                for handover, state in self._state_by_handover.items()
                if handover.backend_id in own_ids
            }

    def _acknowledge(self) -> None:
        """Acknowledge the assignment once no request is in flight at lost servers."""
        with self._lock:
            self._draining_ids = {
                backend_id
                for backend_id in self._draining_ids
                if self._handover_state_source(backend_id).in_flight
            }
            drained = not self._draining_ids
            number = self._assignment.number
        if drained:
            self._membership.acknowledge(assignment=number)

    def _activate_homes(self) -> None:
        for backend_id, home in self._assignment.home_by_backend_id.items():
            if not self._may_activate(backend_id, home):
                continue
            pending = self._pending_handovers(backend_id, home)
            if not pending:
                self._activate(backend_id)
            for handover in pending:
                self._start_handover(handover)

    def _may_activate(self, backend_id: str, home: Home) -> bool:
        if home.entry_id != self._membership.me().id or backend_id in self._active_ids:
            return False
        revision = self._manifest.current()
        if revision is None or backend_id not in revision.manifest.backend_by_id:
            return False
        return self._released_in_by_id.get(backend_id, 0) <= home.since

    def _pending_handovers(self, backend_id: str, home: Home) -> list[_Handover]:
        handovers = [
            _Handover(backend_id, member_id, lost_in)
            for member_id, lost_in in home.lost_in_by_previous_id.items()
            if not self._is_released(member_id, lost_in)
        ]
        return [item for item in handovers if item not in self._state_by_handover]

    def _is_released(self, member_id: str, lost_in: int) -> bool:
        member = self._membership.known_by_id().get(member_id)
        if member is not None and member.assignment >= lost_in:
            return True
        return self._membership.has_lapsed(member_id, self._changed_at)

    def _start_handover(self, handover: _Handover) -> None:
        member = self._membership.known_by_id().get(handover.member_id)
        if member is None or handover in self._running_handovers:
            return
        self._running_handovers.add(handover)
        try:
            self._tasks.submit(TaskKind.HANDOVER, self._run_handover, handover, member)
        except TaskPoolFullError as error:
            self._running_handovers.discard(handover)
            logger.warning(
                "handover not started; retrying", error=str(error), code=error.code
            )

    def _run_handover(self, handover: _Handover, member: Member) -> None:
        """Follow the requests that a former home still has in flight.

        If the peer fails in between, the requests that it reported last count as in
        flight until their deadlines, for at most ``LONGEST_CALL_S``.
        """
        limit: int | None = None

        def progress(state: HandoverState) -> None:
            nonlocal limit
            limit = state.limit if limit is None else limit
            self._record_handover(handover, evolve(state, limit=limit))

        try:
            self._peers.hand_over(
                member, handover.backend_id, handover.lost_in, progress
            )
        except PeerUnavailableError as error:
            logger.warning(
                "handover interrupted; waiting for the last deadline or retrying",
                error=str(error),
                code=error.code,
            )
        finally:
            self._running_handovers.discard(handover)
        last = self._state_by_handover.get(handover)
        if last is not None and last.in_flight:
            drained = evolve(last, in_flight=0)
            self._timer.after(
                min(last.longest_s, LONGEST_CALL_S),
                lambda: self._record_handover(handover, drained),
            )

    def _record_handover(self, handover: _Handover, state: HandoverState) -> None:
        backend_id = handover.backend_id
        with self._lock:
            self._state_by_handover[handover] = state
            if backend_id in self._active_ids:
                self._notify(backend_id, self._grant(backend_id))
        self._wake()

    def _grant(self, backend_id: str) -> HomeGrant:
        """Return the limit and the requests in flight that the handovers reported.

        The limit is the one that the last home before this entry reported. The server
        starts cold if that home was never active or sent no report.
        """
        since = self._since(backend_id)
        limit = in_flight = 0
        for handover, state in self._state_by_handover.items():
            if handover.backend_id != backend_id:
                continue
            in_flight += state.in_flight
            if handover.lost_in == since:
                limit = state.limit
        return HomeGrant(limit, in_flight)

    def _activate(self, backend_id: str) -> None:
        with self._lock:
            if self._released_in_by_id.get(backend_id, 0) > self._since(backend_id):
                return
            grant = self._grant(backend_id)
            self._active_ids.add(backend_id)
            self._draining_ids.discard(backend_id)
            self._notify(backend_id, grant)
        logger.info("home activated", backend=backend_id, limit=grant.limit)

    def _deactivate(self, backend_id: str) -> None:
        if backend_id not in self._active_ids:
            return
        self._active_ids.discard(backend_id)
        self._draining_ids.add(backend_id)
        self._notify(backend_id, None)
        logger.info("home released", backend=backend_id)

    def _notify(self, backend_id: str, grant: HomeGrant | None) -> None:
        for listener in self._listeners:
            listener(backend_id, grant)

    def _coordinate(self) -> None:
        revision = self._manifest.current()
        leased_by_id = self._membership.leased_by_id()
        own_id = self._membership.me().id
        if revision is None or own_id != min(leased_by_id, default=""):
            return
        before = self._assignment
        wanted = place(revision, leased_by_id, before, self._is_released)
        if wanted is before:
            return
        write = Write(ASSIGNMENT_KEY, encode_row(wanted), self._row_version)
        moves = _moves(before, wanted)
        audit = self._audit.entry_write(self._moved_event(wanted, moves))
        try:
            version, _ = self._table.commit([write, audit])
        except ConflictError:
            return
        logger.info("homes moved", assignment=wanted.number, count=len(moves))
        self._install(wanted, version)
        self._wake()

    def _moved_event(self, wanted: Assignment, moves: tuple[str, ...]) -> AuditEntry:
        me = self._membership.me()
        return AuditEntry(
            self._clock.unix(),
            "homes.moved",
            me.id,
            me.caller_address,
            revision=wanted.revision,
            step="homes.coordinate",
            changes=moves,
        )


def _moves(before: Assignment, wanted: Assignment) -> tuple[str, ...]:
    backend_ids = sorted(before.home_by_backend_id | wanted.home_by_backend_id)
    pairs = [
        (backend_id, _home_id(before, backend_id), _home_id(wanted, backend_id))
        for backend_id in backend_ids
    ]
    return tuple(
        f"{backend_id}: {old or 'none'} -> {new or 'none'}"
        for backend_id, old, new in pairs
        if old != new
    )


def _home_id(assignment: Assignment, backend_id: str) -> str:
    home = assignment.home_by_backend_id.get(backend_id)
    return NO_ENTRY if home is None else home.entry_id


def make_homes(kernel: Kernel, poll_s: float) -> Homes:
    """Return the homes service of this entry, before its first assignment."""
    return AssignedHomes(
        poll_s,
        kernel.find(ServiceName.CLOCK, Clock),
        kernel.find(ServiceName.TIMER, Timer),
        kernel.find(ServiceName.TASKS, Tasks),
        kernel.find(ServiceName.TABLE, Table),
        kernel.find(ServiceName.PEERS, Peers),
        kernel.find(ServiceName.MEMBERSHIP, Membership),
        kernel.find(ServiceName.MANIFEST, ManifestSource),
        kernel.find(ServiceName.AUDIT, Audit),
    )
