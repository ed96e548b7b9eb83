"""Roll-outs over sockets: entries, a stand-in store, servers of two releases."""

import json
import threading
import time
from functools import partial

import pytest
from attrs import define, field

from dotterelpier.fleet.ranking import rank
from dotterelpier.model.fleet import FleetMember
from dotterelpier.protocols import ServiceName
from dotterelpier.protocols.fleet import Fleet
from tests.fleet_processes import EntryProcesses
from tests.fleet_system import (
    ATTEMPT_ID_HEADER,
    HOST,
    ScriptedInstance,
    answer,
    config,
    route,
    start_another_entry,
    start_fleet_system,
)
from tests.standins.row_store import RowStoreState, start_row_store
from tests.utils import request, wait_until

WORK_S = 0.03
DURATION_S = 14
CLIENTS = 4
EXPOSE_SHARE, EXPOSE_SLACK = 0.1, 50


@define(eq=False)
class Rollout:
    """Servers of two releases, and clients that ask the entries on and on.

    When the roll-out is completed, the old servers end at once.
    """

    store: RowStoreState
    addresses: list[str]
    failing: bool
    old: list[ScriptedInstance] = field(init=False)
    new: list[ScriptedInstance] = field(init=False)
    statuses: list[int] = field(factory=list)
    old_running_at_completion: int | None = None
    _running_old: int = 0
    _ids: list[int] = field(factory=list)
    _lock: threading.Lock = field(factory=threading.Lock)
    _stopped: threading.Event = field(factory=threading.Event)
    _threads: list[threading.Thread] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        self.old = [
            ScriptedInstance(f"o-{number}", "svc", self._run_old) for number in range(3)
        ]
        self.new = [
            ScriptedInstance(f"n-{number}", "svc", self._run_new, release="v2")
            for number in range(3)
        ]

    def _run_old(self, received):
        with self._lock:
            self._running_old += 1
        time.sleep(WORK_S)
        with self._lock:
            self._running_old -= 1
        return [answer(received, b"ok")]

    def _run_new(self, received):
        time.sleep(WORK_S)
        return [answer(received, b"", status="500 X" if self.failing else "200 OK")]

    def begin(self) -> None:
        """Register the old servers, and let the clients ask."""
        routes = {"r": route("/a/", "svc", maxAttempts=3)}
        self.store.put_json("op", "config", config(1, routes, "svc"))
        self.register(self.old)
        for address in self.addresses:
            wait_until(lambda address=address: self.ask(address) == 200, "served")
        targets = [
            partial(self._ask_on, self.addresses[number % len(self.addresses)])
            for number in range(CLIENTS)
        ]
        for target in (*targets, self._end_old_servers):
            self._threads.append(threading.Thread(target=target, daemon=True))
            self._threads[-1].start()

    def register(self, instances) -> None:
        for item in instances:
            self.store.put_json("servers", item.id, item.row())

    def order(self, target: str = "v2") -> int:
        row = {"service": "svc", "target": target, "durationS": DURATION_S}
        return self.store.put_json("op", "rollout/svc", row)

    def states(self) -> list[str]:
        """Return the states in the order in which they were written."""
        return [
            json.loads(value)["state"]
            for table, _, value, _ in tuple(self.store.changes)
            if table == "status" and value is not None
        ]

    def wait_for(self, state: str) -> None:
        wait_until(lambda: self.states()[-1:] == [state], f"it is {state}")

    def runs(self, instances) -> int:
        return sum(len(item.runs) for item in instances)

    def ask(self, address: str) -> int:
        with self._lock:
            self._ids.append(len(self._ids))
            attempt = f"try-{len(self._ids)}"
        headers = {"Host": HOST, ATTEMPT_ID_HEADER: attempt}
        return request(address, "GET", "/a/x", None, headers).status

    def _ask_on(self, address: str) -> None:
        while not self._stopped.is_set():
            try:
                self.statuses.append(self.ask(address))
            except OSError:
                # The entry was killed.
                time.sleep(0.1)

    def _end_old_servers(self) -> None:
        while not self._stopped.is_set():
            with self.store.changed:
                if self.states()[-1:] == ["completed"]:
                    self.old_running_at_completion = self._running_old
                    for item in self.old:
                        item.server.close()
                    return
                self.store.changed.wait(0.2)

    def end(self) -> None:
        self._stopped.set()
        for thread in self._threads:
            thread.join(5.0)


