"""Decisions of the coordinator of a roll-out: share, halt, and what to write.

Decides from the record in the store and a view of the fleet, without clock, lock or
network. Whoever believes to be the coordinator may act: each write holds only if the
record is still the one that was read.
"""

import math
from enum import Enum

from attrs import define, evolve, frozen

from dotterelpier.fleet.rollouts.share_plan import PlanInputs, SharePlan
from dotterelpier.fleet.rollouts.verdict import Judgement, Verdict
from dotterelpier.model.rollout import (
    RolloutOrder,
    RolloutRecord,
    RolloutState,
    StoredRecord,
)

# Time for which a coordinator that does not know the age of an order waits for the
# reports of entries that do.
AGE_WAIT_S = 1.5
# Part of the old slots that suffices at the target, and slots for each request at work.
OLD_SLOTS_SHARE = 0.9
SLOTS_PER_REQUEST = 1.25
# Time for which registrations of other releases are waited for before an order is taken
# as one that replaces none.
RELEASES_WAIT_S = 3.0
# Part of the attempts for which the target must have room, and at full load, where a
# request that waits is counted several times.
MIN_PLACED_SHARE = 0.7
MIN_PLACED_SHARE_FULL = 0.3


@frozen
class ReleaseSlots:
    """Slots of the backend servers of a service that are registered.

    Attributes
    ----------
    target, old : int
        Slots of the target that are not cold, and of the other releases.
    target_registered : bool
        Whether a server of the target is registered, cold or not.
    old_releases : tuple of str
        The other releases.
    """

    target: int
    old: int
    target_registered: bool
    old_releases: tuple[str, ...]


@frozen
class FleetView:
    """What the coordinator knows of the fleet.

    Attributes
    ----------
    now : float
        Time on the monotonic clock, in seconds.
    left_s : float or None
        Time until the decision must be written; None if the age of the order is not
        known.
    ends_at_store_ms : int
        End of the order on the clock of the store, 0 if unknown.
    requests, received : int
        Requests of the service since the order, attempts that the target received.
    rate_per_s : float
        Requests each second.
    placed_share : float
        Part of the latest attempts for which the target had room.
    mean_s : float
        Mean duration of an answer of the old releases, in seconds.
    judgement : Judgement
        Verdict on the evidence.
    halted : str
        Why an entry stopped sending to the target, empty if none did.
    undrained : tuple of str
        Entries that may have or send requests at an old release.
    slots : ReleaseSlots
        Slots of the registered backend servers.
    store_answers : bool
        Whether the store can be written to, as far as is known.
    """

    now: float
    left_s: float | None
    ends_at_store_ms: int
    requests: int
    received: int
    rate_per_s: float
    placed_share: float
    mean_s: float
    judgement: Judgement
    halted: str
    undrained: tuple[str, ...]
    slots: ReleaseSlots
    store_answers: bool


class StoreAction(Enum):
    """What the coordinator wants of the store."""

    NONE = "none"
    READ = "read"
    WRITE = "write"


@frozen
class CourseStep:
    """What the coordinator does now.

    Attributes
    ----------
    share : float
        Share to tell the entries.
    halted : str
        Why they must send nothing to the target any more, empty if they may.
    action : StoreAction
        Call to make to the store.
    record : RolloutRecord or None
        What to write.
    expected_version : int
        Version that the row must have, 0 if it must not exist.
    """

    share: float = 0.0
    halted: str = ""
    action: StoreAction = StoreAction.NONE
    record: RolloutRecord | None = None
    expected_version: int = 0


