"""Claims of idempotency keys on a fake platform."""

import threading
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import pytest
from attrs import define, field

from dotterelpier.errors import (
    ClaimUnavailableError,
    ConflictError,
    DuplicateCallError,
    KeyReusedError,
)
from dotterelpier.group_commit import make_group_commit
from dotterelpier.model.call import Answer, Call
from dotterelpier.model.platform import ABSENT, Write
from dotterelpier.protocols import Claims, ServiceName
from dotterelpier.services.claim_sweeper import make_claim_sweeper
from dotterelpier.services.claims import make_claims
from dotterelpier.wire.rows import CLAIM_SHARDS
from tests.call_system import FailingPlatform
from tests.fakes import (
    ManualClock,
    MemoryPlatform,
    MemoryTable,
    StepTasks,
    StepTimer,
    make_step_kernel,
)

ANSWER = Answer(201, (("Content-Type", "text/plain"),), b"reserved")
RETENTION_S = 86_400.0


@define
class NoManifest:
    """A manifest service without a manifest, so that default settings apply."""

    def current(self) -> None:
        return None


@define
class ClaimEntry:
    """The claims of one entry; commits run on a thread, corrections when called."""

    clock: ManualClock
    platform: FailingPlatform
    claims: Claims = field(init=False)
    timer: StepTimer = field(init=False)
    corrections: StepTasks = field(factory=StepTasks)

    def __attrs_post_init__(self) -> None:
        kernel = make_step_kernel(self.clock, self.platform)
        kernel.register(ServiceName.MANIFEST, NoManifest())
        self.timer = kernel.find(ServiceName.TIMER, StepTimer)
        tasks = kernel.find(ServiceName.TASKS, StepTasks)
        self.claims = make_claims(kernel)
        self.claims.start()
        (_, serve, _), correct = tasks.tasks
        self.corrections.tasks.append(correct)
        threading.Thread(target=serve, daemon=True).start()

    def correct(self) -> None:
        """Run the background correction once."""
        self.timer.tick()
        self.corrections.step()


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()


@pytest.fixture
def table() -> MemoryTable:
    return MemoryTable()


@pytest.fixture
def entries(clock, table) -> Iterator[list[ClaimEntry]]:
    made = [ClaimEntry(clock, FailingPlatform(clock, table)) for _ in range(2)]
    yield made
    for entry in made:
        entry.claims.stop()


def call(clock: ManualClock, call_id: str, body: bytes = b"", key: str = "k") -> Call:
    return Call(
        call_id,
        "reservations",
        "POST",
        "/spares",
        body=body,
        deadline_at=clock.now + 5.0,
        idempotency_key=key,
    )


def test_answer_is_replayed_at_another_entry(entries, clock) -> None:
    first, second = entries
    assert first.claims.claim(call(clock, "1")) is None
    first.claims.record_outcome(call(clock, "1"), ANSWER)
    assert second.claims.claim(call(clock, "2")) == ANSWER


def test_key_in_flight_or_with_another_body_is_rejected(entries, clock) -> None:
    first, second = entries
    first.claims.claim(call(clock, "1"))
    with pytest.raises(DuplicateCallError):
        second.claims.claim(call(clock, "2"))
    with pytest.raises(KeyReusedError):
        second.claims.claim(call(clock, "3", b"other"))


def test_large_answer_is_not_replayed(entries, clock) -> None:
    first, second = entries
    first.claims.claim(call(clock, "1"))
    first.claims.record_outcome(call(clock, "1"), Answer(200, (), bytes(100_000)))
    with pytest.raises(DuplicateCallError):
        second.claims.claim(call(clock, "2"))


def test_key_of_a_call_that_did_not_run_is_released(entries, clock) -> None:
    first, second = entries
    first.claims.claim(call(clock, "1"))
    first.claims.record_outcome(call(clock, "1"), None)
    assert second.claims.claim(call(clock, "2")) is None


def test_lost_reply_is_resolved_by_reading_the_row(entries, clock) -> None:
    first, _ = entries
    first.platform.lose_replies = 1
    assert first.claims.claim(call(clock, "1")) is None


