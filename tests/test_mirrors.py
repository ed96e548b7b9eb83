"""Tests that entries share tables so that only the publishers call the store."""

import threading
import time

import pytest
from attrs import evolve
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from dotterelpier.errors import PeerUnavailableError
from dotterelpier.fleet import follower as follower_module
from dotterelpier.fleet.mirror import TableMirror
from dotterelpier.fleet.mirrors import STALENESS_SHARE, make_mirrors
from dotterelpier.fleet.publishers import publisher_names
from dotterelpier.fleet.seeds import SEED_WAIT_S
from dotterelpier.fleet.store_link import make_store_link
from dotterelpier.fleet_settings import (
    FleetEntrySettings,
    FleetSettings,
    PeerSettings,
    StoreSettings,
)
from dotterelpier.kernel import make_kernel
from dotterelpier.model.fleet import (
    Announcement,
    FleetMember,
    StoreReply,
    StoreRow,
    TableVersions,
)
from dotterelpier.protocols import ServiceName
from dotterelpier.protocols.fleet import (
    DatagramKind,
    Fleet,
    Mirrors,
    Registry,
    Routes,
    StoreLink,
)
from dotterelpier.services.clock import make_clock
from dotterelpier.services.tasks import make_tasks
from dotterelpier.settings import LimitSettings
from dotterelpier.wire.fleet import encode_announcement
from tests.fakes import FixedSettings
from tests.fleet_system import (
    ScriptedInstance,
    answer,
    free_address,
    route,
    start_another_entry,
    start_fleet_system,
)
from tests.utils import wait_until

KEYS = st.sampled_from("abcd")
SETTINGS = FleetSettings(
    FleetEntrySettings("e-9", "zone-a", "x:1", "x:2", "x:3", "x:4", "x:5"),
    StoreSettings("x:6"),
)
MAX_STALENESS_S = SETTINGS.bounds.change_ms / 1000 * STALENESS_SHARE


def test_first_copy_counts_deletions_that_it_cannot_know() -> None:
    """Readers kept a deleted row for good once both publishers had restarted."""
    kept, deleted = StoreRow("a", b"1", 50), StoreRow("b", b"1", 55)
    before, after = TableMirror("t"), TableMirror("t")
    before.apply_reply(StoreReply((kept, deleted), 60, whole=True))
    cursor = before.changes(0).version
    after.apply_reply(StoreReply((kept,), 75, whole=True))
    assert after.versions().changed > cursor
    reply = after.changes(cursor)
    assert reply.whole and reply.rows == (kept,)


class MirroredTable(RuleBasedStateMachine):
    """A store, a copy that follows it, and an entry that reads from the copy."""

    def __init__(self) -> None:
        super().__init__()
        self.version = 1
        self.rows: dict[str, StoreRow] = {}
        self.changes: list[StoreRow] = []
        self.mirror = TableMirror("t")
        self.copied: dict[str, StoreRow] = {}
        self.reader: dict[str, bytes] = {}
        self.cursor = 0

    @initialize()
    def read(self) -> None:
        self.mirror.apply_reply(
            StoreReply(tuple(self.rows.values()), self.version, True)
        )
        self.copied = dict(self.rows)
        self.changes.clear()

    @rule(key=KEYS, value=st.binary(max_size=2))
    def put(self, key: str, value: bytes) -> None:
        self.version += 1
        self.rows[key] = StoreRow(key, value, self.version)
        self.changes.append(self.rows[key])

    @rule(key=KEYS)
    def delete(self, key: str) -> None:
        if self.rows.pop(key, None) is not None:
            self.version += 1
            self.changes.append(StoreRow(key, None, self.version))

    @rule()
    def change_another_table(self) -> None:
        self.version += 1

    @rule()
    def watch(self) -> None:
        self.mirror.apply_reply(StoreReply(tuple(self.changes), self.version))
        self.copied = dict(self.rows)
        self.changes.clear()

    @rule()
    def expire_history(self) -> None:
        self.read()

    @rule()
    def read_from_copy(self) -> None:
        reply = self.mirror.changes(self.cursor)
        if reply.whole:
            self.reader.clear()
        for row in reply.rows:
            if row.value is None:
                self.reader.pop(row.key, None)
            else:
                self.reader[row.key] = row.value
        self.cursor = reply.version
        assert self.reader == {key: row.value for key, row in self.copied.items()}

    @invariant()
    def versions_cover_the_copy(self) -> None:
        versions = self.mirror.versions()
        assert versions.changed <= max(versions.complete_to, 0)
        assert all(row.version <= versions.changed for row in self.copied.values())


