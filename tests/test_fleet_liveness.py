"""Tests that entries ping each other and remove only those that do not answer."""

import random
import threading
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dotterelpier.errors import PeerUnavailableError
from dotterelpier.fleet import liveness
from dotterelpier.fleet.liveness import FleetLiveness, PeerMonitor, find_monitors
from dotterelpier.fleet.ranking import weight
from dotterelpier.model.fleet import FleetMember
from dotterelpier.services.tasks import make_tasks
from dotterelpier.settings import LimitSettings
from tests.utils import wait_until


def member(number: int, zone: str = "a") -> FleetMember:
    name = f"e-{number}"
    return FleetMember(name, zone, f"{name}:1", f"{name}:2", "x")


class FakeCluster:
    """Fake fleet, peers and store link, as one ping task uses them."""

    def __init__(self, size: int = 5) -> None:
        self.fleet_members = tuple(member(number) for number in range(size))
        self.own = self.fleet_members[0]
        self.unresponsive: set[str] = set()
        self.store_reachable = True
        self.removed: list[str] = []
        self.pings = 0
        self.listener = lambda: None

    def me(self) -> FleetMember:
        return self.own

    def members(self) -> tuple[FleetMember, ...]:
        return self.fleet_members

    def subscribe(self, listener) -> None:
        self.listener = listener

    def remove(self, removed: FleetMember) -> None:
        self.removed.append(removed.name)

    def is_reachable(self) -> bool:
        return self.store_reachable

    def ping(self, pinged: FleetMember) -> None:
        self.pings += 1
        if pinged.name in self.unresponsive:
            raise PeerUnavailableError("no reply", step="peer.ping", peer=pinged.name)


@pytest.fixture(autouse=True)
def short_intervals(monkeypatch):
    monkeypatch.setattr(liveness, "PING_INTERVAL_S", 0.001)
    monkeypatch.setattr(liveness, "PING_RETRY_S", 0.001)


@pytest.fixture
def cluster():
    return FakeCluster()


def start_monitor(cluster: FakeCluster) -> PeerMonitor:
    monitor = PeerMonitor(member(1), cluster, cluster, cluster)
    threading.Thread(target=monitor.serve, daemon=True).start()
    return monitor


def test_unresponsive_entry_is_removed(cluster) -> None:
    cluster.unresponsive.add("e-1")
    monitor = start_monitor(cluster)
    wait_until(lambda: "e-1" in cluster.removed, "it is removed")
    monitor.stop()


def test_entry_that_answers_pings_is_kept(cluster) -> None:
    monitor = start_monitor(cluster)
    wait_until(lambda: cluster.pings > 20, "it was pinged")
    monitor.stop()
    assert cluster.removed == []


def test_no_entry_is_removed_during_a_store_outage(cluster) -> None:
    cluster.unresponsive.add("e-1")
    cluster.store_reachable = False
    monitor = start_monitor(cluster)
    wait_until(lambda: cluster.pings > 20, "it was pinged")
    assert cluster.removed == []
    cluster.store_reachable = True
    wait_until(lambda: "e-1" in cluster.removed, "it is removed")
    monitor.stop()


@pytest.mark.parametrize("size", [1, 2, 4, 20, 93])
def test_every_entry_is_monitored_by_a_few_others(size) -> None:
    cluster = FakeCluster(size)
    monitored_names = []
    for own in cluster.fleet_members:
        cluster.own = own
        liveness_service = FleetLiveness(None, cluster, cluster, cluster)
        monitored_names += [item.name for item in liveness_service._monitored_members()]
    wanted = min(size - 1, liveness.MONITORS_PER_ENTRY)
    assert all(
        monitored_names.count(item.name) == wanted for item in cluster.fleet_members
    )


def test_monitors_follow_fleet_changes(cluster) -> None:
    tasks = make_tasks(LimitSettings())
    liveness_service = FleetLiveness(tasks, cluster, cluster, cluster)
    liveness_service.start()
    wait_until(lambda: cluster.pings > 0, "the others are pinged")
    cluster.unresponsive.update(item.name for item in cluster.fleet_members)
    cluster.fleet_members = cluster.fleet_members[:1]
    cluster.listener()
    wait_until(
        lambda: not liveness_service._monitor_by_name, "no entry is left to ping"
    )
    liveness_service.stop()
    tasks.stop()


