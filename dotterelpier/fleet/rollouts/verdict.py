"""Verdict on the target of a roll-out from the counts of both releases.

A decision without clock, lock or network. Failures are tested one after the other
against the failure rate of the old release. Durations are compared with the median of
the old release on the same route; an answer above twice that is slow, and slow answers
are tested in the same way.
"""

import math
from collections.abc import Callable, Iterator, Mapping
from enum import Enum
from operator import attrgetter

from attrs import define, field, frozen

from dotterelpier.fleet.rollouts.durations import (
    SLOW_BUCKETS,
    count_above,
    median_bucket,
)
from dotterelpier.fleet.rollouts.sequential import SequentialTest
from dotterelpier.model.rollout import ReleaseCounts, RolloutCounts

# Score from which the release is bad. One route or all, failures, slowness with and
# without the work ratio: a dozen tests run at once, so each must be rarely wrong.
BAD_SCORE = 9.0
# Share of that score from which the release is suspected.
SUSPICION_SHARE = 0.5
# Answers without which the release is not called good.
MIN_ANSWERS = 8
# Bad answers without which the release is not called bad.
MIN_BAD_ANSWERS = 4
# Shares of the answers that fail at a bad release, beyond those of the old one.
FAILURE_SHARES = (0.06, 0.15, 0.4)
SLOW_SHARES = (0.35, 0.7)
RAW_SLOW_SHARES = (0.75,)
# Lowest failure rates assumed of a good release. A few servers of the target have more
# slow answers than the many of the old release, as they can be avoided less well while
# they run slower for a moment.
MIN_FAILURE_RATE = 0.01
MIN_SLOW_RATE = 0.1
MIN_RAW_SLOW_RATE = 0.35
MAX_RATE = 0.6
# Durations of the old release on a route that its median takes.
MIN_BASELINE = 12
# Answers of the old release that its recent failure rate is taken from.
RECENT_ANSWERS = 200
ALL_ROUTES = ""
NO_COUNTS = ReleaseCounts()


class Verdict(Enum):
    """What the counts tell about a release."""

    NOT_ENOUGH = "not_enough"
    GOOD_SO_FAR = "good_so_far"
    BAD = "bad"


@frozen
class Judgement:
    """A verdict and what it rests on.

    Attributes
    ----------
    verdict : Verdict
        The verdict.
    answers : int
        Answers of the target that were counted, bad ones included.
    score : float
        Largest score of a test as a share of the one that condemns.
    reason : str
        Test with the largest score.
    """

    verdict: Verdict
    answers: int
    score: float
    reason: str

    @property
    def is_suspected(self) -> bool:
        """Return whether a test leans towards a bad release."""
        return self.score >= SUSPICION_SHARE


NO_JUDGEMENT = Judgement(Verdict.NOT_ENOUGH, 0, 0.0, "")


@define
class _RecentRate:
    """Failure rate of the latest answers; older ones count half each time."""

    _failures: float = 0.0
    _answers: float = 0.0

    def add(self, failures: float, successes: float) -> None:
        self._failures += failures
        self._answers += failures + successes
        while self._answers > RECENT_ANSWERS:
            self._failures /= 2
            self._answers /= 2

    def rate(self) -> float:
        # A failure among few answers is no rate yet.
        return self._failures / (self._answers + RECENT_ANSWERS / 8)


Pair = tuple[float, float]


@define
class _Comparison:
    """A test of the failures of the target against those of the old release.

    Counts are cumulative pairs of failures and successes.

    Attributes
    ----------
    min_rate : float
        Lowest failure rate assumed of a good release.
    min_failures : float
        Failures of the target without which it is only suspected.
    """

    test: SequentialTest
    min_rate: float
    min_failures: float
    _last: tuple[float, ...] = (0.0, 0.0, 0.0, 0.0)
    _recent: _RecentRate = field(factory=_RecentRate)

    def add(self, target: Pair, old: Pair) -> None:
        """Test what was added since the last call."""
        before, self._last = self._last, (*target, *old)
        # A count may shrink, as attempts that are aborted early are not counted.
        added = [
            max(0.0, new - last) for new, last in zip(self._last, before, strict=True)
        ]
        self._recent.add(added[2], added[3])
        overall = old[0] / (sum(old) + RECENT_ANSWERS / 8)
        baseline = max(self.min_rate, overall, self._recent.rate())
        self.test.add(added[0], added[1], min(MAX_RATE, baseline))

    def skip(self, target: Pair, old: Pair) -> None:
        """Take counts as known without a test, as the definition of failure changed."""
        self._last = (*target, *old)

    def score(self) -> float:
        """Return the score of the test."""
        score = self.test.score()
        if self._last[0] < self.min_failures:
            return min(score, SUSPICION_SHARE * BAD_SCORE)
        return score


