"""Tests of the row store client and of the tasks that follow its tables."""

import threading
import time

import pytest

from dotterelpier.errors import (
    ConflictError,
    HistoryLostError,
    PlatformUnavailableError,
)
from dotterelpier.fleet import follower as follower_module
from dotterelpier.fleet.follower import make_follower
from dotterelpier.fleet.store_link import make_store_link
from dotterelpier.kernel import make_kernel
from dotterelpier.model.fleet import ExpectedRow, RowWrite, StoreReply, StoreRow
from dotterelpier.platform import store as platform_store
from dotterelpier.platform.store import make_row_stores
from dotterelpier.protocols import ServiceName
from dotterelpier.protocols.fleet import StoreLink
from dotterelpier.services.clock import make_clock
from dotterelpier.services.tasks import make_tasks
from dotterelpier.settings import LimitSettings
from tests.fakes import SingleEntryReplicas
from tests.scripted_server import ScriptedServer
from tests.standins.row_store import start_row_store
from tests.utils import wait_until


@pytest.fixture
def store():
    address, state = start_row_store()
    return make_row_stores(address), state


def test_rows_are_written_read_and_deleted(store) -> None:
    connection = store[0].connect()
    version = connection.put("t", "k", b"\x00value")
    assert connection.read("t").rows == (StoreRow("k", b"\x00value", version),)
    with pytest.raises(ConflictError):
        connection.delete("t", "k", version + 1)
    connection.delete("t", "k", version)
    assert connection.read("t").rows == ()


def test_transaction_needs_the_expected_version_and_writes_all_rows_or_none(
    store,
) -> None:
    """Two coordinators that read the same row must not both decide."""
    connection, state = store[0].connect(), store[1]
    rows = (RowWrite("s", "k", b"1"), RowWrite("t", "k", b"1"))
    version = connection.put_all(rows, (ExpectedRow("t", "k", 0),))
    assert connection.read("t").rows == (StoreRow("k", b"1", version),)
    with pytest.raises(ConflictError):
        connection.put_all(rows, (ExpectedRow("t", "k", version - 1),))
    assert state.version == version


def test_reply_tells_the_clock_of_the_store(store) -> None:
    connection = store[0].connect()
    before = connection.read("t").store_ms
    time.sleep(0.01)
    assert connection.read("t").store_ms > before > 0


def test_transaction_whose_response_was_lost_took_effect(store) -> None:
    connection, state = store[0].connect(), store[1]
    state.lost_writes = 1
    with pytest.raises(PlatformUnavailableError):
        connection.put_all((RowWrite("t", "k", b"1"),), (ExpectedRow("t", "k", 0),))
    assert connection.read("t").rows[0].value == b"1"


def test_all_pages_of_a_table_are_read(store) -> None:
    stores, state = store
    keys = [f"k{number}" for number in range(10)]
    for key in keys:
        state.put("t", key, b"")
    assert [row.key for row in stores.connect().read("t").rows] == keys


def test_watch_returns_changes_and_raises_on_lost_history(store) -> None:
    stores, state = store
    connection = stores.connect()
    state.put("t", "k", b"1")
    state.put("t", "k", None)
    reply = connection.watch("t", 0, 0.1)
    assert [row.value for row in reply.rows] == [b"1", None]
    assert connection.watch("t", reply.version, 0.05).rows == ()
    state.forget_history()
    with pytest.raises(HistoryLostError):
        connection.watch("t", 0, 0.1)


@pytest.mark.parametrize("end", ["abort", "close"])
def test_call_that_connects_during_an_abort_fails(store, monkeypatch, end) -> None:
    """It waited for the whole watch; so did the stop of the entry."""
    connection = store[0].connect()
    open_now = platform_store.open_connection

    def open_and_abort(*arguments):
        getattr(connection, end)()
        return open_now(*arguments)

    monkeypatch.setattr(platform_store, "open_connection", open_and_abort)
    with pytest.raises(PlatformUnavailableError):
        connection.watch("t", 0, 60.0)


def test_closed_connection_makes_no_more_calls(store) -> None:
    stores, state = store
    connection = stores.connect()
    connection.read("t")
    connection.close()
    calls = len(state.calls)
    with pytest.raises(PlatformUnavailableError):
        connection.read("t")
    assert len(state.calls) == calls


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]",
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnull",
        b'HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{"rows":[3]}',
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nnot json!",
        b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n",
        b"nonsense\r\n\r\n",
        b"",
    ],
)
def test_malformed_reply_raises_platform_unavailable_error(answer) -> None:
    server = ScriptedServer(lambda request: [answer, b""])
    connection = make_row_stores(server.address).connect()
    with pytest.raises(PlatformUnavailableError):
        connection.read("t")
    with pytest.raises(PlatformUnavailableError):
        connection.watch("t", 1, 0.1)
    server.close()


