"""State machines over several entries: one home for a cold server, one manifest."""

import pytest
from hypothesis import Phase, settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
    run_state_machine_as_test,
)
from loguru import logger

from tests.members import ZONES, Cluster

NAMES = ("a", "b", "c")
SETTLE_S = 40.0

any_name = strategies.sampled_from(NAMES)
any_seconds = strategies.sampled_from((0.5, 1.0, 2.0, 4.0, 8.0, 12.0))


class Faults(RuleBasedStateMachine):
    """Pauses, restarts, outages and cuts, with the oracle checked at each task."""

    def __init__(self) -> None:
        super().__init__()
        self.cluster = Cluster()

    @initialize()
    def start_all(self) -> None:
        for name, zone in zip(NAMES, ZONES, strict=True):
            self.cluster.start(name, zone)
        self.cluster.apply()
        self.cluster.run(4)

    @rule(seconds=any_seconds)
    def run(self, seconds: float) -> None:
        self.cluster.run(seconds)

    @rule(name=any_name)
    def toggle_pause(self, name: str) -> None:
        node = self.cluster.node_by_name[name]
        node.paused = not node.paused
        self.cluster.check()

    @rule(name=any_name)
    def restart(self, name: str) -> None:
        down = self.cluster.node_by_name[name].platform.down
        self.cluster.kill(name)
        seeds = "".join(other for other in NAMES if other != name)
        self.cluster.start(name, ZONES[NAMES.index(name)], seeds)
        self.cluster.node_by_name[name].platform.down = down

    @rule(name=any_name)
    def toggle_platform(self, name: str) -> None:
        platform = self.cluster.node_by_name[name].platform
        platform.down = not platform.down

    @rule()
    def begin_platform_outage(self) -> None:
        self.cluster.platform_down()

    @rule()
    def end_platform_outage(self) -> None:
        self.cluster.platform_up()

    @rule(first=any_name, second=any_name)
    def cut(self, first: str, second: str) -> None:
        self.cluster.cut(first, second)

    @rule()
    def heal(self) -> None:
        self.cluster.heal()

    @rule(name=any_name)
    def lose_reply(self, name: str) -> None:
        self.cluster.lose_reply(name)

    def teardown(self) -> None:
        """With all faults gone, the server gets one home and all agree."""
        self.cluster.heal()
        self.cluster.platform_up()
        for name in NAMES:
            self.cluster.resume(name)
        self.cluster.run(SETTLE_S)
        self.check_settled()

    def check_settled(self) -> None:
        """Check that the faults left nothing behind."""
        newest = self.cluster.applied[-1][0].number
        revisions = [node.revision() for node in self.cluster.node_by_name.values()]
        assert revisions == [newest] * len(NAMES)


class ColdServer(Faults):
    """Requests to one cold backend server while its home moves."""

    @rule(name=any_name)
    def begin_send(self, name: str) -> None:
        self.cluster.begin_send(name)

    @rule(name=any_name)
    def finish_send(self, name: str) -> None:
        self.cluster.finish_send(name)

    @rule(name=any_name)
    def send(self, name: str) -> None:
        self.cluster.begin_send(name)
        self.cluster.finish_send(name)

    @rule()
    def end_request(self) -> None:
        self.cluster.end_request()

    @rule(name=any_name, seconds=any_seconds)
    def pause_in_commit(self, name: str, seconds: float) -> None:
        self.cluster.pause_in_commit(name, seconds)

    @rule(declared=strategies.booleans())
    def declare_or_remove(self, declared: bool) -> None:
        self.cluster.apply(declared=declared)

    def check_settled(self) -> None:
        super().check_settled()
        self.cluster.apply()
        self.cluster.run(5)
        assert len(self.cluster.homes_of_server()) == 1


class ZoneOut(Faults):
    """A zone goes out and comes back while entries fail."""

    @rule(out=strategies.booleans())
    def apply(self, out: bool) -> None:
        self.cluster.apply(out=out)

    @rule(out=strategies.booleans(), seconds=any_seconds)
    def apply_and_wait(self, out: bool, seconds: float) -> None:
        self.cluster.apply(out=out)
        self.cluster.run(seconds)


class Accepted(Faults):
    """Operators race, replies get lost, entries restart during an outage."""

    @rule(out=strategies.booleans(), lost=strategies.booleans())
    def apply(self, out: bool, lost: bool) -> None:
        self.cluster.apply(out=out, lost=lost)

    @rule(out=strategies.booleans())
    def race(self, out: bool) -> None:
        self.cluster.apply_race(out)

    @rule()
    def join(self) -> None:
        self.cluster.start("d", "north")
        self.cluster.run(2)
        self.cluster.kill("d")


def _run_machine(machine: type[Faults], examples: int, record_property) -> None:
    logger.disable("dotterelpier")
    try:
        run_state_machine_as_test(
            machine,
            settings=settings(
                max_examples=examples, stateful_step_count=30, phases=[Phase.generate]
            ),
        )
    finally:
        logger.enable("dotterelpier")
    record_property("figure", f"{machine.__name__}: {examples} runs of 30 steps")


@pytest.mark.promise(2)
def test_cold_server_has_one_home(record_property) -> None:
    _run_machine(ColdServer, 40, record_property)


@pytest.mark.promise(3)
def test_zone_that_is_out_gets_no_new_work(record_property) -> None:
    _run_machine(ZoneOut, 30, record_property)


@pytest.mark.promise(9)
def test_accepted_manifest_is_in_force_and_stays(record_property) -> None:
    _run_machine(Accepted, 30, record_property)
