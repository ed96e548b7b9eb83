"""Backend servers that asked for no further requests, or for none until a time."""

import math

from attrs import define, field

from dotterelpier.model.instance import Instance, InstanceNotice

# Incarnations that are remembered, also without a registration, as one that lapsed may
# come back.
MAX_INCARNATIONS = 8192

Incarnation = tuple[str, int]


def incarnation_of(instance: Instance) -> Incarnation:
    """Return what identifies an incarnation: the id and the start of the process."""
    return instance.id, instance.started_at_ms


def is_same_incarnation(first: Instance, second: Instance) -> bool:
    """Return whether two registrations are of one incarnation."""
    return incarnation_of(first) == incarnation_of(second)


@define
class InstanceNotices:
    """Remembers what each incarnation asked for, whatever its registration says.

    Not thread-safe; ``SharedConditions`` calls it under its lock. Times are seconds on
    the monotonic clock.
    """

    _closed_until_by_incarnation: dict[Incarnation, float] = field(factory=dict)

    def note(self, instance: Instance, notice: InstanceNotice, now: float) -> bool:
        """Record a notice; return whether requests are held back for longer by it."""
        until = math.inf if notice.leaving else now + notice.retry_after_s
        if until <= max(now, self.closed_until(instance)):
            return False
        closed = self._closed_until_by_incarnation
        # The newest notices come last.
        closed.pop(incarnation_of(instance), None)
        closed[incarnation_of(instance)] = until
        if len(closed) > MAX_INCARNATIONS:
            del closed[next(iter(closed))]
        return True

    def closed_until(self, instance: Instance) -> float:
        """Return until when it wants no requests, infinite if it leaves."""
        return self._closed_until_by_incarnation.get(
            incarnation_of(instance), -math.inf
        )