@define
class _SlowLimit:
    """Bucket above which answers of a route are slow; refined as the baseline grows."""

    bucket: int | None = None
    _baseline: int = 0

    def is_due(self, old: Mapping[int, int]) -> bool:
        """Return whether the baseline has grown enough to compute the limit anew."""
        return sum(old.values()) >= max(MIN_BASELINE, 4 * self._baseline)

    def refine(self, old: Mapping[int, int]) -> None:
        """Compute the limit from the durations of the old release."""
        self._baseline = sum(old.values())
        median = median_bucket(old)
        assert median is not None
        self.bucket = median + SLOW_BUCKETS

    def split(self, durations: Mapping[int, int], pending: Mapping[int, int]) -> Pair:
        """Return the slow answers and the others; pending ones may count as slow."""
        assert self.bucket is not None
        slow = count_above(durations, self.bucket)
        fast = sum(durations.values()) - slow
        return float(slow + count_above(pending, self.bucket)), float(fast)


@define
class _SlownessTest:
    """Tests of the durations by route, and of all routes together.

    Attributes
    ----------
    name : str
        Name of the test, for the reason of a verdict.
    durations : Callable
        Returns the histogram that it compares.
    pending : Callable
        Returns the histogram of attempts without an answer so far.
    slow_shares : tuple of float
        Alternatives: the shares of the answers that are slow at a bad release.
    min_rate : float
        Lowest share of slow answers assumed of a good release.
    """

    name: str
    durations: Callable[[ReleaseCounts], Mapping[int, int]]
    pending: Callable[[ReleaseCounts], Mapping[int, int]]
    slow_shares: tuple[float, ...]
    min_rate: float
    _limit_by_route: dict[str, _SlowLimit] = field(factory=dict)
    _comparison_by_route: dict[str, _Comparison] = field(factory=dict)

    def add(self, counts: RolloutCounts) -> None:
        """Test what was added to the counts since the last call."""
        self._set_first_limits(counts)
        for route, (target, old) in self._pairs(counts).items():
            self._comparison(route).add(target, old)
        if self._refine_limits(counts):
            for route, (target, old) in self._pairs(counts).items():
                self._comparison(route).skip(target, old)

    def scores(self) -> Iterator[tuple[float, str]]:
        """Yield the score and the name of each test."""
        for route, comparison in self._comparison_by_route.items():
            yield comparison.score(), f"{self.name} {route}".strip()

    def _comparison(self, route: str) -> _Comparison:
        if route not in self._comparison_by_route:
            test = SequentialTest(self.slow_shares)
            comparison = _Comparison(test, self.min_rate, MIN_BAD_ANSWERS)
            self._comparison_by_route[route] = comparison
        return self._comparison_by_route[route]

    def _set_first_limits(self, counts: RolloutCounts) -> None:
        for route, old in counts.old_by_route.items():
            limit = self._limit_by_route.setdefault(route, _SlowLimit())
            if limit.bucket is None and limit.is_due(self.durations(old)):
                limit.refine(self.durations(old))

    def _refine_limits(self, counts: RolloutCounts) -> bool:
        refined = False
        for route, old in counts.old_by_route.items():
            limit = self._limit_by_route[route]
            if limit.is_due(self.durations(old)):
                limit.refine(self.durations(old))
                refined = True
        return refined

    def _pairs(self, counts: RolloutCounts) -> dict[str, tuple[Pair, Pair]]:
        """Return the counts of target and old release by route, and of all routes."""
        pair_by_route = {}
        totals: tuple[Pair, Pair] = ((0.0, 0.0), (0.0, 0.0))
        for route, limit in self._limit_by_route.items():
            if limit.bucket is None:
                continue
            target = counts.target_by_route.get(route, NO_COUNTS)
            old = counts.old_by_route[route]
            pairs = (
                limit.split(self.durations(target), self.pending(target)),
                limit.split(self.durations(old), {}),
            )
            pair_by_route[route] = pairs
            totals = (_sum(totals[0], pairs[0]), _sum(totals[1], pairs[1]))
        pair_by_route[ALL_ROUTES] = totals
        return pair_by_route


