"""Readiness of one backend server for new work, from the evidence about it."""

from attrs import define, field

from dotterelpier.model.evidence import (
    ExchangeResult,
    LoadReport,
    Observation,
    Readiness,
)

MAX_EVIDENCE_AGE_S = 2.0
IDLE_PROBE_INTERVAL_S = 1.0
BUSY_PROBE_INTERVAL_S = 2.5
LEAVING_HOLD_DOWN_S = 10.0
MAX_LEAVING_HOLD_DOWN_S = 320.0
FAILURE_HOLD_DOWN_S = 0.5
MAX_FAILURE_HOLD_DOWN_S = 8.0


@define
class _LeavingState:
    """When and under which boot id a server was last reported as leaving.

    Reports to the contrary under the same boot id are ignored for ``hold_down_s`` after
    that.
    """

    at: float
    boot_id: str
    hold_down_s: float = LEAVING_HOLD_DOWN_S


@define
class _CircuitBreaker:
    """Circuit breaker that opens after consecutive lost requests.

    Requests that were in flight together count as one failure. From the second failure
    on, the server gets no new work for a time that doubles with each. Otherwise a
    server that fails fast would attract the calls of its service, because it always
    has free slots. An answer to a call resets the breaker.
    """

    consecutive_failures: int = 0
    _failed_at: float = float("-inf")

    def record(self, started_at: float, at: float) -> None:
        """Record a lost request by its start and end, in seconds."""
        if started_at >= self._failed_at:
            self.consecutive_failures += 1
            self._failed_at = at

    def is_open(self, now: float) -> bool:
        """Return whether the server gets no new work now."""
        if self.consecutive_failures < 2:
            return False
        doublings = min(self.consecutive_failures - 2, 10)
        hold_down_s = min(FAILURE_HOLD_DOWN_S * 2.0**doublings, MAX_FAILURE_HOLD_DOWN_S)
        return now - self._failed_at < hold_down_s


@define
class ServerReadiness:
    """Decides whether one backend server is ready for new work.

    It is ready if it answered recently, neither leaves nor refuses connections, and its
    circuit breaker is closed. All times are on the monotonic clock, in seconds.

    The leaving state ends with a later report under another boot id, or with one to the
    contrary once the hold-down time is over. That time doubles each time the server
    leaves again under the same boot id, because health and load reports lag and may
    contradict each other. Only a successful probe ends the refused state, because
    connections opened before the refusal may still answer.
    """

    last_success_at: float = float("-inf")
    _last_connect_at: float = float("-inf")
    _refused_at: float = float("-inf")
    _boot_id: str = ""
    _leaving: _LeavingState | None = None
    _previous_leaving: _LeavingState | None = None
    _breaker: _CircuitBreaker = field(factory=_CircuitBreaker)

    @property
    def leaving(self) -> bool:
        """Whether the server was reported as leaving and this has not ended."""
        return self._leaving is not None

    @property
    def refused(self) -> bool:
        """Whether a connection was refused since the last successful probe."""
        return self._refused_at > float("-inf")

    def is_ready(self, now: float) -> bool:
        """Return whether the server may get new work."""
        fresh = now - self.last_success_at < MAX_EVIDENCE_AGE_S
        if not fresh or self.leaving or self.refused:
            return False
        return not self._breaker.is_open(now)

    def needs_probe(self, now: float) -> bool:
        """Return whether a probe is due before the evidence gets too old.

        A server that answers calls is probed too, though less often, because answers
        on open connections do not show that it still accepts new ones.
        """
        if now - self.last_success_at >= IDLE_PROBE_INTERVAL_S:
            return True
        return now - self._last_connect_at >= BUSY_PROBE_INTERVAL_S

    def record(self, observation: Observation) -> None:
        """Record the result and the load report of an exchange."""
        started_at = observation.at - observation.latency_s
        if observation.result is ExchangeResult.CONNECT_FAILED:
            self._refused_at = observation.at
        if observation.report is not None:
            self._record_report(observation.report, started_at, observation.at)
        if observation.result is ExchangeResult.RESET and not observation.from_probe:
            self._breaker.record(started_at, observation.at)
        if observation.result is not ExchangeResult.ANSWERED:
            return
        if not observation.from_probe:
            self._breaker = _CircuitBreaker()
        if observation.from_probe and started_at >= self._refused_at:
            self._refused_at = float("-inf")
            self._last_connect_at = started_at
        self.last_success_at = max(self.last_success_at, observation.at)

    def _record_report(self, report: LoadReport, started_at: float, at: float) -> None:
        self._boot_id = report.boot_id or self._boot_id
        if report.readiness is Readiness.LEAVING:
            self._record_leaving(at)
        elif self._leaving is not None and self._contradicts(
            self._leaving, report, started_at
        ):
            self._leaving, self._previous_leaving = None, self._leaving

    def _record_leaving(self, at: float) -> None:
        if self._leaving is not None:
            self._leaving.at = at
            return
        self._leaving = _LeavingState(at, self._boot_id)
        previous = self._previous_leaving
        if previous is not None and previous.boot_id == self._boot_id:
            self._leaving.hold_down_s = min(
                2 * previous.hold_down_s, MAX_LEAVING_HOLD_DOWN_S
            )

    def _contradicts(
        self, state: _LeavingState, report: LoadReport, started_at: float
    ) -> bool:
        if state.boot_id and report.boot_id and state.boot_id != report.boot_id:
            return started_at > state.at
        return started_at >= state.at + state.hold_down_s