TestMirroredTable = MirroredTable.TestCase
TestMirroredTable.settings = settings(max_examples=60, deadline=None)


def member(number: int, zone: str = "a") -> FleetMember:
    return FleetMember(f"entry-{number}", zone, "x:1", f"x:{number}", "1")


@pytest.mark.parametrize(
    ("size", "publishers"), [(1, 1), (2, 2), (5, 2), (15, 2), (100, 3), (320, 5)]
)
def test_publishers_grow_with_the_fleet_up_to_one_for_each_zone(
    size, publishers
) -> None:
    members = tuple(member(number, "abcde"[number % 5]) for number in range(size))
    names = publisher_names(members)
    assert len(names) == publishers
    zones = {item.zone for item in members if item.name in names}
    assert len(zones) == publishers


def test_fleet_of_one_zone_has_two_publishers() -> None:
    assert len(publisher_names(tuple(member(number) for number in range(5)))) == 2


def test_zone_that_leaves_moves_only_its_publisher() -> None:
    members = tuple(member(number, "abc"[number % 3]) for number in range(15))
    before = publisher_names(members)
    for zone in "abc":
        rest = tuple(item for item in members if item.zone != zone)
        left = {item.name for item in members if item.zone == zone}
        assert before - left <= publisher_names(rest)


class FakeFleet:
    """Four entries of one zone; this one is the first that is no publisher."""

    def __init__(self) -> None:
        fleet_members = tuple(member(number) for number in range(4))
        publishers = publisher_names(fleet_members)
        self.own = next(item for item in fleet_members if item.name not in publishers)
        self.publisher = next(item for item in fleet_members if item.name in publishers)
        self.fleet_members = fleet_members

    def me(self):
        return self.own

    def members(self):
        return self.fleet_members

    def subscribe(self, listener) -> None:
        """Do nothing, as the members never change."""


class FakePeers:
    """Other entries that all answer from one copy, or not at all."""

    def __init__(self) -> None:
        self.mirror = TableMirror("t")
        self.unresponsive = False
        self.asked: list[str] = []

    def announcement(self, queried_member):
        self.asked.append(queried_member.peer_address)
        raise PeerUnavailableError("refused", step="test", peer=queried_member.name)

    def changes(self, queried_member, table, after):
        if self.unresponsive:
            raise PeerUnavailableError(
                "no reply", step="test", peer=queried_member.name
            )
        return self.mirror.changes(after)


class FakeDatagrams:
    """Records datagrams instead of sending them."""

    def __init__(self) -> None:
        self.receivers = {}
        self.sent = []

    def subscribe(self, kind, receiver) -> None:
        self.receivers[kind] = receiver

    def send(self, address, kind, content) -> None:
        self.sent.append((address, kind))


class MirrorsHarness:
    """The service under test with its fakes."""

    def __init__(self, settings: FleetSettings = SETTINGS) -> None:
        self.fleet, self.peers = FakeFleet(), FakePeers()
        self.datagrams = FakeDatagrams()
        self.kernel = make_kernel()
        self.tasks = make_tasks(LimitSettings())
        self.kernel.register(ServiceName.CLOCK, make_clock())
        self.kernel.register(ServiceName.TASKS, self.tasks)
        self.kernel.register(ServiceName.DATAGRAMS, self.datagrams)
        self.kernel.register(ServiceName.FLEET_PEERS, self.peers)
        self.kernel.register(ServiceName.FLEET, self.fleet)
        self.kernel.register(ServiceName.LIVE_SETTINGS, FixedSettings(settings.bounds))
        self.kernel.register(ServiceName.STORE_LINK, make_store_link(self.kernel))
        self.mirrors = make_mirrors(self.kernel, settings)
        self.mirrors.start()

    def announce(
        self,
        version: int,
        *rows: StoreRow,
        whole: bool = True,
        store_age_s: float = 0.0,
    ) -> None:
        self.peers.mirror.apply_reply(StoreReply(rows, version, whole))
        versions = self.peers.mirror.versions()
        content = encode_announcement(
            Announcement(
                self.fleet.publisher.name,
                (TableVersions("t", versions.changed, versions.complete_to),),
                store_age_s,
            )
        )
        self.datagrams.receivers[DatagramKind.ANNOUNCEMENT](content)

    def stop(self) -> None:
        self.mirrors.stop()
        self.tasks.stop()