@define
class RolloutCourse:
    """Course of one order, as its coordinator steers it.

    Attributes
    ----------
    order : RolloutOrder
        The order.
    plan : SharePlan
        Plan of the share.
    withdrawn : frozenset of str
        Releases that an earlier decision took out of service.
    stored : StoredRecord or None
        The record as read or written last; None if it must be read, as nothing is
        known of it, or a write may or may not have taken effect.
    has_read : bool
        Whether the record was read at all.
    """

    order: RolloutOrder
    plan: SharePlan
    withdrawn: frozenset[str] = frozenset()
    stored: StoredRecord | None = None
    has_read: bool = False
    _known: StoredRecord = StoredRecord(None, 0)
    _halted: str = ""
    _began_at: float = math.inf

    def restart(self, share: float) -> None:
        """Begin to act as the coordinator, at the share that is in force."""
        self.stored = None
        self._began_at = math.inf
        self.plan.restart(share)

    def note_read(self, stored: StoredRecord) -> None:
        """Apply what the store answered to a read."""
        self.stored = self._known = stored
        self.has_read = True

    def note_written(self, stored: StoredRecord) -> None:
        """Apply that a write took effect."""
        self.stored = self._known = stored

    def note_failed(self) -> None:
        """Apply that a write conflicted, or that its outcome is not known."""
        self.stored = None

    def note_followed(self, stored: StoredRecord) -> None:
        """Apply a record that came by the table, or in a message."""
        if stored.version > self._known.version:
            self._known = stored
        if self.stored is not None and stored.version > self.stored.version:
            self.stored = stored

    def known(self) -> StoredRecord:
        """Return the newest record of this order that is known for certain."""
        record = self._known.record
        if record is None or record.order_version != self.order.version:
            return StoredRecord(None, 0)
        return self._known

    def step(self, view: FleetView) -> CourseStep:
        """Return what to do now."""
        self._began_at = min(self._began_at, view.now)
        record = self.known().record
        if record is not None and record.state.is_final:
            return CourseStep(self._final_share(record))
        self._halt_if_due(view)
        share = self._share(view, record)
        if self.stored is None:
            return CourseStep(share, self._halted, StoreAction.READ)
        if record is None:
            return self._begin(view)
        wanted = self._wanted_state(view, record)
        if wanted is None:
            return CourseStep(share, self._halted)
        reason = self._halted or view.judgement.verdict.value
        changed = evolve(record, state=wanted, reason=reason)
        if wanted is RolloutState.COMPLETED:
            old = {*record.old_releases, *view.slots.old_releases}
            changed = evolve(changed, old_releases=tuple(sorted(old)))
        return self._write(changed, share)

    def _waited(self, view: FleetView, wait_s: float) -> bool:
        return view.now - self._began_at >= wait_s

    def _begin(self, view: FleetView) -> CourseStep:
        assert self.stored is not None
        stored = self.stored.record
        if stored is not None and stored.order_version > self.order.version:
            # The order was replaced; this entry will read the new one soon.
            return CourseStep(0.0, self._halted)
        releases = view.slots.old_releases
        waits_for_age = view.left_s is None and not self._waited(view, AGE_WAIT_S)
        if waits_for_age or not (releases or self._waited(view, RELEASES_WAIT_S)):
            return CourseStep(0.0, self._halted)
        # What an earlier order took out of service stays out, also where this entry did
        # not see that order.
        before = stored.out_of_service() if stored else frozenset()
        withdrawn = (self.withdrawn | before) - {self.order.target}
        in_service = tuple(item for item in releases if item not in withdrawn)
        state, reason = RolloutState.RUNNING, "ordered"
        if self._halted:
            state, reason = RolloutState.ROLLED_BACK, self._halted
        elif view.slots.target_registered and not releases:
            state, reason = RolloutState.COMPLETED, "no other release is registered"
        record = RolloutRecord(
            self.order.version,
            self.order.target,
            state,
            in_service or releases,
            # Without another server the service could not be served at all.
            tuple(sorted(withdrawn)) if in_service else (),
            view.ends_at_store_ms,
            reason,
        )
        return self._write(record, 0.0)

    def _write(self, record: RolloutRecord, share: float) -> CourseStep:
        assert self.stored is not None
        version = self.stored.version
        return CourseStep(share, self._halted, StoreAction.WRITE, record, version)

    def _halt_if_due(self, view: FleetView) -> None:
        if self._halted:
            return
        if view.judgement.verdict is Verdict.BAD:
            self._halted = f"bad release: {view.judgement.reason}"
        elif view.halted:
            self._halted = view.halted
        elif view.left_s is not None and view.left_s <= 0:
            self._halted = "not completed before the end of the order"
        elif view.left_s is None and self.stored and self._waited(view, AGE_WAIT_S):
            self._halted = "age of the order unknown"

    def _share(self, view: FleetView, record: RolloutRecord | None) -> float:
        if record is None or self._halted:
            return 0.0
        if record.state is RolloutState.COMPLETING:
            return 1.0
        if view.left_s is None:
            return 0.0
        return self.plan.next(self._inputs(view))

    def _wanted_state(
        self, view: FleetView, record: RolloutRecord
    ) -> RolloutState | None:
        if self._halted:
            return RolloutState.ROLLED_BACK
        if record.state is RolloutState.COMPLETING:
            return None if view.undrained else RolloutState.COMPLETED
        good = view.judgement.verdict is Verdict.GOOD_SO_FAR
        if good and self.plan.is_observed(self._inputs(view)):
            return RolloutState.COMPLETING
        return None

    def _inputs(self, view: FleetView) -> PlanInputs:
        slots = view.slots
        needed = min(
            OLD_SLOTS_SHARE * slots.old,
            SLOTS_PER_REQUEST * view.rate_per_s * view.mean_s,
        )
        fits = slots.target >= needed and slots.target > 0
        good = view.judgement.verdict is Verdict.GOOD_SO_FAR
        full = self.plan.share >= 1
        min_placed_share = MIN_PLACED_SHARE_FULL if full else MIN_PLACED_SHARE
        return PlanInputs(
            view.now,
            view.left_s or 0.0,
            view.requests,
            view.received,
            view.rate_per_s,
            view.judgement.answers,
            good,
            view.judgement.is_suspected,
            slots.target_registered,
            (fits or full) and view.placed_share >= min_placed_share,
            view.store_answers and self.stored is not None,
        )

    def _final_share(self, record: RolloutRecord) -> float:
        return 1.0 if record.state is RolloutState.COMPLETED else 0.0
