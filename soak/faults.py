"""Faults, each injected from outside the entries and undone after a time."""

import random
import signal
import subprocess
import threading
from collections.abc import Callable

from attrs import define, field

from soak.proxy import Path
from soak.record import EVACUATION_S
from soak.world import SLOW_WORK_S, WORK_S, ZONES, World
from tests.fleet_processes import EntryProcess

HARMFUL_PATHS = tuple(path for path in Path if path is not Path.OPEN)
# Names of work that harms nothing begin so.
PLANNED = "planned"
# A server that leaves serves on for this time before it ends.
LEAVING_S = 3.0
# Within it SIGTERM must have ended an entry; the settings give 2 s of grace.
STOP_TIMEOUT_S = 6.0


@define
class Faults:
    """Performs faults; each takes its choices from a generator of its own."""

    world: World
    stopping: threading.Event
    _one_evacuation: threading.Lock = field(factory=threading.Lock)

    def names(self) -> tuple[str, ...]:
        """Return all kinds, in a fixed order."""
        return tuple(sorted(self._fault_by_name()))

    def perform(self, name: str, duration_s: float, chance: random.Random) -> None:
        """Perform a fault from its begin to its end; blocks meanwhile."""
        record = self.world.record
        began_at = record.now()
        harms = not name.startswith(PLANNED)
        if harms:
            self.world.open_faults.append(name)
        self._fault_by_name()[name](duration_s, chance)
        if harms:
            self.world.open_faults.remove(name)
            record.harm.append((began_at, record.now()))

    def _fault_by_name(self) -> dict[str, Callable[[float, random.Random], None]]:
        return {
            "entry killed": self._kill,
            "entry paused": self._pause,
            "entry stopped": self._stop,
            "store path": self._harm_store_path,
            "store out": self._store_out,
            "store forgets": self._store_forgets,
            "server path": self._harm_server_path,
            "server crashed": self._crash,
            "server slow": self._slow,
            "answers lost": self._lose_answers,
            "planned configuration": self._configure,
            "planned evacuation": self._evacuate,
            "planned leaving": self._leave,
        }

    def _wait(self, duration_s: float) -> None:
        self.stopping.wait(duration_s)

    def _entry(self, chance: random.Random) -> EntryProcess:
        return chance.choice(self.world.entries.entries)

    def _kill(self, duration_s: float, chance: random.Random) -> None:
        entry = self._entry(chance)
        entry.process.kill()
        entry.process.wait()
        self._wait(duration_s)
        entry.restart()

    def _pause(self, duration_s: float, chance: random.Random) -> None:
        entry = self._entry(chance)
        entry.process.send_signal(signal.SIGSTOP)
        self._wait(duration_s)
        entry.process.send_signal(signal.SIGCONT)

    def _stop(self, duration_s: float, chance: random.Random) -> None:
        entry = self._entry(chance)
        process = entry.process
        process.send_signal(signal.SIGTERM)
        try:
            status = process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            status = process.wait()
        if status not in (0, -signal.SIGKILL, -signal.SIGTERM):
            detail = f"{entry.name} ended with status {status}"
            self.world.record.note_broken("exit status", detail)
        if entry.process is process:
            entry.restart()

    def _harm_store_path(self, duration_s: float, chance: random.Random) -> None:
        proxy = self.world.store_proxy_by_entry[self._entry(chance).name]
        proxy.set_path(chance.choice(HARMFUL_PATHS))
        self._wait(duration_s)
        proxy.set_path(Path.OPEN)

    def _store_out(self, duration_s: float, chance: random.Random) -> None:
        self.world.state.outage = True
        self._wait(duration_s)
        self.world.state.outage = False

    def _store_forgets(self, duration_s: float, chance: random.Random) -> None:
        self.world.state.forget_history()

    def _harm_server_path(self, duration_s: float, chance: random.Random) -> None:
        proxy = chance.choice(self.world.servers).proxy
        proxy.set_path(chance.choice(HARMFUL_PATHS))
        self._wait(duration_s)
        proxy.set_path(Path.OPEN)

    def _crash(self, duration_s: float, chance: random.Random) -> None:
        self.world.remove_server(chance.choice(self.world.servers))
        self._wait(duration_s)
        self.world.add_server()

    def _slow(self, duration_s: float, chance: random.Random) -> None:
        server = chance.choice(self.world.servers)
        server.work_s = SLOW_WORK_S
        self._wait(duration_s)
        server.work_s = WORK_S

    def _lose_answers(self, duration_s: float, chance: random.Random) -> None:
        server = chance.choice(self.world.servers)
        server.loses_answers = True
        self._wait(duration_s)
        server.loses_answers = False

    def _configure(self, duration_s: float, chance: random.Random) -> None:
        self.world.change_configuration()

    def _evacuate(self, duration_s: float, chance: random.Random) -> None:
        if not self._one_evacuation.acquire(blocking=False):
            # Two at once would leave nothing that serves.
            return
        zone, record = chance.choice(ZONES), self.world.record
        self.world.state.put("op", f"evacuate/{zone}", b"{}")
        began_at = record.now()
        self._wait(EVACUATION_S + duration_s)
        record.evacuations.append((zone, began_at, record.now()))
        self.world.state.put("op", f"evacuate/{zone}", None)
        self._one_evacuation.release()

    def _leave(self, duration_s: float, chance: random.Random) -> None:
        server = chance.choice(self.world.servers)
        self.world.add_server()
        self.world.register(server, "draining")
        self.world.record.left_at_by_instance[server.instance.id] = (
            self.world.record.now()
        )
        self._wait(LEAVING_S)
        if server in self.world.servers:
            self.world.remove_server(server)
