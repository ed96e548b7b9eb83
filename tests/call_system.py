"""Entries with the real calls and claims; every service that these use is a fake.

A list of ``ScriptedResult`` sets the results of the attempts in order; attempts beyond
it are answered. The journal records every run, as the backend servers would.
"""

import contextlib
import itertools
import threading
from collections.abc import Callable, Iterator
from concurrent.futures import Future
from enum import Enum

from attrs import define, evolve, field, frozen

from dotterelpier.errors import (
    AnswerLostError,
    AnswerTimeoutError,
    CallError,
    ConflictError,
    ConnectFailedError,
    DotterelpierError,
    OverloadedError,
    PlatformUnavailableError,
    RefusedError,
    TaskPoolFullError,
)
from dotterelpier.model.admission import Slot
from dotterelpier.model.call import Answer, Attempt, Call, Outcome
from dotterelpier.model.manifest import (
    BackendServer,
    Manifest,
    NonIdempotentRule,
    Revision,
    Service,
    Zone,
)
from dotterelpier.model.platform import Write
from dotterelpier.protocols import Calls, Claims, ServiceName
from dotterelpier.services.calls import make_calls
from dotterelpier.services.claims import make_claims
from dotterelpier.wire.problem import problem_outcome
from tests.fakes import (
    ManualClock,
    MemoryPlatform,
    MemoryTable,
    StepTasks,
    StepTimer,
    make_step_kernel,
)

SERVICE = Service(
    "reservations", non_idempotent=(NonIdempotentRule("POST"),), retry_share=1.0
)
ZONE = Zone("tt-north-1", "tt-north")
TIMEOUT_S = 5.0


class ScriptedResult(Enum):
    """Result of one attempt, or of one relay to another entry, set by a test."""

    ANSWERED = "answered"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    NO_THREAD = "no thread"
    LOST_BEFORE = "lost before it ran"
    LOST_AFTER = "lost after it ran"
    LATE = "answered after the deadline"
    ENTRY_DIES = "entry dies while it runs"


class EntryDiedError(BaseException):
    """The entry crashed and lost its memory."""


@frozen
class Run:
    """One run of a request at a backend server."""

    request: str
    key: str
    backend_id: str


@define
class FailingPlatform(MemoryPlatform):
    """A platform that can go down between a write and its reply, or delay a write."""

    fall_after_write: bool = False
    delay_writes: int = 0
    late_writes: list[tuple[Write, ...]] = field(factory=list)

    def land_late_writes(self) -> None:
        """Apply the delayed writes whose preconditions still hold."""
        while self.late_writes:
            with contextlib.suppress(ConflictError):
                self.table.commit(self.late_writes.pop())

    def commit(self, writes):
        if self.delay_writes > 0:
            self.delay_writes -= 1
            self.late_writes.append(tuple(writes))
            raise PlatformUnavailableError("no reply yet", step="platform")
        versions = super().commit(writes)
        if self.fall_after_write:
            self.fall_after_write, self.down = False, True
            raise PlatformUnavailableError("reply lost", step="platform")
        return versions


@define(eq=False)
class FakeExchange:
    """An exchange that has ended."""

    answer: "Future[Answer]" = field(factory=Future)
    ended: "Future[None]" = field(factory=Future)

    def cancel(self) -> None:
        """Do nothing; nothing is in flight."""


def _exchange(outcome: Answer | CallError) -> FakeExchange:
    exchange = FakeExchange()
    exchange.ended.set_result(None)
    if isinstance(outcome, Answer):
        exchange.answer.set_result(outcome)
    else:
        exchange.answer.set_exception(outcome)
    return exchange


