"""Which backend servers an entry checks, and when."""

from typing import Any

import pytest
from attrs import define, evolve, field

from dotterelpier.fleet.prober import (
    HOME_INTERVAL_S,
    MAX_CONCURRENT_CHECKS,
    MAX_HOME_INTERVAL_S,
    OTHER_ZONE_INTERVAL_S,
    OVERFLOW_SERVERS,
    SAME_ZONE_INTERVAL_S,
    UNVERIFIED_INTERVAL_S,
    HomeProbe,
    ZoneProber,
)
from dotterelpier.model.instance import Instance
from tests.fakes import FixedSettings, ManualClock
from tests.test_fleet_decisions import Fleet, Registry, Routes, member

HOME = Instance("home", "shop", "x:1", "a", 4)
SAME_ZONE = Instance("same", "shop", "x:2", "a", 4)
OTHER_ZONE = Instance("other", "shop", "x:3", "b", 4)
NOTHING: Any = None


@define
class Conditions:
    """Fake whose verified servers and fresh results a test sets."""

    verified_ids: set[str] = field(factory=set)
    fresh_ids: set[str] = field(factory=set)
    work_s: float = 0.0
    lacking: set[str] = field(factory=set)
    rare: set[str] = field(factory=set)

    def is_in_demand(self, service: str) -> bool:
        return service not in self.rare

    def lacks_room(self, service: str) -> bool:
        return service in self.lacking

    def is_verified(self, instance_id: str) -> bool:
        return instance_id in self.verified_ids

    def needs_check(self, instance_id: str, fresh_s: float) -> bool:
        return instance_id not in self.fresh_ids

    def usual_work_s(self, service: str) -> float:
        return self.work_s

    def wants_check(self, instance_id: str) -> bool:
        return True


@define
class Subsets:
    """Fake with a subset of given servers; the first is at home here."""

    instances: tuple[Instance, ...]

    def subscribe(self, listener: Any) -> None:
        """Do nothing; each test calls ``refresh`` itself."""

    def ids_by_service(self) -> dict[str, tuple[str, ...]]:
        return {"shop": tuple(item.id for item in self.instances)}

    def home_ids(self) -> frozenset[str]:
        return frozenset(item.id for item in self.instances if item.id == "home")


@define
class Submitted:
    """Fake task service that keeps the arguments of what is submitted."""

    started: list[Any] = field(factory=list)

    def submit(self, kind: Any, function: Any, *args: Any) -> None:
        self.started.append(args[0].instance.id)

    def supervise(self, kind: Any, function: Any, *args: Any) -> None:
        self.started.append("home task")


class LaterCalls:
    """Fake timer that keeps what it should call later."""

    def __init__(self) -> None:
        self.calls = []

    def after(self, delay_s: float, call: Any) -> None:
        self.calls.append(call)


class HealthConnections:
    """Fake client of which no connection is used."""

    def health_connection(self, instance: Instance) -> Any:
        return NOTHING


def prober_of(*instances: Instance):
    clock, tasks, conditions = ManualClock(now=100.0), Submitted(), Conditions()
    prober = ZoneProber(
        clock,
        NOTHING,
        tasks,
        NOTHING,
        Routes(),
        Registry(*instances),
        Fleet(member("e-1")),
        Subsets(instances),
        conditions,
        HealthConnections(),
        NOTHING,
        FixedSettings(),
        False,
        NOTHING,
    )
    prober.refresh()
    return prober, clock, tasks, conditions


def checks_within(prober, clock, tasks, seconds: float) -> list[str]:
    """Return the checks started meanwhile, each taken to end at once."""
    tasks.started.clear()
    for _ in range(round(seconds / SAME_ZONE_INTERVAL_S)):
        prober.start_due_checks()
        prober._running_ids.clear()
        clock.advance(SAME_ZONE_INTERVAL_S)
    return tasks.started


def test_only_homes_have_a_task() -> None:
    _, _, tasks, _ = prober_of(HOME, SAME_ZONE, OTHER_ZONE)
    assert tasks.started == ["home task"]


def test_stopped_prober_starts_no_task() -> None:
    """A late change of the fleet must not start tasks that nobody ends."""
    prober, _, tasks, _ = prober_of(SAME_ZONE)
    prober.stop()
    prober._registry.known = (HOME,)
    prober._subsets.instances = (HOME,)
    prober.refresh()
    assert tasks.started == []


@pytest.mark.parametrize("first_start", [True, False])
def test_first_start_waits_until_the_other_entries_are_known(first_start) -> None:
    """Until then an entry takes itself for the home of all servers of its zone."""
    prober, _, tasks, _ = prober_of(SAME_ZONE)
    prober._timer, prober._first_start = LaterCalls(), first_start
    tasks.started.clear()
    prober.start()
    assert bool(tasks.started) != first_start
    for call in prober._timer.calls:
        call()
    assert tasks.started


