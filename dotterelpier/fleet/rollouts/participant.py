"""One order at one entry: reports, messages of the coordinator, and its succession.

Runs in one task. Decides what to send and what to ask of the store; the service does
both. The clock is a parameter.
"""

import math
from collections import Counter
from collections.abc import Callable, Iterable

from attrs import define, field, frozen

from dotterelpier.fleet.rollouts.course import (
    CourseStep,
    FleetView,
    ReleaseSlots,
    RolloutCourse,
)
from dotterelpier.fleet.rollouts.durations import mean_s
from dotterelpier.fleet.rollouts.gate import SHARE_LIFETIME_S
from dotterelpier.fleet.rollouts.order_clock import OrderClock
from dotterelpier.fleet.rollouts.succession import Succession
from dotterelpier.fleet.rollouts.tally import ReportTally
from dotterelpier.fleet.rollouts.traffic import RolloutTraffic
from dotterelpier.fleet.rollouts.verdict import (
    BAD_SCORE,
    NO_JUDGEMENT,
    Judgement,
    ReleaseVerdict,
    Verdict,
)
from dotterelpier.model.fleet import FleetMember
from dotterelpier.model.rollout import (
    ReleaseCounts,
    RolloutCounts,
    RolloutOrder,
    RolloutReport,
    RolloutShare,
    RolloutState,
    StoredRecord,
)

REPORT_INTERVAL_S = 0.5
# The same while much goes to the target; and the least time between two reports.
FULL_REPORT_INTERVAL_S = 0.25
FULL_REPORT_SHARE = 0.3
MIN_REPORT_INTERVAL_S = 0.1
SHARE_INTERVAL_S = 0.4
# A task that did not run for this long was frozen; what it planned is outdated.
FROZEN_S = 1.5
# For how long a final state is told, for entries that do not hear of it otherwise.
FINAL_TOLD_S = 5.0
# Time before the end of the order by which the decision must be written, besides one
# call to the store.
END_MARGIN_S = 0.5
# An entry sees few requests, so it needs more to stop on its own.
OWN_BAD_SCORE = 1.5 * BAD_SCORE


@frozen
class Surroundings:
    """What an entry knows beside the order.

    Attributes
    ----------
    now : float
        Time on the monotonic clock, in seconds.
    me : FleetMember
        This entry.
    members : tuple of FleetMember
        All entries.
    slots : ReleaseSlots
        Slots of the registered backend servers of the service.
    in_flight_old : Callable
        Returns the number of its requests at the old releases.
    store_answers : bool
        Whether the store can be written to, as far as is known.
    order_delay_s : float
        Longest time after which an entry hears of an order.
    store_call_s : float
        Expected duration of a call to the store.
    """

    now: float
    me: FleetMember
    members: tuple[FleetMember, ...]
    slots: ReleaseSlots
    in_flight_old: Callable[[], int]
    store_answers: bool
    order_delay_s: float
    store_call_s: float


@define
class Outbox:
    """What a turn of the task sends.

    Attributes
    ----------
    reports : list
        Reports by the address of the receiver.
    shares : list
        Messages of the coordinator by the address of the receiver.
    step : CourseStep or None
        Step of the coordinator; None if this entry is not the coordinator.
    """

    reports: list[tuple[str, RolloutReport]] = field(factory=list)
    shares: list[tuple[str, RolloutShare]] = field(factory=list)
    step: CourseStep | None = None


