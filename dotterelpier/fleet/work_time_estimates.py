"""Estimates of how long requests take at the usual work time, by a key."""

from collections.abc import Iterable

from attrs import define, field

# Queueing and slow phases only lengthen a duration, so the estimate follows shorter
# durations quickly and longer ones slowly.
WEIGHT_OF_SHORTER = 0.2
WEIGHT_OF_LONGER = 0.02


@define
class WorkTimeEstimates:
    """Keeps an estimate by route or service, near a low quantile of the durations.

    Not thread-safe; ``SharedConditions`` calls it under its lock.
    """

    _seconds_by_key: dict[str, float] = field(factory=dict)

    def note(self, key: str, duration_s: float, expected_time: float) -> None:
        """Update the estimate of a key with the duration of an answer.

        Parameters
        ----------
        key : str
            Name of the route or service.
        duration_s : float
            Time from sending to the answer, in seconds.
        expected_time : float
            Expected time when it was sent, in multiples of the usual work time. The
            duration is divided by it, or by 1 if it is less.
        """
        sample = duration_s / max(1.0, expected_time)
        before = self._seconds_by_key.get(key, sample)
        weight = WEIGHT_OF_SHORTER if sample < before else WEIGHT_OF_LONGER
        self._seconds_by_key[key] = before + weight * (sample - before)

    def seconds(self, key: str) -> float:
        """Return the usual work time of a key in seconds, 0 while it is unknown."""
        return self._seconds_by_key.get(key, 0.0)

    def keep(self, keys: Iterable[str]) -> None:
        """Drop the estimates of all other keys."""
        for key in self._seconds_by_key.keys() - set(keys):
            del self._seconds_by_key[key]
