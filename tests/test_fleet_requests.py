"""Requests through an entry of a fleet, over the sockets of clients and servers."""

import http.client
import json
import threading
import time

import pytest

from dotterelpier.fleet import planned_stop
from dotterelpier.protocols import ServiceName
from dotterelpier.protocols.fleet import (
    Conditions,
    PlannedStop,
    Registry,
    Routes,
    StoreLink,
)
from tests.fleet_system import (
    ATTEMPT_ID_HEADER,
    HOST,
    ScriptedInstance,
    answer,
    refusal,
    route,
    start_fleet_system,
)
from tests.utils import request, wait_until

END_TIMEOUT_S = 30.0


@pytest.fixture
def system():
    system = start_fleet_system(retry_slack=50.0)
    yield system
    system.stop()


def register_and_wait(system, *instances, **options):
    """Register servers of one service and wait until all are usable."""
    system.apply(1, {"r": route("/a/", "svc", **options)}, "svc")
    system.register(*instances)
    wait_until(lambda: all_usable(system, instances), "servers are usable")


def all_usable(system, instances) -> bool:
    conditions = system.kernel.find(ServiceName.CONDITIONS, Conditions)
    capacity = conditions.capacity_by_zone(frozenset({"svc"}))
    return sum(capacity.values()) >= 4 * len(instances)


def wait_until_read(system) -> None:
    """Wait until the entry applied all rows that operators wrote so far."""
    routes = system.kernel.find(ServiceName.ROUTES, Routes)
    system.store.put_json("op", "evacuate/nowhere", {})
    wait_until(lambda: routes.is_evacuated("nowhere"), "the rows were read")


def echo_target(received):
    return [answer(received, b"answer to " + received.target.encode())]


def test_answer_is_forwarded_unchanged(system) -> None:
    instance = ScriptedInstance("i-1", "svc", echo_target)
    register_and_wait(system, instance)
    reply = system.send("/a/x?q=1", "POST", b"body")
    assert (reply.status, reply.body) == (200, b"answer to /a/x?q=1")
    (received,) = instance.runs
    assert (received.method, received.body) == ("POST", b"body")
    assert received.headers["host"] == HOST
    assert 0 < int(received.headers["x-dotterelpier-deadline-ms"]) <= 2000


def test_missing_configuration_gives_503_and_missing_route_404(system) -> None:
    reply = system.send("/a/x")
    assert (reply.status, reply.outcome) == (503, "not-run")
    assert float(reply.headers["Retry-After"]) > 0
    register_and_wait(system, ScriptedInstance("i-1", "svc", echo_target))
    assert system.send("/b/x").status == 404
    assert system.send("/a/x", Host="other.example").status == 404


def test_lost_answer_of_an_idempotent_request_is_retried(system) -> None:
    losing = ScriptedInstance("i-1", "svc", lambda received: [b""])
    register_and_wait(system, losing, ScriptedInstance("i-2", "svc", echo_target))
    for _ in range(6):
        assert system.send("/a/x").status == 200


def test_lost_answer_of_a_non_idempotent_request_has_unknown_outcome(system) -> None:
    first = ScriptedInstance("i-1", "svc", lambda received: [b""])
    second = ScriptedInstance("i-2", "svc", lambda received: [b""])
    register_and_wait(system, first, second, kind="non_idempotent")
    reply = system.send("/a/x", "POST", b"body")
    assert (reply.status, reply.outcome) == (502, "unknown")
    assert len(first.runs) + len(second.runs) == 1


def test_dropped_idle_connection_does_not_lose_a_non_idempotent_request(system) -> None:
    instance = ScriptedInstance("i-1", "svc", echo_target)
    register_and_wait(system, instance, kind="non_idempotent")
    instance.server.drops_idle_after_s = 0.3
    for _ in range(2):
        assert system.send("/a/x", "POST", b"body").status == 200
        time.sleep(0.4)


