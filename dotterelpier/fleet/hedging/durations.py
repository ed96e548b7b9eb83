"""Distribution of the recent durations of attempts, by route, in bounded memory."""

import math
from array import array
from bisect import bisect_left
from collections.abc import Iterable
from itertools import pairwise

from attrs import define, field, frozen

# Buckets are a fifth wider than the one before; within a bucket, the estimate is
# interpolated. They reach from 1 ms to 65 s, the first and the last one without limit.
SHORTEST_S = 0.001
BUCKETS_PER_DOUBLING = 4
DOUBLINGS = 16
EDGES_S = tuple(
    SHORTEST_S * 2 ** (number / BUCKETS_PER_DOUBLING)
    for number in range(BUCKETS_PER_DOUBLING * DOUBLINGS + 1)
)
# All counts are halved when they reach this sum, so the estimate follows the last 500
# to 1,000 attempts of a route.
MAX_COUNT = 1000.0


@frozen
class DurationEstimate:
    """Share of attempts that take longer than some time.

    Attributes
    ----------
    count : float
        Attempts that the estimate follows.
    slower_shares : tuple of float
        Share that takes longer than each of ``EDGES_S``.
    """

    count: float
    slower_shares: tuple[float, ...]

    def slower_share(self, seconds: float) -> float:
        """Return the share of attempts that take longer than a time."""
        number = bisect_left(EDGES_S, seconds)
        if number == 0:
            return 1.0 if seconds <= 0 else self.slower_shares[0]
        if number == len(EDGES_S):
            return self.slower_shares[-1]
        before, after = self.slower_shares[number - 1 : number + 1]
        part = (seconds - EDGES_S[number - 1]) / (EDGES_S[number] - EDGES_S[number - 1])
        return before + part * (after - before)

    def quantile_s(self, slower_share: float) -> float:
        """Return the time that a share of the attempts exceeds, in seconds.

        Infinite if more of them are known to take longer than the last edge.
        """
        if self.slower_shares[0] <= slower_share:
            return EDGES_S[0]
        for number, (before, after) in enumerate(pairwise(self.slower_shares)):
            if after <= slower_share:
                part = (before - slower_share) / (before - after)
                return EDGES_S[number] + part * (EDGES_S[number + 1] - EDGES_S[number])
        return math.inf


@define
class DurationHistogram:
    """Counts attempts by duration, apart those that ended and those cut short.

    An attempt that was aborted is known to take longer than it ran, but not how much.
    It therefore counts among the slower ones up to there and says nothing beyond, as in
    the life-table estimator. Counted as if it had ended, it would pull the estimate
    down, and each hedged request would make the next one earlier.
    """

    _ended: "array[float]" = field(factory=lambda: array("d", bytes(8 * _buckets())))
    _cut_short: "array[float]" = field(
        factory=lambda: array("d", bytes(8 * _buckets()))
    )
    _count: float = 0.0

    def note(self, duration_s: float, *, ended: bool) -> None:
        """Count an attempt that ended or was cut short after a duration."""
        counts = self._ended if ended else self._cut_short
        counts[bisect_left(EDGES_S, duration_s)] += 1.0
        self._count += 1.0
        if self._count >= MAX_COUNT:
            for counts in (self._ended, self._cut_short):
                for number, count in enumerate(counts):
                    counts[number] = count / 2
            self._count /= 2

    def estimate(self) -> DurationEstimate:
        """Return the distribution of the durations as if none had been cut short."""
        slower_shares, slower, remaining = [], 1.0, self._count
        for ended, cut_short in zip(self._ended[:-1], self._cut_short, strict=False):
            # Those cut short within a bucket were exposed to half of it on average.
            exposed = remaining - cut_short / 2
            if ended > 0:
                slower *= max(0.0, 1 - ended / exposed)
            slower_shares.append(slower)
            remaining -= ended + cut_short
        return DurationEstimate(self._count, tuple(slower_shares))


@define
class RouteDurations:
    """Distributions of the durations of attempts, by the name of the route.

    Not thread-safe.
    """

    _histogram_by_route: dict[str, DurationHistogram] = field(factory=dict)

    def note(self, route: str, duration_s: float, *, ended: bool) -> None:
        """Count an attempt that ended or was cut short after a duration."""
        histogram = self._histogram_by_route.setdefault(route, DurationHistogram())
        histogram.note(duration_s, ended=ended)

    def estimate(self, route: str) -> DurationEstimate:
        """Return the distribution for a route; its count is 0 if nothing is known."""
        return self._histogram_by_route.get(route, DurationHistogram()).estimate()

    def keep(self, routes: Iterable[str]) -> None:
        """Forget all other routes."""
        for route in self._histogram_by_route.keys() - set(routes):
            del self._histogram_by_route[route]


def _buckets() -> int:
    return len(EDGES_S) + 1
