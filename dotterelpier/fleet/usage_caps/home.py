"""Home of one account: grants requests from its token bucket."""

from attrs import define, field, frozen

from dotterelpier.fleet.usage_caps.allowances import ALLOWANCE_S, Allowances
from dotterelpier.fleet.usage_caps.bucket import RecentCount, TokenBucket
from dotterelpier.model.account import UsageCap

# A bucket that is fuller than this is not scarce: grants that are not used cost nobody.
PLENTY = 0.5
# Share of a bucket that is not scarce that one entry gets at once.
MAX_GRANT_SHARE = 0.25
# Largest allowance of an entry, in multiples of its own rate of grants. Entries need
# more than that, as the demand at each varies more than that of all.
MAX_ALLOWED_SHARE = 2.0
# An entry that was refused asks again no sooner; meanwhile it refuses by itself.
MIN_HOLD_S = 0.02
# Window of sudden demand. Requests that were refused in it are expected to come back.
RECENT_S = 1.0


@frozen
class Grant:
    """What an entry may admit now, and later without the home.

    Attributes
    ----------
    count : int
        Requests that it may admit now.
    hold_s : float
        If there are none, the time until the bucket holds one again, in seconds.
    room_s : float
        If there are none, the time until there is room for those refused lately, in
        seconds.
    fill : float
        How full the bucket is, from 0 to 1.
    allowance_per_s : float
        Requests per second that it may admit for a time without the home.
    """

    count: int
    hold_s: float
    room_s: float
    fill: float
    allowance_per_s: float


@define
class AccountHome:
    """Token bucket of an account, and what was granted from it.

    Attributes
    ----------
    version : int
        Version of the configuration that states the cap.
    allowances : Allowances
        What entries were told that they may admit without this home.
    """

    version: int
    _bucket: TokenBucket
    # Level with which the bucket started, until the former home tells the true one.
    _assumed_level: float | None
    allowances: Allowances = field(factory=Allowances)
    _granted: RecentCount = field(factory=lambda: RecentCount(ALLOWANCE_S))
    _granted_lately: RecentCount = field(factory=lambda: RecentCount(RECENT_S))
    _refused: RecentCount = field(factory=lambda: RecentCount(RECENT_S))

    def set_cap(self, version: int, cap: UsageCap, now: float) -> None:
        """Apply the cap of a configuration unless a newer one is known."""
        if version > self.version:
            self._bucket.refill(now)
            self._bucket.set_cap(cap)
            self.version = version

    def grant(
        self, address: str, wanted: int, alone: int, now: float, entries: int
    ) -> Grant:
        """Grant requests to an entry, at least one if the bucket holds one.

        Parameters
        ----------
        address : str
            Peer address of the entry.
        wanted : int
            Requests that it can use soon, the one that it has now included.
        alone : int
            Requests that it has admitted without the home since its start.
        now : float
            The present time.
        entries : int
            Number of entries that share the cap while they have no home.
        """
        self._settle(now, entries)
        holder, unpaid = self.allowances.note_request(address, alone, now)
        self._bucket.pay(unpaid, now)
        count = self._affordable(wanted)
        self._bucket.level -= count
        if count:
            self._granted.add(count, now)
            self._granted_lately.add(count, now)
            holder.granted.add(count, now)
        elif wanted:
            self._refused.add(1, now)
        holder.allowance_per_s = holder.granted.per_s(now) * self._allowed_share(now)
        return Grant(
            count,
            0.0 if count or not wanted else self._hold_s(),
            0.0 if count else self._room_s(now),
            self._bucket.fill,
            holder.allowance_per_s,
        )

    def withdraw_silent(self, own_address: str, now: float) -> list[str]:
        """Return the entries to check for whether they are cut off.

        There are none while less than half of the cap is in use: those that are cut off
        use at most as much as they did before.
        """
        rate_per_s = self._bucket.cap.rate_per_s
        used_per_s = max(self._granted.per_s(now), self._granted_lately.per_s(now))
        if used_per_s < PLENTY * rate_per_s and self._bucket.level >= 1:
            return []
        return self.allowances.withdraw_silent(own_address, rate_per_s, now)

    def try_extra(self, now: float, entries: int) -> bool:
        """Take one token if they are not scarce."""
        self._settle(now, entries)
        if self._bucket.fill < PLENTY:
            return False
        self._bucket.level -= 1
        return True

    def give_back(self, count: int) -> None:
        """Return the tokens of requests that were not run."""
        self._bucket.level = min(self._bucket.depth, self._bucket.level + count)

    def hand_over(self, now: float, entries: int) -> tuple[UsageCap, float]:
        """Return the cap and the level, for the next home."""
        self._settle(now, entries)
        return self._bucket.cap, self._bucket.level

    def take_over(self, level: float, now: float) -> None:
        """Correct the level by that of the former home, once."""
        if self._assumed_level is None:
            return
        self._bucket.refill(now)
        difference = level - self._assumed_level
        self._bucket.level = min(self._bucket.depth, self._bucket.level + difference)
        self._assumed_level = None

    def _settle(self, now: float, entries: int) -> None:
        """Add the tokens of the time gone, and pay for what was admitted elsewhere."""
        self._bucket.refill(now)
        part_per_s = self._bucket.cap.rate_per_s / entries
        self._bucket.pay(self.allowances.pay_for_cut_off(now, part_per_s), now)

    def _affordable(self, wanted: int) -> int:
        level = self._bucket.level
        if level < 1 or wanted < 1:
            return 0
        if self._bucket.fill < PLENTY:
            return 1
        return max(1, min(wanted, int(level * MAX_GRANT_SHARE)))

    def _allowed_share(self, now: float) -> float:
        """Return which share of their rates all entries may use without this home.

        In the time for which allowances hold, they must not use more than the bucket
        would have granted.
        """
        granted_per_s = self._granted.per_s(now)
        level = max(0.0, self._bucket.level)
        allowed_per_s = self._bucket.cap.rate_per_s + level / ALLOWANCE_S
        if not granted_per_s:
            return 1.0
        return min(MAX_ALLOWED_SHARE, allowed_per_s / granted_per_s)

    def _hold_s(self) -> float:
        rate = self._bucket.cap.rate_per_s
        # Never so long that the bucket overflows meanwhile.
        shortest_s = min(MIN_HOLD_S, self._bucket.depth / rate / 2)
        return max(shortest_s, (1 - self._bucket.level) / rate)

    def _room_s(self, now: float) -> float:
        missing = 1 - self._bucket.level + self._refused.value(now)
        return max(0.0, missing) / self._bucket.cap.rate_per_s
