"""Accounts of clients: their keys, who is told them, and odd configurations."""

import http.client
import io
import json
import threading
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st
from loguru import logger

from dotterelpier.clients.datagrams import UdpDatagrams
from dotterelpier.fleet.freshness import DOUBT_S, FREEZE_GAP_S, SETTLE_S, TableFreshness
from dotterelpier.fleet.waiting import FairWaitingRoom
from dotterelpier.frontends.fleet_peers import FleetPeerApplication
from dotterelpier.log import configure_log
from dotterelpier.model.account import UsageCap, key_digest
from dotterelpier.platform.accounts import hide_keys
from dotterelpier.protocols import ServiceName
from dotterelpier.protocols.fleet import Routes
from dotterelpier.wire import fleet as wire
from tests.fleet_system import (
    HOST,
    ScriptedInstance,
    answer,
    config,
    route,
    start_another_entry,
    start_fleet_system,
)
from tests.test_fleet_requests import echo_target
from tests.test_platform_codec import CODEC, JSON, encoded
from tests.utils import request, wait_until

KEY, OTHER_KEY = "s3cret-of-a", "s3cret-of-b"
ACCOUNTS = {"a": {"apiKeys": [KEY]}, "b": {"apiKeys": [OTHER_KEY], "priority": 2}}
ROUTES = {
    "r": route("/a/", "svc", targetLatencyMs=8000, timeoutMs=9000),
    "p": route("/p/", "svc", public=True),
}
TENANT = "x-dotterelpier-tenant"


def apply(system, version: int, accounts=ACCOUNTS) -> None:
    row = {**config(version, ROUTES, "svc"), "tenants": accounts}
    system.store.put_json("op", "config", row)
    routes = system.kernel.find(ServiceName.ROUTES, Routes)
    wait_until(lambda: (routes.table() or 0) and routes.table().version == version, "")


def send(system, key: str, target: str = "/a/x", **headers: str):
    return system.send(target, X_Dotterelpier_Credential=key, **headers)


def start(script=echo_target, **bounds):
    system = start_fleet_system(**bounds)
    instance = ScriptedInstance("i-1", "svc", script)
    apply(system, 1)
    system.register(instance)
    wait_until(lambda: send(system, KEY).status == 200, "requests are served")
    instance.runs.clear()
    return system, instance


@pytest.fixture
def served():
    system, instance = start()
    yield system, instance
    system.stop()


def test_request_without_a_known_key_is_refused_and_does_not_run(served) -> None:
    system, instance = served
    digest = key_digest(KEY.encode()).hex()
    for key in ("wrong", "", KEY + "x", f"{KEY}, {KEY}", digest, KEY.upper()):
        reply = send(system, key)
        assert (reply.status, reply.outcome) == (401, "not-run"), key
        assert "www-authenticate" in map(str.lower, reply.headers)
    assert system.send("/a/x").status == 401
    assert send(system, "wrong", "/none").status == 404
    assert not instance.runs


def test_server_is_told_the_account_whatever_the_client_claims(served) -> None:
    system, instance = served
    claims = {"x-dotterelpier-TENANT": "b", "X_Dotterelpier_Tenant": "b"}
    assert send(system, KEY, **claims).status == 200
    assert send(system, OTHER_KEY, "/p/x", **claims).status == 200
    for key in ("", "wrong"):
        assert send(system, key, "/p/x", **claims).status == 200
    head = f"GET /a/x HTTP/1.1\r\nHost: {HOST}\r\nX-Dotterelpier-Attempt-Id: t\r\n"
    doubled = "x-dotterelpier-tenant: b\r\nX-DOTTERELPIER-TENANT: c\r\n"
    connection = http.client.HTTPConnection(system.settings.entry.caller_address)
    connection.connect()
    named = f"X-Dotterelpier-Credential: {KEY}\r\nConnection: {TENANT}\r\n\r\n"
    connection.sock.sendall((head + doubled + named).encode())
    assert b"200 OK" in connection.sock.recv(4096)
    assert [run.headers.get(TENANT) for run in instance.runs] == [
        *("a", "b", None, None, "a")
    ]
    assert all("x-dotterelpier-credential" not in run.headers for run in instance.runs)


def test_priority_of_an_account_goes_before_that_of_the_route(
    served, monkeypatch
) -> None:
    """Requests of all accounts queued by the priority of their route."""
    system, _ = served
    priorities, enter = [], FairWaitingRoom.enter

    def recorded(self, service, route, *args):
        priorities.append(route.priority)
        return enter(self, service, route, *args)

    monkeypatch.setattr(FairWaitingRoom, "enter", recorded)
    for key in (KEY, OTHER_KEY):
        assert send(system, key).status == 200
    assert priorities == [1, 2]


