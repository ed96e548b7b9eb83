"""Whether requests for a service come often enough to keep knowledge fresh for them."""

from collections.abc import Iterable

from attrs import define, field


@define
class RequestTimes:
    """Times of the last two requests of each service.

    Not thread-safe; ``SharedConditions`` calls it under its lock. Times are seconds on
    the monotonic clock.
    """

    _last_two_by_service: dict[str, tuple[float, float]] = field(factory=dict)

    def note(self, service: str, now: float) -> None:
        """Record a request for a service."""
        _, last = self._last_two_by_service.get(service, (float("-inf"),) * 2)
        self._last_two_by_service[service] = (last, now)

    def is_frequent(self, service: str, interval_s: float, now: float) -> bool:
        """Return whether requests for a service come at least once an interval.

        The last two must lie within two intervals before ``now``.
        """
        earlier, _ = self._last_two_by_service.get(service, (float("-inf"),) * 2)
        return now - earlier <= 2 * interval_s

    def keep(self, services: Iterable[str]) -> None:
        """Drop the times of all other services."""
        for service in self._last_two_by_service.keys() - set(services):
            del self._last_two_by_service[service]
