"""The ideal single queue against cases worked out by hand."""

import pytest

from bench.ideal import Arrival, single_queue_latencies


def test_free_slots_add_no_queueing_delay() -> None:
    arrivals = [Arrival(0.0, 2.0), Arrival(1.0, 3.0)]
    assert single_queue_latencies(arrivals, {1.0: 2}) == [2.0, 3.0]


def test_call_waits_for_a_busy_slot() -> None:
    arrivals = [Arrival(0.0, 2.0), Arrival(1.0, 3.0), Arrival(1.5, 1.0)]
    assert single_queue_latencies(arrivals, {1.0: 1}) == [2.0, 4.0, 4.5]


@pytest.mark.parametrize(("work_s", "latency_s"), [(1.0, 3.0), (10.0, 12.0)])
def test_waits_for_a_fast_slot_that_ends_sooner(work_s, latency_s) -> None:
    arrivals = [Arrival(0.0, 2.0), Arrival(0.0, work_s)]
    assert single_queue_latencies(arrivals, {1.0: 1, 10.0: 1})[1] == latency_s


def test_uses_a_slow_slot_that_ends_sooner() -> None:
    arrivals = [Arrival(0.0, 20.0), Arrival(0.0, 1.0)]
    assert single_queue_latencies(arrivals, {1.0: 1, 10.0: 1})[1] == 10.0
