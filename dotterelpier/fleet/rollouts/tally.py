"""Sum of the reports of all entries about one order, at its coordinator."""

import math
from collections import Counter, deque
from collections.abc import Collection, Mapping, Set

from attrs import define, evolve, field, frozen

from dotterelpier.fleet.rollouts.durations import quantile_bucket, upper_bound_s
from dotterelpier.fleet.rollouts.gate import LEASE_S
from dotterelpier.model.fleet import FleetMember
from dotterelpier.model.rollout import ReleaseCounts, RolloutCounts, RolloutReport

# An entry that was heard of and is silent for this long has stopped sending to the old
# releases, if it hears nothing either. What it sent before may run for as long as
# nearly all requests do, at most as long as clients wait.
SILENT_S = LEASE_S + 0.5
RUN_QUANTILE = 0.98
MAX_RUN_S = 6.0
# An entry without a report for this long may have ended.
MISSED_S = 1.2
# Time in which an entry that hears the coordinator is told, one message may be lost.
TOLD_S = 1.0
# Window in which the rate of requests and the room at the target are measured.
RATE_WINDOW_S = 2.0


@frozen
class ReceivedReport:
    """The last report of an incarnation of an entry, and when it came.

    ``has_ended`` tells that the incarnation has surely ended.
    """

    report: RolloutReport
    received_at: float
    has_ended: bool = False


@define
class _Sum:
    """Counts of one release on one route, of all entries."""

    answers: int = 0
    errors: int = 0
    lost: int = 0
    durations: Counter[int] = field(factory=Counter)
    raw_durations: Counter[int] = field(factory=Counter)
    pending: Counter[int] = field(factory=Counter)

    def add(self, counts: ReleaseCounts, sign: int) -> None:
        """Add counts, or subtract them with a sign of -1."""
        self.answers += sign * counts.answers
        self.errors += sign * counts.errors
        self.lost += sign * counts.lost
        for total, added in (
            (self.durations, counts.durations),
            (self.raw_durations, counts.raw_durations),
            (self.pending, counts.pending),
        ):
            for bucket, count in added.items():
                total[bucket] += sign * count

    def counts(self) -> ReleaseCounts:
        """Return the sum; it must not be used after the next change."""
        return ReleaseCounts(
            self.answers,
            self.errors,
            self.lost,
            self.durations,
            self.raw_durations,
            self.pending,
        )


@define
class _Totals:
    """Requests and attempts of all entries at some time, for rates.

    The first report of an entry is left out: it may tell of a long time.
    """

    at: float = 0.0
    requests: int = 0
    due: int = 0
    placed: int = 0

    def add(self, counts: RolloutCounts, sign: int) -> None:
        """Add counts, or subtract them with a sign of -1."""
        self.requests += sign * counts.requests
        self.due += sign * counts.due
        self.placed += sign * counts.placed


