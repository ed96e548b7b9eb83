"""Whether backend servers slow down when all their slots are in use.

Some work so much slower then that they finish fewer requests than with a slot free.
This is learnt from answers, for all services together, as a service alone has too few
requests at a full server.
"""

import math
from collections.abc import Iterable

from attrs import define, field

# Samples of each kind before the estimate is used.
MIN_SAMPLES = 12
# Weight of a new sample once there are this many.
MAX_WEIGHT_SAMPLES = 60
# Samples of backend servers that are slow for other reasons say little.
MAX_WORK_RATIO = 1.5
# Limits a single sample to this factor around the usual duration.
MAX_FACTOR = 4.0
# Slowdowns from which the last slot is kept free, and below which it is used again.
# Hysteresis keeps the estimate's noise from switching it.
SLOWDOWN_ON = 1.25
SLOWDOWN_OFF = 1.1


@define
class MeanLog:
    """Mean of logarithms, in which later samples count more."""

    count: int = 0
    value: float = 0.0

    def note(self, log: float) -> None:
        """Add a logarithm, limited to ``MAX_FACTOR`` around the mean."""
        if self.count:
            span = math.log(MAX_FACTOR)
            log = min(self.value + span, max(self.value - span, log))
        self.count += 1
        self.value += (log - self.value) / min(self.count, MAX_WEIGHT_SAMPLES)


@define
class FullLoadEstimate:
    """Compares durations at full backend servers with those at others, by route.

    Not thread-safe; ``SharedConditions`` calls it under its lock.
    """

    _free_by_route: dict[str, MeanLog] = field(factory=dict)
    _full: MeanLog = field(factory=MeanLog)
    _keeps_slot_free: bool = False

    def note(
        self,
        route: str,
        in_flight: int,
        slots: int,
        work_ratio: float,
        duration_s: float,
    ) -> None:
        """Add an answer.

        Parameters
        ----------
        route : str
            Name of its route.
        in_flight : int
            Requests estimated to be at the backend server before the answered one.
        slots : int
            Its slots.
        work_ratio : float
            Its work time when the request was sent, in multiples of the usual.
        duration_s : float
            Time from sending to the answer, in seconds.
        """
        if in_flight >= slots or work_ratio > MAX_WORK_RATIO or duration_s <= 0:
            return
        free = self._free_by_route.setdefault(route, MeanLog())
        if in_flight + 1 < slots:
            free.note(math.log(duration_s))
        elif free.count >= MIN_SAMPLES:
            self._full.note(math.log(duration_s) - free.value)
        if self._full.count < MIN_SAMPLES:
            return
        limit = SLOWDOWN_OFF if self._keeps_slot_free else SLOWDOWN_ON
        self._keeps_slot_free = math.exp(self._full.value) >= limit

    def keeps_slot_free(self) -> bool:
        """Return whether backend servers finish more requests with a slot free."""
        return self._keeps_slot_free

    def keep(self, routes: Iterable[str]) -> None:
        """Drop what is known of all other routes."""
        for route in self._free_by_route.keys() - set(routes):
            del self._free_by_route[route]
