"""Faults that are injected from outside the entries and undone after a while."""

import random
import signal
import subprocess
import threading
from collections.abc import Callable

from attrs import define, field

from soak.proxy import PathMode
from soak.record import EVACUATION_S
from soak.system import SLOW_WORK_S, WORK_S, ZONES, SoakSystem
from tests.fleet_processes import EntryProcess

HARMFUL_MODES = tuple(mode for mode in PathMode if mode is not PathMode.OPEN)
# Prefix of the names of planned operations, which impair nothing.
PLANNED = "planned"
# A draining server keeps serving for this time before it stops.
SERVE_WHILE_DRAINING_S = 3.0
# An entry that runs longer than this after SIGTERM is killed; the settings give it a
# grace period of 2 s.
STOP_TIMEOUT_S = 6.0


@define
class Faults:
    """Performs faults, each with a random generator of its own.

    With separate generators, the random numbers that a fault draws don't depend on the
    timing of the others.
    """

    system: SoakSystem
    stopping: threading.Event
    _restart_lock: threading.Lock = field(factory=threading.Lock)
    _evacuation_lock: threading.Lock = field(factory=threading.Lock)

    def names(self) -> tuple[str, ...]:
        """Return the names of all faults in a fixed order, which plans depend on."""
        return tuple(sorted(self._fault_by_name()))

    def perform(self, name: str, duration_s: float, rng: random.Random) -> None:
        """Perform a fault, and block until it is undone.

        Parameters
        ----------
        name : str
            One of ``names()``.
        duration_s : float
            How long the fault lasts, in seconds; some faults ignore it.
        rng : random.Random
            Chooses the entry, server, zone or path mode.
        """
        record = self.system.record
        began_at = record.now()
        is_harmful = not name.startswith(PLANNED)
        if is_harmful:
            self.system.active_faults.append(name)
        self._fault_by_name()[name](duration_s, rng)
        if is_harmful:
            self.system.active_faults.remove(name)
            record.fault_intervals.append((began_at, record.now()))

    def _fault_by_name(self) -> dict[str, Callable[[float, random.Random], None]]:
        return {
            "entry killed": self._kill_entry,
            "entry paused": self._pause_entry,
            "entry stopped": self._stop_entry,
            "store path": self._impair_store_path,
            "store out": self._fail_store,
            "store forgets": self._drop_store_history,
            "server path": self._impair_server_path,
            "server crashed": self._crash_server,
            "server slow": self._slow_server,
            "answers lost": self._lose_responses,
            "planned configuration": self._change_configuration,
            "planned evacuation": self._evacuate_zone,
            "planned leaving": self._drain_server,
        }

    def _wait(self, duration_s: float) -> None:
        self.stopping.wait(duration_s)

    def _entry(self, rng: random.Random) -> EntryProcess:
        return rng.choice(self.system.entries.entries)

    def _kill_entry(self, duration_s: float, rng: random.Random) -> None:
        entry = self._entry(rng)
        process = entry.process
        process.kill()
        process.wait()
        self._wait(duration_s)
        self.restart(entry, process)

    def restart(self, entry: EntryProcess, ended: object) -> None:
        """Start an entry again, unless another fault did since its process ended."""
        with self._restart_lock:
            if entry.process is ended:
                entry.restart()

    def _pause_entry(self, duration_s: float, rng: random.Random) -> None:
        entry = self._entry(rng)
        entry.process.send_signal(signal.SIGSTOP)
        self._wait(duration_s)
        entry.process.send_signal(signal.SIGCONT)

    def _stop_entry(self, duration_s: float, rng: random.Random) -> None:
        entry = self._entry(rng)
        process = entry.process
        process.send_signal(signal.SIGTERM)
        try:
            status = process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            status = process.wait()
        if status not in (0, -signal.SIGKILL, -signal.SIGTERM):
            detail = f"{entry.name} ended with status {status}"
            self.system.record.add_broken_promise("exit status", detail)
        self.restart(entry, process)

    def _impair_store_path(self, duration_s: float, rng: random.Random) -> None:
        proxy = self.system.store_proxy_by_entry[self._entry(rng).name]
        proxy.set_mode(rng.choice(HARMFUL_MODES))
        self._wait(duration_s)
        proxy.set_mode(PathMode.OPEN)

    def _fail_store(self, duration_s: float, rng: random.Random) -> None:
        self.system.state.outage = True
        self._wait(duration_s)
        self.system.state.outage = False

    def _drop_store_history(self, duration_s: float, rng: random.Random) -> None:
        self.system.state.forget_history()

    def _impair_server_path(self, duration_s: float, rng: random.Random) -> None:
        proxy = rng.choice(self.system.servers).proxy
        proxy.set_mode(rng.choice(HARMFUL_MODES))
        self._wait(duration_s)
        proxy.set_mode(PathMode.OPEN)

    def _crash_server(self, duration_s: float, rng: random.Random) -> None:
        self.system.remove_server(rng.choice(self.system.servers))
        self._wait(duration_s)
        self.system.add_server()

    def _slow_server(self, duration_s: float, rng: random.Random) -> None:
        server = rng.choice(self.system.servers)
        server.work_s = SLOW_WORK_S
        self._wait(duration_s)
        server.work_s = WORK_S

    def _lose_responses(self, duration_s: float, rng: random.Random) -> None:
        server = rng.choice(self.system.servers)
        server.loses_answers = True
        self._wait(duration_s)
        server.loses_answers = False

    def _change_configuration(self, duration_s: float, rng: random.Random) -> None:
        self.system.change_configuration()

    def _evacuate_zone(self, duration_s: float, rng: random.Random) -> None:
        if not self._evacuation_lock.acquire(blocking=False):
            # Evacuating both zones at once would leave no server in service.
            return
        zone, record = rng.choice(ZONES), self.system.record
        self.system.state.put("op", f"evacuate/{zone}", b"{}")
        began_at = record.now()
        self._wait(EVACUATION_S + duration_s)
        record.evacuations.append((zone, began_at, record.now()))
        self.system.state.put("op", f"evacuate/{zone}", None)
        self._evacuation_lock.release()

    def _drain_server(self, duration_s: float, rng: random.Random) -> None:
        server = rng.choice(self.system.servers)
        self.system.add_server()
        self.system.register(server, "draining")
        self.system.record.drain_began_at_by_instance[server.instance.id] = (
            self.system.record.now()
        )
        self._wait(SERVE_WHILE_DRAINING_S)
        if server in self.system.servers:
            self.system.remove_server(server)
