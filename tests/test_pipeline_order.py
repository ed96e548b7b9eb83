"""Which queued requests start early, and how many threads they get."""

import threading

from hypothesis import given
from hypothesis import strategies as st

from dotterelpier.frontends.early_workers import make_shared_workers
from dotterelpier.frontends.pipeline_order import (
    MAX_HELD_BYTES,
    QueuedRequest,
    startable,
)
from tests.utils import wait_until

LIMIT = 4
QUEUES = st.lists(
    st.builds(
        QueuedRequest,
        st.sampled_from([True, True, True, False]),
        st.sampled_from([False, False, False, True]),
        st.just(False),
        st.sampled_from([0, 0, 0, MAX_HELD_BYTES // 2 + 1]),
    ),
    max_size=7,
)


@given(QUEUES, st.integers(0, 3))
def test_nothing_starts_that_an_earlier_answer_could_leave_unread(queue, count) -> None:
    """Else a request runs, counts as unread for the client, and runs once more."""
    queue[1 : 1 + count] = [QueuedRequest(True, started=True)] * len(
        queue[1 : 1 + count]
    )
    positions = startable(queue, LIMIT)
    for position in positions:
        assert 0 < position < LIMIT
        assert queue[position].may_start_early and not queue[position].started
        before = queue[:position]
        assert all(item.may_start_early and not item.may_close for item in before)
        assert all(
            item.started or n in (0, *positions) for n, item in enumerate(before)
        )
    if sum(item.held_bytes for item in queue) > MAX_HELD_BYTES:
        assert positions == ()


def test_all_that_may_start_does() -> None:
    """Else requests wait for their turn without a reason."""
    free, closing = QueuedRequest(True), QueuedRequest(True, may_close=True)
    assert startable([free] * 6, LIMIT) == (1, 2, 3)
    assert startable([free, closing, free], LIMIT) == (1,)
    assert startable([free, QueuedRequest(False), free], LIMIT) == ()


def test_early_requests_leave_threads_to_other_connections() -> None:
    """Else one client that pipelines keeps others from being served."""
    workers, proceed, ran = make_shared_workers(8), threading.Event(), []

    class Task:
        def service(self) -> None:
            proceed.wait(30)
            ran.append(self)

    assert [workers.try_add_early(Task()) for _ in range(3)] == [True, True, False]
    for _ in range(4):
        workers.add_task(Task())
    # Six of eight threads are busy, so an ended one makes no room for another.
    workers.end_early()
    assert not workers.try_add_early(Task())
    proceed.set()
    wait_until(lambda: len(ran) == 6, "all have run")
    wait_until(lambda: workers.try_add_early(Task()), "the threads are idle again")
    workers.shutdown()
