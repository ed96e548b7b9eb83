"""Runs the bench and writes its results.

Run with ``python -m bench.run [--quick]``.
"""

import json
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import fire

from bench import plots, scenarios, summary
from bench.plan import SERVICE_S, SIGMA, make_plan
from bench.scenarios import HOMES, POLICIES, Scenario
from bench.system import ENTRIES, BenchSystem, LoadResult, running_bench
from tests.utils import ROOT

RESULTS = ROOT / "bench" / "results"
DOCS = ROOT / "docs"
SEED = 11
LOAD_S = 3.0


def run_scenario(
    bench: BenchSystem, scenario: Scenario, seed: int = SEED
) -> LoadResult:
    """Play one scenario and return its load."""
    calls = make_plan(bench.system.manifest, scenario.phases, seed)
    if scenario.has_slow_servers:
        scenarios.make_slow(bench)
    running = bench.start_load(calls, seed)
    for step in scenario.steps:
        running.sleep_until(step.at_s)
        step.action(bench)
    load = running.finish()
    if scenario.has_slow_servers:
        scenarios.make_normal(bench)
    time.sleep(scenario.settle_s)
    return load


def _measure(bench: BenchSystem, scenario: Scenario) -> dict[str, Any]:
    probes_before = _probe_count(bench)
    started_at = time.monotonic()
    load = run_scenario(bench, scenario)
    elapsed_s = time.monotonic() - started_at
    figures = summary.summarise(load)
    figures["probes_per_server_and_s"] = round(
        (_probe_count(bench) - probes_before)
        / elapsed_s
        / len(bench.system.manifest.backend_servers),
        3,
    )
    figures["ideal"] = summary.ideal_ms(bench.system.manifest, load, scenario)
    if scenario.steps:
        figures["in_time_share_each_100_ms"] = summary.in_time_by_window(load)
        figures["late_share_each_s"] = summary.late_share_by_second(load)
    return figures


def _probe_count(bench: BenchSystem) -> int:
    return sum(int(item["probes"]) for item in bench.peaks().values())


def _run_policy(
    tenant: str, policy: str, selected: tuple[Scenario, ...], entries: int
) -> dict[str, Any]:
    manifest_file = ROOT / "examples" / f"{tenant}.toml"
    figures_by_scenario: dict[str, Any] = {}
    with (
        tempfile.TemporaryDirectory() as folder,
        running_bench(Path(folder), manifest_file, policy, entries) as bench,
    ):
        run_scenario(bench, scenarios.WARM_UP, seed=SEED + 1)
        for scenario in selected:
            figures = _measure(bench, scenario)
            figures_by_scenario[scenario.name] = figures
            print(_summary_line(tenant, policy, scenario.name, figures), flush=True)
        peaks = bench.peaks().values()
        figures_by_scenario["backend_servers"] = {
            "fallen": sum(item["fallen"] for item in peaks),
            "peak_warm": max(item["peak_warm"] for item in peaks),
            "peak_cold": max(item["peak_cold"] for item in peaks),
        }
    return figures_by_scenario


def _summary_line(tenant: str, policy: str, name: str, figures: dict[str, Any]) -> str:
    ideal = figures["ideal"]
    void = " VOID" if figures["void"] else ""
    return (
        f"{tenant} {policy:12} {name:16} p50 {figures['p50_ms']:8.1f} "
        f"p99 {figures['p99_ms']:8.1f} ({ideal['p99_ms']:.0f}) "
        f"p99.9 {figures['p99_9_ms']:8.1f} ({ideal['p99_9_ms']:.0f}) ms, "
        f"in time {figures['in_time_share']:.4f}, "
        f"{figures['entry_processor_ms_per_call']:.2f} ms/call, "
        f"busy {figures['machine_busy_share']:.2f}, "
        f"lag {figures['load_lag_p99_ms']:.1f} ms {figures['outcomes']}{void}"
    )


def add_ratios(figures_by_policy: dict[str, Any]) -> None:
    """Add the ratios of the homes' p99 and p99.9 to the ideal and the baselines."""
    for name, figures in figures_by_policy[HOMES].items():
        if "p99_ms" not in figures:
            continue
        ratios = {}
        for quantile in ("p99_ms", "p99_9_ms"):
            ratios[f"{quantile}_to_ideal"] = _ratio(figures, figures["ideal"], quantile)
            for policy in POLICIES[1:]:
                other = figures_by_policy.get(policy, {}).get(name)
                if other is not None:
                    ratios[f"{quantile}_to_{policy}"] = _ratio(figures, other, quantile)
        figures["ratios"] = ratios