@define
class _FailureTest:
    """Tests of bad answers by route, and of all routes together."""

    _comparison_by_route: dict[str, _Comparison] = field(factory=dict)

    def add(self, counts: RolloutCounts) -> None:
        """Test what was added to the counts since the last call."""
        lost_weight = _lost_weight(counts.lost_by_server)
        totals: tuple[Pair, Pair] = ((0.0, 0.0), (0.0, 0.0))
        for route in counts.target_by_route.keys() | counts.old_by_route.keys():
            target = counts.target_by_route.get(route, NO_COUNTS)
            old = counts.old_by_route.get(route, NO_COUNTS)
            failures = target.errors + target.lost * lost_weight
            pairs = (
                (failures, float(target.answers)),
                (float(old.errors + old.lost), float(old.answers)),
            )
            self._comparison(route).add(*pairs)
            totals = (_sum(totals[0], pairs[0]), _sum(totals[1], pairs[1]))
        self._comparison(ALL_ROUTES).add(*totals)

    def scores(self) -> Iterator[tuple[float, str]]:
        """Yield the score and the name of each test."""
        for route, comparison in self._comparison_by_route.items():
            yield comparison.score(), f"failures {route}".strip()

    def _comparison(self, route: str) -> _Comparison:
        if route not in self._comparison_by_route:
            test = SequentialTest(FAILURE_SHARES)
            comparison = _Comparison(test, MIN_FAILURE_RATE, MIN_BAD_ANSWERS)
            self._comparison_by_route[route] = comparison
        return self._comparison_by_route[route]


def _lost_weight(lost_by_server: Mapping[str, int]) -> float:
    """Return how much a lost answer counts: less where few servers lost many.

    A server that crashes loses all of its answers at once, which tells little of its
    release.
    """
    lost = sum(lost_by_server.values())
    if not lost:
        return 1.0
    return sum(math.log2(1 + count) for count in lost_by_server.values()) / lost


def _sum(first: Pair, second: Pair) -> Pair:
    return first[0] + second[0], first[1] + second[1]


def _no_pending(counts: ReleaseCounts) -> Mapping[int, int]:
    return {}


def _slowness_tests() -> tuple[_SlownessTest, ...]:
    return (
        _SlownessTest(
            "slow",
            attrgetter("durations"),
            _no_pending,
            SLOW_SHARES,
            MIN_SLOW_RATE,
        ),
        # A server may report the slowness of its release as its own work ratio.
        _SlownessTest(
            "slow_raw",
            attrgetter("raw_durations"),
            attrgetter("pending"),
            RAW_SLOW_SHARES,
            MIN_RAW_SLOW_RATE,
        ),
    )


@define
class ReleaseVerdict:
    """Judges a release from cumulative counts; to be called whenever they changed.

    Attributes
    ----------
    bad_score : float
        Score of a test from which the release is bad.
    """

    bad_score: float = BAD_SCORE
    _failures: _FailureTest = field(factory=_FailureTest)
    _slowness: tuple[_SlownessTest, ...] = field(factory=_slowness_tests)

    def judge(self, counts: RolloutCounts) -> Judgement:
        """Return the verdict on all counts so far."""
        tests: tuple[_FailureTest | _SlownessTest, ...]
        tests = (self._failures, *self._slowness)
        for test in tests:
            test.add(counts)
        worst, reason = max(score for test in tests for score in test.scores())
        score = worst / self.bad_score
        target = counts.target_by_route.values()
        answers = sum(item.answers + item.errors + item.lost for item in target)
        verdict = Verdict.GOOD_SO_FAR
        if score >= 1:
            verdict = Verdict.BAD
        elif answers < MIN_ANSWERS or score >= SUSPICION_SHARE:
            verdict = Verdict.NOT_ENOUGH
        return Judgement(verdict, answers, score, reason if score > 0 else "")
