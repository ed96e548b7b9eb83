"""Latency of one backend server against its own baseline."""

import math

from attrs import define

RECENT_WEIGHT = 0.3
BASELINE_WEIGHT = 0.01
MIN_ANSWERS = 50
MIN_LATENCY_S = 1e-4
MIN_EXCESS_S = 0.05
MIN_RATIO = 4.0
MAX_DEVIATIONS = 6.0


@define
class LatencyBaseline:
    """Tells when recent answers take far longer than usual.

    Keeps the mean and variance of the logarithm of latencies, and a mean of the
    last few.
    """

    _answers: int = 0
    _mean: float = 0.0
    _variance: float = 0.0
    _recent_mean: float = 0.0

    def add(self, latency_s: float) -> None:
        """Take in the latency of one answer, in seconds."""
        value = math.log(max(latency_s, MIN_LATENCY_S))
        self._answers += 1
        if self._answers == 1:
            self._mean = self._recent_mean = value
            return
        weight = max(1 / self._answers, BASELINE_WEIGHT)
        difference = value - self._mean
        self._mean += weight * difference
        self._variance += weight * (difference * difference - self._variance)
        self._recent_mean += RECENT_WEIGHT * (value - self._recent_mean)

    def is_exceeded(self) -> bool:
        """Tell whether recent answers take far longer than the baseline."""
        if self._answers < MIN_ANSWERS:
            return False
        if math.exp(self._recent_mean) - math.exp(self._mean) < MIN_EXCESS_S:
            return False
        # Standard deviation of a mean with exponential weights.
        deviation = math.sqrt(self._variance * RECENT_WEIGHT / (2 - RECENT_WEIGHT))
        limit = max(math.log(MIN_RATIO), MAX_DEVIATIONS * deviation)
        return self._recent_mean - self._mean > limit
