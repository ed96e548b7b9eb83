"""What entries may admit without the home of an account, as the home told them.

The home tells each entry that asks how much it may admit per second while it gets no
answer. Such an entry reports later what it admitted, and the home pays for it. While an
entry is cut off, the home pays in advance, as the entry uses its allowance. Where the
cap may be exceeded otherwise, the home withdraws the allowances of entries that were
silent lately, and takes those for cut off that do not confirm.
"""

import math
from collections.abc import Iterable

from attrs import define, field

from dotterelpier.fleet.usage_caps.bucket import RecentCount

# How long an allowance holds after the last answer of the home, and the window in which
# its rate is measured. With the same window, the allowances of the entries that got
# grants within it add up to the rate of all grants, however few each one got.
ALLOWANCE_S = 5.0
# An entry that asked within this time is not silent.
SILENCE_S = 0.3
CONFIRM_WAIT_S = 0.06
MAX_WITHDRAWALS = 2
# Entries that ask rarely are silent most of the time. As long as all of them confirm,
# one is checked in a while, by time and by the rate of the cap, so that the checks cost
# little. Once one is cut off, others probably are, and all are checked.
CHECK_INTERVAL_S = 0.25
REQUESTS_PER_CHECK = 15
# An entry that was not heard of for so long is forgotten.
FORGET_S = 60.0


@define
class Holder:
    """An entry that got grants: how many lately, and what it was told.

    Attributes
    ----------
    granted : RecentCount
        Grants that it got.
    heard_at : float
        When it last asked.
    allowance_per_s : float
        What it was told then.
    alone : int
        Requests that it had admitted without the home, as it last reported.
    paid_in_advance : float
        What the home has paid for more of them.
    withdrawals, withdrawn_at : int, float
        How often its allowance was withdrawn since, and when last.
    paid_until : float
        If it is taken for cut off, until when its use is paid in advance.
    """

    granted: RecentCount = field(factory=lambda: RecentCount(ALLOWANCE_S))
    heard_at: float = -math.inf
    allowance_per_s: float = 0.0
    alone: int = 0
    paid_in_advance: float = 0.0
    withdrawals: int = 0
    withdrawn_at: float = -math.inf
    paid_until: float = -math.inf

    def is_overdue(self, now: float) -> bool:
        """Return whether it is silent, and has ignored the last withdrawal, if any."""
        silent = now - self.heard_at >= SILENCE_S and self.allowance_per_s > 0
        return silent and now - self.withdrawn_at >= CONFIRM_WAIT_S

    def missed(self, now: float) -> float:
        """Return how many requests it would have admitted if it were cut off."""
        return self.allowance_per_s * (now - self.heard_at)

    def pay(self, now: float, part_per_s: float) -> float:
        """Return what it may have admitted since ``paid_until``, which advances."""
        ends_at = self.heard_at + ALLOWANCE_S
        allowed_s = max(0.0, min(now, ends_at) - self.paid_until)
        later_s = max(0.0, now - max(self.paid_until, ends_at))
        self.paid_until = now
        used = self.allowance_per_s * allowed_s + part_per_s * later_s
        self.paid_in_advance += used
        return used

    def settle(self, alone: int) -> float:
        """Return what is to be paid for the requests that it reports.

        What was paid in advance for more counts for its later reports. It is not
        returned, as it would be used now in addition to the tokens of now. After a
        restart the entry reports fewer.
        """
        due = max(0, alone - self.alone)
        covered = min(due, self.paid_in_advance)
        self.alone = alone
        self.paid_in_advance -= covered
        return due - covered


@define
class Allowances:
    """Allowances of one account by the peer address of the entry."""

    _holder_by_address: dict[str, Holder] = field(factory=dict)
    _cut_off: dict[str, Holder] = field(factory=dict)
    _checked_at: float = -math.inf
    _next_scan_at: float = -math.inf

    def note_request(
        self, address: str, alone: int, now: float
    ) -> tuple[Holder, float]:
        """Record that an entry asked, and how many requests it has admitted alone.

        Returns the entry, and what is to be paid for them. A home pays nothing for the
        time in which it did not know the entry, as it gained no tokens in it either.
        """
        holder = self._holder_by_address.get(address)
        if holder is None:
            holder = self._holder_by_address[address] = Holder(alone=alone)
        holder.heard_at, holder.withdrawals = now, 0
        self._cut_off.pop(address, None)
        return holder, holder.settle(alone)

    def note_confirmation(self, address: str) -> None:
        """Record that an entry is reachable and uses its allowance no more."""
        holder = self._holder_by_address.get(address)
        if holder is not None:
            holder.allowance_per_s = 0.0
        self._cut_off.pop(address, None)

    def retain(self, addresses: Iterable[str]) -> None:
        """Forget all entries but these."""
        for address in self._holder_by_address.keys() - set(addresses):
            self._forget(address)

    def withdraw_silent(
        self, own_address: str, rate_per_s: float, now: float
    ) -> list[str]:
        """Return the entries to send a withdrawal; the cap has the given rate.

        Those that ignored it are taken for cut off.
        """
        if now < self._next_scan_at:
            return []
        self._next_scan_at = now + CONFIRM_WAIT_S
        self._forget_old(now)
        overdue = [
            address
            for address, holder in self._holder_by_address.items()
            if address not in self._cut_off
            and address != own_address
            and holder.is_overdue(now)
        ]
        due = [address for address in overdue if not self._is_cut_off(address, now)]
        interval_s = max(CHECK_INTERVAL_S, REQUESTS_PER_CHECK / rate_per_s)
        chosen = self._choose(due, interval_s, now)
        for address in chosen:
            holder = self._holder_by_address[address]
            holder.withdrawals += 1
            holder.withdrawn_at = now
        return chosen

    def pay_for_cut_off(self, now: float, part_per_s: float) -> float:
        """Return what entries that are cut off may have admitted since the last call.

        Parameters
        ----------
        now : float
            The present time.
        part_per_s : float
            What each of them admits once its allowance has ended.
        """
        return sum(holder.pay(now, part_per_s) for holder in self._cut_off.values())

    def _is_cut_off(self, address: str, now: float) -> bool:
        """Take an entry for cut off if it ignored all withdrawals.

        It was lost at some time since it asked.
        """
        holder = self._holder_by_address[address]
        if holder.withdrawals < MAX_WITHDRAWALS:
            return False
        holder.paid_until = (holder.heard_at + now) / 2
        self._cut_off[address] = holder
        return True

    def _choose(self, due: list[str], interval_s: float, now: float) -> list[str]:
        """Return the entries to check: one in a while, all once one is cut off."""
        if self._cut_off:
            return due
        holders = self._holder_by_address
        again = [item for item in due if holders[item].withdrawals]
        if again or not due or now - self._checked_at < interval_s:
            return again
        self._checked_at = now
        return [max(due, key=lambda item: holders[item].missed(now))]

    def _forget_old(self, now: float) -> None:
        for address, holder in tuple(self._holder_by_address.items()):
            if now - holder.heard_at > FORGET_S:
                self._forget(address)

    def _forget(self, address: str) -> None:
        del self._holder_by_address[address]
        self._cut_off.pop(address, None)
