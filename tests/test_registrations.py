"""Registrations of backend servers that the store performs late.

A write may be performed seconds after the call, so a report may follow a later one, or
the deletion of the row of a backend server that has left.
"""

import itertools

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from dotterelpier.fleet.registry import OUTDATED_ROW_S, FollowedRegistry
from dotterelpier.model.fleet import StoreRow
from dotterelpier.model.instance import HealthReport, Instance, Measurement
from dotterelpier.protocols import ServiceName
from dotterelpier.protocols.fleet import Registry
from tests.fakes import ManualClock, StepTimer
from tests.fleet_system import ScriptedInstance, start_fleet_system
from tests.test_fleet_decisions import check, conditions_of, picked
from tests.test_fleet_requests import echo_target, register_and_wait
from tests.utils import wait_until

VERSIONS = itertools.count(1)
NUMBERS = st.integers(1, 4)
STARTED = Instance("i-1", "svc", "10.0.0.1:80", "a", 4, started_at_ms=5)


class CodecOfFakeRows:
    """Codec of rows that hold start, report number and state, divided by blanks."""

    def instance(self, key: str, content: bytes) -> Instance:
        started_at_ms, number, state = content.decode().split()
        return Instance(
            key,
            "svc",
            "10.0.0.1:80",
            "a",
            4,
            draining=state == "draining",
            started_at_ms=int(started_at_ms),
            report_number=int(number),
        )


class SteadyLink:
    """Store link that has been reachable for long."""

    def recovered_at(self) -> float:
        return float("-inf")


def report(started_at_ms: int, number: int, state: str = "ready") -> StoreRow:
    content = f"{started_at_ms} {number} {state}"
    return StoreRow("i-1", content.encode(), next(VERSIONS))


def deletion() -> StoreRow:
    return StoreRow("i-1", None, next(VERSIONS))


def registry_after(*rows: StoreRow) -> FollowedRegistry:
    """Return a registry that has read an empty table, then these changes in turn."""
    clock = ManualClock()
    registry = FollowedRegistry(
        CodecOfFakeRows(), clock, SteadyLink(), StepTimer(clock), lambda *_: None
    )
    registry.apply_snapshot(())
    for row in rows:
        registry.apply_changes((row,))
    return registry


def listed(registry: FollowedRegistry) -> list[tuple[int, int]]:
    """Return start and report number of each backend server that is not draining."""
    found = registry.instances()
    return [(item.started_at_ms, item.report_number) for item in found]


@pytest.mark.parametrize("late", [(5, 2), (5, 3), (4, 9)])
def test_late_report_does_not_register_a_server_that_left(late) -> None:
    registry = registry_after(report(5, 1), report(5, 3), deletion(), report(*late))
    assert listed(registry) == []


@pytest.mark.parametrize("late", [(5, 2), (4, 9)])
def test_late_report_does_not_undo_draining(late) -> None:
    registry = registry_after(report(5, 1), report(5, 3, "draining"), report(*late))
    assert listed(registry) == []


def test_late_report_of_an_earlier_start_does_not_replace_the_present_one() -> None:
    registry = registry_after(report(4, 9), deletion(), report(5, 1), report(4, 8))
    assert listed(registry) == [(5, 1)]


def test_snapshot_with_a_late_report_does_not_register_a_server_that_left() -> None:
    registry = registry_after(report(5, 3), deletion())
    registry.apply_snapshot((report(5, 2),))
    assert listed(registry) == []


@pytest.mark.parametrize("newer", [(5, 4), (6, 1), (5, 0), (0, 0)])
def test_server_that_reports_again_after_its_deletion_is_registered(newer) -> None:
    registry = registry_after(report(5, 3), deletion(), report(*newer))
    assert listed(registry) == [newer]


def test_server_whose_clock_was_set_back_is_registered_in_the_end() -> None:
    registry = registry_after(report(5, 3), deletion(), report(4, 1))
    registry._clock.advance(OUTDATED_ROW_S)
    registry._timer.tick()
    assert listed(registry) == [(4, 1)]


@pytest.mark.parametrize("by_snapshot", [True, False])
def test_outdated_row_that_was_deleted_is_never_registered(by_snapshot) -> None:
    registry = registry_after(report(5, 3), deletion(), report(4, 1))
    if by_snapshot:
        registry.apply_snapshot(())
    else:
        registry.apply_changes((deletion(),))
    registry._clock.advance(OUTDATED_ROW_S)
    registry._timer.tick()
    assert listed(registry) == []


