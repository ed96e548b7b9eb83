"""Roll-outs of a service of its own, and what must hold for their states."""

import json
import threading

from attrs import define, field

from soak.record import Record
from soak.system import SoakSystem

SERVICE = "rolled"
DURATION_S = 8.0
PAUSE_S = 0.5
POLL_S = 0.05
# A decision may be late while faults delay it; after this the next order is given.
DECISION_TIMEOUT_S = 20.0
FINAL_STATES = ("completed", "rolled_back")
SERVERS_PER_RELEASE = 2


@define(eq=False)
class RolloutProbe:
    """Orders one release after the other, and watches the state of each.

    Every second release answers with failures. A state that changes after it was final
    is a broken promise, and so is a bad release that is completed.
    """

    system: SoakSystem
    record: Record
    number: int = 1
    _running: list[str] = field(factory=list)

    def run(self, stopping: threading.Event) -> None:
        """Give orders until ``stopping`` is set."""
        self._running = self.system.start_release(SERVICE, "v1", fails=False)
        while not stopping.wait(PAUSE_S):
            self.number += 1
            self._roll_out(f"v{self.number}", self.number % 2 == 1, stopping)

    def _roll_out(self, target: str, bad: bool, stopping: threading.Event) -> None:
        added = self.system.start_release(SERVICE, target, fails=bad)
        order = {"service": SERVICE, "target": target, "durationS": DURATION_S}
        self.system.state.put_json("op", f"rollout/{SERVICE}", order)
        state = self._wait_for_decision(target, stopping)
        if state == "completed":
            if bad:
                self.record.add_broken_promise("bad release completed", target)
            self.system.stop_release(self._running)
            self._running = added
        else:
            self.system.stop_release(added)
        if state is not None and self._state(target) not in (state, None):
            detail = f"{target}: {state}, then {self._state(target)}"
            self.record.add_broken_promise("roll-out decided twice", detail)

    def _wait_for_decision(self, target: str, stopping: threading.Event) -> str | None:
        until = self.record.now() + DECISION_TIMEOUT_S
        while self.record.now() < until and not stopping.wait(POLL_S):
            state = self._state(target)
            if state in FINAL_STATES:
                return state
        return None

    def _state(self, target: str) -> str | None:
        row = self.system.state.rows.get(("status", f"rollout/{SERVICE}"))
        if row is None:
            return None
        status = json.loads(row[0])
        return str(status["state"]) if status["target"] == target else None