@define(eq=False)
class CallEntry:
    """One entry, and the fake of every service that its calls use."""

    id: str
    system: "CallSystem"
    platform: FailingPlatform
    server: BackendServer
    taken: set[int] = field(factory=set)
    free_slots: int = 4
    is_home: bool = True
    waiting_calls: int = 0
    timer: StepTimer = field(init=False)
    claims: Claims = field(init=False)
    calls: Calls = field(init=False)
    corrections: StepTasks = field(init=False)
    _slot_ids: "itertools.count[int]" = field(factory=lambda: itertools.count(1))

    def __attrs_post_init__(self) -> None:
        kernel = make_step_kernel(self.system.clock, self.platform)
        for name in (
            ServiceName.MANIFEST,
            ServiceName.MEMBERSHIP,
            ServiceName.HOMES,
            ServiceName.EVIDENCE,
            ServiceName.ADMISSION,
            ServiceName.ROUTING,
            ServiceName.BACKENDS,
            ServiceName.RELAYS,
            ServiceName.METRICS,
        ):
            kernel.register(name, self)
        self.timer = kernel.find(ServiceName.TIMER, StepTimer)
        self.claims = make_claims(kernel)
        kernel.register(ServiceName.CLAIMS, self.claims)
        self.calls = make_calls(kernel)
        self.claims.start()
        (_, serve, _), correct = kernel.find(ServiceName.TASKS, StepTasks).tasks
        self.corrections = StepTasks([correct])
        threading.Thread(target=serve, daemon=True).start()

    def correct(self) -> None:
        """Run the background correction of claims once."""
        self.timer.tick()
        self.corrections.step()

    # Manifest, membership and homes.

    def current(self) -> Revision:
        return self.system.revision

    def may_take_work(self) -> bool:
        return True

    def live_by_id(self) -> dict[str, "CallEntry"]:
        return self.system.entry_by_id

    def send_deadline(self, backend_id: str, *, cold: bool) -> float | None:
        return float("inf") if self.is_home else None

    # Evidence and metrics.

    def refresh(self, service: str) -> None:
        """Do nothing."""

    def observe(self, *arguments: object, **labels: str) -> None:
        """Do nothing."""

    def count(self, *arguments: object, **labels: str) -> None:
        """Do nothing."""

    # Admission.

    def try_acquire(
        self, service: str, excluded: frozenset[str], deadline_at: float
    ) -> Slot | None:
        if len(self.taken) >= self.free_slots or self.server.id in excluded:
            return None
        slot = Slot(next(self._slot_ids), self.server)
        self.taken.add(slot.id)
        return slot

    def wait(
        self,
        service: str,
        deadline_at: float,
        excluded: frozenset[str] = frozenset(),
    ) -> "Future[Slot]":
        slot = self.try_acquire(service, excluded, deadline_at)
        if slot is None:
            raise OverloadedError("no slot", step="admission.wait")
        future: Future[Slot] = Future()
        future.set_result(slot)
        return future

    def release(self, slot: Slot) -> None:
        self.taken.remove(slot.id)

    def subscribe_cancellations(
        self, listener: Callable[[tuple[int, ...]], None]
    ) -> None:
        """Do nothing."""

    # Routing, relays and backend servers.

    def choose_peer(self, service: str, excluded: frozenset[str]) -> "CallEntry | None":
        others = self.system.entry_by_id.items()
        return next(
            (entry for key, entry in others if key not in excluded | {self.id}), None
        )

    def choose_busy_peer(
        self, service: str, excluded: frozenset[str]
    ) -> "CallEntry | None":
        return None

    def update_load(self, *arguments: object) -> None:
        """Do nothing."""

    def note_refused(self, member_id: str, service: str) -> None:
        """Do nothing."""

    def note_waiting(self, member_id: str, service: str, waiting: int) -> None:
        """Do nothing."""

    def waiting(self, service: str) -> int:
        return self.waiting_calls

    def relay(self, member: "CallEntry", attempt: Attempt) -> FakeExchange:
        result = self.system.next_result()
        return _exchange(self._relay(member, attempt, result))

    def _relay(
        self, member: "CallEntry", attempt: Attempt, result: ScriptedResult
    ) -> Answer | CallError:
        if result is ScriptedResult.NO_THREAD:
            raise TaskPoolFullError("full", step="tasks")
        if result is ScriptedResult.UNREACHABLE:
            return ConnectFailedError("refused", step="relay")
        if result is ScriptedResult.LOST_BEFORE:
            return AnswerLostError("lost", step="relay")
        relayed = evolve(attempt.call, id=attempt.id, relayed_by=self.id)
        try:
            answer = member.calls.serve(relayed)
        except CallError as error:
            if problem_outcome(error) is Outcome.NOT_RUN:
                answer = RefusedError(error.message, step="relay")
            else:
                answer = AnswerLostError(error.message, step="relay")
        if result in (ScriptedResult.LOST_AFTER, ScriptedResult.LATE):
            return AnswerLostError("lost", step="relay")
        return answer

    def send(self, server: BackendServer, attempt: Attempt) -> FakeExchange:
        if self.system.send_hook is not None:
            return self.system.send_hook(server, attempt)
        result = self.system.next_result()
        if result is ScriptedResult.NO_THREAD:
            raise TaskPoolFullError("full", step="tasks")
        return _exchange(self._perform(server, attempt.call, result))

    def _perform(
        self, server: BackendServer, call: Call, result: ScriptedResult
    ) -> Answer | CallError:
        if result is ScriptedResult.UNREACHABLE:
            return ConnectFailedError("refused", step="backend")
        if result is ScriptedResult.REFUSED:
            return RefusedError("shed", step="backend")
        if result is ScriptedResult.LOST_BEFORE:
            return AnswerLostError("reset", step="backend")
        body = self.system.run(server, call)
        if result is ScriptedResult.LOST_AFTER:
            return AnswerLostError("reset", step="backend")
        if result is ScriptedResult.LATE:
            self.system.clock.advance(TIMEOUT_S)
            return AnswerTimeoutError("late", step="backend")
        if result is ScriptedResult.ENTRY_DIES:
            raise EntryDiedError
        return Answer(200, (), body)


