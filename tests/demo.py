"""The demo: a whole system on loopback while a zone is taken out and back.

Run with ``python -m tests.demo MANIFEST``.
"""

import sys
import tempfile
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from attrs import define, field

from dotterelpier.model.manifest import Manifest
from tests.callers import Caller, CallerResult
from tests.utils import CONTROL_ADDRESS, System, request_json, running_system

ENTRY_COUNT = 6
CALLER_COUNT = 12
CALL_PAUSE_S = 0.02
PHASE_S = 6.0
SETTLE_S = 5.0
MIN_ANSWERED_SHARE = 0.99


@define
class Demo:
    """Load on a system, and what came of it."""

    system: System
    callers: list[Caller] = field(factory=list)
    stopping: threading.Event = field(factory=threading.Event)

    def run_caller(self, number: int) -> list[CallerResult]:
        """Call services in turn until told to stop."""
        manifest = self.system.manifest
        names = [service.name for service in manifest.services]
        addresses = [entry.caller_address for entry in self.system.entries.values()]
        caller = Caller(addresses, seed=number)
        call_number = number
        while not self.stopping.wait(CALL_PAUSE_S):
            call_number += 1
            caller.call(names[call_number % len(names)], call_number)
        return caller.results


def main(manifest_file: str) -> int:
    """Run the demo and return its exit status."""
    text = Path(manifest_file).read_text(encoding="utf-8")
    with (
        tempfile.TemporaryDirectory() as folder,
        running_system(Path(folder), text) as system,
    ):
        return _run(system)


def _run(system: System) -> int:
    servers = len(system.manifest.backend_servers)
    print(f"starting {ENTRY_COUNT} entries and {servers} backend servers")
    system.start_standins("--probe_s", "0.006")
    system.start_entries(ENTRY_COUNT)
    applied = system.apply()
    print(applied.stdout.strip() or applied.stderr.strip())
    system.wait_ready()
    demo = Demo(system)
    zone = system.manifest.zones[0].name
    with ThreadPoolExecutor(CALLER_COUNT) as executor:
        pending = [
            executor.submit(demo.run_caller, number) for number in range(CALLER_COUNT)
        ]
        time.sleep(PHASE_S)
        _apply_zone_state(system, zone, "out")
        time.sleep(SETTLE_S)
        late_from = time.monotonic()
        time.sleep(PHASE_S)
        late_runs = _runs_in_zone(system.manifest, zone, late_from)
        _apply_zone_state(system, zone, "in")
        time.sleep(PHASE_S)
        demo.stopping.set()
        results = [result for future in pending for result in future.result()]
    return _summarise(system, results, zone, late_runs)


def _apply_zone_state(system: System, zone: str, state: str) -> None:
    text = system.manifest_file.read_text(encoding="utf-8")
    head, mark, tail = text.partition(f'name = "{zone}"')
    changed = system.folder / f"zone-{state}.toml"
    changed.write_text(head + mark + tail.replace('"in"', f'"{state}"', 1))
    applied = system.apply(changed)
    print(f"zone {zone} {state}: {applied.stdout.strip() or applied.stderr.strip()}")


def _runs_in_zone(manifest: Manifest, zone: str, after: float) -> int:
    backend_ids = {
        server.id for server in manifest.backend_servers if server.zone == zone
    }
    journal = request_json(CONTROL_ADDRESS, "/journal")
    return sum(
        run["backend_id"] in backend_ids and run["started_at"] > after
        for run in journal
    )


def _summarise(
    system: System, results: list[CallerResult], zone: str, late_runs: int
) -> int:
    latencies = sorted(result.latency_s for result in results)
    count_by_outcome = {
        outcome: sum(result.outcome == outcome for result in results)
        for outcome in ("answered", "not-run", "unknown", "none")
    }
    peaks = request_json(CONTROL_ADDRESS, "/peaks")
    probes = sum(item["probes"] for item in peaks.values())
    overloaded = sum(
        peaks[server.id]["peak_warm"] > server.slots
        for server in system.manifest.backend_servers
    )
    print("calls: " + ", ".join(f"{n} {o}" for o, n in count_by_outcome.items()))
    for share in (0.5, 0.99, 0.999):
        print(f"p{share * 100:g}: {1000 * _quantile(latencies, share):.1f} ms")
    print(f"probes: {probes} on {len(peaks)} backend servers")
    print(f"new work reaching zone {zone} while out: {late_runs}")
    print(f"backend servers with more in flight than slots: {overloaded}")
    answered = count_by_outcome["answered"] / max(1, len(results))
    passed = late_runs == 0 and overloaded == 0 and answered >= MIN_ANSWERED_SHARE
    print("holds" if passed else "does not hold")
    return 0 if passed else 1


def _quantile(ordered: list[float], share: float) -> float:
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
