"""Backend servers that leave or ask for a pause, in answers to requests of an entry.

No request may reach a server that said it leaves, or one inside the pause that it asked
for, whatever the registry says meanwhile; its next incarnation is free of both.
"""

import math

import pytest
from attrs import evolve
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from dotterelpier.fleet.measurements import _needs_sending
from dotterelpier.fleet.prober import HealthChecks
from dotterelpier.model.instance import (
    HealthReport,
    Instance,
    InstanceNotice,
    LoadFigures,
    Measurement,
)
from dotterelpier.protocols import ServiceName
from dotterelpier.protocols.fleet import Conditions
from dotterelpier.wire.fleet import decode_measurements, encode_measurements
from tests.fakes import ManualClock
from tests.fleet_system import (
    ScriptedInstance,
    answer,
    refusal,
    start_fleet_system,
)
from tests.test_fleet_decisions import NoMetrics, check, conditions_of, picked
from tests.test_fleet_requests import echo_target, register_and_wait
from tests.utils import wait_until

LEAVING = InstanceNotice(leaving=True)
NUMBERS = st.integers(1, 3)


def incarnation(number: int, started_at_ms: int = 1) -> Instance:
    address = f"10.0.0.{number}:80"
    return Instance(f"i-{number}", "svc", address, "a", 4, started_at_ms=started_at_ms)


class NoticesMachine(RuleBasedStateMachine):
    """Answers, registrations, restarts and time in any order, against one check."""

    @initialize()
    def begin(self) -> None:
        self.running = {number: incarnation(number) for number in (1, 2, 3)}
        found = conditions_of(*self.running.values())
        self.conditions, self.clock, _, self.registry = found
        # Until when each incarnation wants nothing.
        self.closed_until: dict[tuple[str, int], float] = {}
        self.check_all()

    def _refresh(self) -> None:
        self.conditions._subsets.refresh()
        self.conditions.refresh()

    def _note(self, item: Instance, notice: InstanceNotice) -> None:
        self.conditions.note_notice(item, notice)
        until = math.inf if notice.leaving else self.clock.now + notice.retry_after_s
        key = (item.id, item.started_at_ms)
        self.closed_until[key] = max(until, self.closed_until.get(key, -math.inf))

    @rule(number=NUMBERS)
    def leave(self, number: int) -> None:
        self._note(self.running[number], LEAVING)

    @rule(number=NUMBERS, pause_s=st.floats(0.01, 20.0))
    def ask_for_a_pause(self, number: int, pause_s: float) -> None:
        self._note(self.running[number], InstanceNotice(retry_after_s=pause_s))

    @rule(number=NUMBERS, earlier=st.integers(1, 3))
    def late_answer_of_an_earlier_incarnation(self, number: int, earlier: int) -> None:
        started_at_ms = max(1, self.running[number].started_at_ms - earlier)
        self._note(incarnation(number, started_at_ms), LEAVING)

    @rule(number=NUMBERS)
    def restart(self, number: int) -> None:
        before = self.running[number]
        after = evolve(before, started_at_ms=before.started_at_ms + 1)
        self.running[number] = after
        known = [item for item in self.registry.known if item.id != before.id]
        self.registry.known = (*known, after)
        self._refresh()

    @rule(number=NUMBERS)
    def lose_the_registration(self, number: int) -> None:
        id = self.running[number].id
        known = self.registry.known
        self.registry.known = tuple(item for item in known if item.id != id)
        self._refresh()

    @rule(number=NUMBERS)
    def renew_the_registration(self, number: int) -> None:
        item = self.running[number]
        known = [one for one in self.registry.known if one.id != item.id]
        self.registry.known = (*known, evolve(item, cold_remaining_s=0.0))
        self._refresh()

    @rule(seconds=st.floats(0.0, 10.0))
    def pass_time(self, seconds: float) -> None:
        self.clock.advance(seconds)

    @rule()
    def check_all(self) -> None:
        for item in self.registry.known:
            check(self.conditions, self.clock, item)

    @rule(count=st.integers(1, 12))
    def send(self, count: int) -> None:
        known = {item.id: item for item in self.registry.known}
        for chosen in picked(self.conditions, count):
            key = (chosen, known[chosen].started_at_ms)
            assert self.closed_until.get(key, -math.inf) <= self.clock.now
            self.conditions.note_ended(chosen, None)


NoticesMachine.TestCase.settings = settings(max_examples=60, stateful_step_count=40)
TestNotices = NoticesMachine.TestCase


def test_pause_ends_for_requests_and_checks() -> None:
    conditions, clock, _, _ = conditions_of(incarnation(1))
    check(conditions, clock, incarnation(1))
    conditions.note_notice(incarnation(1), InstanceNotice(retry_after_s=2.0))
    assert picked(conditions) == [] and not conditions.wants_check("i-1")
    assert conditions.closed_until("svc") == clock.now + 2.0
    clock.advance(2.0)
    assert conditions.wants_check("i-1") and picked(conditions) == ["i-1"]


def test_one_open_server_keeps_a_service_open() -> None:
    conditions, _, _, _ = conditions_of(incarnation(1), incarnation(2))
    conditions.note_notice(incarnation(1), LEAVING)
    assert conditions.closed_until("svc") == -math.inf
    conditions.note_notice(incarnation(2), LEAVING)
    assert conditions.closed_until("svc") == math.inf


