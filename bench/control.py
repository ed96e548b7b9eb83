"""What control costs an idle entry, by members.

Run with ``python -m bench.control``; writes ``bench/results/control.json``.
"""

import os
import re
import subprocess
import tempfile
import time
from pathlib import Path
from typing import Any

import fire

from bench.machine import MachineUse, resident_bytes
from bench.run import write
from bench.slopes import fit_line
from bench.system import BenchSystem, running_bench
from tests.utils import NET, PLATFORM_ADDRESS, ROOT, request_json

SIZES = (3, 8, 14)
SETTLE_S = 4.0
SPAN_S = 6.0
PEER_PORT = 8002


def peer_bytes_sent() -> int:
    """Return the bytes sent so far on all open connections between entries."""
    net = f"127.{NET}.0.0/16"
    filter_ = f"( src {net} and sport = :{PEER_PORT} ) or ( dst {net}:{PEER_PORT} )"
    done = subprocess.run(
        ["ss", "-tinH", filter_], capture_output=True, text=True, check=True
    )
    return sum(int(count) for count in re.findall(r"bytes_sent:(\d+)", done.stdout))


def measure_idle(bench: BenchSystem, entries: int) -> dict[str, float]:
    """Return what one idle entry of a system spends."""
    pids = bench.entry_pids()
    time.sleep(SETTLE_S)
    platform = request_json(PLATFORM_ADDRESS, "/state")
    sent_bytes = peer_bytes_sent()
    use = MachineUse(pids)
    time.sleep(SPAN_S)
    platform_after = request_json(PLATFORM_ADDRESS, "/state")
    sent_after_bytes = peer_bytes_sent()
    share = 1 / SPAN_S / entries
    return {
        "core_share": use.processes_s() * share,
        "resident_bytes": sum(resident_bytes(pid) for pid in pids) / entries,
        "threads": len(os.listdir(f"/proc/{pids[0]}/task")),
        "peer_bytes_sent_per_s": (sent_after_bytes - sent_bytes) * share,
        "platform_reads_per_s": (platform_after["reads"] - platform["reads"]) * share,
        "platform_writes_per_s": (platform_after["writes"] - platform["writes"])
        * share,
        "machine_busy_share": use.busy_share(),
    }


def main() -> None:
    """Measure idle entries at three sizes and fit slopes by members."""
    items: list[dict[str, float]] = []
    manifest_file = ROOT / "examples" / "caroni.toml"
    for entries in SIZES:
        with (
            tempfile.TemporaryDirectory() as folder,
            running_bench(Path(folder), manifest_file, "homes", entries) as bench,
        ):
            items.append(measure_idle(bench, entries))
    figures: dict[str, Any] = {
        f"{name}_by_members": fit_line(SIZES, [round(item[name], 4) for item in items])
        for name in items[0]
    }
    write("control", figures)
    for name, value in figures.items():
        print(name, value)


if __name__ == "__main__":
    fire.Fire(main)