@pytest.fixture
def harness():
    mirrors_harness = MirrorsHarness()
    yield mirrors_harness
    mirrors_harness.stop()


def test_publisher_delivers_changes(harness) -> None:
    row = StoreRow("k", b"1", 7)
    harness.announce(9, row)
    assert harness.mirrors.watch("t", -1, 1.0) == StoreReply((row,), 9, True)
    assert harness.mirrors.watch("t", 9, 0.05) == StoreReply((), 9)
    newer = StoreRow("k", b"2", 12)
    timer = threading.Timer(0.1, lambda: harness.announce(12, newer, whole=False))
    timer.start()
    assert harness.mirrors.watch("t", 9, 5.0) == StoreReply((newer,), 12)


def test_empty_table_is_read_whole(harness) -> None:
    """Else an entry never becomes ready at the first start, before any change."""
    harness.announce(0)
    assert harness.mirrors.watch("t", -1, 1.0) == StoreReply((), 0, whole=True)


def test_copy_that_is_not_complete_is_not_read(harness) -> None:
    harness.announce(5, StoreRow("k", b"v", 5))
    harness.peers.mirror = TableMirror("t")
    with pytest.raises(PeerUnavailableError):
        harness.mirrors.watch("t", -1, 1.0)


def test_publisher_that_stops_announcing_is_dropped(harness) -> None:
    with pytest.raises(PeerUnavailableError):
        harness.mirrors.watch("t", 0, 5.0)
    harness.announce(1)
    assert harness.mirrors.has_other_publisher("t")
    wait_until(
        lambda: not harness.mirrors.has_other_publisher("t"),
        "the announcement is stale",
    )
    with pytest.raises(PeerUnavailableError):
        harness.mirrors.watch("t", 1, 5.0)


def test_publisher_without_fresh_store_replies_is_not_used(harness) -> None:
    """It may still announce, but does not know what changed since."""
    harness.announce(1, store_age_s=MAX_STALENESS_S + 0.1)
    assert not harness.mirrors.has_other_publisher("t")
    harness.announce(1, store_age_s=MAX_STALENESS_S - 0.2)
    assert harness.mirrors.has_other_publisher("t")
    with pytest.raises(PeerUnavailableError):
        harness.mirrors.watch("t", 1, 30.0)


def test_publisher_that_does_not_answer_is_dropped(harness) -> None:
    harness.announce(3, StoreRow("k", b"1", 3))
    harness.peers.unresponsive = True
    with pytest.raises(PeerUnavailableError):
        harness.mirrors.watch("t", 1, 5.0)
    assert not harness.mirrors.has_other_publisher("t")


def test_entry_that_is_no_publisher_does_not_announce(harness) -> None:
    assert not harness.mirrors.is_publisher()
    reply = StoreReply((StoreRow("k", b"1", 1),), 1, True)
    harness.mirrors.apply_reply("t", reply, is_store_probe=True)
    time.sleep(0.4)
    assert harness.datagrams.sent == []


def test_publisher_whose_store_probe_hangs_does_not_announce(harness) -> None:
    harness.fleet.own = harness.fleet.publisher
    harness.mirrors._update_role()
    reply = StoreReply((StoreRow("k", b"1", 1),), 1, True)
    harness.mirrors.apply_reply("t", reply, is_store_probe=False)
    time.sleep(0.4)
    assert harness.datagrams.sent == []
    harness.mirrors.apply_reply("t", reply, is_store_probe=True)
    wait_until(lambda: harness.datagrams.sent, "the tables are announced")


def test_entry_that_becomes_a_publisher_stops_waiting_for_others(harness) -> None:
    """It is the one that they wait for, so they would wait for each other."""
    harness.announce(9, StoreRow("k", b"1", 7))
    replies = []
    waiting = threading.Thread(
        target=lambda: replies.append(
            harness.mirrors.watch("t", 9, 3600.0, until_publisher=True)
        ),
        daemon=True,
    )
    waiting.start()
    refreshed = threading.Event()

    def keep_fresh() -> None:
        while not refreshed.wait(0.2):
            harness.announce(9, whole=False)

    threading.Thread(target=keep_fresh, daemon=True).start()
    harness.fleet.own = harness.fleet.publisher
    harness.mirrors._update_role()
    waiting.join(30.0)
    refreshed.set()
    assert replies == [StoreReply((), 9)]
    # The same where it became one just before it asked.
    harness.fleet.own = next(
        item for item in harness.fleet.fleet_members if item != harness.fleet.publisher
    )
    harness.announce(9, whole=False)
    reply = harness.mirrors.watch("t", 9, 3600.0, until_publisher=True)
    assert reply == StoreReply((), 9)


