"""Roll-outs in a fleet under failures, in virtual time: a state machine.

The service and the task of each entry are the real ones; clock, network, store and
backend servers are simulated. Entries are killed, frozen and cut off, the store is out
or loses responses or applies a write late, and the release turns bad.
"""

import itertools
import random

from attrs import define, evolve, field
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from dotterelpier.errors import ConflictError, PlatformUnavailableError
from dotterelpier.fleet.choosing import ChosenInstance
from dotterelpier.fleet.rollouts.records import TABLE
from dotterelpier.fleet.rollouts.service import FollowedRollouts
from dotterelpier.fleet.rollouts.task import RolloutTask
from dotterelpier.model.fleet import FleetMember, RowWrite, StoreReply, StoreRow
from dotterelpier.model.instance import Instance
from dotterelpier.model.request import InstanceAnswer
from dotterelpier.model.rollout import RolloutOrder
from dotterelpier.model.route import Route, Share
from dotterelpier.platform.codec import make_store_codec
from tests.fakes import FixedSettings, StepTasks

TICK_S = 0.1
NAMES = [f"e-{number}" for number in range(4)]
ROUTE = Route("r", "h", "/", (Share("svc", 1.0),), True)
# An entry that does not answer is removed from the members after this time.
REMOVED_S = 4.0
# Longest time that a request runs, in ticks; below the lease of an entry.
MAX_RUN_TICKS = 12


def server(number: int, release: str) -> Instance:
    address = f"{release}-{number}:80"
    return Instance(f"{release}-{number}", "svc", address, "a", 40, release=release)


SERVERS = {
    release: [server(number, release) for number in range(4)]
    for release in ("v1", "v2", "v3")
}


@define(eq=False)
class Running:
    """A request at a backend server."""

    chosen: ChosenInstance
    sent_at: float
    ends_at: float


@define(eq=False)
class SimulatedStore:
    """Rows of the store, and the faults of the next write."""

    now: float = 0.0
    version: int = 0
    row_by_key: dict[tuple[str, str], StoreRow] = field(factory=dict)
    up: bool = True
    next_write: str = "ok"
    delayed: list = field(factory=list)
    written: list[tuple[str, RowWrite]] = field(factory=list)

    def put(self, table: str, key: str, value: bytes | None) -> int:
        self.version += 1
        self.row_by_key[table, key] = StoreRow(key, value, self.version)
        return self.version

    def commit(self, writes, expected) -> int:
        for item in expected:
            row = self.row_by_key.get((item.table, item.key))
            found = 0 if row is None or row.value is None else row.version
            if found != item.version:
                raise ConflictError("changed", step="store")
        versions = [self.put(item.table, item.key, item.value) for item in writes]
        self.written.extend(("write", item) for item in writes)
        return versions[-1]

    def order(self) -> StoreRow | None:
        row = self.row_by_key.get(("op", "rollout/svc"))
        return None if row is None or row.value is None else row


@define(eq=False)
class EntryStore:
    """Connection of one entry to the store, also its factory."""

    entry: "SimulatedEntry"

    def connect(self) -> "EntryStore":
        return self

    def read(self, table: str) -> StoreReply:
        store = self._check()
        rows = [row for (name, _), row in store.row_by_key.items() if name == table]
        store_ms = int(store.now * 1000) + 77_000
        return StoreReply(tuple(rows), store.version, True, store_ms)

    def put_all(self, writes, expected) -> int:
        store = self._check()
        fault, store.next_write = store.next_write, "ok"
        if fault == "late":
            store.delayed.append((store.now + 3.0, writes, expected))
        elif fault == "lost":
            store.commit(writes, expected)
        else:
            return store.commit(writes, expected)
        raise PlatformUnavailableError("response lost", step="store")

    def close(self) -> None:
        """Do nothing."""

    def _check(self) -> SimulatedStore:
        store = self.entry.fleet.store
        if not store.up or self.entry.cut:
            raise PlatformUnavailableError("outage", step="store")
        return store