@define(eq=False)
class OrderParticipant:
    """Part that one entry takes in one order. Not thread-safe.

    Attributes
    ----------
    order : RolloutOrder
        The order.
    traffic : RolloutTraffic
        Gate and counters of this entry.
    course : RolloutCourse
        Decisions, for the time in which this entry is the coordinator.
    clock : OrderClock
        Age and end of the order.
    succession : Succession
        Which entry is the coordinator.
    """

    order: RolloutOrder
    traffic: RolloutTraffic
    course: RolloutCourse
    clock: OrderClock
    succession: Succession
    _tally: ReportTally = field(factory=ReportTally)
    _verdict: ReleaseVerdict = field(factory=ReleaseVerdict)
    _own_verdict: ReleaseVerdict = field(
        factory=lambda: ReleaseVerdict(bad_score=OWN_BAD_SCORE)
    )
    _sequence: int = 0
    _reported_at: float = -math.inf
    _report_is_urgent: bool = False
    _told_at: float = -math.inf
    _told: RolloutShare | None = None
    # Since when the entries are told to send nothing to the old releases.
    _sealed_at: float = math.inf
    # Names of all entries since the order.
    _former: set[str] = field(factory=set)
    _final_at: float = math.inf
    _ticked_at: float = -math.inf
    _was_acting: bool = False
    _judgement: Judgement = NO_JUDGEMENT
    # Whether the last report told that nothing is left at the old releases for good.
    _drained_told: bool = False

    def is_over(self, now: float) -> bool:
        """Return whether the order is decided, and all entries were told."""
        return now > self._final_at + FINAL_TOLD_S

    def request_report(self) -> None:
        """Send the next report soon, as something important changed."""
        self._report_is_urgent = True

    def judgement(self) -> Judgement:
        """Return the last verdict on the reports that came here."""
        return self._judgement

    def note_record(self, stored: StoredRecord) -> None:
        """Apply a record that came by the table, or in a message."""
        self.course.note_followed(stored)
        if self.traffic.gate.note_record(stored):
            self._report_is_urgent = True

    def receive_report(self, report: RolloutReport, now: float) -> None:
        """Apply the report of an entry."""
        if self._tally.note(report, now) and report.order_age_s is not None:
            self.clock.note_age(report.order_age_s, now)

    def silent_members(self, around: Surroundings) -> list[FleetMember]:
        """Return the entries to ask whether they have ended, if this one leads."""
        if not self._was_acting:
            return []
        silent = dict(self._tally.silent(around.now))
        return [
            item for item in around.members if silent.get(item.name) == item.incarnation
        ]

    def note_ended(self, member: FleetMember) -> None:
        """Record that an entry has ended."""
        self._tally.note_ended(member.name, member.incarnation)

    def receive_share(self, message: RolloutShare, around: Surroundings) -> None:
        """Apply a message of a coordinator.

        Of two that both believe to be the coordinator, the first in rank decides the
        share. A halt counts from any of them.
        """
        now = around.now
        names = {item.name for item in around.members} - {around.me.name}
        if message.sender not in names:
            return
        if message.order_age_s is not None:
            self.clock.note_age(message.order_age_s, now)
        if message.halted:
            self._halt(message.halted)
        self.note_record(message.stored)
        age_s = self._message_age_s(message, now)
        if age_s >= SHARE_LIFETIME_S:
            return
        self.succession.note_heard(message.sender, now - age_s)
        self.traffic.gate.note_heard(now - age_s)
        if not self.succession.is_outranked(message.sender, around.members, now):
            self.traffic.gate.note_share(message.share, now, age_s)

    def tick(self, around: Surroundings) -> Outbox:
        """Return what to send now."""
        outbox = Outbox()
        now = around.now
        frozen_s = now - self._ticked_at
        self._ticked_at = now
        if frozen_s > FROZEN_S:
            self._was_acting = False
        position = self.succession.position(around.me, around.members)
        if position is not None:
            self._judgement = self._verdict.judge(self._tally.counts())
        # The coordinator decides by what it heard before it reports itself.
        members = around.members
        if position is not None and self.succession.acts(position, members, now):
            outbox.step = self._lead(around, outbox)
        else:
            self._was_acting = False
        record = self.course.known().record
        if record is None or not record.state.is_final:
            self._report(around, outbox)
        else:
            self._final_at = min(self._final_at, now)
        return outbox

    def last_report(self, around: Surroundings) -> Outbox:
        """Return the reports of an entry that ends, and has no requests any more."""
        outbox = Outbox()
        self._send_report(around, outbox, leaving=True)
        return outbox

    def _message_age_s(self, message: RolloutShare, now: float) -> float:
        """Return how long ago a message was sent; it may have waited in a queue.

        Both sides agree on the age of the order, so a message that states a lower one
        is old.
        """
        age_s = self.clock.age_s(now)
        if age_s is None or message.order_age_s is None:
            return 0.0
        return max(0.0, age_s - message.order_age_s)

    def _judge_own_counts(self, counts: RolloutCounts) -> None:
        judgement = self._own_verdict.judge(counts)
        if judgement.verdict is Verdict.BAD:
            self._halt(f"bad release at one entry: {judgement.reason}")

    def _halt(self, reason: str) -> None:
        if self.traffic.gate.halt(reason):
            self._report_is_urgent = True

    def _lead(self, around: Surroundings, outbox: Outbox) -> CourseStep:
        if not self._was_acting:
            self._was_acting = True
            self.course.restart(self.traffic.gate.share(around.now))
        step = self.course.step(self._view(around))
        now = around.now
        if step.halted:
            self._halt(step.halted)
        elif not self.course.has_read and self.course.known().record is None:
            # The order may have been decided before; entries must not be told else.
            return step
        self.traffic.gate.note_heard(self._tally.majority_heard_at(around.members))
        self.traffic.gate.note_share(step.share, now)
        message = RolloutShare(
            self.order.service,
            self.order.version,
            around.me.name,
            step.share,
            step.halted,
            self.clock.age_s(now),
            self.course.known(),
        )
        if self._must_tell(message, now):
            self._told_at, self._told = now, message
            addresses = self._tally.addresses(now)
            addresses |= {item.peer_address for item in around.members}
            own = around.me.peer_address
            outbox.shares.extend(
                (address, message) for address in sorted(addresses) if address != own
            )
        return step

    def _must_tell(self, message: RolloutShare, now: float) -> bool:
        told = self._told
        return (
            told is None
            or now - self._told_at >= SHARE_INTERVAL_S
            or told.share != message.share
            or told.halted != message.halted
            or told.stored != message.stored
        )

    def _view(self, around: Surroundings) -> FleetView:
        now = around.now
        counts = self._tally.counts()
        known = self.course.known()
        left_s = self.clock.left_s(known.record, around.order_delay_s, now)
        if left_s is not None:
            left_s -= END_MARGIN_S + around.store_call_s
        return FleetView(
            now,
            left_s,
            self.clock.ends_at_store_ms(around.order_delay_s),
            counts.requests,
            counts.sent,
            self._tally.rate_per_s(now),
            self._tally.placed_share(now),
            _mean_s(counts.old_by_route.values()),
            self._judgement,
            self._tally.halted() or self.traffic.gate.halted(),
            self._undrained(around, known),
            around.slots,
            around.store_answers,
        )

    def _undrained(self, around: Surroundings, known: StoredRecord) -> tuple[str, ...]:
        """Return the entries that may have or send requests at an old release."""
        names = {item.name for item in around.members}
        self._former |= names
        record = known.record
        if record is None or record.state is not RolloutState.COMPLETING:
            self._sealed_at = math.inf
            return tuple(names)
        self._sealed_at = min(self._sealed_at, around.now)
        told_s = around.now - self._sealed_at
        return self._tally.undrained(
            names, self._former, known.version, told_s, around.now
        )

    def _report(self, around: Surroundings, outbox: Outbox) -> None:
        share = self.traffic.gate.share(around.now)
        is_full = share >= FULL_REPORT_SHARE
        interval_s = FULL_REPORT_INTERVAL_S if is_full else REPORT_INTERVAL_S
        if self._report_is_urgent or self._is_newly_drained(around):
            interval_s = MIN_REPORT_INTERVAL_S
        if around.now - self._reported_at >= interval_s - 0.01:
            self._send_report(around, outbox, leaving=False)

    def _is_newly_drained(self, around: Surroundings) -> bool:
        """Return whether the last request at an old release ended, untold so far."""
        status = self.traffic.gate.status(around.now)
        if not status.sealed_version or self._drained_told:
            return False
        return not status.choosing_old and not around.in_flight_old()

    def _send_report(
        self, around: Surroundings, outbox: Outbox, *, leaving: bool
    ) -> None:
        now = around.now
        self._report_is_urgent = False
        self._reported_at = now
        self._sequence += 1
        # The state of the gate is read before the requests in flight, so that none
        # can be sent in between and be missed by both.
        status = self.traffic.gate.status(now)
        in_flight_old = status.choosing_old + around.in_flight_old()
        counts = self.traffic.counts()
        self._judge_own_counts(counts)
        self._drained_told = bool(status.sealed_version) and not in_flight_old
        report = RolloutReport(
            self.order.service,
            self.order.version,
            around.me.name,
            around.me.incarnation,
            around.me.peer_address,
            self._sequence,
            self.clock.age_s(now),
            counts,
            in_flight_old,
            status.sealed_version,
            status.heard,
            status.closed,
            self.traffic.gate.halted(),
            leaving,
        )
        self.receive_report(report, now)
        receivers = self.succession.report_receivers(
            around.members, self.traffic.gate.heard_at(), now
        )
        outbox.reports.extend(
            (item.peer_address, report) for item in receivers if item != around.me
        )


def _mean_s(counts: Iterable[ReleaseCounts]) -> float:
    durations: Counter[int] = Counter()
    for item in counts:
        durations.update(item.raw_durations)
    return mean_s(durations)