def test_publisher_announces_only_tables_that_it_watches(harness) -> None:
    """One whose call for a table fails knows nothing new, though the store answers."""
    harness.fleet.own = harness.fleet.publisher
    harness.mirrors._update_role()
    reply = StoreReply((StoreRow("k", b"1", 1),), 1, True)
    harness.mirrors.apply_reply("op", reply, is_store_probe=True)
    harness.mirrors.apply_reply("t", reply, is_store_probe=False)
    tables = {item.table for item in harness.mirrors.announcement().tables}
    assert tables == {"op", "t"}
    harness.mirrors.note_unwatched("t")
    tables = {item.table for item in harness.mirrors.announcement().tables}
    assert tables == {"op"}


def test_publisher_of_other_tables_is_not_waited_for(harness) -> None:
    harness.announce(1)
    assert harness.mirrors.has_other_publisher("t")
    assert not harness.mirrors.has_other_publisher("u")
    with pytest.raises(PeerUnavailableError):
        harness.mirrors.watch("u", 1, 30.0)


def test_current_copies_are_announced_on_request(harness) -> None:
    with pytest.raises(PeerUnavailableError, match="outdated"):
        harness.mirrors.announcement()
    harness.announce(9, StoreRow("k", b"1", 7))
    # The change is announced, but not fetched yet.
    with pytest.raises(PeerUnavailableError, match="outdated"):
        harness.mirrors.announcement()
    harness.mirrors.watch("t", -1, 1.0)
    announced = harness.mirrors.announcement()
    # A row may have been deleted up to the version of the first copy.
    assert announced.tables == (TableVersions("t", 9, 9),)
    assert announced.store_age_s < MAX_STALENESS_S
    wait_until(
        lambda: not harness.mirrors.has_other_publisher("t"),
        "the announcement is stale",
    )
    with pytest.raises(PeerUnavailableError, match="outdated"):
        harness.mirrors.announcement()


def store_reads(system) -> int:
    """Return how often the store was asked for a whole table."""
    return sum(call.startswith("/rows-get") for call in system.store.calls)


def test_entry_that_starts_reads_the_tables_from_a_seed() -> None:
    first = start_fleet_system()
    instance = ScriptedInstance("i-1", "shop", lambda item: [answer(item, b"sold")])
    first.register(instance)
    first.apply(1, {"shop": route("/shop/", "shop")}, "shop")
    first.wait_until_served("/shop/x")
    before = store_reads(first)
    seed = first.settings.entry.peer_address
    second = start_another_entry(first, "entry-2", seeds=(seed,))
    second.wait_until_served("/shop/x")
    assert store_reads(first) == before
    for system in (first, second):
        system.stop()


def test_entry_whose_seeds_are_down_reads_the_store() -> None:
    first = start_fleet_system()
    first.apply(1, {"shop": route("/shop/", "shop")}, "shop")
    second = start_another_entry(first, "entry-2", seeds=(free_address(),))
    wait_until(lambda: _version(second) == 1, "the configuration is read")
    for system in (first, second):
        system.stop()


@pytest.mark.parametrize("first_start", [True, False])
def test_seeds_that_are_down_are_asked_again_only_at_the_first_start(
    first_start,
) -> None:
    """After a loss of power the seeds restart too, and clients already wait."""
    seeds = ("x:7", "x:8")
    entry = evolve(SETTINGS.entry, first_start=first_start)
    mirrors_harness = MirrorsHarness(
        evolve(SETTINGS, entry=entry, peers=PeerSettings(seeds))
    )
    assert not mirrors_harness.mirrors.wait_for_seed("t")
    mirrors_harness.stop()
    asked = mirrors_harness.peers.asked
    assert set(asked) == set(seeds)
    assert (len(asked) > len(seeds)) == first_start


def test_seed_without_the_store_is_not_believed() -> None:
    """A seed that lost the store must not bring back what was withdrawn since."""
    first = start_fleet_system()
    first.apply(1, {"shop": route("/shop/", "shop")}, "shop")
    wait_until(lambda: _version(first) == 1, "the configuration is read")
    link = first.kernel.find(ServiceName.STORE_LINK, StoreLink)
    first.store.outage = True
    wait_until(lambda: not link.is_reachable(), "the outage is detected")
    time.sleep(MAX_STALENESS_S)
    seed = first.settings.entry.peer_address
    second = start_another_entry(first, "entry-2", seeds=(seed,))
    time.sleep(SEED_WAIT_S + 0.5)
    assert _version(second) == 0
    first.store.outage = False
    wait_until(lambda: _version(second) == 1, "the configuration is read")
    for system in (first, second):
        system.stop()


