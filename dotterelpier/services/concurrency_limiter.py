"""How many requests one backend server may have in flight."""

from attrs import define, field

from dotterelpier.model.evidence import (
    ExchangeResult,
    LoadReport,
    Observation,
    Readiness,
)
from dotterelpier.model.manifest import BackendServer
from dotterelpier.model.membership import HandoverState, HomeGrant
from dotterelpier.services.latency import LatencyBaseline

GOOD_ANSWERS_PER_SLOT = 8
IDLE_UNTIL_COLD_S = 300.0
BOOT_TOLERANCE_S = 2.0
MAX_REQUEST_S = 3600.0

COLD_RESULTS = frozenset(
    {ExchangeResult.SHED, ExchangeResult.RESET, ExchangeResult.CONNECT_FAILED}
)


@define(eq=False)
class ConcurrencyLimiter:
    """Requests in flight at one backend server, and how many it bears.

    A gate keeps its counts while this entry is not the home, as requests sent
    earlier may still run.
    """

    server: BackendServer
    limit: int
    last_used_at: float
    active: bool = True
    in_flight_elsewhere: int = 0
    probing: bool = False
    deadline_by_slot_id: dict[int, float] = field(factory=dict)
    baseline: LatencyBaseline = field(factory=LatencyBaseline)
    _granted_limit: int = 0
    _boot_id: str = ""
    _booted_at: float | None = None
    _good_answers: int = 0
    _limit_set_at: float = float("-inf")
    _last_full_at: float = float("-inf")

    @property
    def in_flight(self) -> int:
        """Requests in flight, those of the home before included."""
        own = len(self.deadline_by_slot_id)
        return own + self.in_flight_elsewhere + self.probing

    @property
    def free(self) -> int:
        """Requests that may be sent now."""
        return max(0, self.limit - self.in_flight) if self.active else 0

    @property
    def free_for_calls(self) -> int:
        """Requests that may be sent once a probe under way has ended."""
        return max(0, self.limit - self.in_flight + self.probing) if self.active else 0

    @property
    def cold(self) -> bool:
        """Whether the server is not yet known to bear all its slots."""
        return self.limit < self.server.slots

    def apply_grant(self, grant: HomeGrant, now: float) -> None:
        """Become the home, or take in the progress of a handover."""
        self.in_flight_elsewhere = grant.in_flight_elsewhere
        if not self.active:
            self.active = True
            self.last_used_at = now
            limit = min(grant.limit, self.server.slots)
            self._set_limit(max(limit, self.server.cold_slots), now)
        elif 0 < grant.limit < self._granted_limit:
            self.turn_cold(now)
        self._granted_limit = grant.limit

    def add_request(self, slot_id: int, deadline_at: float, now: float) -> None:
        """Count a request that may be sent from now on."""
        self.deadline_by_slot_id[slot_id] = deadline_at
        self.last_used_at = now
        if self.in_flight >= self.limit:
            self._last_full_at = now

    def remove_request(self, slot_id: int, now: float) -> None:
        """Count a request no longer."""
        if self.in_flight >= self.limit:
            self._last_full_at = now
        self.deadline_by_slot_id.pop(slot_id, None)
        self.last_used_at = now

    def turn_cold_if_idle(self, now: float) -> None:
        """Turn cold where the server was idle too long to still be warm."""
        if not self.cold and now - self.last_used_at > IDLE_UNTIL_COLD_S:
            self.turn_cold(now)

    def turn_cold(self, now: float) -> tuple[int, ...]:
        """Admit no more than the cold allowance from now on.

        Returns
        -------
        tuple of int
            Slots in excess of the allowance, the newest first; empty if the
            allowance was in force already.
        """
        was_above = self.limit > self.server.cold_slots
        self._set_limit(self.server.cold_slots, now)
        if not was_above:
            return ()
        excess = max(0, self.in_flight - self.server.cold_slots)
        return tuple(sorted(self.deadline_by_slot_id, reverse=True)[:excess])

    def adjust_limit(self, observation: Observation, is_slow: bool) -> tuple[int, ...]:
        """Adapt the limit to how an exchange ended; return slots in excess."""
        now = observation.at
        report = observation.report
        rebooted = report is not None and self._detect_reboot(report, now)
        readiness = None if report is None else report.readiness
        if readiness is Readiness.LEAVING:
            # What is in flight may end there; the server comes back cold.
            self.turn_cold(now)
            return ()
        failed = observation.result in COLD_RESULTS
        if rebooted or failed or is_slow or readiness is Readiness.COLD:
            return self.turn_cold(now)
        if observation.result is ExchangeResult.ANSWERED:
            self._count_good_answer(observation)
        return ()

    def set_server(self, server: BackendServer, now: float) -> None:
        """Take in a changed declaration."""
        previous, self.server = self.server, server
        if server.address != previous.address:
            self._boot_id, self._booted_at = "", None
            self.turn_cold(now)
        elif self.limit <= previous.cold_slots:
            self._set_limit(server.cold_slots, now)
        elif self.limit > server.slots:
            self._set_limit(server.slots, now)

    def handover_state(self, now: float) -> HandoverState:
        """Return what the next home has to know."""
        deadlines = self.deadline_by_slot_id.values()
        longest_s = min(max(deadlines, default=now) - now, MAX_REQUEST_S)
        return HandoverState(self.limit, len(deadlines), max(0.0, longest_s))

    def _set_limit(self, limit: int, now: float) -> None:
        self.limit = limit
        self._limit_set_at = now
        self._good_answers = 0

    def _count_good_answer(self, observation: Observation) -> None:
        started_at = observation.at - observation.latency_s
        sent_before = started_at < self._limit_set_at
        was_full = self._last_full_at >= started_at or self.in_flight >= self.limit
        if not self.cold or observation.from_probe or sent_before or not was_full:
            return
        self._good_answers += 1
        if self._good_answers >= GOOD_ANSWERS_PER_SLOT * self.limit:
            self._set_limit(min(self.server.slots, 2 * self.limit), observation.at)

    def _detect_reboot(self, report: LoadReport, now: float) -> bool:
        new_id = bool(report.boot_id) and self._boot_id not in ("", report.boot_id)
        rebooted = self._boot_time_advanced(report, now) or new_id
        self._boot_id = report.boot_id or self._boot_id
        return rebooted

    def _boot_time_advanced(self, report: LoadReport, now: float) -> bool:
        if report.uptime_s is None:
            return False
        previous, self._booted_at = self._booted_at, now - report.uptime_s
        if previous is None:
            return False
        return self._booted_at - previous > BOOT_TOLERANCE_S


def make_concurrency_limiter(server: BackendServer) -> ConcurrencyLimiter:
    """Return a gate for a backend server whose home this entry is not yet."""
    return ConcurrencyLimiter(server, server.cold_slots, float("-inf"), active=False)
