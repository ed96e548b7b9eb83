"""Budget for probing one backend server."""

from attrs import define, field

from dotterelpier.model.manifest import MeasuringBudget

MAX_PROBES = 1.0
SLOT_TIME_WINDOW_S = 10.0


@define
class TokenBucket:
    """Token bucket that refills with time up to its capacity; starts empty."""

    rate_per_s: float
    capacity: float
    tokens: float = 0.0
    granted: float = 0.0
    spent: float = 0.0

    def refill(self, elapsed_s: float) -> None:
        """Add the tokens for an elapsed time, in seconds."""
        granted = elapsed_s * self.rate_per_s
        self.granted += granted
        self.tokens = min(self.capacity, self.tokens + granted)

    def spend(self, tokens: float) -> None:
        """Remove tokens; the bucket may go below zero."""
        self.tokens -= tokens
        self.spent += tokens

    def spent_share(self) -> float:
        """Return the share spent of all tokens granted, 0 before the first refill.

        Tokens granted to a full bucket count although they are lost.
        """
        return self.spent / self.granted if self.granted else 0.0


@define
class ProbeBudget:
    """Token buckets for probes, bytes and slot time; a probe needs tokens from each.

    The buckets start empty, so that a restart or a change of home allows no extra
    probe. The probe bucket holds one token, so probes are at least the inverse of their
    rate apart. Slot time saved in the last ``SLOT_TIME_WINDOW_S`` may be spent at once.
    A probe that costs more than declared may leave a bucket below zero, which delays
    the next probe.
    """

    _budget: MeasuringBudget
    _slots: int
    _refilled_at: float
    _probes: TokenBucket = field(init=False)
    _bytes: TokenBucket = field(init=False)
    _slot_s: TokenBucket = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._probes = TokenBucket(0.0, MAX_PROBES)
        self._bytes = TokenBucket(0.0, 0.0)
        self._slot_s = TokenBucket(0.0, 0.0)
        self._set_rates()

    def set_budget(self, budget: MeasuringBudget, slots: int, now: float) -> None:
        """Apply another budget; the time until now counts at the old rates."""
        self._refill(now)
        self._budget, self._slots = budget, slots
        self._set_rates()

    def take(self, now: float) -> bool:
        """Spend the declared cost of one probe if all buckets hold enough.

        Returns
        -------
        bool
            Whether the probe may be sent.
        """
        self._refill(now)
        costs = (
            (self._probes, 1.0),
            (self._bytes, self._budget.probe_bytes),
            (self._slot_s, self._budget.probe_s),
        )
        if any(bucket.tokens < cost for bucket, cost in costs):
            return False
        for bucket, cost in costs:
            bucket.spend(cost)
        return True

    def charge_excess(self, size_bytes: int, duration_s: float) -> None:
        """Spend what a probe cost above its declared bytes and seconds."""
        self._bytes.spend(max(0, size_bytes - self._budget.probe_bytes))
        self._slot_s.spend(max(0.0, duration_s - self._budget.probe_s))

    def spent_share(self, now: float) -> float:
        """Return the largest share that any bucket spent since the start."""
        self._refill(now)
        buckets = (self._probes, self._bytes, self._slot_s)
        return max(bucket.spent_share() for bucket in buckets)

    def _refill(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        for bucket in (self._probes, self._bytes, self._slot_s):
            bucket.refill(elapsed_s)

    def _set_rates(self) -> None:
        budget = self._budget
        self._probes.rate_per_s = budget.probes_per_s
        self._bytes.rate_per_s = budget.bytes_per_s
        self._bytes.capacity = budget.probe_bytes
        self._slot_s.rate_per_s = budget.slot_share * self._slots
        self._slot_s.capacity = max(
            budget.probe_s, SLOT_TIME_WINDOW_S * self._slot_s.rate_per_s
        )