def test_without_accounts_headers_are_forwarded_as_they_are() -> None:
    system = start_fleet_system()
    instance = ScriptedInstance("i-1", "svc", echo_target)
    system.apply(1, ROUTES, "svc")
    system.register(instance)
    system.wait_until_served("/a/x")
    send(system, "any", X_Dotterelpier_Tenant="t")
    names = list(instance.runs[-1].headers)
    system.stop()
    assert instance.runs[-1].headers["x-dotterelpier-credential"] == "any"
    assert instance.runs[-1].headers[TENANT] == "t"
    assert names.index("x-dotterelpier-credential") < names.index(TENANT)


def test_key_appears_nowhere_outside_the_entry(monkeypatch) -> None:
    """Backend servers, other entries, logs and metrics must not learn a key."""
    seen, log = io.BytesIO(), io.StringIO()
    send_now, answer_now = UdpDatagrams._send, FleetPeerApplication._answer
    monkeypatch.setattr(
        UdpDatagrams,
        "_send",
        lambda self, to, content: (seen.write(content), send_now(self, to, content)),
    )

    def record_answer(self, environ):
        status, body = answer_now(self, environ)
        changes = environ["PATH_INFO"] == wire.CHANGES_PATH
        rows = wire.decode_changes(body).rows if changes else ()
        seen.write(b"".join((body, *(row.value or b"" for row in rows))))
        return status, body

    monkeypatch.setattr(FleetPeerApplication, "_answer", record_answer)
    configure_log("DEBUG", log)
    system, instance = start()
    seeds = (system.settings.entry.peer_address,)
    other = start_another_entry(system, "entry-2", seeds)
    wait_until(lambda: send(other, KEY).status == 200, "the seed knows the accounts")
    for key in (KEY, KEY[:-1], KEY + "9"):
        send(system, key, "/p/x")
        send(other, key, X_Dotterelpier_Tenant=KEY)
    odd = {"c": {"apiKeys": KEY}, "d": KEY, "e": {"apiKeys": [[KEY]], "burst": KEY}}
    apply(system, 2, {**ACCOUNTS, **odd})
    for number, broken in enumerate(({**odd, "x": ()}, [KEY], KEY), 3):
        row = {**config(number, ROUTES, "svc"), "tenants": broken}
        system.store.put_json("op", "config", row)
    system.store.put("op", "config", f'{{"tenants":{{"a":"{KEY}'.encode())
    system.store.put("op", "config", encoded(KEY))
    apply(system, 9)
    page = request(system.settings.entry.metrics_address, "GET", "/metrics").body
    other.stop()
    system.stop()
    logger.remove()
    text = [
        seen.getvalue(),
        log.getvalue().encode(),
        page,
        repr(instance.runs).encode(),
    ]
    assert b"dotterelpier_unknown_keys_total" in page and "account" in log.getvalue()
    assert key_digest(KEY.encode()).hex().encode() in seen.getvalue()
    assert not [item for item in text if KEY[:-1].encode() in item]


def test_withdrawn_key_is_refused_on_a_kept_connection_and_after_a_restart(
    served,
) -> None:
    system, instance = served
    connection = http.client.HTTPConnection(system.settings.entry.caller_address)
    headers = {"Host": HOST, "X-Dotterelpier-Credential": KEY}

    def status() -> int:
        sent = {**headers, "X-Dotterelpier-Attempt-Id": f"t-{time.monotonic()}"}
        connection.request("GET", "/a/x", headers=sent)
        response = connection.getresponse()
        response.read()
        return response.status

    assert status() == 200
    apply(system, 2, {"b": {"apiKeys": [KEY]}})
    assert status() == 200 and instance.runs[-1].headers[TENANT] == "b"
    runs = len(instance.runs)
    apply(system, 3, {"b": {"apiKeys": [OTHER_KEY]}})
    assert status() == 401
    seeds = (system.settings.entry.peer_address,)
    other = start_another_entry(system, "entry-2", seeds)
    wait_until(lambda: send(other, OTHER_KEY, "/p/x").status == 200, "entry-2 serves")
    assert send(other, KEY).status == 401
    other.stop()
    apply(system, 4, None)
    assert len(instance.runs) == runs + 1 and status() == 200


