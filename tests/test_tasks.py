"""Tasks that fail unexpectedly, and what one malformed message does to an entry."""

import socket
import threading

import pytest

from dotterelpier.clients.http_connection import parse_address
from dotterelpier.fleet.follower import apply_each
from dotterelpier.model.fleet import StoreRow
from dotterelpier.protocols import ServiceName, TaskKind
from dotterelpier.protocols.fleet import DatagramKind, Fleet, Mirrors, Registry
from dotterelpier.services import tasks as tasks_module
from dotterelpier.services.tasks import make_tasks
from dotterelpier.settings import LimitSettings
from tests.fleet_system import ScriptedInstance, start_fleet_system
from tests.test_fleet_requests import echo_target, register_and_wait
from tests.utils import request, wait_until

END_TIMEOUT_S = 20.0


def test_supervised_task_is_started_again_until_it_returns(monkeypatch) -> None:
    monkeypatch.setattr(tasks_module, "RESTART_PAUSE_S", 0.01)
    tasks, starts, ended = make_tasks(LimitSettings()), [], threading.Event()

    def fail_twice() -> None:
        starts.append(1)
        if len(starts) < 3:
            raise RuntimeError("unexpected")
        ended.set()

    tasks.supervise(TaskKind.CONTROL, fail_twice)
    assert ended.wait(END_TIMEOUT_S)
    assert len(starts) == 3
    tasks.stop()


def test_supervised_task_is_not_started_again_after_the_stop() -> None:
    tasks = make_tasks(LimitSettings())
    failed = threading.Event()

    def fail() -> None:
        failed.set()
        raise RuntimeError("unexpected")

    future = tasks.supervise(TaskKind.CONTROL, fail)
    assert failed.wait(END_TIMEOUT_S)
    tasks.stop()
    assert future.result(END_TIMEOUT_S) is None


@pytest.fixture
def system():
    system = start_fleet_system(retry_slack=50.0)
    yield system
    system.stop()


def serves_new_rows(system) -> None:
    """Check that each table is still followed and requests are served."""
    register_and_wait(system, ScriptedInstance("i-1", "svc", echo_target))
    assert system.send("/a/x").status == 200


@pytest.mark.parametrize("kind", [*DatagramKind, b"?", b""])
def test_malformed_datagram_is_dropped_and_the_next_is_read(system, kind) -> None:
    parsed = parse_address(system.settings.entry.peer_address)
    prefix = kind.value if isinstance(kind, DatagramKind) else kind
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for content in (b"", b"\xff" * 40, b"\x0a\xff\xff\xff\xff\x0f"):
            sender.sendto(prefix + content, (parsed.host, parsed.port))
    serves_new_rows(system)


@pytest.mark.parametrize(
    "content",
    [
        b"",
        b"[" * 5000,
        b"\xff\xfe",
        b"null",
        b'{"name": "e", "zone": "z", "caller_address": "x", "peer_address": "x",'
        b' "incarnation": "i"}',
        b'{"name": "e", "zone": "z", "caller_address": "1.1.1.1:1",'
        b' "peer_address": "1.1.1.1:99999", "incarnation": "i"}',
    ],
)
@pytest.mark.parametrize("table", ["entries", "servers", "op"])
def test_malformed_row_is_dropped_and_the_next_is_read(system, table, content) -> None:
    key = "config" if table == "op" else "e"
    system.store.put(table, key, content)
    serves_new_rows(system)
    fleet = system.kernel.find(ServiceName.FLEET, Fleet)
    assert [item.name for item in fleet.members()] == ["entry-1"]


def test_request_for_an_unknown_table_does_not_stop_the_announcements(system) -> None:
    """Its version was encoded as -1, which ended the task that announces."""
    mirrors = system.kernel.find(ServiceName.MIRRORS, Mirrors)
    me = system.kernel.find(ServiceName.FLEET, Fleet).me()
    wait_until(lambda: mirrors.changes("entries", 0).rows, "the row is mirrored")
    assert request(me.peer_address, "POST", "/changes", b"\x0a\x01x").status == 200
    assert all(item.complete_to >= 0 for item in mirrors.announcement().tables)


def test_rows_that_cannot_be_applied_do_not_hold_up_the_later_ones(
    system, monkeypatch
) -> None:
    registry = system.kernel.find(ServiceName.REGISTRY, Registry)
    apply_row = type(registry)._apply_row

    def fail_for_one(self, row: StoreRow) -> None:
        if row.key == "i-9":
            raise RuntimeError("unexpected")
        apply_row(self, row)

    monkeypatch.setattr(type(registry), "_apply_row", fail_for_one)
    system.store.put_json("servers", "i-9", {})
    serves_new_rows(system)


def test_row_that_cannot_be_applied_skips_no_other_row_of_its_reply() -> None:
    applied = []

    def apply_row(row: StoreRow) -> None:
        if row.key == "b":
            raise RuntimeError("unexpected")
        applied.append(row.key)

    apply_each(tuple(StoreRow(key, b"", 1) for key in "abc"), apply_row)
    assert applied == ["a", "c"]
