"""The ideal single queue against cases worked out by hand."""

import pytest

from bench.ideal import Arrival, single_queue_latencies


def test_free_slots_add_no_wait() -> None:
    arrivals = [Arrival(0.0, 2.0), Arrival(1.0, 3.0)]
    assert single_queue_latencies(arrivals, {1.0: 2}) == [2.0, 3.0]


def test_busy_slot_makes_the_next_wait() -> None:
    arrivals = [Arrival(0.0, 2.0), Arrival(1.0, 3.0), Arrival(1.5, 1.0)]
    assert single_queue_latencies(arrivals, {1.0: 1}) == [2.0, 4.0, 4.5]


@pytest.mark.parametrize(("work_s", "latency_s"), [(1.0, 3.0), (10.0, 12.0)])
def test_waits_for_a_fast_slot_rather_than_take_a_slow_one(work_s, latency_s) -> None:
    arrivals = [Arrival(0.0, 2.0), Arrival(0.0, work_s)]
    assert single_queue_latencies(arrivals, {1.0: 1, 10.0: 1})[1] == latency_s


def test_takes_a_slow_slot_that_ends_sooner() -> None:
    arrivals = [Arrival(0.0, 20.0), Arrival(0.0, 1.0)]
    assert single_queue_latencies(arrivals, {1.0: 1, 10.0: 1})[1] == 10.0
