"""Figures worked out from a run of load."""

from collections.abc import Sequence
from typing import Any

from hdrh.histogram import HdrHistogram

from bench.ideal import single_queue_latencies
from bench.plan import SERVICE_S, arrivals_of, slots_by_service
from bench.scenarios import SLOW_EVERY, SLOWNESS, Scenario
from bench.system import LoadResult
from dotterelpier.model.manifest import Manifest

MAX_LATENCY_US = 120_000_000
SIGNIFICANT_DIGITS = 3
IN_TIME_S = 20 * SERVICE_S
WINDOW_S = 0.1
PERCENTILE_BY_NAME = {"p50_ms": 50.0, "p99_ms": 99.0, "p99_9_ms": 99.9}


def quantiles_ms(latencies_s: Sequence[float]) -> dict[str, float]:
    """Return p50, p99 and p99.9 in milliseconds."""
    histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    for latency_s in latencies_s:
        histogram.record_value(max(1, int(latency_s * 1e6)))
    return {
        name: round(histogram.get_value_at_percentile(percentile) / 1000, 2)
        for name, percentile in PERCENTILE_BY_NAME.items()
    }


def summarise(load: LoadResult) -> dict[str, Any]:
    """Return the figures of one run."""
    outcomes = [result["outcome"] for result in load.results]
    in_time = sum(_in_time(result) for result in load.results)
    count = len(load.results)
    return {
        "calls": count,
        "outcomes": {name: outcomes.count(name) for name in sorted(set(outcomes))},
        **quantiles_ms([result["latency_s"] for result in load.results]),
        "in_time_share": round(in_time / count, 5),
        "machine_busy_share": round(load.busy_share, 3),
        "load_lag_p99_ms": round(1000 * load.lag_p99_s(), 2),
        "entry_processor_ms_per_call": round(
            1000 * load.entries_processor_s / count, 3
        ),
        "void": load.void(),
    }


def _in_time(result: dict[str, Any]) -> bool:
    return result["outcome"] == "answered" and result["latency_s"] <= IN_TIME_S


def ideal_ms(
    manifest: Manifest, load: LoadResult, scenario: Scenario
) -> dict[str, float]:
    """Return what the ideal single queue gives for the same calls."""
    latencies: list[float] = []
    for service, slots in slots_by_service(manifest).items():
        calls = [call for call in load.calls if call.service == service]
        slow = _slow_slots(manifest, service) if scenario.has_slow_servers else 0
        latencies += single_queue_latencies(
            arrivals_of(calls), {1.0: slots - slow, SLOWNESS: slow}
        )
    return quantiles_ms(latencies)


def _slow_slots(manifest: Manifest, service: str) -> int:
    slow = manifest.backend_servers[::SLOW_EVERY]
    return sum(server.slots for server in slow if server.service == service)


def in_time_by_window(load: LoadResult) -> list[float]:
    """Return the share of calls in time for each 100 ms of intended start."""
    windows: dict[int, list[bool]] = {}
    for call, result in zip(load.calls, load.results, strict=True):
        windows.setdefault(int(call.at_s / WINDOW_S), []).append(_in_time(result))
    last = max(windows)
    shares = []
    for index in range(last + 1):
        values = windows.get(index, [True])
        shares.append(round(sum(values) / len(values), 4))
    return shares


def late_share_by_second(load: LoadResult) -> list[float]:
    """Return the share of calls late or not run for each second."""
    windows: dict[int, list[bool]] = {}
    for call, result in zip(load.calls, load.results, strict=True):
        windows.setdefault(int(call.at_s), []).append(not _in_time(result))
    return [
        round(sum(values) / len(values), 4) for _, values in sorted(windows.items())
    ]
