"""Sequential test of whether failures are more frequent than a baseline."""

import math

from attrs import define, field


@define
class SequentialTest:
    """Cumulative sums of log-likelihood ratios, one for each alternative.

    Each sum tests the baseline against a failure rate above it and restarts at 0
    whenever the baseline is the likelier, so that a change at any moment is found as
    soon as one at the start.

    Attributes
    ----------
    added_shares : tuple of float
        For each alternative, the share of the answers that fail beyond the baseline.
    """

    added_shares: tuple[float, ...]
    _sums: list[float] = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._sums = [0.0] * len(self.added_shares)

    def add(self, failures: float, successes: float, baseline: float) -> None:
        """Add outcomes; ``baseline`` is the failure rate expected of a good release."""
        if failures <= 0 and successes <= 0:
            return
        for index, added in enumerate(self.added_shares):
            rate = baseline + (1 - baseline) * added
            ratio = failures * math.log(rate / baseline)
            ratio += successes * math.log((1 - rate) / (1 - baseline))
            self._sums[index] = max(0.0, self._sums[index] + ratio)

    def score(self) -> float:
        """Return the largest sum: the logarithm of how much likelier a failure is."""
        return max(self._sums)