def test_undecodable_value_is_read_as_empty_not_as_deleted_row(store) -> None:
    body = b'{"rows":[{"key":"k","ver":3,"value":"***"}],"ver":3}'
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
    server = ScriptedServer(lambda request: [head + body])
    reply = make_row_stores(server.address).connect().read("t")
    assert reply.rows == (StoreRow("k", b"", 3),)
    server.close()


class FollowerPair:
    """Two followers of one store, the first of which polls the store in an outage."""

    def __init__(self, stores, replicas=None) -> None:
        self.kernel = make_kernel()
        self.kernel.register(ServiceName.CLOCK, make_clock())
        self.kernel.register(ServiceName.TASKS, make_tasks(LimitSettings()))
        self.kernel.register(ServiceName.STORES, stores)
        self.kernel.register(ServiceName.STORE_LINK, make_store_link(self.kernel))
        self.kernel.register(ServiceName.MIRRORS, replicas or SingleEntryReplicas())
        self.link = self.kernel.find(ServiceName.STORE_LINK, StoreLink)
        self.value_by_key: dict[str, bytes | None] = {}
        self.snapshots = 0
        self.followers = [
            make_follower(
                self.kernel, table, self.snapshot, self.changes, is_store_probe=first
            )
            for table, first in (("op", True), ("t", False))
        ]
        for follower in self.followers:
            follower.start()

    def snapshot(self, rows) -> None:
        self.snapshots += 1
        self.changes(rows)

    def changes(self, rows) -> None:
        self.value_by_key.update((row.key, row.value) for row in rows)

    def stop(self) -> None:
        self.link.close()
        for follower in self.followers:
            follower.stop()


@pytest.fixture
def follower_pair(store):
    pair = FollowerPair(store[0])
    yield pair, store[1]
    pair.stop()


def test_follower_delivers_changes_and_deletions(follower_pair) -> None:
    pair, state = follower_pair
    state.put("t", "k", b"1")
    wait_until(
        lambda: pair.value_by_key.get("k") == b"1", "the follower delivers the row"
    )
    state.put("t", "k", None)
    wait_until(
        lambda: pair.value_by_key["k"] is None, "the follower delivers the deletion"
    )


def test_deletions_are_followed_without_a_pause(follower_pair) -> None:
    """Rows of lost entries are deleted one after the other."""
    pair, state = follower_pair
    wait_until(lambda: pair.snapshots == 2, "both followers read a snapshot")
    for key in ("a", "b"):
        state.put("t", key, b"1")
        wait_until(lambda key=key: key in pair.value_by_key, "the row is delivered")
    pair.followers[1].batch_pause_s = 600.0
    for key in ("a", "b"):
        state.put("t", key, None)
        wait_until(
            lambda key=key: pair.value_by_key[key] is None, "the deletion is delivered"
        )


class LaggingReplicas(SingleEntryReplicas):
    """Replicas of a publisher that knows nothing newer than the first version."""

    def __init__(self) -> None:
        self.reads = 0

    def wait_for_seed(self, table: str) -> bool:
        return True

    def watch(
        self, table: str, after: int, wait_s: float, *, until_publisher: bool = False
    ) -> StoreReply:
        self.reads += 1
        return StoreReply((), 0, True)


def test_follower_asks_the_store_after_lost_history(store) -> None:
    """Another publisher may know no newer version, so asking it could go on forever."""
    stores, state = store
    replicas = LaggingReplicas()
    state.put("op", "k", b"1")
    state.forget_history()
    pair = FollowerPair(stores, replicas)
    wait_until(lambda: pair.value_by_key.get("k") == b"1", "the store is read")
    pair.stop()
    assert replicas.reads == len(pair.followers)


def test_follower_reads_a_new_snapshot_after_lost_history(follower_pair) -> None:
    pair, state = follower_pair
    wait_until(lambda: pair.snapshots == 2, "both followers read a snapshot")
    with state.changed:
        state.put("t", "k", b"1")
        state.forget_history()
    wait_until(
        lambda: pair.value_by_key.get("k") == b"1", "the follower delivers the row"
    )


