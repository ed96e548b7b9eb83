"""What callers and backend servers saw, and the promises checked on it."""

import threading
import time
from collections import defaultdict

from attrs import define, field, frozen

# Statuses that promise that the request has not run and never will.
PROMISE_STATUSES = frozenset({408, 421, 429, 503})
# What the routes of the soak allow.
MAX_ATTEMPTS = 2
# A backend server that leaves gets no new work after this time, a zone that is taken
# out after this one, and a configuration is in force after this one; in seconds.
DRAIN_S = 2.0
EVACUATION_S = 5.0
CONFIGURATION_S = 2.0
# The bounds in time hold where nothing harmed the path of knowledge for so long.
FAULT_FREE_LEAD_S = 3.0


@frozen
class SentRequest:
    """A request as its caller sent it, and how it ended; status 0 without answer."""

    id: str
    idempotent: bool
    sent_at: float
    status: int = 0
    body: bytes = field(default=b"", repr=False)
    signed: bool = False


@frozen
class Execution:
    """A request as a backend server ran it."""

    id: str
    instance: str
    zone: str
    at: float


@frozen
class BrokenPromise:
    """A promise that was broken."""

    promise: str
    at: float
    detail: str


@define
class Record:
    """All that was seen; times are seconds since the soak began."""

    began_at: float = field(factory=time.monotonic)
    sent: list[SentRequest] = field(factory=list)
    runs: list[Execution] = field(factory=list)
    # When the store took that an instance leaves, and that a zone is out or back.
    drain_began_at_by_instance: dict[str, float] = field(factory=dict)
    evacuations: list[tuple[str, float, float]] = field(factory=list)
    fault_intervals: list[tuple[float, float]] = field(factory=list)
    broken: list[BrokenPromise] = field(factory=list)
    _lock: threading.Lock = field(factory=threading.Lock)

    def now(self) -> float:
        """Return the time since the soak began, in seconds."""
        return time.monotonic() - self.began_at

    def add_request(self, sent: SentRequest) -> None:
        """Take in how a request ended for its caller."""
        with self._lock:
            self.sent.append(sent)

    def add_execution(self, run: Execution) -> None:
        """Take in that a backend server runs a request."""
        with self._lock:
            self.runs.append(run)

    def add_broken_promise(self, promise: str, detail: str) -> None:
        """Take in a promise that was seen broken."""
        with self._lock:
            self.broken.append(BrokenPromise(promise, self.now(), detail))

    def is_fault_free(self, begin: float, end: float) -> bool:
        """Tell whether nothing harmed the spread of knowledge then and just before."""
        return not any(
            fault_began_at <= end and fault_ended_at >= begin - FAULT_FREE_LEAD_S
            for fault_began_at, fault_ended_at in self.fault_intervals
        )

    def check(self, *, timed: bool) -> tuple[BrokenPromise, ...]:
        """Return all promises that were broken; those in time only if ``timed``."""
        runs_by_id: dict[str, list[Execution]] = defaultdict(list)
        for run in self.runs:
            runs_by_id[run.id].append(run)
        found = list(self.broken)
        sent_ids = {item.id for item in self.sent}
        for item in self.sent:
            found.extend(_check_request(item, runs_by_id[item.id]))
        for run in self.runs:
            if run.id not in sent_ids:
                found.append(BrokenPromise("run without request", run.at, run.id))
            if timed:
                found.extend(self._check_time_bounds(run))
        return tuple(found)

    def _check_time_bounds(self, run: Execution) -> list[BrokenPromise]:
        found = []
        drain_began_at = self.drain_began_at_by_instance.get(run.instance, float("inf"))
        if run.at > drain_began_at + DRAIN_S and self.is_fault_free(
            drain_began_at, run.at
        ):
            late_s = run.at - drain_began_at
            detail = (
                f"{run.id} at {run.instance}, {late_s:.2f} s after it began to leave"
            )
            found.append(BrokenPromise("drain", run.at, detail))
        for zone, begin, end in self.evacuations:
            late = run.zone == zone and begin + EVACUATION_S < run.at < end
            if late and self.is_fault_free(begin, run.at):
                detail = f"{run.id} at {run.instance} in {zone}"
                found.append(BrokenPromise("evacuation", run.at, detail))
        return found


def _check_request(item: SentRequest, runs: list[Execution]) -> list[BrokenPromise]:
    found = []
    if not item.idempotent and len(runs) > 1:
        where = ", ".join(run.instance for run in runs)
        found.append(
            BrokenPromise("at most once", item.sent_at, f"{item.id} at {where}")
        )
    if len(runs) > MAX_ATTEMPTS:
        found.append(
            BrokenPromise("attempts", item.sent_at, f"{item.id}: {len(runs)} runs")
        )
    if item.status in PROMISE_STATUSES and not item.idempotent and runs:
        detail = f"{item.id} was answered {item.status} and ran at {runs[0].instance}"
        found.append(BrokenPromise("truth of refusals", item.sent_at, detail))
    if item.status == 200 and (item.body != answer_body(item.id) or not item.signed):
        detail = f"{item.id} got {item.body[:80]!r}, signed: {item.signed}"
        found.append(BrokenPromise("own whole answer", item.sent_at, detail))
    if item.status == 200 and not runs:
        found.append(BrokenPromise("answer without run", item.sent_at, item.id))
    return found


def answer_body(request_id: str) -> bytes:
    """Return the whole answer to a request."""
    return f"answer to {request_id} ".encode() * 40
