"""Ideal baseline: one FIFO queue for all slots that knows every service time.

It is computed from the arrivals and service times that the load processes use, and
routing costs nothing. So no balancer that serves in order of arrival can be faster.
"""

import heapq
from collections.abc import Sequence

from attrs import define, frozen


@frozen
class Arrival:
    """One call of the ideal queue.

    Attributes
    ----------
    at_s : float
        Time of arrival, in seconds.
    work_s : float
        Its service time on a backend server of normal speed, in seconds.
    """

    at_s: float
    work_s: float


@define
class _SlotPool:
    """Slots of one speed, as a heap of the times at which they become free."""

    slowness: float
    free_at_heap: list[float]

    def start_at(self, arrival: Arrival) -> float:
        """Return when the call would start on the first free slot, in seconds."""
        return max(arrival.at_s, self.free_at_heap[0])

    def end_at(self, arrival: Arrival) -> float:
        """Return when the call would end on the first free slot, in seconds."""
        return self.start_at(arrival) + self.slowness * arrival.work_s


def single_queue_latencies(
    arrivals: Sequence[Arrival], slots_by_slowness: dict[float, int]
) -> list[float]:
    """Return the latency of each arrival in seconds.

    In order of arrival, each call takes the slot on which it ends first.

    Parameters
    ----------
    arrivals : sequence of Arrival
        Calls, ordered by time of arrival.
    slots_by_slowness : dict of float to int
        Number of slots by the factor that multiplies their service times.
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