def test_request_whose_key_is_withdrawn_while_it_waits_is_not_sent() -> None:
    free = threading.Event()

    def answer_late(received):
        if received.target == "/a/busy":
            free.wait(20.0)
        return [answer(received, b"")]

    system, instance = start(answer_late)

    busy = [
        threading.Thread(target=send, args=(system, KEY, "/a/busy")) for _ in range(4)
    ]
    for thread in busy:
        thread.start()
    wait_until(lambda: len(instance.runs) == 4, "all slots are in use")
    replies: list = []
    waiting = threading.Thread(
        target=lambda: replies.append(send(system, KEY, "/a/waits"))
    )
    waiting.start()
    time.sleep(0.2)
    apply(system, 2, {"b": ACCOUNTS["b"]})
    waiting.join()
    free.set()
    for thread in busy:
        thread.join()
    system.stop()
    assert [(item.status, item.outcome) for item in replies] == [(401, "not-run")]
    assert len(instance.runs) == 4


def test_outdated_configuration_refuses_keys_if_the_settings_say_so() -> None:
    system, _ = start(fail_closed=True, revoke_ms=1500)
    time.sleep(2.0)
    assert send(system, KEY).status == 200
    system.store.outage = True
    wait_until(lambda: send(system, KEY).status == 503, "keys are refused")
    assert send(system, KEY).outcome == "not-run"
    assert send(system, KEY, "/p/x").status == 200
    system.store.outage = False
    wait_until(lambda: send(system, KEY).status == 200, "keys are accepted again")
    system.stop()


def test_process_that_was_frozen_waits_for_a_statement_that_came_later() -> None:
    """What arrived during the freeze says nothing about the time after it."""
    table = TableFreshness()
    for tick in range(8):
        table.note_statement(5, tick / 4, tick / 4)
    table.note_applied(5)
    assert not table.doubt_s(2.0) and table.confirmed_at == 1.75
    woken_at = 2.0 + FREEZE_GAP_S + 0.01
    table.note_statement(5, woken_at, woken_at)
    assert table.doubt_s(woken_at) == pytest.approx(DOUBT_S)
    table.note_statement(6, woken_at + 0.2, woken_at + 0.2)
    assert table.doubt_s(woken_at + 0.2) and SETTLE_S < 0.2
    table.note_applied(6)
    assert not table.doubt_s(woken_at + 0.2)


def decode(accounts):
    row = encoded({**config(12, ROUTES, "svc"), "tenants": accounts})
    table, hidden = CODEC.route_table(row), CODEC.route_table(hide_keys(row))
    assert (table.faults, table.account_by_key_digest) == (
        hidden.faults,
        hidden.account_by_key_digest,
    )
    return table, lambda key: table.account_by_key_digest.get(key_digest(key.encode()))


@pytest.mark.parametrize(
    ("change", "served"),
    [
        ({"apiKeys": []}, False),
        ({"apiKeys": ["k", "k"]}, True),
        ({"apiKeys": ["k", OTHER_KEY]}, True),
        ({"apiKeys": ["k", 3, "", " x", "a\nb"]}, True),
        ({"apiKeys": "k"}, False),
        ({"priority": "high"}, True),
        ({"ratePerS": "many"}, False),
        ({"burst": -1}, False),
    ],
)
def test_odd_account_is_one_fault_and_leaves_the_others_in_force(
    change, served
) -> None:
    good = {"apiKeys": [f"k{n}" for n in range(3000)], "ratePerS": 2, "burst": 3}
    odd = {"apiKeys": ["k"], **change}
    table, find = decode({"good": good, "odd": odd, "b": ACCOUNTS["b"]})
    assert find("k2999").cap == UsageCap(2.0, 3.0) and find("k2999").name == "good"
    assert bool(find("k")) == served and len(table.faults) == 1
    # A key that two accounts hold belongs to neither.
    assert bool(find(OTHER_KEY)) != (OTHER_KEY in change.get("apiKeys", ()))


@given(
    name=st.text(max_size=4), field=st.sampled_from(["apiKeys", "burst"]), value=JSON
)
def test_any_value_in_one_account_leaves_the_others_in_force(
    name, field, value
) -> None:
    for odd in (value, {"apiKeys": ["k"], "ratePerS": 1, field: value}):
        table, find = decode({name: odd, "good": ACCOUNTS["a"]})
        assert find(KEY).name == "good" and len(table.faults) <= 1
        assert table.match(HOST, "/p/x").public and table.needs_keys


@given(st.binary(max_size=64) | st.builds(encoded, JSON))
def test_row_that_is_not_understood_is_passed_on_empty(content) -> None:
    hidden = hide_keys(content)
    try:
        understood = isinstance(json.loads(content), dict)
    except (ValueError, RecursionError):
        understood = False
    assert hidden == (content if understood else b"")
