"""Whether requests of accounts with a usage cap are admitted at this entry."""

import itertools
import random
from collections.abc import Callable, Iterable

from attrs import define, field
from loguru import logger

from dotterelpier.fleet.usage_caps.homes import AccountHomes, CapTerms
from dotterelpier.fleet.usage_caps.ledger import Ledger
from dotterelpier.fleet.usage_caps.views import FleetViews
from dotterelpier.model.account import UsageCap
from dotterelpier.model.fleet import FleetMember
from dotterelpier.model.grant import GrantMessage, GrantReply, GrantRequest

STEP = "usage_caps"
# How often the home of an account is asked for a request, once more if it is silent.
MAX_TRIES = 2
# A silent home is not waited for; it is asked again after this time.
SILENT_RETRY_S = 0.25
# Questions whose answer may still come, from a home that was frozen. Its grants are
# returned then.
ASK_LIFE_S = 10.0
MAX_ID = 1 << 32
# Stands in a confirmation, which needs none.
NO_CAP = UsageCap(0.0, 0.0)


@define(eq=False)
class Ask:
    """A request that needs a grant, and what became of it.

    Attributes
    ----------
    account : str
        Name of the account.
    cap : UsageCap
        Its cap.
    admitted : bool or None
        Whether the request may run; None while the answer of the home is awaited.
    retry_after_s : float
        If it may not, the time after which to try again, in seconds.
    messages : list of GrantMessage
        Messages to send at once, the question to the home among them.
    on_decided : Callable
        Called when ``admitted`` is set by a reply; it must not block.
    decided_alone : bool
        Whether it was decided without the home.
    id : int
        Number of the question to the home, -1 if it was not asked.
    home : str
        Peer address of the home.
    asked_at : float
        When the question was asked.
    tries : int
        How often it was sent.
    """

    account: str
    cap: UsageCap
    admitted: bool | None = None
    retry_after_s: float = 0.0
    messages: list[GrantMessage] = field(factory=list)
    on_decided: Callable[[], None] = lambda: None
    decided_alone: bool = False
    id: int = -1
    home: str = ""
    asked_at: float = 0.0
    tries: int = 0


