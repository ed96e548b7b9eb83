"""State of one backend server as this entry knows it."""

import math

from attrs import define

from dotterelpier.model.instance import HealthReport, Instance, LoadFigures

# Work ratio from which a backend server counts as slow. On shared machines the work
# time is either near the usual or several times as long.
SLOW_RATIO = 2.0
# Work ratio assumed for a backend server without a recent load report.
UNKNOWN_RATIO = 2.0
# Slow phases of a backend server last about half a second, so an older load report does
# not predict its work time.
LOAD_FRESH_S = 0.7
# Added to the expected time if the request would take the last free slot, in multiples
# of the usual work time: some backend servers slow down when they are nearly full.
LAST_SLOT_PENALTY = 0.4
# Two failures in a row quarantine a backend server; a single one may be chance.
QUARANTINE_FAILURE_SCORE = 1.5
# Factor applied to the failure score by each later request that succeeds or fails.
FAILURE_DECAY = 0.7
QUARANTINE_FIRST_S = 0.5
QUARANTINE_MAX_S = 4.0
# Share of the declared slow start rate that an entry uses, so that the sum stays near
# that rate while two entries both consider themselves the home.
COLD_RATE_SHARE = 0.8
COLD_BURST = 1.0
# Capacity of a cold backend server as a share of a warm one: the declared slow start
# rate is about a quarter of what its slots serve.
COLD_CAPACITY_SHARE = 0.25


