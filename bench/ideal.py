"""The ideal: one queue before all slots that knows every service time.

A discrete computation over the arrivals and service times that the load processes
use, without any cost of routing, so that no balancer can answer sooner in order of
arrival.
"""

import heapq
from collections.abc import Sequence

from attrs import define, frozen


@frozen
class Arrival:
    """One call.

    Attributes
    ----------
    at_s : float
        When it arrives, in seconds.
    work_s : float
        Its service time on a backend server of normal speed, in seconds.
    """

    at_s: float
    work_s: float


@define
class _SlotPool:
    """Slots of one speed, ordered by the time at which they are free."""

    slowness: float
    free_at_heap: list[float]

    def start_at(self, arrival: Arrival) -> float:
        """Return when the arrival would start here."""
        return max(arrival.at_s, self.free_at_heap[0])

    def end_at(self, arrival: Arrival) -> float:
        """Return when the arrival would end here."""
        return self.start_at(arrival) + self.slowness * arrival.work_s


def single_queue_latencies(
    arrivals: Sequence[Arrival], slots_by_slowness: dict[float, int]
) -> list[float]:
    """Return the latency of each arrival in seconds.

    Each arrival in turn takes the slot on which it ends first.

    Parameters
    ----------
    arrivals : sequence of Arrival
        Ordered by time.
    slots_by_slowness : dict of float to int
        Number of slots for each factor by which service times are longer there.
    """
    pools = [
        _SlotPool(slowness, [0.0] * count)
        for slowness, count in slots_by_slowness.items()
        if count
    ]
    latencies = []
    for arrival in arrivals:
        pool = min(pools, key=lambda item: item.end_at(arrival))
        end_at = pool.end_at(arrival)
        heapq.heapreplace(pool.free_at_heap, end_at)
        latencies.append(end_at - arrival.at_s)
    return latencies
