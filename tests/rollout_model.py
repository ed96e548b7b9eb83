"""Plays the roll-out of one service in virtual time, without network.

Servers of two releases are simulated with phases in which a quarter of them runs seven
times slower. Verdict, share plan and course are the real ones; a single entry reports
to the coordinator, and the store answers at once.
"""

import heapq
import itertools
import random
from collections.abc import Callable

from attrs import define, field

from dotterelpier.fleet.rollouts.course import (
    FleetView,
    ReleaseSlots,
    RolloutCourse,
    StoreAction,
)
from dotterelpier.fleet.rollouts.durations import mean_s
from dotterelpier.fleet.rollouts.evidence import EvidenceCounters
from dotterelpier.fleet.rollouts.share_plan import SharePlan
from dotterelpier.fleet.rollouts.verdict import NO_JUDGEMENT, ReleaseVerdict
from dotterelpier.model.rollout import (
    RolloutCounts,
    RolloutOrder,
    RolloutState,
    StoredRecord,
)

STEP_S = 0.02
SLOW_FACTOR = 7.0
SLOW_PHASE_S = 0.5
FAST_PHASE_S = 1.5
TAIL_SHARE = 0.03
# Usual processing time of each route in seconds, and its part of the requests.
ROUTES = {"a": (0.08, 0.5), "b": (0.2, 0.35), "c": (0.35, 0.15)}
TARGET_S = 0.8
DEADLINE_S = 2.4
# Time before the end by which a decision is written: the delay of an order, 0.5 s, and
# a call to the store.
END_MARGIN_S = 2.1


@define
class Badness:
    """How the target misbehaves from a time on, or above a share of the load."""

    failure_rate: float = 0.0
    slow_factor: float = 1.0
    from_s: float = 0.0
    from_share: float = 0.0
    route: str = ""
    # Whether the servers report the slowness as their work ratio.
    reported: bool = False

    def applies(self, now: float, share: float, route: str) -> bool:
        return (
            now >= self.from_s
            and share >= self.from_share
            and self.route in ("", route)
        )


@define(eq=False)
class SimulatedServer:
    """A server that is slow in phases; requests are placed by what was known lately."""

    name: str
    random: random.Random
    changes_at: float = 0.0
    slow: bool = False
    seen_slow: bool = False

    def advance(self, now: float) -> None:
        self.seen_slow = self.slow
        while self.changes_at <= now:
            self.slow = not self.slow
            mean_s = SLOW_PHASE_S if self.slow else FAST_PHASE_S
            self.changes_at += self.random.expovariate(1 / mean_s)