def test_refused_request_is_retried_and_then_answered_as_not_run(system) -> None:
    refusing = [
        ScriptedInstance(f"i-{number}", "svc", lambda received: [refusal(received)])
        for number in range(3)
    ]
    register_and_wait(system, *refusing, kind="non_idempotent")
    reply = system.send("/a/x", "POST", b"body")
    assert (reply.status, reply.outcome) == (503, "not-run")
    assert sum(len(item.runs) for item in refusing) == 2


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_status_that_suggests_a_retry_is_unknown_without_not_executed_header(
    system, status
) -> None:
    instance = ScriptedInstance(
        "i-1",
        "svc",
        lambda received: [answer(received, b"", status=f"{status} X")],
    )
    register_and_wait(system, instance, kind="non_idempotent")
    reply = system.send("/a/x", "POST", b"body")
    if status == 421:
        assert reply.status == 503
    else:
        assert (reply.status, reply.outcome) == (502, "unknown")
    assert "X-Dotterelpier-Server-Signature" not in reply.headers


def test_server_error_is_forwarded_unchanged(system) -> None:
    instance = ScriptedInstance(
        "i-1", "svc", lambda received: [answer(received, b"no", status="500 X")]
    )
    register_and_wait(system, instance, kind="non_idempotent")
    reply = system.send("/a/x", "POST", b"body")
    assert (reply.status, reply.body) == (500, b"no")
    assert reply.headers["X-Dotterelpier-Server-Signature"] == "signed"


def test_truncated_answer_is_never_forwarded_as_complete(system) -> None:
    cut = ScriptedInstance(
        "i-1", "svc", lambda received: [answer(received, b"12345678")[:-3], b""]
    )
    register_and_wait(system, cut, kind="non_idempotent")
    assert system.send("/a/x", "POST", b"body").status == 502


def test_answer_without_length_ends_with_its_connection(system) -> None:
    def open_ended(received):
        lines = (
            f"{ATTEMPT_ID_HEADER}: {received.headers[ATTEMPT_ID_HEADER.lower()]}",
            "X-Dotterelpier-Server-Sig",
        )
        head = f"HTTP/1.1 200 OK\r\n{lines[0]}\r\n{lines[1]}nature: s\r\n\r\n"
        return [head.encode() + b"to the end", b""]

    register_and_wait(system, ScriptedInstance("i-1", "svc", open_ended))
    assert system.send("/a/x").body == b"to the end"


def test_extra_answer_on_a_connection_is_discarded(system) -> None:
    instance = ScriptedInstance(
        "i-1",
        "svc",
        lambda received: [answer(received, b"own"), answer(received, b"extra")],
    )
    register_and_wait(system, instance)
    for _ in range(5):
        assert system.send("/a/x").body == b"own"


def test_late_answer_of_an_earlier_request_is_skipped(system) -> None:
    earlier = []

    def late(received):
        pieces = [answer(item, b"late") for item in earlier[-1:]]
        earlier.append(received)
        return [*pieces, answer(received, received.target.encode())]

    register_and_wait(system, ScriptedInstance("i-1", "svc", late))
    for number in range(4):
        assert system.send(f"/a/{number}").body == f"/a/{number}".encode()


def test_route_timeout_is_answered_while_the_server_still_works(system) -> None:
    stuck = threading.Event()

    def hang(received):
        stuck.wait(END_TIMEOUT_S)
        return [b""]

    instance = ScriptedInstance("i-1", "svc", hang)
    register_and_wait(system, instance, kind="non_idempotent", timeoutMs=300)
    reply = system.send("/a/x", "POST", b"body")
    # The server is still working, and the client's own timeout is longer.
    assert not stuck.is_set()
    assert (reply.status, reply.outcome) == (504, "unknown")
    stuck.set()


