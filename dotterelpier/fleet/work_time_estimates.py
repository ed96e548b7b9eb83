"""Learns how long the requests of each route take at the usual pace of a server."""

from collections.abc import Iterable

from attrs import define, field

# Waiting and slow stretches only add to a duration, so the estimate follows shorter
# ones quickly and longer ones slowly.
WEIGHT_OF_SHORTER = 0.2
WEIGHT_OF_LONGER = 0.02


@define
class WorkTimeEstimates:
    """Estimates by route, each near a low quantile of what was seen."""

    _seconds_by_route: dict[str, float] = field(factory=dict)

    def note(self, route: str, duration_s: float, expected_time: float) -> None:
        """Take in how long an answer took.

        Parameters
        ----------
        route : str
            Name of the route.
        duration_s : float
            Time from sending to the answer, in seconds.
        expected_time : float
            What was expected when it was sent, in multiples of the usual work.
        """
        sample = duration_s / max(1.0, expected_time)
        before = self._seconds_by_route.get(route, sample)
        weight = WEIGHT_OF_SHORTER if sample < before else WEIGHT_OF_LONGER
        self._seconds_by_route[route] = before + weight * (sample - before)

    def seconds(self, route: str) -> float:
        """Return the usual work of a route in seconds, 0 while it is not known."""
        return self._seconds_by_route.get(route, 0.0)

    def keep(self, routes: Iterable[str]) -> None:
        """Forget all routes but these."""
        for route in self._seconds_by_route.keys() - set(routes):
            del self._seconds_by_route[route]
