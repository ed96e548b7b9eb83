"""Command line of the soak: ``python -m soak --seed 1 --seeds 50 --minutes 0.5``."""

import json
import sys
import time

import fire

from soak.run import run_soak

SECONDS_PER_MINUTE = 60
# A run without a seed takes one from the clock, so that each run tests another plan.
SEED_RANGE = 1 << 31


def soak(
    seed: int | None = None,
    seeds: int = 1,
    minutes: float = 0.5,
    processes: int = 4,
    servers: int = 6,
    timed: bool = True,
) -> None:
    """Run the soak once for each seed and print one JSON line for each run.

    Exits with status 1 if any run broke a promise, otherwise with 0. A run that broke
    one also prints the folder of its logs and the faults it performed.

    Parameters
    ----------
    seed : int, default=None
        First seed; taken from the clock by default.
    seeds : int, default=1
        Number of runs, with consecutive seeds.
    minutes : float, default=0.5
        Time during which each run injects faults, in minutes.
    processes : int, default=4
        Number of entry processes.
    servers : int, default=6
        Number of backend servers.
    timed : bool, default=True
        Whether to check the promises with a time bound as well.
    """
    first = time.time_ns() % SEED_RANGE if seed is None else seed
    broken = 0
    for number in range(first, first + seeds):
        verdict = run_soak(
            number, minutes * SECONDS_PER_MINUTE, processes, servers, timed=timed
        )
        broken += bool(verdict.broken)
        line = {
            "seed": verdict.seed,
            "sent": verdict.sent,
            "answered": verdict.answered,
            "faults": len(verdict.faults),
            "broken": [
                f"{item.at:.2f} s {item.promise}: {item.detail}"
                for item in verdict.broken[:10]
            ],
        }
        if verdict.broken:
            line |= {"logs": verdict.logs, "plan": verdict.faults}
        print(json.dumps(line), flush=True)
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    fire.Fire(soak)
