"""Capacity of the backend servers of some services."""

from collections import Counter
from collections.abc import Iterable, Mapping, Set

from dotterelpier.fleet.condition import Condition


def capacity_by_zone(
    conditions: Iterable[Condition], subset_ids: Set[str], now: float
) -> Mapping[str, float]:
    """Return the current capacity of backend servers in slots, by zone.

    Only those that accept requests count. Those outside the subset are taken to accept
    them to the same share as the ones of their zone in it.

    Parameters
    ----------
    conditions : iterable of Condition
        Conditions of the backend servers, in the subset or not.
    subset_ids : set of str
        Ids of those in the subset, whose conditions are known.
    now : float
        Time on the monotonic clock, in seconds.
    """
    total: Counter[str] = Counter()
    known: Counter[str] = Counter()
    accepting: dict[str, float] = {}
    for item in conditions:
        zone, slots = item.instance.zone, item.instance.slots
        total[zone] += slots
        if item.instance.id not in subset_ids:
            continue
        known[zone] += slots
        if item.accepts(now):
            accepting[zone] = accepting.get(zone, 0.0) + item.capacity(now)
    return {
        zone: capacity * total[zone] / known[zone]
        for zone, capacity in accepting.items()
    }
