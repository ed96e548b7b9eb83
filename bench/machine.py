"""Use of the machine and of single processes, read from ``/proc``."""

import os
from collections.abc import Iterable
from pathlib import Path

from attrs import define, field

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
IDLE_FIELDS = (3, 4)


def _machine_ticks() -> tuple[int, int]:
    fields = Path("/proc/stat").read_text().splitlines()[0].split()[1:9]
    ticks = [int(item) for item in fields]
    return sum(ticks), sum(ticks[index] for index in IDLE_FIELDS)


def processor_s(pid: int) -> float:
    """Return the processor time that a process used so far, in seconds."""
    try:
        text = Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return 0.0
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process in bytes."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES


@define
class MachineUse:
    """Measures use from its making on.

    Attributes
    ----------
    pids : iterable of int
        Processes whose processor time is summed.
    """

    pids: Iterable[int] = ()
    _ticks: tuple[int, int] = field(factory=_machine_ticks)
    _processor_s: float = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._processor_s = self._sum()

    def busy_share(self) -> float:
        """Return the share of all processors' time that was busy, by anyone."""
        total, idle = _machine_ticks()
        elapsed = max(1, total - self._ticks[0])
        return 1.0 - (idle - self._ticks[1]) / elapsed

    def processes_s(self) -> float:
        """Return the processor time that the processes used, in seconds."""
        return self._sum() - self._processor_s

    def _sum(self) -> float:
        return sum(processor_s(pid) for pid in self.pids)
