"""One run of the soak: it performs the faults of a seed under load and checks."""

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
from soak.pipelines import PipeliningCaller, SlowReaders
from soak.record import BrokenPromise, Record
from soak.rollouts import RolloutProbe
from soak.system import SoakSystem

CALLERS = 16
# Two phases alternate: the first has only planned operations, so that the promises with
# a time bound hold in it; the second has all faults.
PLANNED_PHASE_S = 8.0
FAULT_PHASE_S = 8.0
FAULT_PAUSE_S = (0.2, 2.0)
FAULT_DURATION_S = (0.3, 3.0)
# Every entry must accept requests again this soon after the last fault.
RECOVERY_S = 15.0
FAULT_THREADS = 32
END_TIMEOUT_S = 30.0


@frozen
class ScheduledFault:
    """A fault of the plan, ``pause_s`` after the start of the one before it."""

    name: str
    pause_s: float
    duration_s: float
    seed: int


@frozen
class Verdict:
    """Result of a run.

    Attributes
    ----------
    seed : int
        Seed of the plan.
    broken : tuple of BrokenPromise
        All violations.
    sent, answered : int
        Number of requests sent, and of those answered with status 200.
    faults : tuple of str
        Faults performed, each with its start in seconds.
    logs : str
        Folder with the logs of the entries.
    """

    seed: int
    broken: tuple[BrokenPromise, ...]
    sent: int
    answered: int
    faults: tuple[str, ...]
    logs: str


@define
class Soak:
    """One run with its settings.

    Attributes
    ----------
    seed : int
        Decides the plan.
    seconds : float
        How long faults are injected.
    entries, servers : int
        Number of entry processes and of backend servers.
    timed : bool
        Whether to check the promises with a time bound as well.
    folder : Path
        Where the entries keep their files and logs.
    """

    seed: int
    seconds: float
    entries: int
    servers: int
    timed: bool
    folder: Path

    def run(self) -> Verdict:
        """Start the system, inject the faults under load, stop it, and check."""
        record = Record()
        system = SoakSystem(self.folder, record)
        try:
            system.start(self.entries, self.servers)
            faults = self._run_under_load(system, record)
        finally:
            system.stop()
        answered = sum(item.status == 200 for item in record.sent)
        broken = record.check(timed=self.timed, keys=system.keys)
        return Verdict(
            self.seed, broken, len(record.sent), answered, faults, str(self.folder)
        )

    def _run_under_load(self, system: SoakSystem, record: Record) -> tuple[str, ...]:
        stopping = threading.Event()
        probe = ConfigurationProbe(system, record, self.timed)
        callers = [
            Caller(number, system, record, random.Random(number))
            for number in range(CALLERS)
        ]
        others = [
            probe,
            PipeliningCaller(system, record, random.Random(CALLERS)),
            SlowReaders(system, record, random.Random(CALLERS + 1)),
            RolloutProbe(system, record),
        ]
        tasks = [item.run for item in (*callers, *others)]
        with ThreadPoolExecutor(len(tasks)) as executor:
            pending = [executor.submit(task, stopping) for task in tasks]
            try:
                performed = self._perform_plan(system, record)
                self._check_recovery(system, record)
            finally:
                stopping.set()
            for future in pending:
                future.result(END_TIMEOUT_S)
        return performed

    def _perform_plan(self, system: SoakSystem, record: Record) -> tuple[str, ...]:
        faults = Faults(system, threading.Event())
        performed = []
        with ThreadPoolExecutor(FAULT_THREADS) as executor:
            pending = []
            until = record.now() + self.seconds
            for scheduled in plan(self.seed, self.seconds, faults.names()):
                time.sleep(scheduled.pause_s)
                if record.now() > until:
                    break
                rng = random.Random(scheduled.seed)
                pending.append(
                    executor.submit(
                        faults.perform, scheduled.name, scheduled.duration_s, rng
                    )
                )
                performed.append(f"{record.now():.1f} s {scheduled.name}")
            for future in pending:
                future.result(END_TIMEOUT_S)
        return tuple(performed)

    def _check_recovery(self, system: SoakSystem, record: Record) -> None:
        until = record.now() + RECOVERY_S
        for entry in system.entries.entries:
            if not system.wait_ready(entry, max(0.1, until - record.now())):
                record.add_broken_promise(
                    "recovery", f"{entry.name} accepts no requests"
                )


def plan(seed: int, seconds: float, names: tuple[str, ...]) -> list[ScheduledFault]:
    """Return the faults of a seed in the order of their start."""
    rng = random.Random(seed)
    scheduled, at = [], 0.0
    planned_names = tuple(name for name in names if name.startswith(PLANNED))
    while at < seconds:
        pause_s = rng.uniform(*FAULT_PAUSE_S)
        at += pause_s
        in_planned_phase = at % (PLANNED_PHASE_S + FAULT_PHASE_S) < PLANNED_PHASE_S
        scheduled.append(
            ScheduledFault(
                rng.choice(planned_names if in_planned_phase else names),
                pause_s,
                rng.uniform(*FAULT_DURATION_S),
                rng.getrandbits(32),
            )
        )
    return scheduled


def run_soak(
    seed: int, seconds: float, entries: int, servers: int, *, timed: bool
) -> Verdict:
    """Run the soak with a seed; its files are kept in a new temporary folder."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    return Soak(seed, seconds, entries, servers, timed, folder).run()