@pytest.fixture
def large_liveness():
    """Return the ping tasks of one of 15 entries, and the fake fleet."""
    cluster, tasks = FakeCluster(15), make_tasks(LimitSettings())
    liveness_service = FleetLiveness(tasks, cluster, cluster, cluster)
    liveness_service.start()
    yield liveness_service, cluster
    liveness_service.stop()
    tasks.stop()


def test_entry_that_lost_all_its_monitors_is_removed(large_liveness) -> None:
    """The directory named entries without power until their monitors were removed."""
    _, cluster = large_liveness
    lost = {item.name for item in cluster.fleet_members} - {cluster.own.name}
    cluster.unresponsive |= lost
    wait_until(lambda: set(cluster.removed) == lost, "all of them are removed")


def test_monitored_entries_of_a_failing_one_are_given_back(large_liveness) -> None:
    liveness_service, cluster = large_liveness
    monitored = set(liveness_service._monitor_by_name)
    cluster.unresponsive |= monitored
    wait_until(
        lambda: set(liveness_service._monitor_by_name) > monitored,
        "further entries are pinged",
    )
    cluster.unresponsive.clear()
    wait_until(
        lambda: set(liveness_service._monitor_by_name) == monitored,
        "they are pinged no longer",
    )


@given(
    zones=st.lists(st.sampled_from("abcde"), min_size=2, max_size=40),
    lost_share=st.floats(0.0, 0.95),
    seed=st.integers(0, 1000),
)
def test_lost_entries_are_pinged_whichever_others_are_lost_with_them(
    zones, lost_share, seed
) -> None:
    members = tuple(member(number, zone) for number, zone in enumerate(zones))
    count = min(len(members) - 1, int(lost_share * len(members)))
    lost = {item.name for item in random.Random(seed).sample(members, count)}
    pinged_by_live = Counter[str]()
    for live in {item.name for item in members} - lost:
        pinged_by_live.update(_pinged_by(live, members, lost))
    assert lost <= pinged_by_live.keys()


def _pinged_by(name: str, members: tuple[FleetMember, ...], lost: set[str]) -> set[str]:
    """Return whom an entry pings once it has noticed all failures that it can."""
    failed: frozenset[str] = frozenset()
    while True:
        monitors_by_name = find_monitors(members, failed)
        pinged = {one for one, monitors in monitors_by_name.items() if name in monitors}
        if pinged & lost <= failed:
            return pinged
        failed |= pinged & lost


def test_stopped_entry_monitors_no_other(cluster) -> None:
    """A late change of the fleet must not start tasks that nobody ends."""
    tasks = make_tasks(LimitSettings())
    liveness_service = FleetLiveness(tasks, cluster, cluster, cluster)
    liveness_service.start()
    liveness_service.stop()
    cluster.listener()
    assert not liveness_service._monitor_by_name
    tasks.stop()


def test_monitors_of_an_entry_are_spread_over_zones() -> None:
    members = tuple(member(number, "abc"[number % 3]) for number in range(15))
    zone_by_name = {item.name: item.zone for item in members}
    times_as_monitor = Counter[str]()
    monitors_by_name = find_monitors(members)
    for item in members:
        monitors = monitors_by_name[item.name]
        assert {zone_by_name[name] for name in monitors} == set("abc")
        assert item.name not in monitors
        times_as_monitor.update(monitors)
    assert max(times_as_monitor.values()) <= 9
    assert find_monitors(members[:2]) == {"e-0": ("e-1",), "e-1": ("e-0",)}


def test_finding_the_monitors_hashes_each_member_once(monkeypatch) -> None:
    """All entries do it at each change of the fleet, so its cost must stay linear."""
    hashed = []

    def count(key: str, name: str) -> bytes:
        hashed.append(name)
        return weight(key, name)

    monkeypatch.setattr(liveness, "weight", count)
    members = tuple(member(number, "abcde"[number % 5]) for number in range(300))
    find_monitors(members)
    assert sorted(hashed) == sorted(item.name for item in members)