@define(eq=False, slots=False)
class SimulatedEntry:
    """An entry, as its services see the world and as the world sees it."""

    fleet: "SimulatedFleet"
    name: str
    incarnation: int
    offset_s: float
    cut: bool = False
    # Whether its messages are lost, and whether those to it are.
    mute: bool = False
    deaf: bool = False
    frozen: bool = False
    known_members: tuple[FleetMember, ...] = ()
    silent_since: float | None = None
    inbox: list = field(factory=list)
    running: list[Running] = field(factory=list)
    calls: list = field(factory=list)
    orders: dict[str, RolloutOrder] = field(factory=dict)
    receivers: dict = field(factory=dict)
    seen_version: int = 0
    recovered: float = 0.0
    snapshot: bool = True
    listener: object = None

    def __attrs_post_init__(self) -> None:
        codec, links = make_store_codec(), EntryStore(self)
        self.task = RolloutTask(
            *(self, self, self, self, self, self, self, self, self),
            *(self, FixedSettings(), codec, links),
        )
        self.keeper, self.task.keeper = self.task.keeper, self
        self.service = FollowedRollouts(
            self, StepTasks(), self, self, self, lambda: self.task, lambda *_: self
        )
        self.service.start()

    # What the services of the entry use.
    def monotonic(self) -> float:
        return self.fleet.store.now + self.offset_s

    def set_gauge(self, name: str, value: float, **labels: str) -> None:
        """Drop the value."""

    def subscribe(self, *arguments) -> None:
        if len(arguments) == 2:
            self.receivers[arguments[0]] = arguments[1]
        else:
            self.listener = arguments[0]

    def send(self, address: str, kind, content: bytes) -> None:
        if not self.cut and not self.mute:
            self.fleet.messages.append((self, address, kind, content))

    def me(self) -> FleetMember:
        return FleetMember(self.name, "a", "", self.name, str(self.incarnation))

    def members(self) -> tuple[FleetMember, ...]:
        others = [item for item in self.known_members if item.name != self.name]
        return (*others, self.me())

    def rollout_orders(self) -> dict[str, RolloutOrder]:
        return self.orders

    def is_snapshot(self) -> bool:
        return self.snapshot

    def is_evacuated(self, zone: str) -> bool:
        return False

    def instances(self) -> list[Instance]:
        return [item for items in SERVERS.values() for item in items]

    def in_use(self, addresses) -> int:
        return sum(item.chosen.instance.address in addresses for item in self.running)

    def is_reachable(self) -> bool:
        return self.fleet.store.up and not self.cut

    is_answering = is_reachable

    def recovered_at(self) -> float:
        return self.recovered

    def submit(self, kind, function, *arguments) -> None:
        function(*arguments)

    def has_ended(self, member: FleetMember) -> bool:
        entry = self.fleet.entry_by_name.get(member.name)
        if self.cut or (entry and entry.cut):
            return False
        return entry is None or entry.me() != member

    def start(self) -> None:
        """Do nothing; the follower is played by ``follow``."""

    def serve(self) -> None:
        """Do nothing; the calls to the store are played by ``step``."""

    def request(self, order, step) -> None:
        self.calls.append((order, step))

    # What the world does.
    def follow(self) -> None:
        """Apply the rows of the store that changed."""
        store = self.fleet.store
        if not self.is_reachable():
            self.recovered = float("inf")
            return
        if self.recovered == float("inf"):
            self.recovered = self.monotonic()
        self.known_members = self.fleet.members
        if self.seen_version == store.version and not self.snapshot:
            return
        row = store.order()
        codec = make_store_codec()
        self.orders = {}
        if row is not None:
            order = codec.rollout_order(row.key, row.value, row.version)
            self.orders = {"svc": order}
        self.listener()
        records = [
            row for (table, _), row in store.row_by_key.items() if table == TABLE
        ]
        apply = (
            self.service.apply_snapshot if self.snapshot else self.service.apply_changes
        )
        apply(tuple(records))
        self.snapshot, self.seen_version = False, store.version

    def step(self) -> None:
        for kind, content in self.inbox:
            if kind in self.receivers:
                self.receivers[kind](content)
        self.inbox.clear()
        self.follow()
        self.task.run_once(0.0)
        for order, step in self.calls:
            self.keeper.perform(order, step)
        self.calls.clear()
        self._end_requests()
        for _ in range(2):
            self._send_request()

    def _send_request(self) -> None:
        self.service.note_request("svc")
        selection = self.service.select("svc", is_first=True)
        if selection is None:
            return
        chosen = selection.choose(
            self._pick, lambda choice, tracked: evolve(choice, tracked=tracked)
        )
        if chosen is not None:
            chosen.tracked.note_sent(ROUTE)
            now = self.fleet.store.now
            run_s = TICK_S * self.fleet.random.randint(1, MAX_RUN_TICKS)
            self.running.append(Running(chosen, now, now + run_s))
            self.fleet.note_sent(self, chosen.instance)

    def _pick(self, permits) -> ChosenInstance | None:
        allowed = [item for item in self.instances() if permits(item)]
        if not allowed:
            return None
        return ChosenInstance(self.fleet.random.choice(allowed), 1.0, 1.0, 0.1, 0)

    def _end_requests(self) -> None:
        now = self.fleet.store.now
        ended = [item for item in self.running if item.ends_at <= now]
        self.running = [item for item in self.running if item.ends_at > now]
        for item in ended:
            bad = item.chosen.instance.release == self.fleet.bad_release
            answer = InstanceAnswer(500 if bad else 200, (), b"")
            item.chosen.tracked.note_answer(ROUTE, answer, now - item.sent_at)


