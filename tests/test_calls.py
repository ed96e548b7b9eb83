"""Hedged requests, retries, resumed downloads and cancellations of calls."""

from concurrent.futures import Future, ThreadPoolExecutor

import pytest
from attrs import define, field

from dotterelpier.call_budget import MIN_CALLS, RECOMPUTE_INTERVAL_CALLS, AttemptBudget
from dotterelpier.errors import AnswerLostError, CallError, ConnectFailedError
from dotterelpier.model.call import Answer, Attempt, Call, Outcome
from dotterelpier.model.manifest import BackendServer
from dotterelpier.resumed_body import make_resumed_body
from dotterelpier.wire.problem import problem_outcome
from tests.call_system import CallSystem, FakeExchange, ScriptedResult

WAIT_S = 10.0


@define(eq=False)
class OpenExchange(FakeExchange):
    """An exchange that a test ends explicitly."""

    backend_id: str = ""
    cancelled: bool = False

    def cancel(self) -> None:
        self.cancelled = True

    def end(self, outcome: Answer | CallError) -> None:
        self.ended.set_result(None)
        if isinstance(outcome, Answer):
            self.answer.set_result(outcome)
        else:
            self.answer.set_exception(outcome)


@define(eq=False)
class SteppedSystem:
    """Calls at one entry, hedged at another; a test ends each attempt explicitly."""

    system: CallSystem = field(factory=CallSystem)
    exchanges: list["Future[OpenExchange]"] = field(
        factory=lambda: [Future() for _ in range(4)]
    )
    executor: ThreadPoolExecutor = field(factory=lambda: ThreadPoolExecutor(1))
    sent: int = 0

    def send(self, server: BackendServer, attempt: Attempt) -> OpenExchange:
        exchange = OpenExchange(backend_id=server.id)
        self.exchanges[self.sent].set_result(exchange)
        self.sent += 1
        return exchange

    def call(self, method: str = "GET") -> "Future[object]":
        return self.executor.submit(self.system.call, "entry-1", method=method)

    def attempt(self, number: int) -> OpenExchange:
        return self.exchanges[number].result(WAIT_S)


@pytest.fixture
def stepped():
    made = SteppedSystem()
    for _ in range(MIN_CALLS + RECOMPUTE_INTERVAL_CALLS):
        made.system.call("entry-1", method="GET")
    made.system.send_hook = made.send
    yield made
    made.executor.shutdown()
    made.system.stop()


@pytest.mark.promise(4)
def test_late_answer_of_the_losing_attempt_is_dropped(stepped) -> None:
    reply = stepped.call()
    first, second = stepped.attempt(0), stepped.attempt(1)
    assert first.backend_id != second.backend_id
    second.end(Answer(200, (), b"second"))
    assert reply.result(WAIT_S).body == b"second"
    assert first.cancelled
    first.end(Answer(200, (), b"first"))
    assert reply.result(WAIT_S).body == b"second"


def test_failed_hedge_leaves_the_first_attempt(stepped) -> None:
    reply = stepped.call()
    first, second = stepped.attempt(0), stepped.attempt(1)
    second.end(ConnectFailedError("refused", step="test"))
    first.end(Answer(200, (), b"first"))
    assert reply.result(WAIT_S).body == b"first"


@pytest.mark.promise(6)
def test_non_idempotent_call_is_not_hedged(stepped) -> None:
    reply = stepped.call("POST")
    stepped.attempt(0).end(Answer(200, (), b"first"))
    assert reply.result(WAIT_S).body == b"first"
    assert stepped.sent == 1


@pytest.mark.promise(4)
def test_cancelled_attempt_does_not_answer_the_call(stepped) -> None:
    entry = stepped.system.entry_by_id["entry-1"]
    reply = stepped.call()
    first, second = stepped.attempt(0), stepped.attempt(1)
    entry.calls._cancel_idempotent(tuple(entry.taken))
    assert first.cancelled
    first.end(Answer(499, (), b"cancelled"))
    second.end(Answer(200, (), b"second"))
    assert reply.result(WAIT_S).body == b"second"


