"""Token bucket of an account, and counts of what happened lately."""

import math

from attrs import define, field

from dotterelpier.model.account import UsageCap

# Requests that are paid for were admitted within about the first time. What spilled
# since the last request counts as now, as this process may have been frozen meanwhile,
# but for no more than the second time.
SPILL_WINDOW_S = 1.0
MAX_SPILL_S = 2.0
# Limit on what remains to be paid, as the time in which the rate pays for it. It is
# longer than it takes to find out that entries are cut off.
MAX_DEBT_S = 2.0


@define
class TokenBucket:
    """Fills at the rate of a cap up to its burst; each request takes one token.

    The level is negative while requests that were already admitted are not yet paid.

    Attributes
    ----------
    cap : UsageCap
        Rate and burst.
    level : float
        Tokens that it holds.
    """

    cap: UsageCap
    level: float
    _updated_at: float
    # Tokens that did not fit lately.
    _spilled: "RecentCount" = field(factory=lambda: RecentCount(SPILL_WINDOW_S))

    @property
    def depth(self) -> float:
        """Return the largest level; a cap below one request at once admits one."""
        return max(1.0, self.cap.burst)

    @property
    def fill(self) -> float:
        """Return how full it is, from 0 to 1."""
        return min(1.0, max(0.0, self.level / self.depth))

    def refill(self, now: float) -> None:
        """Add the tokens of the time since the last call."""
        elapsed_s = max(0.0, now - self._updated_at)
        self._updated_at = max(now, self._updated_at)
        level = self.level + self.cap.rate_per_s * elapsed_s
        self.level = min(self.depth, level)
        if level > self.depth:
            longest = self.cap.rate_per_s * MAX_SPILL_S
            self._spilled.add(min(longest, level - self.depth), now)

    def pay(self, amount: float, now: float) -> None:
        """Pay for requests that were admitted before the bucket knew of them.

        They used tokens that did not fit into it only for that reason.
        """
        spilled = min(amount, self._spilled.value(now))
        self._spilled.add(-spilled, now)
        debt = self.cap.rate_per_s * MAX_DEBT_S
        self.level = max(-debt, self.level - amount + spilled)

    def set_cap(self, cap: UsageCap) -> None:
        """Apply another cap; call ``refill`` before, as the time so far has its own."""
        self.cap = cap
        self.level = min(self.depth, self.level)


@define
class RecentCount:
    """Count that decays: an event has lost two thirds of its weight after a window."""

    _window_s: float
    _count: float = field(default=0.0, init=False)
    _updated_at: float = field(default=-math.inf, init=False)

    def add(self, amount: float, now: float) -> None:
        """Count events that happen now."""
        self._count = self.value(now) + amount
        self._updated_at = max(now, self._updated_at)

    def value(self, now: float) -> float:
        """Return the decayed count."""
        if not self._count:
            return 0.0
        age_s = max(0.0, now - self._updated_at)
        return self._count * math.exp(-age_s / self._window_s)

    def per_s(self, now: float) -> float:
        """Return the rate of events in the window."""
        return self.value(now) / self._window_s