def test_client_disconnect_closes_the_server_connection(system) -> None:
    started, ended = threading.Event(), threading.Event()

    def work(received):
        started.set()
        ended.wait(END_TIMEOUT_S)
        return [answer(received, b"late")]

    instance = ScriptedInstance("i-1", "svc", work)
    register_and_wait(system, instance, kind="non_idempotent", timeoutMs=5000)
    address = system.settings.entry.caller_address
    connection = http.client.HTTPConnection(*address.split(":"))
    connection.request("POST", "/a/x", b"", {"Host": HOST, ATTEMPT_ID_HEADER: "leaves"})
    assert started.wait(END_TIMEOUT_S)
    closed_before = instance.server.closed
    connection.close()
    ended.set()
    # The scripted server detects the closed connection when it writes its answer.
    assert closed_before.acquire(timeout=END_TIMEOUT_S)


def test_draining_server_gets_no_requests(system) -> None:
    leaving = ScriptedInstance("i-1", "svc", echo_target)
    staying = ScriptedInstance("i-2", "svc", echo_target)
    register_and_wait(system, leaving, staying)
    system.store.put_json("servers", "i-1", leaving.row("draining"))
    registry = system.kernel.find(ServiceName.REGISTRY, Registry)
    wait_until(
        lambda: len(registry.instances()) == 1, "the draining server is unlisted"
    )
    before = len(leaving.runs)
    for _ in range(20):
        assert system.send("/a/x").status == 200
    assert len(leaving.runs) == before


def test_evacuated_zone_gets_no_requests_until_it_returns(system) -> None:
    out = ScriptedInstance("i-1", "svc", echo_target, zone="zone-b")
    register_and_wait(system, out)
    system.store.put_json("op", "evacuate/zone-b", {})
    wait_until(lambda: system.send("/a/x").status == 503, "the zone is evacuated")
    runs = len(out.runs)
    assert system.send("/a/x").status == 503
    assert len(out.runs) == runs
    system.store.put("op", "evacuate/zone-b", None)
    system.wait_until_served("/a/x")


def test_requests_to_a_cold_server_are_rate_limited(system) -> None:
    cold = ScriptedInstance("i-1", "svc", echo_target, cold_ms=60_000)
    system.apply(1, {"r": route("/a/", "svc")}, "svc")
    system.register(cold)
    wait_until(lambda: system.send("/a/x").status == 200, "the cold server serves")
    began, before = time.monotonic(), len(cold.runs)
    for _ in range(100):
        system.send("/a/x")
    # One token may be saved up, and one more request may fall on the last moment.
    allowed = 2 + 5.0 * (time.monotonic() - began)
    assert len(cold.runs) - before <= allowed


def test_older_configuration_is_ignored(system) -> None:
    register_and_wait(system, ScriptedInstance("i-1", "svc", echo_target))
    system.apply(3, {"r": route("/c/", "svc")}, "svc")
    system.wait_until_served("/c/x")
    system.apply(2, {"r": route("/a/", "svc")}, "svc")
    wait_until_read(system)
    assert (system.send("/c/x").status, system.send("/a/x").status) == (200, 404)


def test_malformed_rows_leave_the_others_in_force(system) -> None:
    register_and_wait(system, ScriptedInstance("i-1", "svc", echo_target))
    system.store.put("op", "config", b"\xff\x00")
    system.store.put("servers", "i-9", b"[]")
    system.store.put_json("servers", "i-8", {"address": "nowhere"})
    system.store.forget_history()
    wait_until_read(system)
    assert system.send("/a/x").status == 200


def test_store_outage_leaves_the_configuration_in_force(system) -> None:
    register_and_wait(system, ScriptedInstance("i-1", "svc", echo_target))
    system.store.outage = True
    link = system.kernel.find(ServiceName.STORE_LINK, StoreLink)
    wait_until(lambda: not link.is_reachable(), "the outage is detected")
    assert system.send("/a/x").status == 200
    system.store.outage = False
    system.apply(2, {"r": route("/d/", "svc")}, "svc")
    system.wait_until_served("/d/x")


