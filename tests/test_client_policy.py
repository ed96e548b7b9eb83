"""Which clients are closed when memory or threads run short, in virtual time."""

import math
from collections.abc import Callable

import pytest
from attrs import define, field
from hypothesis import given
from hypothesis import strategies as st

from dotterelpier.frontends.client_policy import (
    ClientPolicy,
    ClientResources,
    ClientState,
    Level,
    Load,
    Progress,
)
from dotterelpier.model.client_memory import CloseReason

RESOURCES = ClientResources(memory_bytes=1000, connections=8)
STEP_S = 0.2
POOL = "clients"
# Answers may be awaited for this long; whoever is closed earlier was served less than
# the limits of a configuration allow.
LONGEST_DEADLINE_S = 30.0


@define(eq=False)
class Client:
    """A client that reads by a plan: bytes that it has read after so many seconds."""

    state: ClientState
    read: Callable[[float], float]

    def observe(self, now: float) -> None:
        if self.state.progress is not None:
            self.state.progress.note(now, int(self.read(now)), RESOURCES)


def reader(rate: float, held: int = 100, **state: object) -> Client:
    """Return a client that is waited for since time 0 and reads at a steady rate."""
    client = ClientState(POOL, 0.0, held_bytes=held, unsent_bytes=held, **state)
    client.progress = Progress(0.0)
    return Client(client, lambda now: now * rate)


@define
class Simulation:
    """Clients that are observed at each step until one of them is closed."""

    clients: list[Client]
    wanted_bytes: int = 0
    threads: tuple[int, int] = (8, 0)
    policy: ClientPolicy = ClientPolicy(RESOURCES)
    closed: dict[int, tuple[CloseReason, float]] = field(factory=dict)

    def run(self, seconds: float) -> "Simulation":
        for step in range(1, int(seconds / STEP_S) + 1):
            now = step * STEP_S
            states = [client.state for client in self.clients]
            for client in self.clients:
                client.observe(now)
            held = sum(state.held_bytes for state in states if not state.closing)
            load = Load(held, self.wanted_bytes, {POOL: self.threads})
            for state, reason in self.policy.choose(now, states, load):
                state.closing = True
                self.closed[states.index(state)] = (reason, now)
                state.held_bytes = 0
        return self


def test_levels_begin_at_their_shares() -> None:
    levels = [RESOURCES.level(held) for held in (499, 500, 700, 850)]
    assert levels == list(Level)


def test_one_long_answer_is_always_fetched() -> None:
    assert RESOURCES.may_fetch(5000, held_bytes=600, reserved_bytes=0)
    assert not RESOURCES.may_fetch(1, held_bytes=600, reserved_bytes=1)
    assert not RESOURCES.may_fetch(1, held_bytes=850, reserved_bytes=0)


@pytest.mark.parametrize(
    "read",
    [
        lambda now: 0 if now < LONGEST_DEADLINE_S else 1 << 20,
        lambda now: now / LONGEST_DEADLINE_S * 100,
        lambda now: int(now / 10) * 100_000,
    ],
)
def test_slowest_reader_within_the_limits_is_not_closed_in_calm(read) -> None:
    client = reader(0, deadline_at=LONGEST_DEADLINE_S)
    client.read = read
    assert Simulation([client]).run(LONGEST_DEADLINE_S + 10).closed == {}


def test_stalled_reader_is_closed_after_the_longest_time() -> None:
    closed = Simulation([reader(0)]).run(60).closed
    assert closed[0][0] is CloseReason.STALLED
    assert closed[0][1] == pytest.approx(RESOURCES.stalled_max_s, abs=STEP_S)


def test_memory_that_is_needed_is_taken_from_stalled_readers_only() -> None:
    clients = [reader(1e6, held=200), reader(0, held=200), reader(20_000, held=200)]
    simulation = Simulation(clients, wanted_bytes=50).run(5)
    assert simulation.closed == {1: (CloseReason.MEMORY, RESOURCES.stall_s)}