@define(eq=False, slots=False)
class SimulatedFleet:
    """All entries, the network between them, and the checks of what they do."""

    random: random.Random
    store: SimulatedStore = field(factory=SimulatedStore)
    entry_by_name: dict[str, SimulatedEntry] = field(factory=dict)
    members: tuple[FleetMember, ...] = ()
    messages: list = field(factory=list)
    loss: float = 0.0
    bad_release: str = ""
    # What was decided, by the version of the order.
    final_by_order: dict[int, str] = field(factory=dict)
    checked: int = 0
    incarnations: "itertools.count[int]" = field(factory=itertools.count)

    def start_entry(self, name: str) -> None:
        offset_s = self.random.uniform(0, 1000)
        entry = SimulatedEntry(self, name, next(self.incarnations), offset_s)
        self.entry_by_name[name] = entry

    def tick(self) -> None:
        store = self.store
        store.now += TICK_S
        for item in [item for item in store.delayed if item[0] <= store.now]:
            store.delayed.remove(item)
            try:
                store.commit(item[1], item[2])
            except ConflictError:
                continue
            finally:
                self.check_decisions()
        self._update_members()
        self._deliver()
        for entry in tuple(self.entry_by_name.values()):
            if not entry.frozen:
                entry.step()
                self.check_decisions()
            else:
                entry._end_requests()

    def _update_members(self) -> None:
        now, members = self.store.now, []
        for entry in self.entry_by_name.values():
            if not (entry.cut or entry.frozen or entry.mute or entry.deaf):
                entry.silent_since = None
            elif entry.silent_since is None:
                entry.silent_since = now
            silent_s = 0.0 if entry.silent_since is None else now - entry.silent_since
            # One that still reaches the store writes its row again when it is removed.
            rewrites = not (entry.cut or entry.frozen) and now % 2 < 1
            if silent_s < REMOVED_S or rewrites:
                members.append(entry.me())
        if self.store.up:
            self.members = tuple(members)

    def _deliver(self) -> None:
        messages, self.messages = self.messages, []
        for _, address, kind, content in messages:
            entry = self.entry_by_name.get(address)
            if (
                entry
                and not (entry.cut or entry.deaf)
                and self.random.random() >= self.loss
            ):
                entry.inbox.append((kind, content))

    def old_releases(self) -> set[str]:
        order = self.store.order()
        record = self.store.row_by_key.get((TABLE, "svc"))
        assert order is not None and record is not None
        target = make_store_codec().rollout_order(order.key, order.value, 0).target
        return {"v1", "v2", "v3"} - {target}

    def takes_part(self, entry: SimulatedEntry) -> bool:
        """Return whether an entry knows the order in force.

        One that was cut off before cannot know that there is one.
        """
        order, known = self.store.order(), entry.orders.get("svc")
        if order is None or known is None:
            return False
        return known.version == order.version

    def check_decisions(self) -> None:
        """Check each state that was written since the last check."""
        written = self.store.written[self.checked :]
        self.checked = len(self.store.written)
        for _, item in written:
            if item.table != "status":
                continue
            order = self.store.order()
            assert order is not None, "a state is written of an order only"
            state = str(item.value)
            assert order.version not in self.final_by_order, "decided once and for all"
            if "running" in state:
                continue
            self.final_by_order[order.version] = state
            if "completed" in state:
                self.check_drained()

    def check_drained(self) -> None:
        old = self.old_releases()
        for entry in self.entry_by_name.values():
            if self.takes_part(entry):
                left = [
                    item
                    for item in entry.running
                    if item.chosen.instance.release in old
                ]
                assert not left, f"{entry.name} has requests at an old server"

    def note_sent(self, entry: SimulatedEntry, instance: Instance) -> None:
        """Check a request that an entry sends."""
        order = self.store.order()
        if order is None or not self.takes_part(entry):
            return
        if "completed" in self.final_by_order.get(order.version, ""):
            message = f"{entry.name} sends to an old server after the completion"
            assert instance.release not in self.old_releases(), message