def _ratio(one: dict[str, float], other: dict[str, float], name: str) -> float:
    return round(one[name] / other[name], 3)


def run_tenant(
    tenant: str, scenarios_by_policy: dict[str, tuple[Scenario, ...]], entries: int
) -> dict[str, Any]:
    """Return the figures of a tenant by policy."""
    figures_by_policy = {
        policy: _run_policy(tenant, policy, selected, entries)
        for policy, selected in scenarios_by_policy.items()
    }
    if HOMES in figures_by_policy:
        add_ratios(figures_by_policy)
    return figures_by_policy


def write(name: str, figures: dict[str, Any]) -> None:
    """Write results as JSON."""
    RESULTS.mkdir(parents=True, exist_ok=True)
    text = json.dumps(figures, indent=1, sort_keys=True)
    (RESULTS / f"{name}.json").write_text(text + "\n")


def main(
    quick: bool = False,
    tenant: str = "",
    only: str | tuple[str, ...] = "",
    policies: str | tuple[str, ...] = "",
    entries: int = ENTRIES,
    duration_s: float = LOAD_S,
) -> None:
    """Run the bench.

    Parameters
    ----------
    quick : bool, default=False
        Only steady load and slow backend servers at Caroni, at 80 %.
    tenant, only, policies : str or tuple of str
        For trials: one tenant, scenarios and policies by comma; writes no results.
    entries : int
        Entry processes.
    duration_s : float
        Duration of each steady load in seconds.
    """
    if only:
        names, chosen = _split_names(only), _split_names(policies) or (HOMES,)
        _run_trial(tenant or "caroni", names, chosen, entries, duration_s)
        return
    if quick:
        selected = tuple(
            item
            for item in scenarios.load_scenarios(duration_s)
            if item.name in ("load_80%", "one_in_ten_slow")
        )
        quick_plan = dict.fromkeys(POLICIES, selected)
        write("quick", run_tenant("caroni", quick_plan, entries))
        return
    started_at = time.monotonic()
    for name, plan in _full_plan(duration_s).items():
        write(name, _settings() | run_tenant(name, plan, entries))
    plots.draw(RESULTS, DOCS)
    print(f"took {time.monotonic() - started_at:.0f} s", file=sys.stderr)


def _settings() -> dict[str, Any]:
    return {"service_s": SERVICE_S, "sigma": SIGMA, "entries": ENTRIES, "seed": SEED}


def _full_plan(duration_s: float) -> dict[str, dict[str, tuple[Scenario, ...]]]:
    load = scenarios.load_scenarios(duration_s)
    faults = (*scenarios.fault_scenarios(), scenarios.ZONE_PLANNED)
    steady_80 = scenarios.steady(0.8, duration_s)
    at_80 = tuple(item for item in load if item.name in ("load_80%", "one_in_ten_slow"))
    caroni = {"two_choices": load, "round_robin": at_80}
    caroni[HOMES] = (*load, *scenarios.fault_scenarios(), scenarios.HOME_KILLED)
    cumbre = dict.fromkeys((HOMES, "two_choices"), (steady_80, *faults[-2:]))
    return {"caroni": caroni, "cumbre": cumbre}


def _split_names(value: str | tuple[str, ...]) -> tuple[str, ...]:
    if isinstance(value, str):
        return tuple(value.split(",")) if value else ()
    return tuple(value)


def _run_trial(
    tenant: str,
    names: tuple[str, ...],
    policies: tuple[str, ...],
    entries: int,
    duration_s: float,
) -> None:
    known = (
        *scenarios.load_scenarios(duration_s),
        *scenarios.fault_scenarios(),
        scenarios.ZONE_PLANNED,
        scenarios.HOME_KILLED,
    )
    selected = tuple(item for item in known if item.name in names)
    run_tenant(tenant, dict.fromkeys(policies, selected), entries)


if __name__ == "__main__":
    fire.Fire(main)