def test_slot_is_released_when_the_exchange_ends(stepped) -> None:
    entry = stepped.system.entry_by_id["entry-1"]
    reply = stepped.call("POST")
    first = stepped.attempt(0)
    first.answer.set_exception(AnswerLostError("reset", step="test"))
    assert reply.result(WAIT_S).outcome is Outcome.UNKNOWN
    assert entry.taken
    first.ended.set_result(None)
    assert not entry.taken


def test_retries_stay_within_their_share() -> None:
    budget = AttemptBudget()
    while budget.try_withdraw():
        pass
    taken = 0
    for _ in range(100):
        budget.deposit(0.1)
        taken += budget.try_withdraw()
    assert 9 <= taken <= 10


def test_idempotent_call_is_retried_elsewhere() -> None:
    system = CallSystem()
    reply = system.call("entry-1", (ScriptedResult.LOST_AFTER,), method="GET")
    assert reply.outcome is Outcome.ANSWERED
    assert len({run.backend_id for run in system.journal}) == 2
    system.stop()


BODY = bytes(range(256)) * 40
ETAG = ("ETag", '"v1"')


def breaking(body: bytes, after: int):
    yield body[:after]
    raise AnswerLostError("reset", step="test")


def resume(rest: Answer | CallError, after: int = 1000, etag=ETAG) -> bytes:
    """Return the body that a caller receives if the first answer breaks off."""

    def resend(call: Call) -> Answer:
        assert dict(call.headers) == {"Range": f"bytes={after}-", "If-Range": etag[1]}
        if isinstance(rest, CallError):
            raise rest
        return rest

    call = Call("call", "guides", "GET", "/guide")
    first = Answer(200, (etag,), stream=breaking(BODY, after), length=len(BODY))
    return b"".join(make_resumed_body(call, first, resend, lambda: None))


def partial(first: int, last: int, total: int, etag=ETAG, body=None) -> Answer:
    headers = (etag, ("Content-Range", f"bytes {first}-{last}/{total}"))
    return Answer(206, headers, BODY[first : last + 1] if body is None else body)


SIZE = len(BODY)


@pytest.mark.promise(4)
def test_download_resumes_where_it_broke_off() -> None:
    assert resume(partial(1000, SIZE - 1, SIZE)) == BODY


@pytest.mark.promise(4)
@pytest.mark.parametrize(
    "rest",
    [
        Answer(200, (ETAG,), BODY),
        partial(1000, SIZE - 1, SIZE, etag=("ETag", '"v2"')),
        partial(999, SIZE - 1, SIZE),
        partial(1000, SIZE - 2, SIZE),
        partial(1000, SIZE, SIZE + 1),
        partial(1000, SIZE - 1, SIZE, body=b"short"),
        Answer(416, (ETAG,)),
        ConnectFailedError("refused", step="test"),
    ],
)
def test_download_that_cannot_resume_fails(rest) -> None:
    with pytest.raises(CallError):
        resume(rest)


@pytest.mark.promise(4)
def test_download_with_a_weak_etag_is_not_resumed() -> None:
    with pytest.raises(AnswerLostError):
        resume(partial(1000, SIZE - 1, SIZE), etag=("ETag", 'W/"v1"'))


def test_every_call_error_maps_to_its_outcome() -> None:
    pending = [CallError]
    while pending:
        kind = pending.pop()
        pending += kind.__subclasses__()
        outcome = problem_outcome(kind("message", step="test"))
        assert outcome is (Outcome.UNKNOWN if kind.ran else Outcome.NOT_RUN)


@pytest.mark.parametrize(
    ("waiting_calls", "outcome"), [(0, Outcome.ANSWERED), (1, Outcome.NOT_RUN)]
)
def test_call_queues_behind_waiting_calls_instead_of_being_relayed(
    waiting_calls, outcome
) -> None:
    system = CallSystem()
    entry = system.entry_by_id["entry-1"]
    entry.free_slots = 0
    entry.waiting_calls = waiting_calls
    assert system.call("entry-1", (), method="GET").outcome is outcome
    system.stop()
