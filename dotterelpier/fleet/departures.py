"""Incarnations of backend servers whose registration has ended."""

from attrs import define, field

from dotterelpier.fleet.notices import Incarnation, incarnation_of
from dotterelpier.model.instance import Instance

# Far more than leave while a late write may still bring one back.
MAX_INCARNATIONS = 8192


@define
class Departures:
    """Remembers the incarnations that were registered and are no more.

    Not thread-safe; ``SharedConditions`` calls it under its lock.
    """

    # Used as an ordered set, the latest departure last.
    _departed: dict[Incarnation, None] = field(factory=dict)

    def note(self, instance: Instance) -> None:
        """Record that the registration of an incarnation has ended."""
        self._departed.pop(incarnation_of(instance), None)
        self._departed[incarnation_of(instance)] = None
        if len(self._departed) > MAX_INCARNATIONS:
            del self._departed[next(iter(self._departed))]

    def includes(self, instance: Instance) -> bool:
        """Return whether the registration of this incarnation has ended before."""
        return incarnation_of(instance) in self._departed
