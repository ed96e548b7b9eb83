"""What measuring one backend server may cost."""

from attrs import define, field

from dotterelpier.model.manifest import MeasuringBudget

MAX_PROBES = 1.0
SLOT_TIME_WINDOW_S = 10.0


@define
class TokenBucket:
    """Amount that grows with time up to a limit; starts empty."""

    rate_per_s: float
    capacity: float
    tokens: float = 0.0
    granted: float = 0.0
    spent: float = 0.0

    def refill(self, elapsed_s: float) -> None:
        """Add what the elapsed time allows."""
        granted = elapsed_s * self.rate_per_s
        self.granted += granted
        self.tokens = min(self.capacity, self.tokens + granted)

    def spend(self, tokens: float) -> None:
        """Take an amount away."""
        self.tokens -= tokens
        self.spent += tokens

    def spent_share(self) -> float:
        """Return the share spent of all that was ever granted."""
        return self.spent / self.granted if self.granted else 0.0


@define
class ProbeBudget:
    """Probes, bytes and slot time; each has to suffice for one more probe.

    It starts empty, so that a restart or a change of home buys no probe. Probes are
    at least the inverse of their rate apart. Slot time saved in the last seconds may
    be spent at once, and a probe that took longer than declared is paid back.
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
        """Put another budget in force; time before counts at the old rates."""
        self._refill(now)
        self._budget, self._slots = budget, slots
        self._set_rates()

    def take(self, now: float) -> bool:
        """Spend one probe as declared, if all allowances suffice."""
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
        """Spend what a probe cost above its declared size and duration."""
        self._bytes.spend(max(0, size_bytes - self._budget.probe_bytes))
        self._slot_s.spend(max(0.0, duration_s - self._budget.probe_s))

    def spent_share(self, now: float) -> float:
        """Return the share spent since the start of what is spent the most."""
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