def test_only_one_follower_polls_the_store_during_an_outage(follower_pair) -> None:
    pair, state = follower_pair
    wait_until(lambda: pair.snapshots == 2, "both followers read a snapshot")
    state.outage = True
    wait_until(lambda: not pair.link.is_reachable(), "the link detects the outage")
    before = len([call for call in state.calls if call.endswith(" t")])
    time.sleep(1.5)
    calls = [call for call in state.calls if call.endswith(" t")]
    assert len(calls) - before <= 1
    state.put("t", "k", b"1")
    state.outage = False
    wait_until(
        lambda: pair.value_by_key.get("k") == b"1", "the follower delivers the row"
    )


class OtherPublisher(SingleEntryReplicas):
    """Replicas of an entry beside another that follows the store without faults."""

    def __init__(self, stores) -> None:
        self.stores = stores

    def has_other_publisher(self, table: str) -> bool:
        return True

    def watch(
        self, table: str, after: int, wait_s: float, *, until_publisher: bool = False
    ) -> StoreReply:
        return self.stores.connect().watch(table, after, min(wait_s, 0.5))


@pytest.fixture
def publishers(store, monkeypatch):
    """Return followers whose watches last longer than the test may."""
    monkeypatch.setattr(follower_module, "WATCH_WAIT_S", 600.0)
    other_address, other_state = start_row_store()
    pair = FollowerPair(store[0], OtherPublisher(make_row_stores(other_address)))
    wait_until(lambda: pair.snapshots == 2, "both followers read a snapshot")
    yield pair, store[1], other_state
    pair.stop()


def test_follower_whose_watch_lost_its_response_reads_from_another_entry(
    publishers,
) -> None:
    """Entries went on for a whole watch with servers that had left."""
    pair, state, other_state = publishers
    state.silent_tables |= {"op", "t"}
    other_state.put("t", "k", b"1")
    wait_until(
        lambda: pair.value_by_key.get("k") == b"1", "the follower delivers the row"
    )


def test_follower_whose_watch_lost_its_response_returns_to_the_store(
    publishers,
) -> None:
    pair, state, _ = publishers
    state.silent_tables |= {"op", "t"}
    wait_until(lambda: not pair.link.is_answering(), "the silence is detected")
    state.silent_tables.clear()
    wait_until(pair.link.is_answering, "the store answers again")
    state.put("t", "k", b"1")
    wait_until(
        lambda: pair.value_by_key.get("k") == b"1", "the follower delivers the row"
    )


def test_closing_the_link_ends_the_wait_for_the_store(store) -> None:
    kernel = make_kernel()
    kernel.register(ServiceName.CLOCK, make_clock())
    link = make_store_link(kernel)
    waiting = threading.Thread(target=link.wait_until_reachable, args=(60.0,))
    waiting.start()
    link.close()
    waiting.join(5.0)
    assert not waiting.is_alive()


class ForgetfulStore:
    """Store that answers one read of each table, then forgets its history and fails."""

    def __init__(self) -> None:
        self.read_tables: set[str] = set()
        self.answers_again = threading.Event()

    def connect(self) -> "ForgetfulStore":
        return self

    def read(self, table: str) -> StoreReply:
        if table in self.read_tables and not self.answers_again.is_set():
            raise PlatformUnavailableError("away", step="store.read")
        self.read_tables.add(table)
        version = 9 if self.answers_again.is_set() else 5
        return StoreReply((StoreRow("k", b"%d" % version, version),), version, True)

    def watch(self, table: str, after: int, wait_s: float) -> StoreReply:
        if self.answers_again.wait(0.05) and after == 9:
            return StoreReply((), after)
        raise HistoryLostError("forgotten", step="store.watch")

    def abort(self) -> None:
        """Do nothing: no call blocks for long."""

    close = abort


class OutdatedReplicas(LaggingReplicas):
    """Replicas of a publisher that is behind what the store answered first."""

    def __init__(self) -> None:
        super().__init__()
        self.asked_tables: set[str] = set()

    def has_other_publisher(self, table: str) -> bool:
        return True

    def wait_for_seed(self, table: str) -> bool:
        asked, self.asked_tables = self.asked_tables, self.asked_tables | {table}
        return table in asked


def test_older_table_of_another_entry_does_not_replace_a_newer_one() -> None:
    """An entry that lost its cursor took back changes, such as a server that left."""
    stores, replicas = ForgetfulStore(), OutdatedReplicas()
    pair = FollowerPair(stores, replicas)
    wait_until(lambda: replicas.reads >= 4, "the publisher is asked")
    snapshots = pair.snapshots
    stores.answers_again.set()
    wait_until(lambda: pair.value_by_key.get("k") == b"9", "the store is read again")
    pair.stop()
    assert snapshots == len(pair.followers)
