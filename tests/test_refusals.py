"""When requests are refused, what the refusal says, and whether it is true."""

import math
import time

import pytest

from dotterelpier.clients.instances import InstanceClient
from dotterelpier.errors import TaskPoolFullError
from dotterelpier.model.instance import InstanceNotice
from tests.fleet_system import ScriptedInstance, answer, refusal, start_fleet_system
from tests.test_fleet_decisions import conditions_of, instance
from tests.test_fleet_requests import register_and_wait
from tests.test_waiting import URGENT, Conditions, room_of


@pytest.mark.parametrize("closed_s", [0.05, 2.0, 40.0, math.inf])
@pytest.mark.parametrize("left_s", [-1.0, 0.0, 0.1, 2.0])
def test_time_to_retry_is_within_a_third_of_what_is_left(closed_s, left_s) -> None:
    """A pause of a server was passed on whole, beyond what clients honour."""
    room = room_of(Conditions())
    ticket = room.enter("svc", URGENT, 0.0, left_s)
    for _ in range(20):
        error = room.refusal(ticket, "closed", closed_s)
        assert 0.0 <= error.retry_after_s <= max(0.0, left_s) / 3


@pytest.mark.parametrize("left_s", [0.1, 0.24])
def test_wait_ends_while_an_answer_before_the_deadline_is_possible(left_s) -> None:
    """Such a request waited until its deadline, when no server could answer it."""
    room = room_of(Conditions(work_s=0.2))
    assert room.enter("svc", URGENT, 0.0, left_s).wait_until <= left_s - 0.2


def test_evacuated_server_does_not_keep_a_service_open() -> None:
    """Requests waited for it while all others had asked for a pause."""
    conditions, clock, routes, _ = conditions_of(instance(1), instance(2, "b"))
    conditions.note_notice(instance(1), InstanceNotice(retry_after_s=5.0))
    assert conditions.closed_until("svc") == -math.inf
    routes.evacuated.add("b")
    conditions.refresh()
    assert conditions.closed_until("svc") == clock.now + 5.0
    routes.evacuated.add("a")
    conditions.refresh()
    assert conditions.closed_until("svc") == -math.inf


@pytest.fixture
def system():
    system = start_fleet_system(retry_slack=50.0)
    yield system
    system.stop()


def allow_one_attempt(monkeypatch) -> list:
    """Let all attempts after the next one find no connection; return those made."""
    send, calls = InstanceClient.send, []

    def send_once(*arguments):
        calls.append(arguments)
        if len(calls) > 1:
            raise TaskPoolFullError("all threads are in use", step="tasks")
        return send(*arguments)

    monkeypatch.setattr(InstanceClient, "send", send_once)
    return calls


@pytest.mark.parametrize(("lost", "outcome"), [(True, "unknown"), (False, "not-run")])
def test_refusal_that_no_connection_is_left_is_true(
    system, monkeypatch, lost, outcome
) -> None:
    """A request whose first attempt may have run was refused as not run."""
    first = [b""] if lost else None
    servers = [
        ScriptedInstance(
            f"i-{number}", "svc", lambda received: first or [refusal(received)]
        )
        for number in range(2)
    ]
    register_and_wait(system, *servers)
    calls = allow_one_attempt(monkeypatch)
    reply = system.send("/a/x", X_Dotterelpier_Deadline_Ms="300")
    assert (len(calls), reply.outcome) == (2, outcome)
    if not lost:
        assert 0 <= float(reply.headers["Retry-After"]) <= 0.1


def test_full_pool_leaves_the_first_attempt_in_flight(system, monkeypatch) -> None:
    """The hedged request found no connection, and the client was told "not run"."""
    slow = ScriptedInstance("i-1", "svc", answer_late)
    other = ScriptedInstance("i-2", "svc", answer_late)
    register_and_wait(system, slow, other)
    calls = allow_one_attempt(monkeypatch)
    assert system.send("/a/x").status == 200
    assert len(calls) == 2


def answer_late(received):
    """Answer after the time at which a hedged request is due."""
    time.sleep(0.6)
    return [answer(received, b"late")]
