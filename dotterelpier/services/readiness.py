"""What the evidence about one backend server says."""

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
    """When a server last said that it leaves, and under which boot id."""

    at: float
    boot_id: str
    hold_down_s: float = LEAVING_HOLD_DOWN_S


@define
class _CircuitBreaker:
    """Requests lost one after another, without an answer in between.

    Those that were in flight together count once. From the second one on the server
    gets no new work for a time that doubles, so that a server that fails fast does
    not draw the calls of a service to itself by its free slots.
    """

    consecutive_failures: int = 0
    _failed_at: float = float("-inf")

    def record(self, started_at: float, at: float) -> None:
        """Take in a lost request."""
        if started_at >= self._failed_at:
            self.consecutive_failures += 1
            self._failed_at = at

    def is_open(self, now: float) -> bool:
        """Tell whether the server gets no new work now."""
        if self.consecutive_failures < 2:
            return False
        doublings = min(self.consecutive_failures - 2, 10)
        hold_down_s = min(FAILURE_HOLD_DOWN_S * 2.0**doublings, MAX_FAILURE_HOLD_DOWN_S)
        return now - self._failed_at < hold_down_s


@define
class ServerReadiness:
    """Whether a backend server is known to be there, neither leaving nor refusing.

    Leaving ends with another boot id, or with a report that says otherwise after a
    time that doubles while the server goes on contradicting itself: health and load
    reports lag and mislead. A refused connection ends with a good probe only, as
    connections opened before may go on to answer.
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
        """Whether the server said that it leaves, and not yet otherwise."""
        return self._leaving is not None

    @property
    def refused(self) -> bool:
        """Whether a connection was refused since the last good probe."""
        return self._refused_at > float("-inf")

    def is_ready(self, now: float) -> bool:
        """Tell whether the server is fit for new work."""
        fresh = now - self.last_success_at < MAX_EVIDENCE_AGE_S
        if not fresh or self.leaving or self.refused:
            return False
        return not self._breaker.is_open(now)

    def needs_probe(self, now: float) -> bool:
        """Tell whether evidence is about to be too old.

        A busy server is probed less often, as answers on connections opened before
        do not show that it still accepts new ones.
        """
        if now - self.last_success_at >= IDLE_PROBE_INTERVAL_S:
            return True
        return now - self._last_connect_at >= BUSY_PROBE_INTERVAL_S

    def record(self, observation: Observation) -> None:
        """Take in one piece of evidence."""
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