@pytest.fixture
def fleet():
    first = start_fleet_system()
    systems = [
        first,
        *(start_another_entry(first, f"entry-{number}") for number in (2, 3, 4)),
    ]
    yield systems
    for system in systems:
        system.stop()


def _mirrors(system) -> Mirrors:
    return system.kernel.find(ServiceName.MIRRORS, Mirrors)


def _version(system) -> int:
    table = system.kernel.find(ServiceName.ROUTES, Routes).table()
    return table.version if table else 0


def _roles_are_settled(systems) -> bool:
    publishers = [system for system in systems if _mirrors(system).is_publisher()]
    announced = all(_mirrors(system).has_other_publisher("op") for system in systems)
    return len(publishers) == 2 and announced


ENTRY_ROW = {
    "name": "entry-2",
    "zone": "zone-a",
    "caller_address": "127.0.0.1:1",
    "peer_address": "127.0.0.1:2",
    "incarnation": "a",
}


@pytest.fixture
def watching_system(monkeypatch):
    """Return an entry whose watches last longer than the test may."""
    monkeypatch.setattr(follower_module, "WATCH_WAIT_S", 600.0)
    system = start_fleet_system()
    yield system
    system.stop()


def test_lost_response_to_the_watch_of_registrations_is_noticed(
    watching_system,
) -> None:
    """The store answers all other calls meanwhile, the store probe included."""
    system = watching_system
    instance = ScriptedInstance("i-1", "shop", lambda item: [answer(item, b"sold")])
    registry = system.kernel.find(ServiceName.REGISTRY, Registry)
    system.register(instance)
    wait_until(registry.instances, "the backend server is known")
    system.store.silent_tables.add("servers")
    system.store.put_json("servers", "i-1", instance.row("draining"))
    wait_until(lambda: system.store.lost_responses, "the response is lost")
    system.store.silent_tables.clear()
    wait_until(lambda: not registry.instances(), "the backend server left")


def test_lost_response_to_the_watch_of_entries_is_noticed(watching_system) -> None:
    system = watching_system
    fleet = system.kernel.find(ServiceName.FLEET, Fleet)
    wait_until(lambda: system.store.keys("entries"), "the entry wrote its row")
    watch = "/rows-feed entries"
    wait_until(lambda: watch in system.store.calls, "the entries are watched")
    system.store.silent_tables.add("entries")
    system.store.put_json("entries", "entry-2", ENTRY_ROW)
    wait_until(lambda: system.store.lost_responses, "the response is lost")
    system.store.silent_tables.clear()
    wait_until(lambda: len(fleet.members()) == 2, "the other entry is known")


def test_only_publishers_call_the_store(fleet) -> None:
    instance = ScriptedInstance("i-1", "shop", lambda item: [answer(item, b"sold")])
    fleet[0].register(instance)
    fleet[0].apply(1, {"shop": route("/shop/", "shop")}, "shop")
    wait_until(lambda: _roles_are_settled(fleet), "two of four entries are publishers")
    for system in fleet:
        system.wait_until_served("/shop/x")
    # Store watches of entries that are no publishers end within this time.
    time.sleep(6.0)
    before = len(fleet[0].store.calls)
    time.sleep(3.0)
    # Two publishers watch three tables, one of them about once per second.
    assert len(fleet[0].store.calls) - before <= 2 * 3 * 3
    fleet[0].apply(2, {"shop": route("/shop/", "shop")}, "shop")
    wait_until(
        lambda: all(_version(system) == 2 for system in fleet),
        "the configuration is in force",
    )


def test_configuration_arrives_after_all_publishers_are_gone(fleet) -> None:
    fleet[0].apply(1, {"shop": route("/shop/", "shop")}, "shop")
    wait_until(lambda: _roles_are_settled(fleet), "two of four entries are publishers")
    readers = [system for system in fleet if not _mirrors(system).is_publisher()]
    for system in fleet:
        if system not in readers:
            _mirrors(system).stop()
    fleet[0].apply(2, {"shop": route("/shop/", "shop")}, "shop")
    wait_until(
        lambda: all(_version(system) == 2 for system in readers),
        "the configuration is in force",
    )