@define
class ReportTally:
    """Keeps the last report of each entry, and the sum of the counts.

    The counts of an incarnation that ended stay in the sum. Not thread-safe; times are
    on the monotonic clock, in seconds.
    """

    _received_by_sender: dict[str, ReceivedReport] = field(factory=dict)
    _requests: int = 0
    _sent: int = 0
    _due: int = 0
    _placed: int = 0
    _target_by_route: dict[str, _Sum] = field(factory=dict)
    _old_by_route: dict[str, _Sum] = field(factory=dict)
    _lost_by_server: Counter[str] = field(factory=Counter)
    _recent: _Totals = field(factory=_Totals)
    _window: "deque[_Totals]" = field(factory=deque)

    def note(self, report: RolloutReport, now: float) -> bool:
        """Add a report unless a newer one is known; return whether it was added."""
        before = self._received_by_sender.get(report.sender)
        if before is not None and before.report.incarnation == report.incarnation:
            if report.sequence <= before.report.sequence:
                return False
            self._add(before.report.counts, -1)
            self._recent.add(report.counts, 1)
            self._recent.add(before.report.counts, -1)
        self._add(report.counts, 1)
        self._received_by_sender[report.sender] = ReceivedReport(report, now)
        return True

    def counts(self) -> RolloutCounts:
        """Return the sum of all counts; not to be used after the next change."""
        return RolloutCounts(
            self._requests,
            self._sent,
            self._due,
            self._placed,
            {route: item.counts() for route, item in self._target_by_route.items()},
            {route: item.counts() for route, item in self._old_by_route.items()},
            self._lost_by_server,
        )

    def halted(self) -> str:
        """Return why an entry stopped sending to the target, empty if none did."""
        reasons = (item.report.halted for item in self._received_by_sender.values())
        return next(filter(None, reasons), "")

    def addresses(self, now: float) -> frozenset[str]:
        """Return where the entries that report lately receive messages."""
        return frozenset(
            item.report.address
            for item in self._received_by_sender.values()
            if now - item.received_at < SILENT_S and not item.report.leaving
        )

    def silent(self, now: float) -> tuple[tuple[str, str], ...]:
        """Return name and incarnation of the entries that stopped reporting."""
        return tuple(
            (name, item.report.incarnation)
            for name, item in self._received_by_sender.items()
            if now - item.received_at > MISSED_S and not item.has_ended
        )

    def note_ended(self, name: str, incarnation: str) -> None:
        """Record that an entry has ended, and its requests with it."""
        received = self._received_by_sender.get(name)
        if received is not None and received.report.incarnation == incarnation:
            self._received_by_sender[name] = evolve(received, has_ended=True)

    def undrained(
        self,
        members: Set[str],
        former: Set[str],
        sealed_version: int,
        told_s: float,
        now: float,
    ) -> tuple[str, ...]:
        """Return the entries that may have or send requests at an old release.

        Left out are entries that ended, and those that surely stopped though they do
        not tell: they hear nothing and stopped by themselves, or they were told to.
        Their last requests have ended since.

        Parameters
        ----------
        members, former : set of str
            Names of the entries, and of those that were entries since the order.
        sealed_version : int
            Version of the record that tells to send nothing to the old releases.
        told_s : float
            For how long the entries are told of it, in seconds.
        now : float
            The time.
        """
        run_s = self._run_s()
        has_told = told_s >= TOLD_S + run_s
        undrained = []
        for name in sorted(members | former | self._received_by_sender.keys()):
            received = self._received_by_sender.get(name)
            if received is None or not received.report.heard:
                stopped = has_told and name not in members
            else:
                silent_s = now - received.received_at
                stopped = has_told and silent_s >= SILENT_S + run_s
            if not stopped and not _is_drained(received, sealed_version):
                undrained.append(name)
        return tuple(undrained)

    def majority_heard_at(self, members: Collection[FleetMember]) -> float:
        """Return since when more than half of the members have reported.

        Those that have ended do not count.
        """
        received = [self._received_by_sender.get(item.name) for item in members]
        times = sorted(
            (
                -math.inf if item is None else item.received_at
                for item in received
                if item is None or not item.has_ended
            ),
            reverse=True,
        )
        return times[len(times) // 2] if times else -math.inf

    def rate_per_s(self, now: float) -> float:
        """Return the requests each second, 0 while it is unknown."""
        first, last = self._ends_of_window(now)
        elapsed_s = last.at - first.at
        return (last.requests - first.requests) / elapsed_s if elapsed_s > 0 else 0.0

    def placed_share(self, now: float) -> float:
        """Return the share of the latest attempts for which the target had room."""
        first, last = self._ends_of_window(now)
        due = last.due - first.due
        return (last.placed - first.placed) / due if due > 0 else 1.0

    def _ends_of_window(self, now: float) -> tuple[_Totals, _Totals]:
        current = evolve(self._recent, at=now)
        self._window.append(current)
        while len(self._window) > 2 and self._window[1].at <= now - RATE_WINDOW_S:
            self._window.popleft()
        return self._window[0], current

    def _add(self, counts: RolloutCounts, sign: int) -> None:
        self._requests += sign * counts.requests
        self._sent += sign * counts.sent
        self._due += sign * counts.due
        self._placed += sign * counts.placed
        _add_routes(self._target_by_route, counts.target_by_route, sign)
        _add_routes(self._old_by_route, counts.old_by_route, sign)
        for instance_id, lost in counts.lost_by_server.items():
            self._lost_by_server[instance_id] += sign * lost

    def _run_s(self) -> float:
        """Return how long nearly all requests at the old releases run."""
        durations: Counter[int] = Counter()
        for item in self._old_by_route.values():
            durations.update(item.raw_durations)
        bucket = quantile_bucket(durations, RUN_QUANTILE)
        return MAX_RUN_S if bucket is None else min(MAX_RUN_S, upper_bound_s(bucket))


def _is_drained(received: ReceivedReport | None, sealed_version: int) -> bool:
    """Return whether an entry told that nothing is left at the old releases."""
    if received is None:
        return False
    report = received.report
    sends_none = report.sealed_version == sealed_version or report.closed
    is_empty = sends_none and not report.in_flight_old
    return received.has_ended or report.leaving or is_empty


def _add_routes(
    sum_by_route: dict[str, _Sum], added: Mapping[str, ReleaseCounts], sign: int
) -> None:
    for route, counts in added.items():
        sum_by_route.setdefault(route, _Sum()).add(counts, sign)
