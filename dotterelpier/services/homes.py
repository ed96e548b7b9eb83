"""Homes of backend servers, agreed through one row of the platform's table."""

import threading
from collections.abc import Callable

from attrs import define, evolve, field
from loguru import logger

from dotterelpier.errors import (
    ConflictError,
    DotterelpierError,
    PeerUnavailableError,
    PlatformError,
)
from dotterelpier.kernel import Kernel
from dotterelpier.model.membership import (
    Assignment,
    HandoverState,
    Home,
    HomeGrant,
    Member,
)
from dotterelpier.model.platform import ABSENT, Write
from dotterelpier.protocols import (
    Clock,
    Homes,
    ManifestKeeper,
    Membership,
    Peers,
    ServiceName,
    Subscription,
    Table,
    TaskKind,
    Tasks,
    Timer,
)
from dotterelpier.services.placement import place
from dotterelpier.wire.rows import ASSIGNMENT_KEY, decode_row, encode_row

NOTHING_IN_FLIGHT = HandoverState(0, 0, 0.0)


@define
class AssignedHomes:
    """Follows the assignment row, and changes it where this entry coordinates.

    The coordinator is the live member with the lowest id; a race between two is
    decided by the compare-and-set of the row.
    """

    _poll_s: float
    _clock: Clock
    _timer: Timer
    _tasks: Tasks
    _table: Table
    _peers: Peers
    _membership: Membership
    _manifest: ManifestKeeper
    _assignment: Assignment = field(factory=Assignment)
    _row_version: str = ABSENT
    _read_started_at: float = float("-inf")
    _changed_at: float = float("-inf")
    _active_ids: set[str] = field(factory=set)
    _given_up_in_by_id: dict[str, int] = field(factory=dict)
    _handovers: set[tuple[str, str, int]] = field(factory=set)
    _handed_over: set[tuple[str, str, int]] = field(factory=set)
    _grant_by_id: dict[str, HomeGrant] = field(factory=dict)
    _listeners: list[Callable[[str, HomeGrant | None], None]] = field(factory=list)
    _bearing_source: Callable[[str], HandoverState] = lambda _: NOTHING_IN_FLIGHT
    _subscription: Subscription | None = None
    _lock: threading.RLock = field(factory=threading.RLock)

    def start(self) -> None:
        """Start the task that follows the assignment row."""
        self._subscription = self._timer.every(self._poll_s)
        self._manifest.subscribe(lambda _: self._wake())
        self._tasks.submit(TaskKind.CONTROL, self._follow, self._subscription)

    def stop(self) -> None:
        """End the task."""
        if self._subscription is not None:
            self._subscription.cancel()

    def is_home(self, backend_id: str) -> bool:
        """Tell whether this entry may send to a backend server now."""
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
        if cold and not self._membership.cold_sends_allowed():
            return None
        return float("inf")

    def assignment(self) -> Assignment:
        """Return the assignment in force on this entry."""
        return self._assignment

    def subscribe(self, listener: Callable[[str, HomeGrant | None], None]) -> None:
        """Call a listener with a backend server's id when its home changes."""
        with self._lock:
            self._listeners.append(listener)
            for backend_id in self._active_ids:
                listener(backend_id, HomeGrant())

    def report_bearing_from(self, source: Callable[[str], HandoverState]) -> None:
        """Take what a backend server bears and has in flight from ``source``."""
        self._bearing_source = source

    def hand_over(self, backend_id: str, assignment: int) -> HandoverState:
        """Stop sending to a backend server and return what is in flight."""
        with self._lock:
            given_up_in = self._given_up_in_by_id.get(backend_id, 0)
            self._given_up_in_by_id[backend_id] = max(given_up_in, assignment)
            state = self._bearing_source(backend_id)
            if self._since(backend_id) < assignment:
                self._deactivate(backend_id)
        return state

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
                self._take_up_homes()
                self._coordinate()
            except DotterelpierError as error:
                logger.warning("homes not updated", error=str(error), code=error.code)

    def _read_assignment(self) -> None:
        started_at = self._clock.monotonic()
        row = self._table.read_if_changed(ASSIGNMENT_KEY, self._row_version)
        if row is not None:
            self._put_in_force(decode_row(row, Assignment), row.version)
        with self._lock:
            self._read_started_at = started_at

    def _put_in_force(self, assignment: Assignment, row_version: str) -> None:
        own_id = self._membership.me().id
        with self._lock:
            self._row_version = row_version
            self._changed_at = self._clock.monotonic()
            self._assignment = assignment
            for backend_id in tuple(self._active_ids):
                home = assignment.home_by_backend_id.get(backend_id)
                if home is None or home.entry_id != own_id:
                    self._deactivate(backend_id)
        self._membership.acknowledge(assignment=assignment.number)

    def _take_up_homes(self) -> None:
        own_id = self._membership.me().id
        revision = self._manifest.current()
        declared = revision.manifest.backend_by_id if revision is not None else {}
        for backend_id, home in self._assignment.home_by_backend_id.items():
            if home.entry_id != own_id or backend_id in self._active_ids:
                continue
            if backend_id not in declared:
                continue
            if self._given_up_in_by_id.get(backend_id, 0) > home.since:
                continue
            waited_for = [
                (member_id, lost_in)
                for member_id, lost_in in home.lost_in_by_previous_id.items()
                if member_id != own_id
                and (backend_id, member_id, lost_in) not in self._handed_over
                and not self._is_released(member_id, lost_in)
            ]
            if not waited_for:
                self._activate(backend_id)
            for member_id, lost_in in waited_for:
                self._ask_for_handover(backend_id, member_id, lost_in)

    def _is_released(self, member_id: str, lost_in: int) -> bool:
        member = self._membership.known_by_id().get(member_id)
        if member is not None and member.assignment >= lost_in:
            return True
        return self._membership.lapsed(member_id, self._changed_at)

    def _ask_for_handover(self, backend_id: str, member_id: str, lost_in: int) -> None:
        member = self._membership.known_by_id().get(member_id)
        handover = (backend_id, member_id, lost_in)
        if member is None or handover in self._handovers:
            return
        self._handovers.add(handover)
        self._tasks.submit(
            TaskKind.HANDOVER, self._take_over, backend_id, member, lost_in
        )

    def _take_over(self, backend_id: str, member: Member, lost_in: int) -> None:
        handover = (backend_id, member.id, lost_in)
        last = NOTHING_IN_FLIGHT

        def progress(state: HandoverState) -> None:
            nonlocal last
            last = state
            with self._lock:
                self._handed_over.add(handover)
                self._grant_by_id[backend_id] = HomeGrant(state.limit, state.in_flight)
                if backend_id in self._active_ids:
                    self._notify(backend_id, self._grant_by_id[backend_id])
            self._wake()

        try:
            self._peers.hand_over(member, backend_id, lost_in, progress)
        except PeerUnavailableError as error:
            logger.warning("handover broke off", backend=backend_id, error=str(error))
            if handover in self._handed_over:
                self._timer.after(
                    last.longest_s, lambda: progress(evolve(last, in_flight=0))
                )
        finally:
            self._handovers.discard(handover)

    def _activate(self, backend_id: str) -> None:
        with self._lock:
            grant = self._grant_by_id.pop(backend_id, HomeGrant())
            self._active_ids.add(backend_id)
            self._notify(backend_id, grant)
        logger.info("home taken up", backend=backend_id, limit=grant.limit)

    def _deactivate(self, backend_id: str) -> None:
        if backend_id not in self._active_ids:
            return
        self._active_ids.discard(backend_id)
        self._notify(backend_id, None)
        logger.info("home given up", backend=backend_id)

    def _notify(self, backend_id: str, grant: HomeGrant | None) -> None:
        for listener in self._listeners:
            listener(backend_id, grant)

    def _coordinate(self) -> None:
        revision = self._manifest.current()
        live_by_id = self._membership.live_by_id()
        own_id = self._membership.me().id
        if revision is None or own_id != min(live_by_id, default=""):
            return
        wanted = place(
            revision.manifest, live_by_id, self._assignment, self._is_released
        )
        if wanted is self._assignment:
            return
        write = Write(ASSIGNMENT_KEY, encode_row(wanted), self._row_version)
        try:
            (version,) = self._table.commit([write])
        except ConflictError:
            return
        except PlatformError:
            # The write may have taken effect; the next read tells.
            raise
        self._log_moves(self._assignment.home_by_backend_id, wanted)
        self._put_in_force(wanted, version)
        self._wake()

    def _log_moves(self, before: dict[str, Home], wanted: Assignment) -> None:
        for backend_id, home in wanted.home_by_backend_id.items():
            if before.get(backend_id) != home:
                logger.info("home moved", backend=backend_id, home=home.entry_id)


def make_homes(kernel: Kernel, poll_s: float) -> Homes:
    """Return the homes of this entry."""
    return AssignedHomes(
        poll_s,
        kernel.find(ServiceName.CLOCK, Clock),
        kernel.find(ServiceName.TIMER, Timer),
        kernel.find(ServiceName.TASKS, Tasks),
        kernel.find(ServiceName.TABLE, Table),
        kernel.find(ServiceName.PEERS, Peers),
        kernel.find(ServiceName.MEMBERSHIP, Membership),
        kernel.find(ServiceName.MANIFEST, ManifestKeeper),
    )
