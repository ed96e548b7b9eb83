"""Command line of the soak: ``python -m soak --seed 1 --seeds 50 --minutes 0.5``."""

import json
import sys
import time

import fire

from soak.run import run_soak

SECONDS_PER_MINUTE = 60
# Seeds of runs without one come from the clock, so that each run has fresh ones.
SEED_RANGE = 1 << 31


def soak(
    seed: int | None = None,
    seeds: int = 1,
    minutes: float = 0.5,
    processes: int = 4,
    servers: int = 6,
    timed: bool = True,
) -> None:
    """Run the soak once for each seed; exits with 1 if a promise was broken.

    Parameters
    ----------
    seed : int, default=None
        First seed, a fresh one by default.
    seeds : int, default=1
        Number of runs, with seeds in a row.
    minutes : float, default=0.5
        Time with faults of each run.
    processes : int, default=4
        Entries of the system.
    servers : int, default=6
        Backend servers.
    timed : bool, default=True
        Whether promises with a bound in time are checked too.
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