def test_directory_and_readiness(system) -> None:
    entry = system.settings.entry
    target = f"/resolve?name={HOST}&region=r&zone=zone-a"
    assert request(entry.readiness_address, "GET", "/readiness").status == 503
    register_and_wait(system, ScriptedInstance("i-1", "svc", echo_target))
    wait_until(
        lambda: request(entry.readiness_address, "GET", "/readiness").status == 200,
        "the entry is ready",
    )
    reply = json.loads(request(entry.directory_address, "GET", target).body)
    assert reply["addresses"] == [entry.caller_address]
    assert 0 < reply["ttlS"] <= 5
    metrics = request(entry.metrics_address, "GET", "/metrics").body
    assert b"dotterelpier_answers_total" in metrics


def test_removed_entry_row_is_written_again(system) -> None:
    wait_until(lambda: "entry-1" in system.store.keys("entries"), "the row is written")
    system.store.put("entries", "entry-1", None)
    wait_until(
        lambda: "entry-1" in system.store.keys("entries"), "the row is written again"
    )


HUGE = 10**400
ODD_ROWS = {
    "deeply nested": b"[" * 100_000,
    "nested within": b'{"address":' + b"[" * 980 + b"]" * 980 + b"}",
    "number too large": {"born": HUGE},
    "cold for too long": {"status": {"state": "ready", "coldRemainingMs": HUGE}},
    "port out of range": {"address": "127.0.0.1:99999"},
    "host with a zero byte": {"address": "127.0.0.1\x00:80"},
    "no object": b"[]",
    "not readable": b"\xff\xfe\x00",
}


@pytest.mark.parametrize("name", ODD_ROWS)
def test_odd_row_replaces_the_registration_and_harms_no_other(system, name) -> None:
    """Entries of another system ended, or stopped following the list, at such a row."""
    odd_row = ODD_ROWS[name]
    first, second = (ScriptedInstance(id, "svc", echo_target) for id in ("i-1", "i-2"))
    register_and_wait(system, first, second)
    if isinstance(odd_row, dict):
        odd_row = json.dumps({**first.row(), **odd_row}).encode()
    system.store.put("servers", "i-1", odd_row)
    registry = system.kernel.find(ServiceName.REGISTRY, Registry)
    wait_until(
        lambda: [item.id for item in registry.instances()] == ["i-2"],
        "only the other backend server is in use",
    )
    system.store.put_json("servers", "i-2", second.row("draining"))
    system.store.put_json("servers", "i-1", first.row())
    wait_until(
        lambda: [item.id for item in registry.instances()] == ["i-1"],
        "the later rows are followed",
    )


@pytest.fixture
def stopping_system(system, monkeypatch):
    """Return an entry in a planned stop that takes no request of any length."""
    monkeypatch.setattr(planned_stop, "ALL_ACCEPTED_S", 0.0, raising=False)
    instance = ScriptedInstance("i-1", "svc", echo_target)
    options = {"kind": "non_idempotent", "timeoutMs": 60_000}
    register_and_wait(system, instance, **options)
    stop = system.kernel.find(ServiceName.PLANNED_STOP, PlannedStop)
    bounds = system.settings.bounds
    thread = threading.Thread(target=stop.run, daemon=True)
    thread.start()
    wait_until(lambda: not stop.takes_requests(), "the stop has begun")
    yield system, instance, bounds.grace_s
    thread.join(END_TIMEOUT_S)


def test_late_request_that_could_outlast_a_stop_is_refused_at_once(
    stopping_system,
) -> None:
    """Such requests were sent and cut off at the end of the stop without an answer."""
    system, instance, grace_s = stopping_system
    timeout_ms = str(int(grace_s * 2000))
    reply = system.send("/a/x", "POST", b"", X_Dotterelpier_Deadline_Ms=timeout_ms)
    assert reply.status == 503
    assert reply.headers["Retry-After"] == "0.00"
    assert instance.runs == []


def test_late_request_that_ends_before_a_stop_is_served(stopping_system) -> None:
    system, _, grace_s = stopping_system
    timeout_ms = str(int(grace_s * 200))
    reply = system.send("/a/x", "POST", b"", X_Dotterelpier_Deadline_Ms=timeout_ms)
    assert reply.status == 200