@pytest.fixture
def fleet():
    """Return a function that starts a roll-out at two entries of this process."""
    first = start_fleet_system(retry_slack=1000.0, retry_ratio=0.5)
    systems = [first, start_another_entry(first, "entry-2")]
    begun: list[Rollout] = []

    def begin(*, failing: bool) -> Rollout:
        addresses = [item.settings.entry.caller_address for item in systems]
        begun.append(Rollout(first.store, addresses, failing))
        begun[0].begin()
        for system in systems:
            members = system.kernel.find(ServiceName.FLEET, Fleet).members
            wait_until(lambda members=members: len(members()) == 2, "all are known")
        return begun[0]

    yield begin
    begun[0].end()
    for system in systems:
        system.stop()


def test_good_release_is_completed_without_a_lost_request(fleet) -> None:
    rollout = fleet(failing=False)
    rollout.order()
    time.sleep(0.5)
    rollout.register(rollout.new)
    rollout.wait_for("completed")
    old = rollout.runs(rollout.old)
    time.sleep(1.0)
    assert rollout.runs(rollout.old) == old
    assert rollout.old_running_at_completion == 0
    assert rollout.states() == ["running", "completed"]
    assert set(rollout.statuses) == {200}


def test_bad_release_is_rolled_back_and_may_be_ordered_again(fleet) -> None:
    rollout = fleet(failing=True)
    rollout.order()
    rollout.register(rollout.new)
    rollout.wait_for("rolled_back")
    time.sleep(0.3)
    sent = rollout.runs(rollout.new)
    assert 0 < sent <= EXPOSE_SHARE * len(rollout.statuses) + EXPOSE_SLACK
    time.sleep(1.0)
    assert rollout.runs(rollout.new) == sent
    assert set(rollout.statuses) == {200}
    rollout.failing = False
    rollout.order()
    rollout.wait_for("completed")
    assert rollout.states() == ["running", "rolled_back", "running", "completed"]


def test_halt_works_without_the_store_and_is_written_after_it(fleet) -> None:
    """A bad release went on getting requests until the store was back."""
    rollout = fleet(failing=True)
    rollout.order()
    rollout.register(rollout.new)
    wait_until(lambda: rollout.runs(rollout.new) > 0, "the target gets requests")
    rollout.store.outage = True
    time.sleep(5.0)
    sent = rollout.runs(rollout.new)
    time.sleep(1.0)
    assert rollout.runs(rollout.new) == sent
    assert rollout.states() == ["running"]
    rollout.store.outage = False
    rollout.wait_for("rolled_back")
    assert rollout.runs(rollout.new) == sent <= EXPOSE_SLACK


def test_order_that_is_deleted_leaves_all_releases_in_service(fleet) -> None:
    rollout = fleet(failing=False)
    rollout.order()
    rollout.register(rollout.new)
    wait_until(lambda: rollout.states() == ["running"], "it runs")
    rollout.store.put("op", "rollout/svc", None)
    before = rollout.runs(rollout.new)
    wait_until(lambda: rollout.runs(rollout.new) > before + 20, "both are used")
    assert set(rollout.statuses) == {200}


def test_successor_of_a_killed_coordinator_goes_on(tmp_path) -> None:
    """Three entry processes, the first in rank of which is killed in the middle."""
    store_address, store = start_row_store()
    processes = EntryProcesses(tmp_path)
    names = ["entry-1", "entry-2", "entry-3"]
    store.put_json("op", "config", config(1, {"r": route("/a/", "svc")}, "svc"))
    try:
        entries = [processes.start(name, store_address) for name in names]
        addresses = [item.address_by_use["caller"] for item in entries]
        rollout = Rollout(store, addresses, failing=False)
        rollout.begin()
        wait_until(lambda: store.keys("entries") == set(names), "all are registered")
        time.sleep(1.5)
        rollout.order()
        rollout.register(rollout.new)
        wait_until(lambda: rollout.runs(rollout.new) > 3, "the target gets requests")
        members = [FleetMember(name, "", "", "", "") for name in names]
        coordinator = rank("rollout svc", members)[0].name
        processes.entries[names.index(coordinator)].process.kill()
        rollout.wait_for("completed")
        rollout.end()
    finally:
        processes.stop()
    assert rollout.old_running_at_completion == 0
    assert rollout.states() == ["running", "completed"]