def test_much_wanted_memory_is_taken_from_readers_that_are_slow_so_far() -> None:
    clients = [reader(1e6, held=300), reader(0, held=300)]
    simulation = Simulation(clients, wanted_bytes=300).run(5)
    assert simulation.closed == {1: (CloseReason.MEMORY, STEP_S)}


def test_beyond_the_second_level_the_slowest_are_closed_as_far_as_needed() -> None:
    clients = [reader(rate, held=250) for rate in (9e6, 1e6, 3e6)]
    assert list(Simulation(clients).run(1).closed) == [1]


def test_threads_are_taken_from_stalled_readers_once_requests_wait() -> None:
    def clients() -> list[Client]:
        return [reader(rate, writing=True) for rate in (0, 1e6)]

    assert Simulation(clients()).run(5).closed == {}
    closed = Simulation(clients(), threads=(8, 1)).run(5).closed
    assert closed == {0: (CloseReason.THREAD, RESOURCES.stall_s)}


def test_slow_readers_keep_at_most_half_of_the_threads() -> None:
    clients = [reader(0, held=1, writing=True) for _ in range(8)]
    closed = Simulation(clients).run(1).closed
    assert len(closed) == 4
    assert {at for _, at in closed.values()} == {STEP_S}


def test_fetches_that_wait_for_memory_give_way_after_the_readers() -> None:
    clients = [
        Client(ClientState(POOL, 0, fetching_since=0.0), lambda now: 0)
        for _ in range(6)
    ]
    closed = Simulation(clients).run(3).closed
    assert {at for _, at in closed.values()} == {RESOURCES.stall_s}
    assert len(closed) == 2


def test_reader_that_cannot_end_by_its_deadline_counts_as_slow() -> None:
    client = reader(50_000, held=400_000, deadline_at=5.0, writing=True)
    client.observe(2.0)
    assert client.state.is_stalled(2.0, RESOURCES)
    client.state.deadline_at = math.inf
    assert not client.state.is_stalled(2.0, RESOURCES)


def test_client_that_holds_next_to_nothing_is_not_closed_for_its_memory() -> None:
    unclosable = ClientState(POOL, 0.0, held_bytes=900)
    clients = [Client(unclosable, lambda now: 0), reader(1e6, held=0)]
    assert Simulation(clients).run(2).closed == {}


@given(
    st.lists(st.tuples(st.floats(0, 1e6), st.integers(1, 400)), max_size=8),
    st.integers(0, 2000),
)
def test_no_fast_reader_is_closed_before_the_second_level(rates, wanted) -> None:
    clients = [reader(rate, held) for rate, held in rates]
    held = sum(held for _, held in rates)
    closed = Simulation(clients, wanted_bytes=wanted).run(3).closed
    for number in closed:
        assert rates[number][0] < RESOURCES.read_bytes_per_s or held >= 700
    if held < 500 and not wanted:
        assert closed == {}


def test_progress_tells_the_rate_of_the_last_window() -> None:
    progress = Progress(0.0)
    assert progress.rate() == math.inf
    for step in range(1, 50):
        now = step * STEP_S
        progress.note(now, 0 if now < 5 else int((now - 5) * 1e6), RESOURCES)
    assert progress.rate() == pytest.approx(1e6, rel=0.01)
    assert progress.slow_since == pytest.approx(49 * STEP_S)


def test_idle_connections_make_way_first_those_never_used() -> None:
    states = [
        ClientState("few", 0.0),
        ClientState(POOL, 1.0, served=True),
        ClientState(POOL, 3.0),
        ClientState(POOL, 2.0, busy=True),
        ClientState(POOL, 2.0, closing=True),
        ClientState(POOL, 4.0),
    ]
    chosen = ClientPolicy(RESOURCES).choose_idle(states, 3)
    assert [state.idle_since for state in chosen] == [3.0, 4.0, 1.0]


def test_no_connection_makes_way_while_all_are_busy() -> None:
    states = [ClientState(POOL, 0.0, busy=True)]
    assert ClientPolicy(RESOURCES).choose_idle(states, 3) == []
