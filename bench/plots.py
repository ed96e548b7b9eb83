"""Plots of the results."""

import json
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot

LOADS = ("load_30%", "load_60%", "load_80%", "load_95%", "burst", "one_in_ten_slow")
ZONE_SCENARIOS = ("zone_planned", "zone_lost")
WINDOW_S = 0.1


def draw(results: Path, docs: Path) -> None:
    """Draw all plots from the JSON files of a full run."""
    caroni = json.loads((results / "caroni.json").read_text())
    cumbre = json.loads((results / "cumbre.json").read_text())
    _draw_tail(caroni, docs / "bench-tail-latency.png")
    _draw_zone(cumbre, docs / "bench-zone.png")


def _draw_tail(figures: dict[str, Any], file: Path) -> None:
    figure, axes = pyplot.subplots(figsize=(9, 4.5))
    policies = [name for name in figures if isinstance(figures[name], dict)]
    width = 0.8 / (len(policies) + 1)
    ideal = [figures["homes"][name]["ideal"]["p99_ms"] for name in LOADS]
    axes.bar([x - 0.4 for x in range(len(LOADS))], ideal, width, label="ideal")
    for index, policy in enumerate(policies, start=1):
        selected = [name for name in LOADS if name in figures[policy]]
        values = [figures[policy][name]["p99_ms"] for name in selected]
        positions = [LOADS.index(name) - 0.4 + index * width for name in selected]
        axes.bar(positions, values, width, label=policy)
    axes.set_yscale("log")
    axes.set_xticks(range(len(LOADS)), LOADS, rotation=15)
    axes.set_ylabel("p99 latency in ms")
    axes.legend()
    figure.tight_layout()
    figure.savefig(file, dpi=100)
    pyplot.close(figure)


def _draw_zone(figures: dict[str, Any], file: Path) -> None:
    figure, all_axes = pyplot.subplots(len(ZONE_SCENARIOS), 1, figsize=(9, 6))
    for axes, name in zip(all_axes, ZONE_SCENARIOS, strict=True):
        for policy in ("homes", "two_choices"):
            shares = figures[policy][name]["in_time_share_each_100_ms"]
            times = [index * WINDOW_S for index in range(len(shares))]
            axes.plot(times, shares, label=policy)
        axes.set_ylabel("share in time")
        axes.set_title(name)
        axes.legend()
    all_axes[-1].set_xlabel("time in s")
    figure.tight_layout()
    figure.savefig(file, dpi=100)
    pyplot.close(figure)