class AnsweredCheck:
    """Connection whose health check has a given answer."""

    def __init__(self, report: HealthReport) -> None:
        self.report = report

    def check(self, path: str, timeout_s: float) -> HealthReport:
        return self.report


def test_notice_in_a_health_check_counts_also_if_its_other_results_do_not() -> None:
    item = incarnation(1)
    conditions, clock, routes, _ = conditions_of(item)
    check(conditions, clock, item)
    report = HealthReport(item.id, False, LoadFigures(0, 0, 4), notice=LEAVING)
    checks = HealthChecks(ManualClock(now=0.0), NoMetrics(), routes, conditions)
    # A failure since then makes the results of this check outdated.
    conditions.note_unreachable(item.id, "reset")
    checks.check(item, AnsweredCheck(report))
    check(conditions, clock, item)
    assert picked(conditions) == []


@pytest.fixture
def system():
    system = start_fleet_system(retry_slack=50.0)
    yield system
    system.stop()


LEAVING_LINE = "Server-Leaving: 1"
SCRIPTS = {
    "success": lambda received: [answer(received, b"done", LEAVING_LINE)],
    "failure": lambda received: [
        answer(received, b"", LEAVING_LINE, status="500 Internal Server Error")
    ],
    "refusal": lambda received: [
        refusal(received, "503 Service Unavailable", LEAVING_LINE)
    ],
    "large answer": lambda received: [answer(received, b"x" * (2 << 20), LEAVING_LINE)],
}


@pytest.mark.parametrize("name", SCRIPTS)
def test_server_that_says_it_leaves_gets_no_further_request(system, name) -> None:
    leaving = ScriptedInstance("i-1", "svc", SCRIPTS[name])
    staying = ScriptedInstance("i-2", "svc", echo_target)
    register_and_wait(system, leaving, staying)
    wait_until(lambda: system.send("/a/x") and leaving.runs, "it gets a request")
    # Its registration is renewed, and says that it is ready.
    system.store.put_json("servers", "i-1", {**leaving.row(), "version": "v2"})
    for _ in range(30):
        assert system.send("/a/x").status == 200
    assert len(leaving.runs) == 1
    system.store.put_json("servers", "i-1", {**leaving.row(), "born": 2})
    wait_until(
        lambda: system.send("/a/x") and len(leaving.runs) > 1,
        "the next incarnation gets requests",
    )


def test_request_is_refused_at_once_if_all_servers_leave(system) -> None:
    leaving = ScriptedInstance("i-1", "svc", SCRIPTS["success"])
    register_and_wait(system, leaving, targetLatencyMs=600_000, timeoutMs=600_000)
    assert system.send("/a/x").status == 200
    reply = system.send("/a/x", X_Dotterelpier_Deadline_Ms="600000")
    assert reply.status == 503 and float(reply.headers["Retry-After"]) > 0
    assert len(leaving.runs) == 1


def test_client_is_told_to_return_within_a_third_of_its_time(system) -> None:
    """It cannot honour the whole pause that the server asked for."""
    pause = "Retry-After: 40"
    full = ScriptedInstance(
        "i-1", "svc", lambda received: [refusal(received, "503 Busy", pause)]
    )
    register_and_wait(system, full, kind="non_idempotent", maxAttempts=1)
    assert system.send("/a/x", "POST", b"").status == 503
    reply = system.send("/a/x", "POST", b"")
    # The route allows two seconds.
    assert reply.status == 503 and 0.5 < float(reply.headers["Retry-After"]) <= 2 / 3
    assert len(full.runs) == 1
    conditions = system.kernel.find(ServiceName.CONDITIONS, Conditions)
    assert not conditions.wants_check("i-1")


def told(conditions, clock, measurement: Measurement) -> None:
    """Pass the result of a health check on, as the datagrams between entries do."""
    content = encode_measurements([measurement], clock.now)
    for received in decode_measurements(content, clock.now):
        conditions.note_measurement(received)


def test_result_of_another_entry_tells_that_a_server_leaves() -> None:
    """Without this, an entry used a leaving server while the others had no room."""
    conditions, clock, _, _ = conditions_of(incarnation(1))
    report = HealthReport("i-1", False, notice=LEAVING)
    told(conditions, clock, Measurement("i-1", clock.now, report, started_at_ms=1))
    assert picked(conditions) == []
    assert conditions.closed_until("svc") == math.inf


@pytest.mark.parametrize(
    "result",
    [
        {"report": HealthReport("i-1", True)},
        {"report": HealthReport("i-1", False, notice=LEAVING)},
        {"unreachable": "refused"},
    ],
)
@pytest.mark.parametrize("own", [True, False])
def test_check_of_an_earlier_incarnation_says_nothing_of_the_next(own, result) -> None:
    conditions, clock, _, _ = conditions_of(incarnation(1, started_at_ms=2))
    late = Measurement("i-1", clock.now, started_at_ms=1, **result)
    if own:
        conditions.note_check(late)
    else:
        told(conditions, clock, late)
    assert picked(conditions) == []
    check(conditions, clock, incarnation(1, started_at_ms=2))
    told(conditions, clock, late)
    assert picked(conditions) == ["i-1"]


def test_result_is_sent_at_once_when_a_server_begins_to_leave() -> None:
    before = HealthReport("i-1", False)
    after = evolve(before, notice=LEAVING)
    assert _needs_sending(
        Measurement("i-1", 1.0, before), Measurement("i-1", 1.1, after)
    )