def test_server_with_fresh_results_of_its_home_is_not_checked() -> None:
    prober, clock, tasks, conditions = prober_of(SAME_ZONE)
    conditions.verified_ids.add("same")
    conditions.fresh_ids.add("same")
    assert checks_within(prober, clock, tasks, 10.0) == []


def test_server_without_results_of_its_home_is_checked() -> None:
    prober, clock, tasks, _ = prober_of(SAME_ZONE)
    assert 9 <= len(checks_within(prober, clock, tasks, 10.0)) <= 41


def test_unverified_server_of_another_zone_is_checked_soon() -> None:
    prober, clock, tasks, conditions = prober_of(OTHER_ZONE)
    count = len(checks_within(prober, clock, tasks, 10.0))
    assert count == round(10.0 / UNVERIFIED_INTERVAL_S)
    conditions.verified_ids.add("other")
    count = len(checks_within(prober, clock, tasks, 3 * OTHER_ZONE_INTERVAL_S))
    assert count == 3


@pytest.mark.parametrize(
    ("distant", "interval_s"), [(30, OTHER_ZONE_INTERVAL_S), (250, 30.0)]
)
def test_checks_are_rare_where_each_needs_a_new_connection(distant, interval_s) -> None:
    prober, _, _, _ = prober_of(OTHER_ZONE)
    elsewhere = (member(f"b-{number}", "b") for number in range(distant))
    prober._fleet.known = (member("e-1"), *elsewhere)
    prober.refresh()
    assert prober._plan_by_id["other"].interval_s == interval_s


def test_other_zone_is_checked_often_only_while_the_own_one_lacks_room() -> None:
    prober, clock, tasks, conditions = prober_of(OTHER_ZONE)
    conditions.verified_ids.add("other")
    rarely = len(checks_within(prober, clock, tasks, 2.0))
    conditions.lacking.add("shop")
    assert len(checks_within(prober, clock, tasks, 2.0)) >= 4 > rarely
    conditions.lacking.clear()
    assert len(checks_within(prober, clock, tasks, 2.0)) <= 1


def test_rarely_requested_service_is_not_checked_often_in_other_zones() -> None:
    """Guards against checks that cost more between zones than a request earns."""
    prober, clock, tasks, conditions = prober_of(OTHER_ZONE)
    conditions.verified_ids.add("other")
    conditions.lacking.add("shop")
    conditions.rare.add("shop")
    assert len(checks_within(prober, clock, tasks, 2.0)) <= 1


def test_only_a_few_servers_elsewhere_are_checked_often() -> None:
    distant = tuple(
        evolve(OTHER_ZONE, id=f"other-{number}", address=f"x:{number}")
        for number in range(12)
    )
    prober, clock, tasks, conditions = prober_of(*distant)
    conditions.verified_ids.update(item.id for item in distant)
    checks_within(prober, clock, tasks, 2.0)
    conditions.lacking.add("shop")
    assert len(set(checks_within(prober, clock, tasks, 2.0))) == OVERFLOW_SERVERS
    prober._routes.evacuated.add("b")
    assert checks_within(prober, clock, tasks, 2.0) == []


def test_hanging_checks_are_bounded_and_the_others_follow() -> None:
    instances = [
        Instance(f"i-{number}", "shop", "x:1", "b", 4)
        for number in range(2 * MAX_CONCURRENT_CHECKS)
    ]
    prober, clock, tasks, _ = prober_of(*instances)
    prober.start_due_checks()
    prober.start_due_checks()
    assert len(tasks.started) == MAX_CONCURRENT_CHECKS
    prober._running_ids.clear()
    clock.advance(SAME_ZONE_INTERVAL_S)
    prober.start_due_checks()
    assert set(tasks.started) == {item.id for item in instances}


@pytest.mark.parametrize(
    ("work_s", "interval_s"),
    [(0.0, HOME_INTERVAL_S), (0.4, 0.2), (3.0, MAX_HOME_INTERVAL_S)],
)
def test_home_checks_as_often_as_the_work_of_its_server_changes(
    work_s: float, interval_s: float
) -> None:
    assert home_probe(work_s)._pause_s() == pytest.approx(interval_s)


@pytest.mark.parametrize(("homes", "interval_s"), [(4, 0.1), (8, 0.2), (100, 0.3)])
def test_home_of_many_servers_checks_each_less_often(homes, interval_s) -> None:
    assert home_probe(0.0, homes)._pause_s() == pytest.approx(interval_s)


@define
class Homes:
    """Fake subset with a number of servers at home."""

    count: int

    def home_ids(self) -> frozenset[str]:
        return frozenset(f"home-{number}" for number in range(self.count))


def home_probe(work_s: float, homes: int = 1) -> HomeProbe:
    """Return the task of a home at time 0, of which only the pause is asked."""
    conditions: Any = Conditions(work_s=work_s)
    subsets: Any = Homes(homes)
    clock = ManualClock(now=0.0)
    return HomeProbe(HOME, NOTHING, clock, NOTHING, conditions, subsets, NOTHING)