@define(eq=False, slots=False)
class RolloutPlay:
    """One order, from its write to its decision."""

    seed: int
    rate_per_s: float
    badness: Badness | None = None
    duration_s: float = 12.0
    target_servers: int = 6
    old_servers: int = 20
    registered_at: float = 1.5
    # Time at which a server of the target crashes, and loses what it runs.
    crash_at: float = float("inf")
    # Failure rate of both releases.
    usual_failure_rate: float = 0.0
    now: float = 0.0
    requests: int = 0
    sent: int = 0
    sent_after_bad: int = 0
    bad_answers: int = 0
    bad_since: float | None = None
    fiftieth_bad_at: float | None = None
    last_sent_at: float = 0.0
    share: float = 0.0
    max_sent_while_good: int = 0
    share_when_bad: float = 0.0
    state: RolloutState = RolloutState.RUNNING
    reason: str = ""
    _credit: float = 0.5
    _evidence: EvidenceCounters = field(factory=EvidenceCounters)
    _ends: list = field(factory=list)
    _ids: "itertools.count[int]" = field(factory=itertools.count)

    def __attrs_post_init__(self) -> None:
        self.random = random.Random(self.seed)
        self.targets = self._servers("t", self.target_servers)
        self.olds = self._servers("o", self.old_servers)
        order = RolloutOrder("svc", "v2", self.duration_s, 1)
        self.course = RolloutCourse(order, SharePlan(0.1, 50))
        self.course.note_read(StoredRecord(None, 0))
        self.verdict = ReleaseVerdict()
        self.reported = RolloutCounts()
        self.urgent = False
        self.reported_at = self.judged_at = -1.0

    def _servers(self, prefix: str, count: int) -> list[SimulatedServer]:
        return [
            SimulatedServer(f"{prefix}{number}", self.random, self.random.random())
            for number in range(count)
        ]

    def run(self, after_step: Callable[[], None] = lambda: None) -> "RolloutPlay":
        """Play until the decision, and the answers after it."""
        while not self.state.is_final and self.now < self.duration_s:
            self.now += STEP_S
            for server in (*self.targets, *self.olds):
                server.advance(self.now)
            self._crash()
            self._end_attempts()
            for _ in range(self._arrivals()):
                self._request()
            self._report()
            self._steer()
            after_step()
        return self

    def _arrivals(self) -> int:
        expected = self.rate_per_s * STEP_S
        return int(expected) + (self.random.random() < expected % 1)

    def _request(self) -> None:
        self.requests += 1
        self._credit = min(2.0, self._credit + self.share)
        to_target = self.share > 0 and (self.share >= 1 or self._credit >= 1)
        routes = list(ROUTES)
        route = self.random.choices(routes, [ROUTES[item][1] for item in routes])[0]
        if to_target:
            self._credit = max(0.0, self._credit - 1)
            self.sent += 1
            self.last_sent_at = self.now
        servers = self.targets if to_target else self.olds
        fast = [item for item in servers if not item.seen_slow]
        self._send(self.random.choice(fast or servers), route, to_target)

    def _send(self, server: SimulatedServer, route: str, to_target: bool) -> None:
        work_s = ROUTES[route][0] * self.random.lognormvariate(0, 0.25)
        if self.random.random() < TAIL_SHARE:
            work_s *= SLOW_FACTOR
        bad = self.badness if to_target else None
        failing = self.random.random() < self.usual_failure_rate
        if bad and bad.applies(self.now, self.share, route):
            if self.bad_since is None:
                self.bad_since = self.now
                self.max_sent_while_good = self.sent
                self.share_when_bad = self.share
            failing = failing or self.random.random() < bad.failure_rate
            work_s *= bad.slow_factor
        if self.bad_since is not None and to_target:
            self.sent_after_bad += 1
        ends_at, slow_at_end = self._end_of(server, work_s)
        ratio = SLOW_FACTOR if slow_at_end else 1.0
        if bad and bad.reported and bad.slow_factor > 1:
            ratio *= bad.slow_factor
        number = next(self._ids)
        if to_target:
            self._evidence.note_pending(number, route, self.now)
        ends_at = min(ends_at, self.now + DEADLINE_S)
        end = (ends_at, number, self.now, server, route, to_target, failing, ratio)
        heapq.heappush(self._ends, end)

    def _end_of(self, server: SimulatedServer, work_s: float) -> tuple[float, bool]:
        """Return when some work ends, with one change of the phase at most."""
        speed = 1 / SLOW_FACTOR if server.slow else 1.0
        left_s = max(0.0, server.changes_at - self.now)
        if work_s <= left_s * speed:
            return self.now + work_s / speed, server.slow
        rest_s = work_s - left_s * speed
        after = 1.0 if server.slow else 1 / SLOW_FACTOR
        return self.now + left_s + rest_s / after, not server.slow

    def _end_attempts(self) -> None:
        while self._ends and self._ends[0][0] <= self.now:
            ends_at, number, sent_at, _, route, to_target, failing, ratio = (
                heapq.heappop(self._ends)
            )
            self._evidence.forget_pending(number)
            duration_s = ends_at - sent_at
            if duration_s >= DEADLINE_S:
                self._evidence.note_unanswered(route, to_target, duration_s, TARGET_S)
            elif failing:
                self._evidence.note_error(route, to_target)
                if to_target:
                    self._note_bad()
            else:
                self._evidence.note_answer(route, to_target, duration_s, ratio)

    def _crash(self) -> None:
        if self.now < self.crash_at:
            return
        self.crash_at = float("inf")
        crashed = self.targets.pop()
        kept = []
        for item in self._ends:
            if item[3] is crashed:
                self._evidence.forget_pending(item[1])
                self._evidence.note_lost(item[4], True, crashed.name)
            else:
                kept.append(item)
        heapq.heapify(kept)
        self._ends = kept

    def _note_bad(self) -> None:
        self.bad_answers += 1
        self.urgent = True
        if self.bad_answers == 50:
            self.fiftieth_bad_at = self.now

    def _report(self) -> None:
        interval_s = 0.25 if self.share >= 0.3 else 0.5
        interval_s = 0.1 if self.urgent else interval_s
        if self.now - self.reported_at < interval_s:
            return
        self.reported_at, self.urgent = self.now, False
        self.reported = RolloutCounts(
            self.requests,
            self.sent,
            self.sent,
            self.sent,
            *self._evidence.snapshot(self.now),
        )

    def _steer(self) -> None:
        if self.now - self.judged_at < 0.1:
            return
        self.judged_at = self.now
        judgement = (
            self.verdict.judge(self.reported) if self.now > 0.5 else NO_JUDGEMENT
        )
        is_registered = self.now >= self.registered_at
        slots = ReleaseSlots(
            6 * len(self.targets) if is_registered else 0,
            6 * self.old_servers,
            is_registered,
            ("v1",),
        )
        durations = {}
        for item in self.reported.old_by_route.values():
            for bucket, count in item.raw_durations.items():
                durations[bucket] = durations.get(bucket, 0) + count
        old_left = any(not item[5] for item in self._ends)
        view = FleetView(
            self.now,
            self.duration_s - END_MARGIN_S - self.now,
            1,
            self.reported.requests,
            self.reported.sent,
            self.rate_per_s,
            1.0,
            mean_s(durations),
            judgement,
            "",
            ("entry",) if old_left else (),
            slots,
            True,
        )
        step = self.course.step(view)
        self.share = 0.0 if step.halted else step.share
        if step.action is StoreAction.WRITE:
            version = step.expected_version + 1
            self.course.note_written(StoredRecord(step.record, version))
            self.state, self.reason = step.record.state, step.record.reason
