"""When requests are refused, what the refusal says, and whether it is true."""

import math
import time

import pytest
from attrs import define

from dotterelpier.clients.instances import InstanceClient
from dotterelpier.errors import OverloadedError, TaskPoolFullError
from dotterelpier.fleet.waiting import RECHECK_S
from dotterelpier.model.instance import InstanceNotice
from tests.fleet_system import ScriptedInstance, answer, refusal, start_fleet_system
from tests.load_model import LoadModel, PlayedRequest, make_route
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


def test_waiting_request_is_refused_once_its_turn_comes_too_late() -> None:
    """It waited to the end although room had become too little meanwhile."""
    room = room_of(Conditions(work_s=0.1, slots=4.0))
    tickets = [room.enter("svc", URGENT, 0.0, 2.0) for _ in range(8)]
    for ticket in tickets:
        room.check(ticket)
    room._conditions.slots = 1.0
    for ticket in tickets:
        room.check(ticket)
    room._clock.advance(RECHECK_S)
    # Ten leave per second, and the longest wait is 0.24 s.
    for ticket in tickets[:2]:
        room.check(ticket)
    for ticket in tickets[2:]:
        with pytest.raises(OverloadedError, match="a slot is expected"):
            room.check(ticket)


def test_clients_that_repeat_at_once_get_no_more_than_others() -> None:
    """Each client repeats a refused request once, half of them at once."""
    served = {True: 0, False: 0}
    for seed in range(6):
        model = RepeatingModel(8, seed)
        model.play(8.0, lambda at: 1.3 * 8 * 25, make_route("r"))
        model.play(3.0, lambda at: 0.0, make_route("r"))
        for client in model.clients:
            served[client.at_once] += client.last.answered_at is not None
    assert served[True] <= served[False]


@define(eq=False)
class Client:
    """A client, the last request that it sent, and whether it may repeat it."""

    at_once: bool
    last: PlayedRequest | None = None
    may_repeat: bool = True


class RepeatingModel(LoadModel):
    """Load of clients of which every other one ignores the time to retry."""

    def __init__(self, servers: int, seed: int) -> None:
        super().__init__(servers, seed)
        self.clients: list[Client] = []
        self.repeats: list[tuple[float, PlayedRequest, Client]] = []

    def _serve_waiting(self) -> None:
        now = self.clock.now
        due = [item for item in self.repeats if item[0] <= now]
        self.repeats = [item for item in self.repeats if item[0] > now]
        for _, request, client in due:
            self._arrive(request.route, client)
        super()._serve_waiting()

    def _arrive(self, route, client: Client | None = None) -> None:
        if client is None:
            client = Client(len(self.clients) % 2 == 0)
            self.clients.append(client)
        super()._arrive(route)
        client.last = self.requests[-1]
        if client.last.refused_at is not None:
            self._repeat(client)

    def _refuse(self, item, error) -> None:
        super()._refuse(item, error)
        for client in self.clients:
            if client.last is item:
                self._repeat(client)

    def _repeat(self, client: Client) -> None:
        if client.may_repeat:
            client.may_repeat = False
            wait_s = 0.0 if client.at_once else client.last.retry_after_s
            self.repeats.append((client.last.refused_at + wait_s, client.last, client))


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
