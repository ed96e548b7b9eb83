"""What the evidence about one backend server says."""

from attrs import define, field

from dotterelpier.model.evidence import (
    ExchangeResult,
    LoadReport,
    Observation,
    Readiness,
)

MAX_AGE_S = 2.0
PROBE_AGE_S = 1.0
CONNECTION_AGE_S = 2.5
LEAVING_HOLD_S = 10.0
MAX_LEAVING_HOLD_S = 320.0
FAILURE_HOLD_S = 0.5
MAX_FAILURE_HOLD_S = 8.0


@define
class _LeavingSign:
    """When a server last said that it leaves, and under which boot id."""

    at: float
    boot_id: str
    hold_s: float = LEAVING_HOLD_S


@define
class _Failures:
    """Requests lost one after another, without an answer in between.

    Those that were in flight together count once. From the second one on the server
    gets no new work for a time that doubles, so that a server that fails fast does
    not draw the calls of a service to itself by its free slots.
    """

    count: int = 0
    _failed_at: float = float("-inf")

    def learn(self, started_at: float, at: float) -> None:
        """Take in a lost request."""
        if started_at >= self._failed_at:
            self.count += 1
            self._failed_at = at

    def hold(self, now: float) -> bool:
        """Tell whether the server gets no new work now."""
        if self.count < 2:
            return False
        doublings = min(self.count - 2, 10)
        hold_s = min(FAILURE_HOLD_S * 2.0**doublings, MAX_FAILURE_HOLD_S)
        return now - self._failed_at < hold_s


@define
class ServerReadiness:
    """Whether a backend server is known to be there, neither leaving nor refusing.

    Leaving ends with another boot id, or with a report that says otherwise after a
    time that doubles while the server goes on contradicting itself: health and load
    reports lag and mislead. A refused connection ends with a good probe only, as
    connections opened before may go on to answer.
    """

    good_at: float = float("-inf")
    _connected_at: float = float("-inf")
    _refused_at: float = float("-inf")
    _boot_id: str = ""
    _leaving: _LeavingSign | None = None
    _ended_leaving: _LeavingSign | None = None
    _failures: _Failures = field(factory=_Failures)

    @property
    def leaving(self) -> bool:
        """Whether the server said that it leaves, and not yet otherwise."""
        return self._leaving is not None

    @property
    def refused(self) -> bool:
        """Whether a connection was refused since the last good probe."""
        return self._refused_at > float("-inf")

    def is_fit(self, now: float) -> bool:
        """Tell whether the server is fit for new work."""
        fresh = now - self.good_at < MAX_AGE_S
        if not fresh or self.leaving or self.refused:
            return False
        return not self._failures.hold(now)

    def needs_probe(self, now: float) -> bool:
        """Tell whether evidence is about to be too old.

        A busy server is probed less often, as answers on connections opened before
        do not show that it still accepts new ones.
        """
        if now - self.good_at >= PROBE_AGE_S:
            return True
        return now - self._connected_at >= CONNECTION_AGE_S

    def learn(self, observation: Observation) -> None:
        """Take in one piece of evidence."""
        started_at = observation.at - observation.latency_s
        if observation.result is ExchangeResult.CONNECT_FAILED:
            self._refused_at = observation.at
        if observation.report is not None:
            self._learn_report(observation.report, started_at, observation.at)
        if observation.result is ExchangeResult.RESET and not observation.from_probe:
            self._failures.learn(started_at, observation.at)
        if observation.result is not ExchangeResult.ANSWERED:
            return
        if not observation.from_probe:
            self._failures = _Failures()
        if observation.from_probe and started_at >= self._refused_at:
            self._refused_at = float("-inf")
            self._connected_at = started_at
        self.good_at = max(self.good_at, observation.at)

    def _learn_report(self, report: LoadReport, started_at: float, at: float) -> None:
        self._boot_id = report.boot_id or self._boot_id
        if report.readiness is Readiness.LEAVING:
            self._begin_leaving(at)
        elif self._leaving is not None and self._speaks_against(
            self._leaving, report, started_at
        ):
            self._leaving, self._ended_leaving = None, self._leaving

    def _begin_leaving(self, at: float) -> None:
        if self._leaving is not None:
            self._leaving.at = at
            return
        self._leaving = _LeavingSign(at, self._boot_id)
        earlier = self._ended_leaving
        if earlier is not None and earlier.boot_id == self._boot_id:
            self._leaving.hold_s = min(2 * earlier.hold_s, MAX_LEAVING_HOLD_S)

    def _speaks_against(
        self, sign: _LeavingSign, report: LoadReport, started_at: float
    ) -> bool:
        if sign.boot_id and report.boot_id and sign.boot_id != report.boot_id:
            return started_at > sign.at
        return started_at >= sign.at + sign.hold_s