@define(eq=False)
class Condition:
    """Health and load of a backend server, and this entry's requests at it.

    Not thread-safe; ``SharedConditions`` calls it under its lock. Times are seconds on
    the monotonic clock.

    Attributes
    ----------
    instance : Instance
        The backend server.
    load : LoadFigures or None
        Its last load report.
    load_at : float
        Time of the last load report.
    verified : bool
        Whether it answered a health check sent since the last invalidation.
    invalidated_at : float
        Time of the last invalidation; results of health checks sent earlier are
        ignored.
    healthy : bool
        Whether its last health check reported it as healthy.
    unreachable : str
        Reason why it cannot be reached, empty if it can.
    own_check_needed : bool
        Whether this entry itself failed to reach it. Results of other entries are then
        ignored until a health check of this entry succeeds, as they may reach it where
        this entry cannot.
    checked_at : float
        When the latest health check was sent, by any entry.
    cold_until : float
        End of its cold start.
    in_flight : int
        Requests of this entry at it.
    sent_since, ended_since : int
        Requests that this entry sent, and that ended, since the last load report.
    failure_score : float
        Failed requests, decaying with each later request.
    quarantined_until : float
        End of its quarantine.
    closed_until : float
        Until when it asked for no requests, infinite if it leaves.
    returned : bool
        Whether its registration had ended before and it reported no good health since.
        The registration may be that of a late write.
    """

    instance: Instance
    load: LoadFigures | None = None
    load_at: float = -math.inf
    verified: bool = False
    invalidated_at: float = -math.inf
    healthy: bool = True
    unreachable: str = ""
    own_check_needed: bool = False
    checked_at: float = -math.inf
    cold_until: float = -math.inf
    in_flight: int = 0
    sent_since: int = 0
    ended_since: int = 0
    failure_score: float = 0.0
    quarantined_until: float = -math.inf
    closed_until: float = -math.inf
    returned: bool = False
    _quarantine_s: float = QUARANTINE_FIRST_S
    _cold_tokens: float = COLD_BURST
    _cold_tokens_at: float = -math.inf

    def usable(self) -> bool:
        """Return whether it is verified and reachable, healthy or not."""
        return self.verified and not self.unreachable

    def accepts(self, now: float) -> bool:
        """Return whether it is usable and did not ask for a pause that still lasts."""
        return self.usable() and self.closed_until <= now

    def is_cold(self, now: float) -> bool:
        """Return whether the cold start that it last reported still lasts."""
        return now < self.cold_until

    def capacity(self, now: float) -> float:
        """Return its capacity in slots, reduced during a cold start."""
        share = COLD_CAPACITY_SHARE if self.is_cold(now) else 1.0
        return self.instance.slots * share

    def estimated_in_flight(self) -> int:
        """Return the estimated number of requests at it, from all entries."""
        if self.load is None:
            return self.in_flight
        reported = self.load.running + self.load.waiting
        return max(self.in_flight, reported + self.sent_since - self.ended_since)

    def has_room(self, spare_slots: int = 0) -> bool:
        """Return whether it can start one more request and keep some slots free."""
        return self.estimated_in_flight() < max(1, self.instance.slots - spare_slots)

    def work_ratio(self, now: float) -> float:
        """Return the expected work time, in multiples of the usual.

        ``UNKNOWN_RATIO`` if its last load report is too old or missing.
        """
        if self.load is None:
            return UNKNOWN_RATIO
        if now - self.load_at <= LOAD_FRESH_S:
            return max(self.load.work_ratio, 0.1)
        return UNKNOWN_RATIO

    def expected_time(self, now: float) -> float:
        """Return the expected time to an answer, in multiples of the usual work."""
        slots = self.instance.slots
        queued = max(0, self.estimated_in_flight() + 1 - slots)
        return self.work_ratio(now) * (1 + queued / slots)

    def takes_last_slot(self, spare_slots: int = 0) -> bool:
        """Return whether one more request would leave only spare slots free."""
        return self.estimated_in_flight() + 1 >= self.instance.slots - spare_slots

    def invalidate(self, now: float) -> None:
        """Send it no requests until it answers a health check sent from ``now`` on."""
        self.verified = False
        self.invalidated_at = now

    def apply_report(self, report: HealthReport, now: float) -> None:
        """Update the state from the answer to a health check.

        A bad health report may be wrong, so it excludes a backend server only if that
        may have left.
        """
        self.unreachable, self.own_check_needed = "", False
        self.healthy = report.healthy
        self.returned = self.returned and not report.healthy
        self.verified = not self.returned
        if report.cold_remaining_s > 0:
            self.cold_until = now + report.cold_remaining_s
        elif report.healthy:
            self.cold_until = -math.inf

    def take_cold_token(self, now: float, per_s: float) -> bool:
        """Take a token for one request during the cold start, False if there is none.

        Parameters
        ----------
        now : float
            Time on the monotonic clock, in seconds.
        per_s : float
            Declared slow start rate, in requests per second.
        """
        self._refill(now, per_s)
        if self._cold_tokens < 1:
            return False
        self._cold_tokens -= 1
        return True

    def has_cold_token(self, now: float, per_s: float) -> bool:
        """Return whether there is a token for one request during the cold start.

        The parameters are those of ``take_cold_token``.
        """
        self._refill(now, per_s)
        return self._cold_tokens >= 1

    def _refill(self, now: float, per_s: float) -> None:
        gained = max(0.0, now - self._cold_tokens_at) * per_s * COLD_RATE_SHARE
        self._cold_tokens = min(COLD_BURST, self._cold_tokens + gained)
        self._cold_tokens_at = now

    def note_success(self) -> None:
        """Reduce the failure score, and reset the length of the next quarantine."""
        self.failure_score *= FAILURE_DECAY
        self._quarantine_s = QUARANTINE_FIRST_S

    def note_failure(self, now: float) -> bool:
        """Add a failure to the score; return whether this quarantines it.

        Each quarantine without a success in between lasts twice as long as the one
        before, up to ``QUARANTINE_MAX_S``.
        """
        self.failure_score = self.failure_score * FAILURE_DECAY + 1
        if self.failure_score < QUARANTINE_FAILURE_SCORE:
            return False
        self.quarantined_until = now + self._quarantine_s
        self._quarantine_s = min(QUARANTINE_MAX_S, self._quarantine_s * 2)
        return True
