"""P1: probes of a backend server never exceed its measuring budget."""

from collections.abc import Sequence
from typing import Any

import pytest
from attrs import evolve
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from dotterelpier.model.evidence import ExchangeResult
from dotterelpier.model.manifest import MeasuringBudget
from dotterelpier.model.membership import HomeGrant
from dotterelpier.services.probe_budget import SLOT_TIME_WINDOW_S, ProbeBudget
from tests.fakes import ManualClock
from tests.homes_fakes import (
    PROBE_BYTES,
    SERVER,
    SLOTS,
    ModelServer,
    StepEntry,
    make_manifest,
    make_step_entry,
)

LEASE_S = 6.0
MARGIN_S = 1.0
BUDGET = MeasuringBudget(probe_bytes=PROBE_BYTES)
EPSILON_S = 1e-6


class Measuring(RuleBasedStateMachine):
    """Three entries probe one server, of which each may believe to be the home.

    An entry takes over once the lease of the previous home has certainly expired, by
    the rules of membership. A paused entry continues where it stopped. The invariant is
    checked on the times at which the server was probed.
    """

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.server = ModelServer(self.clock)
        self.rates = [BUDGET.probes_per_s]
        self.entries = [self._start_entry() for _ in range(3)]
        self.paused: set[int] = set()
        self.holder: int | None = None
        self.takeover_allowed_at = self.clock.now

    def _start_entry(self) -> StepEntry:
        manifest = make_manifest(budget=evolve(BUDGET, probes_per_s=self.rates[-1]))
        return make_step_entry(self.clock, self.server, manifest)

    @rule(index=st.integers(0, 2))
    def take_over(self, index: int) -> None:
        if index == self.holder or index in self.paused:
            return
        self.holder = None
        while self.clock.now < self.takeover_allowed_at:
            self.pass_time(0.25)
        self.holder = index
        self._renew()
        self.entries[index].homes.revoke()
        self.entries[index].homes.assign(HomeGrant())

    def _renew(self) -> None:
        if self.holder is None or self.holder in self.paused:
            return
        homes = self.entries[self.holder].homes
        homes.lease_end = self.clock.now + LEASE_S
        self.takeover_allowed_at = homes.lease_end + MARGIN_S

    @rule(index=st.integers(0, 2))
    def restart(self, index: int) -> None:
        self.entries[index] = self._start_entry()
        self.paused.discard(index)
        if index == self.holder:
            self.holder = None
            self.takeover_allowed_at = self.clock.now

    @rule(index=st.integers(0, 2))
    def pause(self, index: int) -> None:
        self.paused.add(index)

    @rule(index=st.integers(0, 2))
    def resume(self, index: int) -> None:
        self.paused.discard(index)

    @rule(rate=st.sampled_from([0.5, 1.0, 4.0]), index=st.integers(0, 2))
    def change_budget(self, rate: float, index: int) -> None:
        self.rates.append(rate)
        budget = evolve(BUDGET, probes_per_s=rate, bytes_per_s=4096.0, slot_share=0.1)
        self.entries[index].manifest.put(make_manifest(budget=budget))

    @rule(index=st.integers(0, 2))
    def answer(self, index: int) -> None:
        self.entries[index].observe(ExchangeResult.ANSWERED, self.server.report())

    @rule(seconds=st.sampled_from([0.25, 1.0, 3.0, 8.0]))
    def pass_time(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.25)):
            self.clock.advance(0.25)
            self._renew()
            for index, entry in enumerate(self.entries):
                if index not in self.paused:
                    entry.evidence.refresh("catalogue")
                    entry.step(0.0)

    @invariant()
    def probes_respect_the_rate(self) -> None:
        min_gap_s = 1 / max(self.rates) - EPSILON_S
        assert _shortest_gap_s(self.server.probed_at) >= min_gap_s


def _shortest_gap_s(times: Sequence[float]) -> float:
    gaps = [later - time for time, later in zip(times, times[1:], strict=False)]
    return min(gaps, default=float("inf"))


MeasuringTest = Measuring.TestCase
MeasuringTest.settings = settings(max_examples=40, stateful_step_count=25)
MeasuringTest = pytest.mark.promise(1)(MeasuringTest)


@pytest.mark.promise(1)
def test_all_windows_keep_the_budget(record_property: Any) -> None:
    """Run for ten minutes with a takeover every 10 s; each seventh has slow probes."""
    clock = ManualClock()
    server = ModelServer(clock)
    entries = [
        make_step_entry(clock, server, make_manifest(budget=BUDGET)) for _ in range(3)
    ]
    for turn in range(60):
        server.probe_s = 0.3 if turn % 7 == 0 else 0.006
        entries[turn % 3].homes.revoke()
        entries[(turn + 1) % 3].homes.assign(HomeGrant())
        for _ in range(40):
            clock.advance(0.25)
            for entry in entries:
                entry.step(0.0)
    times = server.probed_at
    spent_s = server.probe_slot_s
    assert _worst_excess(times, [1.0] * len(times), BUDGET.probes_per_s) <= 1
    size = [float(PROBE_BYTES)] * len(times)
    assert _worst_excess(times, size, BUDGET.bytes_per_s) <= PROBE_BYTES
    rate = BUDGET.slot_share * SLOTS
    longest_s = max(seconds for _, seconds in spent_s)
    allowed_s = rate * SLOT_TIME_WINDOW_S + longest_s
    costs = [seconds for _, seconds in spent_s]
    assert _worst_excess(times, costs, rate) <= allowed_s
    per_s = len(times) / (clock.now - times[0])
    record_property("figure", f"{per_s:.2f} of 1.00 probes/s over ten minutes")


def _worst_excess(times: Sequence[float], costs: Sequence[float], rate: float) -> float:
    """Return the largest excess of a window's cost over its allowance."""
    worst, excess, previous = 0.0, 0.0, times[0]
    for time, cost in zip(times, costs, strict=True):
        excess = max(0.0, excess - rate * (time - previous)) + cost
        worst, previous = max(worst, excess), time
    return worst


@pytest.mark.promise(1)
def test_many_idle_servers_each_keep_their_budget() -> None:
    clock = ManualClock()
    server = ModelServer(clock)
    entry = make_step_entry(clock, server)
    declared = [
        evolve(SERVER, id=f"server-{n}", address=f"127.0.1.{n}:80") for n in range(50)
    ]
    servers = {item.id: ModelServer(clock) for item in declared}
    entry.servers.update(servers)
    entry.manifest.put(make_manifest(*declared))
    for item in declared:
        entry.homes.assign(HomeGrant(), item.id)
    entry.run(20)
    assert all(20 >= len(item.probed_at) >= 15 for item in servers.values())
    assert min(_shortest_gap_s(item.probed_at) for item in servers.values()) >= 1


@pytest.mark.promise(1)
def test_time_before_a_change_counts_at_the_old_rate() -> None:
    budget = ProbeBudget(evolve(BUDGET, probes_per_s=0.5), SLOTS, 0.0)
    budget.set_budget(evolve(BUDGET, probes_per_s=100.0), SLOTS, 1.0)
    assert not budget.take(1.0)


@pytest.mark.promise(1)
def test_oversized_probe_delays_the_next_ones() -> None:
    budget = ProbeBudget(evolve(BUDGET, bytes_per_s=300.0), SLOTS, 0.0)
    assert budget.take(1.0)
    budget.charge_excess(4 * PROBE_BYTES, 0.0)
    assert [budget.take(at) for at in (2.0, 3.0, 4.0, 5.0)] == [
        False,
        False,
        False,
        True,
    ]