def listed_ids(registry: Registry) -> set[str]:
    return {item.id for item in registry.instances()}


class LateWritesMachine(RuleBasedStateMachine):
    """Reports that are performed in any order, restarts, deletions and snapshots."""

    @initialize()
    def begin(self) -> None:
        self.registry = registry_after()
        self.row: StoreRow | None = None
        self.sent: list[StoreRow] = []
        self.started_at_ms, self.number = 1, 0
        # The newest report that was read, and whether its row was deleted since.
        self.newest, self.deleted = (0, 0), False

    def _perform(self, row: StoreRow) -> None:
        self.row = row
        started_at_ms, number, _ = row.value.decode().split()
        read = (int(started_at_ms), int(number))
        if read > self.newest:
            self.newest, self.deleted = read, False
        self.registry.apply_changes((row,))

    @rule(state=st.sampled_from(["ready", "draining"]), late=st.booleans())
    def send_report(self, state: str, late: bool) -> None:
        self.number += 1
        row = report(self.started_at_ms, self.number, state)
        if late:
            self.sent.append(row)
        else:
            self._perform(row)

    @rule(index=NUMBERS)
    def perform_late_report(self, index: int) -> None:
        if index <= len(self.sent):
            self._perform(self.sent.pop(-index))

    @rule()
    def delete_row(self) -> None:
        self.row, self.deleted = None, True
        self.registry.apply_changes((deletion(),))

    @rule()
    def start_again(self) -> None:
        self.started_at_ms, self.number = self.started_at_ms + 1, 0

    @rule()
    def read_all_rows(self) -> None:
        self.registry.apply_snapshot(() if self.row is None else (self.row,))

    @invariant()
    def only_the_newest_report_counts(self) -> None:
        expected = [] if self.deleted or not self.newest[0] else [self.newest]
        assert listed(self.registry) in (expected, [])
        if expected:
            assert self.registry._instance_by_id["i-1"].report_number == expected[0][1]


LateWritesMachine.TestCase.settings = settings(max_examples=100, stateful_step_count=30)
TestLateWrites = LateWritesMachine.TestCase


@pytest.fixture
def system():
    system = start_fleet_system(retry_slack=50.0)
    yield system
    system.stop()


def test_server_that_left_gets_no_requests_after_a_late_report(system) -> None:
    """The store performs an earlier report after it has deleted the row."""
    left = ScriptedInstance("i-1", "svc", echo_target)
    staying = ScriptedInstance("i-2", "svc", echo_target)
    register_and_wait(system, left, staying)
    registry = system.kernel.find(ServiceName.REGISTRY, Registry)
    system.store.put_json("servers", "i-1", left.row("ready", report=3))
    system.store.put("servers", "i-1", None)
    wait_until(lambda: len(registry.instances()) == 1, "the server has left")
    runs = len(left.runs)
    system.store.put_json("servers", "i-1", left.row("ready", report=2))
    last = ScriptedInstance("i-3", "svc", echo_target)
    system.register(last)
    wait_until(lambda: "i-3" in listed_ids(registry), "the later row is read")
    ids = listed_ids(registry)
    assert ids == {"i-2", "i-3"}
    for _ in range(20):
        assert system.send("/a/x").status == 200
    assert len(left.runs) == runs


def returned_server():
    """Return conditions with a server that left and was registered again."""
    conditions, clock, _, registry = conditions_of(STARTED)
    check(conditions, clock, STARTED)
    clock.advance(1.0)
    for known in ((), (STARTED,)):
        registry.known = known
        conditions._subsets.refresh()
        conditions.refresh()
    return conditions, clock


def test_returned_server_gets_requests_only_after_a_good_health_check() -> None:
    """A late report has a newer number if the entry did not see the later ones."""
    conditions, clock = returned_server()
    check(conditions, clock, STARTED, healthy=False)
    assert picked(conditions) == []
    check(conditions, clock, STARTED)
    assert picked(conditions) == ["i-1"]
    check(conditions, clock, STARTED, healthy=False)
    assert picked(conditions) == ["i-1"]


def test_check_from_before_it_left_does_not_show_that_a_server_is_back() -> None:
    conditions, clock = returned_server()
    report = HealthReport("i-1", True)
    conditions.note_measurement(Measurement("i-1", clock.now - 1.0, report))
    assert picked(conditions) == []
