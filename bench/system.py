"""A system of real processes at a tenant's size, and load on it."""

import contextlib
import json
import sys
import time
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Any

from attrs import define, field

from bench.machine import MachineUse
from bench.plan import DRAW_SEED, SERVICE_S, SIGMA, PlannedCall
from tests.utils import (
    NET,
    PLATFORM_ADDRESS,
    System,
    post_json,
    request_json,
    running_system,
    wait_until,
)

ENTRIES = 14
STANDIN_PROCESSES = 3
LOAD_PROCESSES = 3
LOAD_START_S = 1.5
PROBE_S = 0.006
ZONE_ROUND_TRIP_S = 0.002
MAX_BUSY_SHARE = 0.85
MAX_LAG_S = 0.02


@define
class LoadResult:
    """What a run of load gave.

    Attributes
    ----------
    calls : sequence of PlannedCall
        The schedule.
    results : list of dict
        What the caller saw of each call, in the same order.
    busy_share : float
        Share of the machine's processor time that was busy, by anyone.
    entries_processor_s : float
        Processor time of all entries, in seconds.
    started_at : float
        Start of the schedule on the monotonic clock, in seconds.
    """

    calls: Sequence[PlannedCall]
    results: list[dict[str, Any]]
    busy_share: float
    entries_processor_s: float
    started_at: float

    def lag_p99_s(self) -> float:
        """Return by how much the load processes themselves were late."""
        lags = sorted(result["lag_s"] for result in self.results)
        return float(lags[int(0.99 * len(lags))])

    def void(self) -> bool:
        """Tell whether the machine spoilt the run."""
        return self.busy_share > MAX_BUSY_SHARE or self.lag_p99_s() > MAX_LAG_S


