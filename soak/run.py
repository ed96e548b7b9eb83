"""One run of the soak: a plan from a seed, faults, load, and the verdict."""

import random
import tempfile
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from attrs import define, frozen

from soak.callers import Caller
from soak.configuration import ConfigurationProbe
from soak.faults import PLANNED, Faults
from soak.record import Broken, Record
from soak.world import World

CALLERS = 16
# Phases take turns: in a calm one only planned work goes on, so that the promises with
# a bound in time hold in it.
CALM_S = 8.0
STORM_S = 8.0
FAULT_PAUSE_S = (0.2, 2.0)
FAULT_DURATION_S = (0.3, 3.0)
# Every entry takes requests again within this time after the last fault.
RECOVERY_S = 15.0
FAULT_THREADS = 32
END_TIMEOUT_S = 30.0


@frozen
class PlannedFault:
    """A fault of the plan; ``pause_s`` passes after the one before began."""

    name: str
    pause_s: float
    duration_s: float
    seed: int


@frozen
class Verdict:
    """What a run showed."""

    seed: int
    broken: tuple[Broken, ...]
    sent: int
    answered: int
    faults: tuple[str, ...]
    logs: str


@define
class Soak:
    """Settings of a run."""

    seed: int
    seconds: float
    entries: int
    servers: int
    timed: bool
    folder: Path

    def run(self) -> Verdict:
        """Run, and return the verdict."""
        record = Record()
        world = World(self.folder, record)
        try:
            world.start(self.entries, self.servers)
            faults = self._run_under_load(world, record)
        finally:
            world.stop()
        answered = sum(item.status == 200 for item in record.sent)
        broken = record.check(timed=self.timed)
        return Verdict(
            self.seed, broken, len(record.sent), answered, faults, str(self.folder)
        )

    def _run_under_load(self, world: World, record: Record) -> tuple[str, ...]:
        stopping = threading.Event()
        probe = ConfigurationProbe(world, record, self.timed)
        callers = [
            Caller(number, world.entries.entries, record, random.Random(number))
            for number in range(CALLERS)
        ]
        tasks = [caller.run for caller in callers] + [probe.run]
        with ThreadPoolExecutor(len(tasks)) as executor:
            pending = [executor.submit(task, stopping) for task in tasks]
            try:
                performed = self._perform_plan(world, record)
                self._check_recovery(world, record)
            finally:
                stopping.set()
            for future in pending:
                future.result(END_TIMEOUT_S)
        return performed

    def _perform_plan(self, world: World, record: Record) -> tuple[str, ...]:
        faults = Faults(world, threading.Event())
        performed = []
        with ThreadPoolExecutor(FAULT_THREADS) as executor:
            pending = []
            until = record.now() + self.seconds
            for planned in plan(self.seed, self.seconds, faults.names()):
                time.sleep(planned.pause_s)
                if record.now() > until:
                    break
                chance = random.Random(planned.seed)
                pending.append(
                    executor.submit(
                        faults.perform, planned.name, planned.duration_s, chance
                    )
                )
                performed.append(f"{record.now():.1f} s {planned.name}")
            for future in pending:
                future.result(END_TIMEOUT_S)
        return tuple(performed)

    def _check_recovery(self, world: World, record: Record) -> None:
        until = record.now() + RECOVERY_S
        for entry in world.entries.entries:
            if not world.wait_ready(entry, max(0.1, until - record.now())):
                record.note_broken("recovery", f"{entry.name} takes no requests")


def plan(seed: int, seconds: float, names: tuple[str, ...]) -> list[PlannedFault]:
    """Return the faults of a seed in their order."""
    chance = random.Random(seed)
    planned, at = [], 0.0
    calm_names = tuple(name for name in names if name.startswith(PLANNED))
    while at < seconds:
        pause_s = chance.uniform(*FAULT_PAUSE_S)
        at += pause_s
        calm = at % (CALM_S + STORM_S) < CALM_S
        planned.append(
            PlannedFault(
                chance.choice(calm_names if calm else names),
                pause_s,
                chance.uniform(*FAULT_DURATION_S),
                chance.getrandbits(32),
            )
        )
    return planned


def run_soak(
    seed: int, seconds: float, entries: int, servers: int, *, timed: bool
) -> Verdict:
    """Run the soak with a seed; its logs stay in a new folder if a promise broke."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    return Soak(seed, seconds, entries, servers, timed, folder).run()
