"""The accounts whose home this entry is, and the requests of other entries for them."""

from collections import OrderedDict
from collections.abc import Iterable

from attrs import define, evolve, field, frozen

from dotterelpier.fleet.usage_caps.bucket import TokenBucket
from dotterelpier.fleet.usage_caps.home import AccountHome, Grant
from dotterelpier.fleet.usage_caps.views import FleetViews
from dotterelpier.model.account import UsageCap
from dotterelpier.model.fleet import FleetMember
from dotterelpier.model.grant import GrantMessage, GrantReply, GrantRequest

# A request is repeated within this time, or not at all.
REPEAT_S = 1.0
# Share of the slack with which a home starts that knows nothing of what was used
# before. The same share is divided among the entries that start without a home.
START_SLACK_SHARE = 0.5
# The fleet starts for the first time; homes move as its entries join one by one.
FIRST_START_S = 10.0


@frozen
class CapTerms:
    """What the settings and the fleet state for all accounts.

    Attributes
    ----------
    slack : float
        Requests above the caps that are tolerated.
    over : float
        Requests above that, as a share of the cap.
    entries : int
        Largest number of entries known lately.
    """

    slack: float
    over: float
    entries: int


@define
class AccountHomes:
    """Homes of accounts by name, and the replies that may have to be repeated."""

    _me: FleetMember
    _views: FleetViews
    # Until when buckets start full, as nobody can have used them before.
    _first_start_until: float
    _home_by_account: dict[str, AccountHome] = field(factory=dict)
    _reply_by_request: "OrderedDict[tuple[str, int], tuple[float, GrantReply]]" = field(
        factory=OrderedDict
    )

    def grant(
        self, account: str, version: int, cap: UsageCap, now: float, terms: CapTerms
    ) -> Grant:
        """Grant a request of this entry itself."""
        home = self._find(account, version, cap, now, terms)
        return home.grant(self._me.peer_address, 1, 0, now, terms.entries)

    def find(self, account: str) -> AccountHome | None:
        """Return the home of an account if it was asked before."""
        return self._home_by_account.get(account)

    def receive(
        self, request: GrantRequest, now: float, terms: CapTerms
    ) -> list[GrantMessage]:
        """Return the messages that answer a request of another entry."""
        if request.handed_over is not None:
            home = self._find(request.account, request.version, request.cap, now, terms)
            home.take_over(request.handed_over, now)
            return []
        if request.notice:
            known = self.find(request.account)
            if known is not None:
                known.give_back(request.returned)
                known.allowances.note_confirmation(request.reply_to)
            return []
        target = self._views.home(request.account)
        if target not in (None, self._me) and not request.relayed:
            assert target is not None
            return [GrantMessage(target.peer_address, evolve(request, relayed=True))]
        return self._answer(request, now, terms)

    def withdrawals(self, account: str, now: float) -> list[GrantMessage]:
        """Return messages to entries that may be cut off."""
        own = self._me.peer_address
        withdrawal = GrantReply(0, account, confirm_to=own)
        addresses = self._home_by_account[account].withdraw_silent(own, now)
        return [GrantMessage(address, withdrawal) for address in addresses]

    def follow_fleet(
        self, members: Iterable[FleetMember], now: float, terms: CapTerms
    ) -> list[GrantMessage]:
        """Hand over the accounts whose home is another entry now."""
        addresses = [member.peer_address for member in members]
        messages = []
        for account, home in tuple(self._home_by_account.items()):
            home.allowances.retain(addresses)
            target = self._views.home(account)
            if target is None or target == self._me:
                continue
            cap, level = home.hand_over(now, terms.entries)
            del self._home_by_account[account]
            handover = GrantRequest(
                self._me.peer_address, 0, account, home.version, cap, handed_over=level
            )
            messages.append(GrantMessage(target.peer_address, handover))
        return messages

    def retain(self, accounts: Iterable[str]) -> None:
        """Forget the accounts that no longer have a cap."""
        for account in self._home_by_account.keys() - set(accounts):
            del self._home_by_account[account]

    def _answer(
        self, request: GrantRequest, now: float, terms: CapTerms
    ) -> list[GrantMessage]:
        key = (request.reply_to, request.id)
        self._forget_replies(now)
        if key in self._reply_by_request:
            return [GrantMessage(request.reply_to, self._reply_by_request[key][1])]
        home = self._find(request.account, request.version, request.cap, now, terms)
        grant = home.grant(
            request.reply_to, request.wanted, request.alone, now, terms.entries
        )
        reply = GrantReply(
            request.id,
            request.account,
            grant.count,
            grant.hold_s,
            grant.room_s,
            grant.fill,
            grant.allowance_per_s,
        )
        self._reply_by_request[key] = (now, reply)
        answer = GrantMessage(request.reply_to, reply)
        return [answer, *self.withdrawals(request.account, now)]

    def _forget_replies(self, now: float) -> None:
        replies = self._reply_by_request
        while replies and next(iter(replies.values()))[0] < now - REPEAT_S:
            replies.popitem(last=False)

    def _find(
        self, account: str, version: int, cap: UsageCap, now: float, terms: CapTerms
    ) -> AccountHome:
        home = self._home_by_account.get(account)
        if home is None:
            bucket = TokenBucket(cap, 0.0, now)
            bucket.level = self._start_level(account, bucket, now, terms)
            home = AccountHome(version, bucket, bucket.level)
            self._home_by_account[account] = home
        home.set_cap(version, cap, now)
        return home

    def _start_level(
        self, account: str, bucket: TokenBucket, now: float, terms: CapTerms
    ) -> float:
        """Return the level of a bucket whose use before now is not known.

        Another entry may have granted a whole burst just before it ceased to be the
        home. From then on this one is the home, and gains tokens.
        """
        if now < self._first_start_until and not self._views.someone_left:
            return bucket.depth
        start = terms.slack * START_SLACK_SHARE
        home_s = max(0.0, now - self._views.home_since(account))
        return min(bucket.depth, start + bucket.cap.rate_per_s * home_s)