class RolloutMachine(RuleBasedStateMachine):
    """Orders, failures and repairs in any sequence."""

    @initialize(seed=st.integers(0, 1 << 32))
    def begin(self, seed: int) -> None:
        self.fleet = SimulatedFleet(random.Random(seed))
        for name in NAMES:
            self.fleet.start_entry(name)
        self.play(5)

    def play(self, ticks: int) -> None:
        for _ in range(ticks):
            self.fleet.tick()

    @rule(release=st.sampled_from(["v2", "v3"]), duration_s=st.sampled_from([12, 16]))
    def order(self, release: str, duration_s: int) -> None:
        if self.fleet.store.up:
            value = b'{"service":"svc","target":"%s","durationS":%d}'
            value = value % (release.encode(), duration_s)
            self.fleet.store.put("op", "rollout/svc", value)
        self.play(10)

    @rule()
    def delete_order(self) -> None:
        if self.fleet.store.up and self.fleet.store.order() is not None:
            self.fleet.store.put("op", "rollout/svc", None)
        self.play(3)

    @rule(ticks=st.integers(5, 60))
    def wait(self, ticks: int) -> None:
        self.play(ticks)

    @rule(name=st.sampled_from(NAMES), down_ticks=st.sampled_from([3, 40]))
    def kill_and_restart(self, name: str, down_ticks: int) -> None:
        self.fleet.entry_by_name.pop(name)
        self.play(down_ticks)
        self.fleet.start_entry(name)
        self.play(3)

    @rule()
    def restart_all(self) -> None:
        self.fleet.entry_by_name.clear()
        for name in NAMES:
            self.fleet.start_entry(name)
        self.play(3)

    @rule(name=st.sampled_from(NAMES))
    def freeze_or_thaw(self, name: str) -> None:
        entry = self.fleet.entry_by_name[name]
        entry.frozen = not entry.frozen
        self.play(3)

    @rule(name=st.sampled_from(NAMES))
    def cut_or_heal(self, name: str) -> None:
        entry = self.fleet.entry_by_name[name]
        entry.cut = not entry.cut
        self.play(3)

    @rule(name=st.sampled_from(NAMES), way=st.sampled_from(["mute", "deaf"]))
    def cut_or_heal_one_way(self, name: str, way: str) -> None:
        entry = self.fleet.entry_by_name[name]
        setattr(entry, way, not getattr(entry, way))
        self.play(3)

    @rule(loss=st.sampled_from([0.0, 0.3]))
    def lose_messages(self, loss: float) -> None:
        self.fleet.loss = loss

    @rule(up=st.booleans())
    def switch_store(self, up: bool) -> None:
        self.fleet.store.up = up
        self.play(3)

    @rule(fault=st.sampled_from(["lost", "late"]))
    def break_next_write(self, fault: str) -> None:
        self.fleet.store.next_write = fault

    @rule(release=st.sampled_from(["", "v2", "v3"]))
    def turn_bad(self, release: str) -> None:
        self.fleet.bad_release = release

    def teardown(self) -> None:
        """Each order is decided once all is well again."""
        if not hasattr(self, "fleet"):
            return
        fleet = self.fleet
        fleet.store.up, fleet.store.next_write, fleet.loss = True, "ok", 0.0
        for entry in fleet.entry_by_name.values():
            entry.cut = entry.frozen = entry.mute = entry.deaf = False
        self.play(220)
        order = fleet.store.order()
        assert order is None or order.version in fleet.final_by_order


TestRolloutMachine = RolloutMachine.TestCase
TestRolloutMachine.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None
)


def test_undisturbed_order_is_completed_and_a_bad_one_rolled_back() -> None:
    """Shows that the machine plays whole roll-outs, not only failures."""
    for bad_release, state in (("", "completed"), ("v2", "rolled_back")):
        machine = RolloutMachine()
        machine.begin(1)
        machine.turn_bad(bad_release)
        machine.order("v2", 12)
        machine.wait(120)
        (written,) = machine.fleet.final_by_order.values()
        assert state in written
