"""State of one backend server, as far as this entry knows it."""

import math

from attrs import define

from dotterelpier.model.instance import HealthReport, Instance, LoadFigures

# From this on a backend server counts as slow; machines shared with others are either
# near the usual time or at several times it.
SLOW_RATIO = 2.0
# Expected for a backend server of which nothing fresh is known.
UNKNOWN_RATIO = 2.0
# Stretches of slow work last about half a second, so older figures tell little.
LOAD_FRESH_S = 0.7
# Requests that may queue for each slot of a backend server at its usual work time; on a
# slower one fewer, as they would wait for longer.
QUEUE_PER_SLOT = 0.5
# Added to the expected time where a request would take the last free slot, in multiples
# of the usual work: some backend servers slow down when they are nearly full.
LAST_SLOT_PENALTY = 0.4
# Two failures in a row hold a backend server off; one alone may be chance.
QUARANTINE_FAILURE_SCORE = 1.5
FAILURE_DECAY = 0.7
QUARANTINE_FIRST_S = 0.5
QUARANTINE_MAX_S = 4.0
# Share of the declared cold pace that is used, so that two entries that both believe
# to be the home stay near it together.
COLD_RATE_SHARE = 0.8
COLD_BURST = 1.0
# What a cold backend server bears, as a share of a warm one; its declared pace is
# about a quarter of what its slots serve.
COLD_CAPACITY_SHARE = 0.25


@define(eq=False)
class Condition:
    """What is known, and what this entry has under way there.

    Attributes
    ----------
    instance : Instance
        The backend server.
    load : LoadFigures or None
        Last load that it told.
    load_at : float
        When it told it, on the monotonic clock.
    proven : bool
        Whether a health check was answered since there was reason for doubt.
    doubted_at : float
        Health checks sent before this time prove nothing.
    healthy : bool
        What it said of itself last.
    unreachable : str
        Why no connection can be opened, empty if one can.
    own_check_needed : bool
        Whether this entry itself could not reach it, so that the results of others
        do not tell whether it can now.
    checked_at : float
        When the last health check was sent, by whichever entry.
    cold_until : float
        When it will be warm, on the monotonic clock.
    in_flight : int
        Requests of this entry at it.
    sent_since, ended_since : int
        Requests of this entry sent and ended since the last load that it told.
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
    _quarantine_s: float = QUARANTINE_FIRST_S
    _cold_tokens: float = COLD_BURST
    _cold_tokens_at: float = -math.inf

    def usable(self) -> bool:
        """Tell whether it is known to take requests at all."""
        return self.verified and not self.unreachable

    def is_cold(self, now: float) -> bool:
        """Tell whether it is in its cold start."""
        return now < self.cold_until

    def capacity(self, now: float) -> float:
        """Return the slots that it can fill at its present warmth."""
        share = COLD_CAPACITY_SHARE if self.is_cold(now) else 1.0
        return self.instance.slots * share

    def estimated_in_flight(self) -> int:
        """Return the requests estimated to be at it, those of other entries too."""
        if self.load is None:
            return self.in_flight
        reported = self.load.running + self.load.waiting
        return max(self.in_flight, reported + self.sent_since - self.ended_since)

    def has_room(self, now: float) -> bool:
        """Tell whether one more request can be sent without overfilling it."""
        slots = self.instance.slots
        queue = int(slots * QUEUE_PER_SLOT / max(1.0, self.work_ratio(now)))
        return self.estimated_in_flight() < slots + queue

    def work_ratio(self, now: float) -> float:
        """Return the expected work time, in multiples of the usual."""
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

    def takes_last_slot(self) -> bool:
        """Tell whether one more request would leave no slot free."""
        return self.estimated_in_flight() + 1 >= self.instance.slots

    def invalidate(self, now: float) -> None:
        """Require a new health check before anything is sent."""
        self.verified = False
        self.invalidated_at = now

    def apply_report(self, report: HealthReport, now: float) -> None:
        """Take in the answer to a health check."""
        self.verified, self.unreachable, self.own_check_needed = True, "", False
        self.healthy = report.healthy
        if report.cold_remaining_s > 0:
            self.cold_until = now + report.cold_remaining_s
        elif report.healthy:
            self.cold_until = -math.inf

    def take_cold_token(self, now: float, per_s: float) -> bool:
        """Take the right to send one request to it while it is cold."""
        self._refill(now, per_s)
        if self._cold_tokens < 1:
            return False
        self._cold_tokens -= 1
        return True

    def has_cold_token(self, now: float, per_s: float) -> bool:
        """Tell whether one request may be sent to it while it is cold."""
        self._refill(now, per_s)
        return self._cold_tokens >= 1

    def _refill(self, now: float, per_s: float) -> None:
        gained = max(0.0, now - self._cold_tokens_at) * per_s * COLD_RATE_SHARE
        self._cold_tokens = min(COLD_BURST, self._cold_tokens + gained)
        self._cold_tokens_at = now

    def note_success(self) -> None:
        """Take in that it answered a request well."""
        self.failure_score *= FAILURE_DECAY
        self._quarantine_s = QUARANTINE_FIRST_S

    def note_failure(self, now: float) -> bool:
        """Take in that it failed a request; return whether it is held off now."""
        self.failure_score = self.failure_score * FAILURE_DECAY + 1
        if self.failure_score < QUARANTINE_FAILURE_SCORE:
            return False
        self.quarantined_until = now + self._quarantine_s
        self._quarantine_s = min(QUARANTINE_MAX_S, self._quarantine_s * 2)
        return True
