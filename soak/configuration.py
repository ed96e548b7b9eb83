"""Checks at every entry that configurations come into force and never go back."""

import http.client
import threading

from attrs import define, field

from soak.record import CONFIGURATION_S, Record
from soak.system import SoakSystem
from tests.fleet_processes import EntryProcess
from tests.fleet_system import ATTEMPT_ID_HEADER, HOST
from tests.utils import request

PAUSE_S = 0.2
STATUS_NO_ROUTE = 404


@define(eq=False)
class ConfigurationProbe:
    """Asks each entry for the route that only the newest version has."""

    system: SoakSystem
    record: Record
    timed: bool
    # The newest version that a process showed to be in force there.
    version_by_process: dict[int, int] = field(factory=dict)
    _probe_count: int = 0

    def run(self, stopping: threading.Event) -> None:
        """Ask until told to stop."""
        while not stopping.wait(PAUSE_S):
            for entry in self.system.entries.entries:
                self._probe(entry)

    def _probe(self, entry: EntryProcess) -> None:
        process, version = entry.process.pid, self.system.version
        configured_at, probe_sent_at = self.system.configured_at, self.record.now()
        self._probe_count += 1
        headers = {"Host": HOST, ATTEMPT_ID_HEADER: f"probe-{self._probe_count}"}
        try:
            target = f"/v{version}/x"
            address = entry.address_by_use["caller"]
            status = request(address, "GET", target, None, headers, 2.0).status
        except (OSError, http.client.HTTPException):
            # An entry that is gone tells nothing of its configuration.
            return
        if process != entry.process.pid or version != self.system.version:
            return
        if status != STATUS_NO_ROUTE:
            if status == 200:
                self.version_by_process[process] = version
            return
        detail = f"{entry.name} knows no route of version {version}"
        if self.version_by_process.get(process, 0) >= version:
            self.record.add_broken_promise("configuration goes back", detail)
        late = probe_sent_at > configured_at + CONFIGURATION_S
        if self.timed and late and self._is_fault_free(configured_at, probe_sent_at):
            self.record.add_broken_promise("configuration in force", detail)

    def _is_fault_free(self, begin: float, end: float) -> bool:
        active_faults = self.system.active_faults
        return not active_faults and self.record.is_fault_free(begin, end)
