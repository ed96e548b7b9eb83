"""What callers and backend servers observed, and the promises checked against it."""

import threading
import time
from collections import defaultdict

from attrs import define, field, frozen

from soak.accounts import (
    CAPPED,
    KeyHistory,
    UsedKey,
    exceeded_window,
    times_by_account,
)

# With these statuses an entry promises that the request hasn't run and never will.
PROMISE_STATUSES = frozenset({408, 421, 429, 503})
# The most attempts for a request that the routes of the soak allow.
MAX_ATTEMPTS = 2
# Time bounds: a draining backend server gets no new work after DRAIN_S, an evacuated
# zone gets none after EVACUATION_S, and every entry has applied a configuration after
# CONFIGURATION_S.
DRAIN_S = 2.0
EVACUATION_S = 5.0
CONFIGURATION_S = 2.0
# The time bounds are checked only if no fault was active for this long before, as
# faults delay the propagation of state.
FAULT_FREE_LEAD_S = 3.0


@frozen
class SentRequest:
    """A request as its caller sent it, and its response; status 0 without one."""

    id: str
    idempotent: bool
    sent_at: float
    status: int = 0
    body: bytes = field(default=b"", repr=False)
    signed: bool = False
    key: UsedKey | None = None


@frozen
class Execution:
    """One run of a request at a backend server, with the account that it was told."""

    id: str
    instance: str
    zone: str
    at: float
    account: str = ""


@frozen
class BrokenPromise:
    """One violation of a promise.

    Attributes
    ----------
    promise : str
        Name of the promise.
    at : float
        When, in seconds since the soak began.
    detail : str
        What was observed, and where.
    """

    promise: str
    at: float
    detail: str


@define
class Record:
    """All observations of a run; times are in seconds since the soak began.

    The threads of callers, backend servers and faults add to it.
    """

    began_at: float = field(factory=time.monotonic)
    sent: list[SentRequest] = field(factory=list)
    runs: list[Execution] = field(factory=list)
    # When the store accepted that an instance drains, and for each evacuation the zone,
    # when it was evacuated and when it was restored.
    drain_began_at_by_instance: dict[str, float] = field(factory=dict)
    evacuations: list[tuple[str, float, float]] = field(factory=list)
    fault_intervals: list[tuple[float, float]] = field(factory=list)
    broken: list[BrokenPromise] = field(factory=list)
    _lock: threading.Lock = field(factory=threading.Lock)

    def now(self) -> float:
        """Return the time since the soak began, in seconds."""
        return time.monotonic() - self.began_at

    def add_request(self, sent: SentRequest) -> None:
        """Add a request whose outcome its caller knows."""
        with self._lock:
            self.sent.append(sent)

    def add_execution(self, run: Execution) -> None:
        """Add the start of a run at a backend server."""
        with self._lock:
            self.runs.append(run)

    def add_broken_promise(self, promise: str, detail: str) -> None:
        """Add a violation that happened just now."""
        with self._lock:
            self.broken.append(BrokenPromise(promise, self.now(), detail))

    def is_fault_free(self, begin: float, end: float) -> bool:
        """Return whether no fault was active in an interval or shortly before it.

        "Shortly" means ``FAULT_FREE_LEAD_S``. Only faults that have ended count.
        """
        return not any(
            fault_began_at <= end and fault_ended_at >= begin - FAULT_FREE_LEAD_S
            for fault_began_at, fault_ended_at in self.fault_intervals
        )

    def check(
        self, *, timed: bool, keys: KeyHistory | None = None
    ) -> tuple[BrokenPromise, ...]:
        """Return all broken promises; those with a time bound only if ``timed``.

        With ``keys`` the promises on accounts are checked as well.
        """
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
        if keys is not None:
            found.extend(self._check_accounts(runs_by_id, keys, timed=timed))
        return tuple(found)

    def _check_accounts(
        self, runs_by_id: dict[str, list[Execution]], keys: KeyHistory, *, timed: bool
    ) -> list[BrokenPromise]:
        found = []
        for item in self.sent:
            if item.key is None:
                continue
            withdrawn_at = keys.withdrawn_at(item.key)
            for run in runs_by_id[item.id]:
                detail = f"{item.id} ran as {run.account!r} with key {item.key.text}"
                if run.account != item.key.account:
                    found.append(BrokenPromise("account of a key", run.at, detail))
                late = run.at > withdrawn_at + CONFIGURATION_S
                if timed and late and self.is_fault_free(withdrawn_at, run.at):
                    found.append(BrokenPromise("withdrawn key", run.at, detail))
        window = exceeded_window(times_by_account(self.runs).get(CAPPED, ()))
        if window is not None:
            found.append(BrokenPromise("usage cap", window[0], f"{window[1]} runs"))
        return found

    def _check_time_bounds(self, run: Execution) -> list[BrokenPromise]:
        found = []
        drain_began_at = self.drain_began_at_by_instance.get(run.instance, float("inf"))
        if run.at > drain_began_at + DRAIN_S and self.is_fault_free(
            drain_began_at, run.at
        ):
            late_s = run.at - drain_began_at
            detail = f"{run.id} at {run.instance}, {late_s:.2f} s after its drain began"
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
        found.append(BrokenPromise("refused request not run", item.sent_at, detail))
    if item.status == 200 and (item.body != answer_body(item.id) or not item.signed):
        detail = f"{item.id} got {item.body[:80]!r}, signed: {item.signed}"
        found.append(BrokenPromise("response integrity", item.sent_at, detail))
    if item.status == 200 and not runs:
        found.append(BrokenPromise("answer without run", item.sent_at, item.id))
    return found


def answer_body(request_id: str) -> bytes:
    """Return the complete response body that the stand-ins give to a request."""
    return f"answer to {request_id} ".encode() * 40
