"""Roll-outs over sockets: entries, a stand-in store, servers of two releases."""

import json
import threading
import time

import pytest
from attrs import define, field

from dotterelpier.protocols import ServiceName
from dotterelpier.protocols.fleet import Conditions, Fleet
from tests.fleet_system import (
    FleetSystem,
    ScriptedInstance,
    answer,
    route,
    service,
    start_another_entry,
    start_fleet_system,
)
from tests.utils import wait_until

WORK_S = 0.03
DURATION_S = 14
CLIENTS = 4


def good(received):
    time.sleep(WORK_S)
    return [answer(received, b"ok")]


def failing(received):
    time.sleep(WORK_S)
    return [answer(received, b"", status="500 X")]


@define(eq=False)
class Rollout:
    """Entries of one fleet, servers of two releases, and clients that ask on and on.

    When the roll-out is completed, the old servers end at once.
    """

    systems: list[FleetSystem]
    script: object
    old: list[ScriptedInstance] = field(init=False)
    new: list[ScriptedInstance] = field(init=False)
    statuses: list[int] = field(factory=list)
    old_running_at_completion: int | None = None
    _running_old: int = 0
    _lock: threading.Lock = field(factory=threading.Lock)
    _stopped: threading.Event = field(factory=threading.Event)
    _threads: list[threading.Thread] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        self.old = [
            ScriptedInstance(f"o-{number}", "svc", self._run_old) for number in range(3)
        ]
        self.new = [
            ScriptedInstance(f"n-{number}", "svc", self.script, release="v2")
            for number in range(3)
        ]

    @property
    def store(self):
        return self.systems[0].store

    def _run_old(self, received):
        with self._lock:
            self._running_old += 1
        time.sleep(WORK_S)
        with self._lock:
            self._running_old -= 1
        return [answer(received, b"ok")]

    def begin(self) -> None:
        """Register the old servers, and let the clients ask."""
        system = self.systems[0]
        system.store.put_json(
            "op",
            "config",
            {
                "version": "1",
                "routes": {"r": route("/a/", "svc", maxAttempts=3)},
                "services": {"svc": service()},
                "limits": {},
            },
        )
        system.register(*self.old)
        for item in self.systems:
            wait_until(lambda item=item: self._sees(item, self.old), "servers usable")
            fleet = item.kernel.find(ServiceName.FLEET, Fleet)
            wait_until(
                lambda fleet=fleet: len(fleet.members()) == len(self.systems),
                "all entries know each other",
            )
        for number in range(CLIENTS):
            entry = self.systems[number % len(self.systems)]
            thread = threading.Thread(target=self._ask, args=(entry,), daemon=True)
            thread.start()
            self._threads.append(thread)
        self._threads.append(threading.Thread(target=self._terminate, daemon=True))
        self._threads[-1].start()

    def _sees(self, system, instances) -> bool:
        conditions = system.kernel.find(ServiceName.CONDITIONS, Conditions)
        slots = sum(conditions.capacity_by_zone(frozenset({"svc"})).values())
        return slots >= 4 * len(instances)

    def order(self, target: str = "v2", duration_s: float = DURATION_S) -> int:
        row = {"service": "svc", "target": target, "durationS": duration_s}
        return self.store.put_json("op", "rollout/svc", row)

    def state(self) -> str:
        row = self.store.rows.get(("status", "rollout/svc"))
        return json.loads(row[0])["state"] if row else ""

    def states(self) -> list[str]:
        """Return the states in the order in which they were written."""
        return [
            json.loads(value)["state"]
            for table, _, value, _ in tuple(self.store.changes)
            if table == "status" and value is not None
        ]

    def runs(self, instances) -> int:
        return sum(len(item.runs) for item in instances)

    def _ask(self, entry: FleetSystem) -> None:
        while not self._stopped.is_set():
            try:
                self.statuses.append(entry.send("/a/x").status)
            except OSError:
                self.statuses.append(0)

    def _terminate(self) -> None:
        while not self._stopped.is_set():
            with self.store.changed:
                if self.state() == "completed":
                    with self._lock:
                        self.old_running_at_completion = self._running_old
                    for item in self.old:
                        item.server.close()
                    return
                self.store.changed.wait(0.2)

    def end(self) -> None:
        self._stopped.set()
        for thread in self._threads:
            thread.join(5.0)
        for system in self.systems:
            system.stop()


@pytest.fixture
def fleet():
    first = start_fleet_system(retry_slack=1000.0, retry_ratio=0.5)
    systems = [first, start_another_entry(first, "entry-2")]
    rollouts: list[Rollout] = []

    def make(script) -> Rollout:
        rollouts.append(Rollout(systems, script))
        rollouts[0].begin()
        return rollouts[0]

    yield make
    rollouts[0].end()


def test_good_release_is_completed_without_a_lost_request(fleet) -> None:
    rollout = fleet(good)
    rollout.order()
    time.sleep(0.5)
    rollout.systems[0].register(*rollout.new)
    wait_until(lambda: rollout.state() == "completed", "it is completed")
    old = rollout.runs(rollout.old)
    time.sleep(1.0)
    assert rollout.runs(rollout.old) == old
    assert rollout.old_running_at_completion == 0
    assert rollout.states() == ["running", "completed"]
    assert set(rollout.statuses) == {200}


def test_bad_release_is_rolled_back_within_its_exposure(fleet) -> None:
    rollout = fleet(failing)
    rollout.order()
    rollout.systems[0].register(*rollout.new)
    wait_until(lambda: rollout.state() == "rolled_back", "it is rolled back")
    time.sleep(0.5)
    sent = rollout.runs(rollout.new)
    assert 0 < sent <= 0.1 * len(rollout.statuses) + 50
    time.sleep(1.0)
    assert rollout.runs(rollout.new) == sent
    assert set(rollout.statuses) == {200}
    assert rollout.states()[-1] == "rolled_back"
