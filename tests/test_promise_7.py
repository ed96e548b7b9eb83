"""P7: a leaving backend server gets no new work after ``MAX_STOP_DELAY_S``."""

from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from dotterelpier.model.evidence import ExchangeResult, LoadReport, Readiness
from dotterelpier.model.membership import HomeGrant
from dotterelpier.model.platform import Vm, VmState
from tests.homes_fakes import (
    COLD_SLOTS,
    SERVER,
    SLOTS,
    ModelServer,
    StepEntry,
    make_step_entry,
    make_warm_entry,
)

MAX_STOP_DELAY_S = 5.0
HOST = SERVER.address.partition(":")[0]
READY = LoadReport(Readiness.READY, "boot-1")


class Leaving(RuleBasedStateMachine):
    """A busy server leaves, announced in one or several ways, and comes back.

    The test records since when the server has been leaving. If only the VM list
    announces it, the time counts from its entry in the list, as the list may lag.
    """

    def __init__(self) -> None:
        super().__init__()
        self.entry: StepEntry = make_step_entry()
        self.server: ModelServer = self.entry.servers[SERVER.id]
        self.entry.homes.assign(HomeGrant(limit=SLOTS))
        self.leaving_since: float | None = None
        self.sheds_calls = False
        self.listed = False
        self.entry.run(2)

    def _leave(self) -> None:
        if self.leaving_since is None:
            self.leaving_since = self.entry.clock.now

    @rule()
    def leave_by_answers_and_health(self) -> None:
        self._leave()
        self.sheds_calls = self.server.leaving = True

    @rule()
    def leave_by_health(self) -> None:
        self._leave()
        self.server.leaving = True

    @rule()
    def refuse_connections(self) -> None:
        self._leave()
        self.server.refusing = True

    @rule()
    def leave_by_vm_list(self) -> None:
        self._leave()
        self.listed = True
        self.entry.platform.vms = (Vm(HOST, VmState.LEAVING),)

    @rule()
    def come_back(self) -> None:
        if self.leaving_since is None:
            return
        self.leaving_since = None
        self.sheds_calls = self.server.leaving = self.server.refusing = False
        self.entry.platform.vms = (Vm(HOST, VmState.LIVE),)
        self.server.restart()

    @rule(down=st.booleans())
    def platform_outage(self, down: bool) -> None:
        # An entry cannot read a changed VM list while the platform is down.
        if not self.listed:
            self.entry.platform.down = down

    @rule(seconds=st.sampled_from([0.25, 1.0, 4.0]))
    def serve(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.25)):
            self.entry.step()
            for _ in range(SLOTS):
                self._call()
        if self.entry.platform.down:
            self.entry.platform.down = False

    def _call(self) -> None:
        slot = self.entry.acquire()
        if slot is None:
            return
        now = self.entry.clock.now
        late = (
            self.leaving_since is not None
            and now - self.leaving_since > MAX_STOP_DELAY_S
        )
        assert not late, f"new work {now - self.leaving_since:.2f} s after leaving"
        if self.sheds_calls:
            self.entry.finish(slot, ExchangeResult.SHED, self.server.report())
        else:
            self.entry.finish(slot, ExchangeResult.ANSWERED, READY)


LeavingTest = Leaving.TestCase
LeavingTest.settings = settings(max_examples=30, stateful_step_count=20)
LeavingTest = pytest.mark.promise(7)(LeavingTest)


def _send_times_s(entry: StepEntry, seconds: float, respond: Any) -> list[float]:
    """Make calls for a while; return when they were sent, in seconds from now."""
    began_at, sent_at = entry.clock.now, []
    for _ in range(round(seconds / 0.25)):
        entry.step()
        slot = entry.acquire()
        if slot is not None:
            sent_at.append(entry.clock.now - began_at)
            respond(entry, slot)
    return sent_at


def _answer(entry: StepEntry, slot: Any) -> None:
    entry.finish(slot, ExchangeResult.ANSWERED, READY)


def _shed(entry: StepEntry, slot: Any) -> None:
    report = LoadReport(Readiness.LEAVING, "boot-1")
    entry.finish(slot, ExchangeResult.SHED, report)


@pytest.mark.promise(7)
def test_refused_connections_stop_a_busy_server(record_property: Any) -> None:
    """Connections opened earlier still answer, so only a probe detects the refusal."""
    entry = make_warm_entry()
    entry.servers[SERVER.id].refusing = True
    sent_at = _send_times_s(entry, 30, _answer)
    assert max(sent_at) <= MAX_STOP_DELAY_S
    record_property("figure", f"refused only: last new work after {max(sent_at):.2f} s")


@pytest.mark.promise(7)
def test_list_of_vms_alone_stops_new_work(record_property: Any) -> None:
    entry = make_warm_entry()
    entry.platform.vms = (Vm(HOST, VmState.LEAVING),)
    sent_at = _send_times_s(entry, 30, _answer)
    assert max(sent_at, default=0.0) <= MAX_STOP_DELAY_S
    record_property("figure", f"listed: {max(sent_at, default=0.0):.2f} s")


@pytest.mark.promise(7)
def test_false_health_check_allows_few_attempts() -> None:
    """Answers report leaving, while the health check still reports ready."""
    entry = make_warm_entry()
    sent_at = _send_times_s(entry, 600, _shed)
    assert len(sent_at) <= 1 + 6


@pytest.mark.promise(7)
def test_server_back_after_leaving_starts_cold() -> None:
    entry = make_warm_entry()
    server = entry.servers[SERVER.id]
    server.leaving = True
    entry.run(3)
    assert entry.acquire() is None
    server.leaving = False
    server.boot += 1
    entry.run(3)
    slots = [entry.acquire() for _ in range(SLOTS)]
    assert sum(slot is not None for slot in slots) == COLD_SLOTS