@define
class BenchSystem:
    """Entries, stand-ins and load processes."""

    system: System
    _load_count: int = 0
    _control_address_by_backend_id: dict[str, str] = field(factory=dict)

    def start(self, policy: str, entries: int = ENTRIES) -> None:
        """Start everything and apply the manifest."""
        self._start_standins()
        self.system.start_entries(entries, _routing_settings(policy))
        wait_until(self._any_entry_answers, "an entry")
        applied = self.system.apply()
        if applied.returncode:
            raise RuntimeError(applied.stderr or applied.stdout)
        if policy == "homes":
            self.system.wait_ready()
        wait_until(self._all_have_manifest, "every entry has the manifest")

    def faults(self, backend_id: str, **faults: Any) -> None:
        """Set switches of a backend server's stand-in."""
        address = self._control_address_by_backend_id[backend_id]
        post_json(address, f"/faults/{backend_id}", faults)

    def apply_zone_state(self, state: str) -> None:
        """Apply the manifest with its first zone in this state."""
        text = self.system.manifest_file.read_text(encoding="utf-8")
        zone = self.system.manifest.zones[0].name
        head, mark, tail = text.partition(f'name = "{zone}"')
        file = self.system.folder / f"zone-{state}.toml"
        file.write_text(head + mark + tail.replace('"in"', f'"{state}"', 1))
        applied = self.system.apply(file)
        if applied.returncode:
            print(applied.stderr or applied.stdout, file=sys.stderr)

    def set_zone_failing(self, failing: bool) -> None:
        """Let the backend servers of the first zone reset every request, or not."""
        zone = self.system.manifest.zones[0].name
        for server in self.system.manifest.backend_servers:
            if server.zone == zone:
                self.faults(server.id, failing=failing)

    def peaks(self) -> dict[str, Any]:
        """Return the counts of all backend servers."""
        addresses = sorted(set(self._control_address_by_backend_id.values()))
        peaks: dict[str, Any] = {}
        for address in addresses:
            peaks.update(request_json(address, "/peaks"))
        return peaks

    def journal(self) -> list[dict[str, Any]]:
        """Return all runs of all backend servers."""
        addresses = sorted(set(self._control_address_by_backend_id.values()))
        return [run for item in addresses for run in request_json(item, "/journal")]

    def entry_pids(self) -> list[int]:
        """Return the ids of the entries' processes."""
        return [self.system.processes[name].pid for name in self.system.entries]

    def start_load(self, calls: Sequence[PlannedCall], seed: int) -> "RunningLoad":
        """Start load processes that share a schedule."""
        start_at = time.monotonic() + LOAD_START_S
        bootstrap = [entry.caller_address for entry in self.system.entries.values()]
        files = []
        for index in range(LOAD_PROCESSES):
            self._load_count += 1
            name = f"load-{self._load_count}"
            plan_file = self.system.folder / f"{name}-plan.json"
            result_file = self.system.folder / f"{name}-result.json"
            plan = {
                "start_at": start_at,
                "seed": seed + index,
                "bootstrap": bootstrap,
                "calls": [
                    (call.at_s, call.service, call.number)
                    for call in calls[index::LOAD_PROCESSES]
                ],
            }
            plan_file.write_text(json.dumps(plan))
            arguments = ("-m", "bench.load", str(plan_file), str(result_file))
            self.system.spawn(name, *arguments)
            files.append((name, result_file))
        time.sleep(max(0.0, start_at - time.monotonic()))
        return RunningLoad(self, calls, files, start_at, MachineUse(self.entry_pids()))

    def _start_standins(self) -> None:
        self.system.spawn(
            "platform", "-m", "tests.standins.platform", "--address", PLATFORM_ADDRESS
        )
        servers = self.system.manifest.backend_servers
        for part in range(STANDIN_PROCESSES):
            control = f"127.{NET}.0.{10 + part}:9101"
            for server in servers[part::STANDIN_PROCESSES]:
                self._control_address_by_backend_id[server.id] = control
            self._spawn_part(part, control)
        wait_until(lambda: bool(request_json(PLATFORM_ADDRESS, "/state")), "platform")
        wait_until(lambda: bool(self.peaks()), "backend servers")

    def _spawn_part(self, part: int, control: str) -> None:
        option_by_name = {
            "manifest": self.system.manifest_file,
            "control": control,
            "service_s": SERVICE_S,
            "sigma": SIGMA,
            "draw_seed": DRAW_SEED,
            "probe_s": PROBE_S,
            "zone_s": ZONE_ROUND_TRIP_S,
            "queueing": True,
            "part": part,
            "parts": STANDIN_PROCESSES,
        }
        options = [f"--{name}={value}" for name, value in option_by_name.items()]
        self.system.spawn(f"backends-{part}", "-m", "tests.standins.backend", *options)

    def _any_entry_answers(self) -> bool:
        return bool(next(iter(self.system.entries.values())).status())

    def _all_have_manifest(self) -> bool:
        return all(
            entry.status()["revision"] >= 1 for entry in self.system.entries.values()
        )


@define
class RunningLoad:
    """Load processes at work."""

    bench: BenchSystem
    calls: Sequence[PlannedCall]
    files: list[tuple[str, Path]]
    started_at: float
    use: MachineUse

    def sleep_until(self, at_s: float) -> None:
        """Sleep until a time of the schedule."""
        time.sleep(max(0.0, self.started_at + at_s - time.monotonic()))

    def finish(self) -> LoadResult:
        """Wait for the end and return what came of each call."""
        self.sleep_until(self.calls[-1].at_s)
        busy_share = self.use.busy_share()
        results: list[Any] = [None] * len(self.calls)
        for index, (name, file) in enumerate(self.files):
            self.bench.system.processes[name].wait(60)
            results[index::LOAD_PROCESSES] = json.loads(file.read_text())
        return LoadResult(
            self.calls, results, busy_share, self.use.processes_s(), self.started_at
        )


def _routing_settings(policy: str) -> str:
    return f'[routing]\npolicy = "{policy}"\n'


@contextlib.contextmanager
def running_bench(
    folder: Path, manifest_file: Path, policy: str, entries: int = ENTRIES
) -> Iterator[BenchSystem]:
    """Yield a started system and end it."""
    text = manifest_file.read_text(encoding="utf-8")
    with running_system(folder, text) as system:
        bench = BenchSystem(system)
        bench.start(policy, entries)
        yield bench
        _print_errors(folder)


def _print_errors(folder: Path) -> None:
    for file in sorted(folder.glob("*.log")):
        errors = file.read_text(errors="replace").count("Traceback")
        if errors:
            print(f"{file.name}: {errors} tracebacks", file=sys.stderr)
