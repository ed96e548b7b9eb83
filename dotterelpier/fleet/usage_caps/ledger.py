"""What an entry that is not the home of an account may admit of its requests."""

import math
import random
from collections import deque

from attrs import define, field

from dotterelpier.fleet.usage_caps.allowances import ALLOWANCE_S
from dotterelpier.fleet.usage_caps.bucket import RecentCount
from dotterelpier.fleet.usage_caps.home import PLENTY
from dotterelpier.fleet.usage_caps.homes import START_SLACK_SHARE, CapTerms
from dotterelpier.model.account import UsageCap
from dotterelpier.model.grant import GrantReply

# Grants that are not used lapse, as a window must not hold those of a long time.
GRANT_LIFE_S = 0.3
# An entry asks for what it needs in this time, which is far below that.
GRANT_AHEAD_S = 0.1
DEMAND_WINDOW_S = 1.0
# How long the last answer tells whether the bucket is scarce.
FILL_LIFE_S = 2.0
# Tokens that gather during an outage while no requests come, as the time for that.
OUTAGE_DEPTH_S = 2.0


@define
class Outage:
    """What an entry may admit during a time without answers of the home.

    Tokens gather at the given rate, for a short time ahead.

    Attributes
    ----------
    tokens : float
        Requests that may be admitted now. It starts with a random share of a request,
        so that the sum over many entries follows their rates although each admits
        whole requests.
    """

    tokens: float
    _updated_at: float
    _burst: float

    def gather(self, per_s: float, until: float) -> None:
        """Gather tokens until a time, unless it is past already."""
        elapsed_s = max(0.0, until - self._updated_at)
        self._updated_at = max(until, self._updated_at)
        depth = max(1.0, min(self._burst, per_s * OUTAGE_DEPTH_S), self.tokens)
        self.tokens = min(depth, self.tokens + per_s * elapsed_s)


@define
class Ledger:
    """Grants of one account that an entry has, and what the home told it last.

    Attributes
    ----------
    admitted_alone : int
        Requests admitted without the home, since the start of this entry.
    """

    _random: random.Random
    admitted_alone: int = 0
    _demand: RecentCount = field(factory=lambda: RecentCount(DEMAND_WINDOW_S))
    # End of life and number of the grants not used, oldest first.
    _grants: deque[tuple[float, int]] = field(factory=deque)
    _hold_until: float = -math.inf
    _room_at: float = -math.inf
    _replied_at: float = -math.inf
    _fill: float = 0.0
    _allowance_per_s: float = 0.0
    _outage: Outage | None = None

    def note_demand(self, now: float) -> None:
        """Count a request of a client, admitted or not."""
        self._demand.add(1, now)

    def wanted(self, now: float) -> int:
        """Return how many requests to ask for: the present one and those expected."""
        return 1 + int(self._demand.per_s(now) * GRANT_AHEAD_S)

    def take(self, now: float) -> bool:
        """Use a grant that has not lapsed, if there is one."""
        while self._grants and self._grants[0][0] < now:
            self._grants.popleft()
        if not self._grants:
            return False
        until, count = self._grants.popleft()
        if count > 1:
            self._grants.appendleft((until, count - 1))
        return True

    def add(self, count: int, now: float) -> None:
        """Keep grants for the next requests."""
        if count > 0:
            self._grants.append((now + GRANT_LIFE_S, count))

    def is_held(self, now: float) -> bool:
        """Return whether the home just said that it has nothing to grant."""
        return now < self._hold_until

    def has_plenty(self, now: float) -> bool:
        """Return whether the bucket was not scarce a moment ago."""
        return self._fill >= PLENTY and now - self._replied_at < FILL_LIFE_S

    def note_reply(self, reply: GrantReply, now: float) -> None:
        """Record an answer of the home."""
        self._replied_at, self._outage = now, None
        self._fill, self._allowance_per_s = reply.fill, reply.allowance_per_s
        self._hold_until = now + reply.hold_s if not reply.granted else -math.inf
        self._room_at = now + reply.room_s

    def withdraw_allowance(self) -> None:
        """Admit nothing from the last allowance any more."""
        self._allowance_per_s = 0.0

    def admit_without_home(self, now: float, cap: UsageCap, terms: CapTerms) -> bool:
        """Return whether a request may be admitted although the home is silent.

        First the allowance of the home holds. Later it is the part of the cap of each
        entry. The home knows nothing of an entry without an allowance, and may grant
        the whole cap to others; such entries share what is tolerated above it.
        """
        part_per_s = cap.rate_per_s / terms.entries
        allowed_until = self._replied_at + ALLOWANCE_S
        if self._outage is None:
            self._outage = self._begin_outage(now, cap, terms)
        if self._allowance_per_s:
            self._outage.gather(self._allowance_per_s, min(now, allowed_until))
            self._outage.gather(part_per_s, now)
        else:
            self._outage.gather(part_per_s * terms.over, now)
        if self._outage.tokens < 1:
            self._room_at = now + 1 / part_per_s
            return False
        self._outage.tokens -= 1
        self.admitted_alone += 1
        return True

    def retry_after_s(self, now: float) -> float:
        """Return when a refused client should return, spread at random."""
        soonest_s = max(0.0, self._hold_until - now)
        latest_s = max(soonest_s, self._room_at - now)
        return soonest_s + (latest_s - soonest_s) * self._random.random()

    def _begin_outage(self, now: float, cap: UsageCap, terms: CapTerms) -> Outage:
        credit = self._random.random()
        if self._allowance_per_s and now < self._replied_at + ALLOWANCE_S:
            # The home was lost at some time between its last answer and now.
            return Outage(credit, (self._replied_at + now) / 2, cap.burst)
        self._allowance_per_s = 0.0
        start = min(1.0, terms.slack * START_SLACK_SHARE / terms.entries)
        return Outage(credit + start, now, cap.burst)