@define
class CapDecisions:
    """Decides at one entry, for the accounts at home here and for the others."""

    _me: FleetMember
    _first_start_until: float
    _random: random.Random
    _views: FleetViews = field(factory=FleetViews)
    _homes: AccountHomes = field(init=False)
    _ledger_by_account: dict[str, Ledger] = field(factory=dict)
    _ask_by_id: dict[int, Ask] = field(factory=dict)
    _ids: "itertools.count[int]" = field(init=False)
    # When to ask a silent home again, by its peer address.
    _retry_at_by_home: dict[str, float] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self._homes = AccountHomes(self._me, self._views, self._first_start_until)
        # Another incarnation of this entry must not get replies to this one.
        self._ids = itertools.count(self._random.randrange(MAX_ID))

    def begin(
        self, account: str, version: int, cap: UsageCap, now: float, terms: CapTerms
    ) -> Ask:
        """Decide about a request, or ask the home; ``messages`` must be sent.

        Parameters
        ----------
        account : str
            Name of the account.
        version : int
            Version of the configuration that states the cap.
        cap : UsageCap
            Its cap.
        now : float
            The present time.
        terms : CapTerms
            Settings, and the size of the fleet.
        """
        ask = Ask(account, cap, asked_at=now)
        ledger = self._ledger(account)
        ledger.note_demand(now)
        home = self._views.home(account)
        if home == self._me:
            self._decide_here(ask, version, now, terms)
        elif home is None:
            self._decide_without_home(ask, now, terms)
        elif ledger.take(now):
            ask.admitted = True
        elif ledger.is_held(now):
            self._refuse(ask, now)
        else:
            self._ask(ask, version, ledger.wanted(now), home, now, terms)
        return ask

    def repeat(self, ask: Ask, now: float, terms: CapTerms) -> list[GrantMessage]:
        """Ask once more, as no answer came, or decide without the home.

        Returns the messages to send, none once the request is decided.
        """
        if ask.admitted is not None:
            return []
        if ask.tries < MAX_TRIES:
            ask.tries += 1
            return ask.messages
        if ask.home not in self._retry_at_by_home:
            logger.warning(
                "home of accounts does not answer; deciding without it",
                step=STEP,
                peer=ask.home,
                account=ask.account,
            )
        self._retry_at_by_home[ask.home] = now + SILENT_RETRY_S
        self._decide_without_home(ask, now, terms)
        return []

    def try_extra(
        self, account: str, version: int, cap: UsageCap, now: float, terms: CapTerms
    ) -> tuple[bool, list[GrantMessage]]:
        """Charge a second attempt, only if the cap is far from used up.

        Returns whether it may be sent, and messages to send. It waits for no answer.
        """
        home = self._views.home(account)
        if home == self._me:
            here = self._homes.find(account)
            return here is not None and here.try_extra(now, terms.entries), []
        ledger = self._ledger(account)
        if ledger.take(now):
            return True, []
        if home is None or not ledger.has_plenty(now):
            return False, []
        ask = Ask(account, cap, admitted=True, asked_at=now)
        self._ask(ask, version, 1, home, now, terms)
        return True, ask.messages

    def give_back(self, account: str, now: float) -> None:
        """Return the grant of a request that was not run."""
        here = self._homes.find(account)
        if here is not None:
            here.give_back(1)
        else:
            self._ledger(account).add(1, now)

    def receive_request(
        self, request: GrantRequest, now: float, terms: CapTerms
    ) -> list[GrantMessage]:
        """Return the messages that answer a request of another entry."""
        return self._homes.receive(request, now, terms)

    def receive_reply(self, reply: GrantReply, now: float) -> list[GrantMessage]:
        """Apply the reply of a home; return the messages to send."""
        if reply.confirm_to:
            return self._confirm_withdrawal(reply)
        ask = self._ask_by_id.pop(reply.id, None)
        if ask is None or ask.account != reply.account:
            return []
        if self._retry_at_by_home.pop(ask.home, None) is not None:
            logger.info("home of accounts answers again", step=STEP, peer=ask.home)
        ledger = self._ledger(ask.account)
        ledger.note_reply(reply, now)
        if ask.decided_alone:
            return self._return_grants(reply, ask.home)
        if reply.granted:
            ledger.add(reply.granted - 1, now)
            self._admit(ask)
        elif ask.admitted is None:
            self._refuse(ask, now)
            ask.on_decided()
        return []

    def follow_fleet(
        self, members: tuple[FleetMember, ...], now: float, terms: CapTerms
    ) -> list[GrantMessage]:
        """Apply the present members; return the messages that hand accounts over."""
        if not self._views.update(members, now):
            return []
        addresses = {member.peer_address for member in members}
        for address in self._retry_at_by_home.keys() - addresses:
            del self._retry_at_by_home[address]
        return self._homes.follow_fleet(members, now, terms)

    def retain(self, accounts: Iterable[str]) -> None:
        """Forget the accounts that no longer have a cap."""
        kept = set(accounts)
        self._homes.retain(kept)
        for account in self._ledger_by_account.keys() - kept:
            del self._ledger_by_account[account]

    def _ledger(self, account: str) -> Ledger:
        if account not in self._ledger_by_account:
            self._ledger_by_account[account] = Ledger(self._random)
        return self._ledger_by_account[account]

    def _decide_here(self, ask: Ask, version: int, now: float, terms: CapTerms) -> None:
        grant = self._homes.grant(ask.account, version, ask.cap, now, terms)
        ask.messages.extend(self._homes.withdrawals(ask.account, now))
        ask.admitted = grant.count > 0
        spread_s = (grant.room_s - grant.hold_s) * self._random.random()
        ask.retry_after_s = grant.hold_s + max(0.0, spread_s)

    def _ask(
        self,
        ask: Ask,
        version: int,
        wanted: int,
        home: FleetMember,
        now: float,
        terms: CapTerms,
    ) -> None:
        """Ask the home; a silent one only now and then, without waiting for it."""
        self._forget_old_asks(now)
        ask.home = home.peer_address
        retry_at = self._retry_at_by_home.get(ask.home)
        if retry_at is None or now >= retry_at:
            ask.id, ask.tries = next(self._ids) % MAX_ID, 1
            self._ask_by_id[ask.id] = ask
            request = GrantRequest(
                self._me.peer_address,
                ask.id,
                ask.account,
                version,
                ask.cap,
                # A grant would come too late for a request that does not wait.
                wanted if retry_at is None else 0,
                self._ledger(ask.account).admitted_alone,
            )
            ask.messages.append(GrantMessage(ask.home, request))
        if retry_at is None:
            return
        if now >= retry_at:
            self._retry_at_by_home[ask.home] = now + SILENT_RETRY_S
        if ask.admitted is None:
            self._decide_without_home(ask, now, terms)

    def _decide_without_home(self, ask: Ask, now: float, terms: CapTerms) -> None:
        ask.decided_alone = True
        ledger = self._ledger(ask.account)
        if ledger.admit_without_home(now, ask.cap, terms):
            ask.admitted = True
        else:
            self._refuse(ask, now)

    def _confirm_withdrawal(self, reply: GrantReply) -> list[GrantMessage]:
        ledger = self._ledger_by_account.get(reply.account)
        if ledger is not None:
            ledger.withdraw_allowance()
        return [self._notice(reply.confirm_to, reply, 0)]

    def _return_grants(self, reply: GrantReply, home: str) -> list[GrantMessage]:
        """Return late grants of a request that was decided alone.

        If it was admitted, the home pays for it by the count of such requests.
        """
        if not reply.granted:
            return []
        self._ledger(reply.account).withdraw_allowance()
        return [self._notice(home, reply, reply.granted)]

    def _notice(self, home: str, reply: GrantReply, returned: int) -> GrantMessage:
        request = GrantRequest(
            *(self._me.peer_address, reply.id, reply.account, 0, NO_CAP),
            notice=True,
            returned=returned,
        )
        return GrantMessage(home, request)

    def _admit(self, ask: Ask) -> None:
        if ask.admitted is None:
            ask.admitted = True
            ask.on_decided()

    def _refuse(self, ask: Ask, now: float) -> None:
        ask.admitted = False
        ask.retry_after_s = self._ledger(ask.account).retry_after_s(now)

    def _forget_old_asks(self, now: float) -> None:
        while self._ask_by_id:
            oldest = next(iter(self._ask_by_id.values()))
            if oldest.asked_at >= now - ASK_LIFE_S:
                return
            del self._ask_by_id[oldest.id]
