"""Entries that do not answer are removed, and only those."""

import threading
from collections import Counter

import pytest

from dotterelpier.errors import PeerUnavailableError
from dotterelpier.fleet import liveness
from dotterelpier.fleet.liveness import RingLiveness, Watch, watchers_of
from dotterelpier.model.fleet import FleetMember
from dotterelpier.services.tasks import make_tasks
from dotterelpier.settings import LimitSettings
from tests.utils import wait_until


def member(number: int, zone: str = "a") -> FleetMember:
    name = f"e-{number}"
    return FleetMember(name, zone, f"{name}:1", f"{name}:2", "x")


class World:
    """A fleet, its store and its network, as one watch sees them."""

    def __init__(self, size: int = 5) -> None:
        self.known = tuple(member(number) for number in range(size))
        self.own = self.known[0]
        self.silent: set[str] = set()
        self.store_reached = True
        self.removed: list[str] = []
        self.pings = 0
        self.listener = lambda: None

    def me(self) -> FleetMember:
        return self.own

    def members(self) -> tuple[FleetMember, ...]:
        return self.known

    def subscribe(self, listener) -> None:
        self.listener = listener

    def remove(self, removed: FleetMember) -> None:
        self.removed.append(removed.name)

    def is_reachable(self) -> bool:
        return self.store_reached

    def ping(self, pinged: FleetMember) -> None:
        self.pings += 1
        if pinged.name in self.silent:
            raise PeerUnavailableError("silent", step="peer.ping", peer=pinged.name)


@pytest.fixture(autouse=True)
def short_intervals(monkeypatch):
    monkeypatch.setattr(liveness, "PING_INTERVAL_S", 0.001)
    monkeypatch.setattr(liveness, "PING_RETRY_S", 0.001)


@pytest.fixture
def world():
    return World()


def watched(world: World) -> Watch:
    watch = Watch(member(1), world, world, world)
    threading.Thread(target=watch.serve, daemon=True).start()
    return watch


def test_silent_entry_is_removed(world) -> None:
    world.silent.add("e-1")
    watch = watched(world)
    wait_until(lambda: "e-1" in world.removed, "it is removed")
    watch.stop()


def test_entry_that_answers_stays(world) -> None:
    watch = watched(world)
    wait_until(lambda: world.pings > 20, "it was pinged")
    watch.stop()
    assert world.removed == []


def test_nobody_is_removed_while_the_store_is_out(world) -> None:
    world.silent.add("e-1")
    world.store_reached = False
    watch = watched(world)
    wait_until(lambda: world.pings > 20, "it was pinged")
    assert world.removed == []
    world.store_reached = True
    wait_until(lambda: "e-1" in world.removed, "it is removed")
    watch.stop()


@pytest.mark.parametrize("size", [1, 2, 4, 20, 93])
def test_every_entry_is_watched_by_a_few(size) -> None:
    world = World(size)
    watches = []
    for own in world.known:
        world.own = own
        made = RingLiveness(None, world, world, world)
        watches += [item.name for item in made._watched()]
    wanted = min(size - 1, liveness.WATCHERS)
    assert all(watches.count(item.name) == wanted for item in world.known)


def test_watches_follow_the_fleet(world) -> None:
    tasks = make_tasks(LimitSettings())
    made = RingLiveness(tasks, world, world, world)
    made.start()
    wait_until(lambda: world.pings > 0, "the others are pinged")
    world.silent.update(item.name for item in world.known)
    world.known = world.known[:1]
    world.listener()
    wait_until(lambda: not made._watch_by_name, "nobody is left to watch")
    made.stop()
    tasks.stop()


def test_no_zone_holds_all_that_watch_an_entry() -> None:
    members = tuple(member(number, "abc"[number % 3]) for number in range(15))
    zone_by_name = {item.name: item.zone for item in members}
    watched = Counter[str]()
    for item in members:
        watchers = watchers_of(item, members)
        assert {zone_by_name[name] for name in watchers} == set("abc")
        assert item.name not in watchers
        watched.update(watchers)
    assert max(watched.values()) <= 9
    alone = watchers_of(members[0], members[:2])
    assert alone == ["e-1"]