@frozen
class CallReply:
    """What a caller received; the outcome is None if the entry crashed."""

    request: str
    outcome: Outcome | None
    body: bytes = b""


@define(eq=False)
class CallSystem:
    """Three entries that share the platform's table and the journal."""

    clock: ManualClock = field(factory=ManualClock)
    table: MemoryTable = field(factory=MemoryTable)
    journal: list[Run] = field(factory=list)
    results: Iterator[ScriptedResult] = field(factory=lambda: iter(()))
    during_run: Callable[[], None] | None = None
    send_hook: Callable[[BackendServer, Attempt], FakeExchange] | None = None
    entry_by_id: dict[str, CallEntry] = field(factory=dict)
    revision: Revision = field(init=False)
    _requests: "itertools.count[int]" = field(factory=lambda: itertools.count(1))

    def __attrs_post_init__(self) -> None:
        manifest = Manifest("caroni", (ZONE,), (SERVICE,), ())
        self.revision = Revision(1, "", "", "", manifest)
        for number in range(1, 4):
            self.start_entry(f"entry-{number}")

    def start_entry(self, entry_id: str) -> None:
        """Start an entry, or restart it with its memory lost."""
        address = f"127.0.0.1:{len(entry_id)}"
        server = BackendServer(f"home-{entry_id}", SERVICE.name, address, ZONE.name)
        platform = FailingPlatform(self.clock, self.table)
        self.entry_by_id[entry_id] = CallEntry(entry_id, self, platform, server)

    def next_result(self) -> ScriptedResult:
        """Return the scripted result of the next attempt."""
        return next(self.results, ScriptedResult.ANSWERED)

    def run(self, server: BackendServer, call: Call) -> bytes:
        """Run a request and return the body of its answer."""
        request = dict(call.headers)["X-Request"]
        self.journal.append(Run(request, call.idempotency_key, server.id))
        during_run, self.during_run = self.during_run, None
        if during_run is not None:
            during_run()
        return f"{request} at {server.id}".encode()

    def call(
        self,
        entry_id: str,
        results: tuple[ScriptedResult, ...] = (),
        *,
        method: str = "POST",
        key: str = "",
        body: bytes = b"",
    ) -> CallReply:
        """Make one call and return what its caller received."""
        self.results = iter(results)
        request = f"request-{next(self._requests)}"
        call = Call(
            request,
            SERVICE.name,
            method,
            "/spares",
            (("X-Request", request),),
            body,
            self.clock.now + TIMEOUT_S,
            key,
        )
        try:
            answer = self.entry_by_id[entry_id].calls.serve(call)
        except DotterelpierError as error:
            return CallReply(request, problem_outcome(error))
        except EntryDiedError:
            self.start_entry(entry_id)
            return CallReply(request, None)
        return CallReply(request, answer.outcome, answer.body)

    def runs_of(self, request: str) -> int:
        """Return the number of runs of a request."""
        return sum(run.request == request for run in self.journal)

    def runs_with(self, key: str) -> list[Run]:
        """Return the runs of all requests with an idempotency key."""
        return [run for run in self.journal if run.key == key]

    def stop(self) -> None:
        """End the tasks of the claims of all entries."""
        for entry in self.entry_by_id.values():
            entry.claims.stop()
