"""A request that is reported to its caller as "not run" did not run."""

import time

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dotterelpier.errors import CallError
from dotterelpier.model.call import Attempt, Call, Outcome
from dotterelpier.model.manifest import BackendServer
from tests.call_system import CallSystem, ScriptedResult
from tests.scripted_server import ScriptedServer, head, whole_answer
from tests.test_promise_4 import ANSWER_WAIT_S, backends

__all__ = ["backends"]

RESULT_LISTS = st.lists(st.sampled_from(ScriptedResult), max_size=8)
MOSTLY_FREE = st.sampled_from([1, 1, 1, 0])
MOSTLY_HOME = st.sampled_from([True, True, True, False])


@pytest.mark.promise(5)
@settings(max_examples=300)
@given(
    results=RESULT_LISTS,
    free_slots=st.tuples(*[MOSTLY_FREE] * 3),
    is_home=st.tuples(*[MOSTLY_HOME] * 3),
    method=st.sampled_from(["GET", "POST"]),
    key=st.sampled_from(["", "key"]),
    down=st.booleans(),
    lose_replies=st.integers(0, 2),
)
def test_call_reported_as_not_run_did_not_run(
    results, free_slots, is_home, method, key, down, lose_replies
) -> None:
    system = CallSystem()
    entries = system.entry_by_id.values()
    for entry, free, home in zip(entries, free_slots, is_home, strict=True):
        entry.free_slots, entry.is_home = free, home
    first = system.entry_by_id["entry-1"]
    first.platform.down, first.platform.lose_replies = down, lose_replies
    reply = system.call("entry-1", tuple(results), method=method, key=key)
    runs = system.runs_of(reply.request)
    if reply.outcome is Outcome.NOT_RUN:
        assert runs == 0
    if reply.outcome is Outcome.ANSWERED:
        assert runs >= 1
        assert reply.body.startswith(reply.request.encode())
    if method == "POST":
        assert runs <= 1
    assert not any(entry.taken for entry in system.entry_by_id.values())
    system.stop()


def test_failures_that_exclude_a_run_are_reported_as_not_run() -> None:
    system = CallSystem()
    for result in (
        ScriptedResult.REFUSED,
        ScriptedResult.UNREACHABLE,
        ScriptedResult.NO_THREAD,
    ):
        reply = system.call("entry-1", (result,) * 20)
        assert reply.outcome is Outcome.NOT_RUN, result
    system.stop()


def served(request):
    yield whole_answer(request, b"run")


def refused(request):
    lines = ("Dotterelpier-Outcome: not-run", "Content-Length: 0")
    yield head(request, *lines, status="503 Service Unavailable")


def closed_after_request(request):
    yield b""


def closed_in_head(request):
    yield b"HTTP/1.1 200 OK\r\nDotterel"
    yield b""


def closed_after_answer(request):
    yield whole_answer(request, b"run")
    yield b""


def late_refusal_of_another(request):
    yield from (
        part.replace(request.attempt.encode(), b"another") for part in refused(request)
    )


RUNNING = (served, closed_after_request, closed_in_head, closed_after_answer)
SHAPES = (*RUNNING, refused, late_refusal_of_another)


@pytest.mark.promise(5)
@settings(max_examples=100)
@given(
    steps=st.lists(
        st.tuples(
            st.sampled_from(SHAPES),
            st.sampled_from(["/x", "/a b", "/a\r\nb"]),
            st.sampled_from([5.0, -1.0]),
            st.booleans(),
        ),
        min_size=1,
        max_size=8,
    )
)
def test_request_reported_as_not_run_was_refused_or_not_sent(backends, steps) -> None:
    shapes = iter([])
    server = ScriptedServer(lambda request: next(shapes)(request))
    target = BackendServer("catalogue-1", "catalogue", server.address, "tt-north-1")
    for number, (shape, path, timeout_s, fresh) in enumerate(steps):
        shapes = iter([shape])
        call = Call("call", "catalogue", "GET", path)
        deadline_at = time.monotonic() + timeout_s
        attempt = Attempt(f"attempt-{number}", call, deadline_at, fresh)
        try:
            backends.send(target, attempt).answer.result(ANSWER_WAIT_S)
        except CallError as error:
            arrived = [item.attempt for item in server.received]
            assert error.ran or shape is refused or attempt.id not in arrived
    server.close()