def test_platform_outage_leaves_no_claim_behind(entries, clock, table) -> None:
    first, second = entries
    first.platform.fall_after_write = True
    with pytest.raises(ClaimUnavailableError):
        first.claims.claim(call(clock, "1"))
    assert table.row_by_key
    first.correct()
    first.platform.down = False
    first.correct()
    assert not table.row_by_key
    assert second.claims.claim(call(clock, "2")) is None


def test_answer_is_recorded_after_an_outage(entries, clock) -> None:
    first, second = entries
    first.claims.claim(call(clock, "1"))
    first.platform.down = True
    first.claims.record_outcome(call(clock, "1"), ANSWER)
    with pytest.raises(DuplicateCallError):
        second.claims.claim(call(clock, "2"))
    first.correct()
    first.platform.down = False
    first.correct()
    assert second.claims.claim(call(clock, "3")) == ANSWER


@define
class FixedMembership:
    """A membership with fixed live entries."""

    own_id: str
    live: tuple[str, ...]

    def me(self) -> "FixedMembership":
        return self

    @property
    def id(self) -> str:
        return self.own_id

    def live_by_id(self) -> dict[str, None]:
        return dict.fromkeys(self.live)


def _sweep_all(clock: ManualClock, table: MemoryTable, own_id: str) -> None:
    kernel = make_step_kernel(clock, MemoryPlatform(clock, table))
    kernel.register(ServiceName.MEMBERSHIP, FixedMembership(own_id, ("a", "b")))
    make_claim_sweeper(kernel).start()
    for subscription in kernel.find(ServiceName.TIMER, StepTimer).subscriptions:
        subscription.ticks = CLAIM_SHARDS
    kernel.find(ServiceName.TASKS, StepTasks).step()


@pytest.mark.promise(6)
def test_claims_expire_and_are_swept_by_one_entry(entries, clock, table) -> None:
    first, second = entries
    for number in range(100):
        first.claims.claim(call(clock, str(number), key=str(number)))
    clock.advance(RETENTION_S)
    _sweep_all(clock, table, "a")
    assert len(table.row_by_key) == 100
    clock.advance(100.0)
    _sweep_all(clock, table, "b")
    assert len(table.row_by_key) == 100
    _sweep_all(clock, table, "a")
    assert not table.row_by_key
    assert second.claims.claim(call(clock, "new", key="1")) is None


@define
class SlowTable:
    """Blocks transactions until ``may_commit`` is set."""

    table: MemoryTable = field(factory=MemoryTable)
    begun: threading.Event = field(factory=threading.Event)
    may_commit: threading.Event = field(factory=threading.Event)
    sizes: list[int] = field(factory=list)

    def commit(self, writes):
        self.sizes.append(len(writes))
        self.begun.set()
        self.may_commit.wait(10.0)
        return self.table.commit(writes)


@pytest.mark.promise(6)
def test_conflicting_write_does_not_fail_others_in_its_transaction(
    record_property,
) -> None:
    slow = SlowTable()
    slow.table.commit([Write("taken", b"", ABSENT)])
    group = make_group_commit(slow)
    with ThreadPoolExecutor(1) as executor:
        served = executor.submit(group.serve)
        group.put(Write("first", b"", ABSENT))
        slow.begun.wait(10.0)
        keys = [f"key-{number}" for number in range(20)]
        keys[7:7] = ["taken"]
        versions = [group.put(Write(key, b"", ABSENT)) for key in keys]
        again = group.put(Write("key-3", b"again", ABSENT))
        slow.may_commit.set()
        group.close()
        served.result(10.0)
    assert slow.sizes[:2] == [1, 21]
    conflicts = [
        key for key, item in zip(keys, versions, strict=True) if item.exception()
    ]
    assert conflicts == ["taken"]
    assert isinstance(again.exception(), ConflictError)
    record_property("figure", f"{len(slow.sizes)} transactions for 23 writes")
