"""Usage caps as a service: its datagrams, and the requests that wait for them."""

import random
import threading

from attrs import define, field

from dotterelpier.errors import OverCapError
from dotterelpier.fleet.usage_caps.decisions import STEP, Ask, CapDecisions
from dotterelpier.fleet.usage_caps.homes import FIRST_START_S, CapTerms
from dotterelpier.kernel import Kernel
from dotterelpier.model.account import Account, UsageCap
from dotterelpier.model.grant import GrantMessage, GrantRequest
from dotterelpier.protocols import Clock, Metrics, ServiceName
from dotterelpier.protocols.fleet import (
    DatagramKind,
    Datagrams,
    Fleet,
    LiveSettings,
    Routes,
    UsageCaps,
)
from dotterelpier.wire.grants import (
    decode_grant_reply,
    decode_grant_request,
    encode_grant_reply,
    encode_grant_request,
)

# Time for an answer of the home, far above the latency between zones.
REPLY_WAIT_S = 0.06
# Entries to assume until the table of entries was read.
UNKNOWN_ENTRIES = 128
# Accounts with a time series of their own.
MAX_LABELLED_ACCOUNTS = 100
# Clients honour a time to retry up to this share of the time that they have left.
MAX_RETRY_AFTER_SHARE = 1 / 3
# The header has hundredths of a second, and 0 would mean to come back at once.
MIN_RETRY_AFTER_S = 0.02


@define
class SharedUsageCaps:
    """Asks the homes of accounts for grants, and answers for those at home here.

    The thread that serves a request waits for the answer. Thread-safe.
    """

    _clock: Clock
    _metrics: Metrics
    _fleet: Fleet
    _routes: Routes
    _datagrams: Datagrams
    _settings: LiveSettings
    _first_start: bool
    _decisions: CapDecisions = field(init=False)
    _lock: threading.Lock = field(factory=threading.Lock)

    def __attrs_post_init__(self) -> None:
        self._decisions = CapDecisions(
            self._fleet.me(),
            self._clock.monotonic() + (FIRST_START_S if self._first_start else 0.0),
            random.Random(),
        )

    def start(self) -> None:
        """Subscribe to datagrams, and to changes of the fleet and the accounts."""
        self._datagrams.subscribe(DatagramKind.GRANT_REQUEST, self._receive_request)
        self._datagrams.subscribe(DatagramKind.GRANT_REPLY, self._receive_reply)
        self._fleet.subscribe(self._follow_fleet)
        self._routes.subscribe(self._follow_accounts)
        self._follow_fleet()
        self._follow_accounts()

    def stop(self) -> None:
        """Do nothing; the service runs no task."""

    def admit(self, account: Account | None, version: int, deadline_at: float) -> None:
        """Charge a request to its account; blocks for at most two waits for the home.

        Parameters
        ----------
        account : Account or None
            Account of the request, if any.
        version : int
            Version of the configuration that declares the account.
        deadline_at : float
            Deadline of the answer, in seconds on the monotonic clock.

        Raises
        ------
        OverCapError
            If its cap is used up; the request must not run.
        """
        if account is None or account.cap is None:
            return
        ask = self._decide(account.name, account.cap, version, deadline_at)
        if ask.admitted:
            return
        self._metrics.count("over_cap", account=account.name)
        left_s = max(0.0, deadline_at - self._clock.monotonic())
        message = f"the cap of account {account.name!r} is used up"
        error = OverCapError(message, step=STEP, peer=ask.home)
        retry_after_s = max(ask.retry_after_s, MIN_RETRY_AFTER_S)
        error.retry_after_s = min(retry_after_s, left_s * MAX_RETRY_AFTER_SHARE)
        raise error

    def try_extra(
        self, account: Account | None, version: int, deadline_at: float, *, waits: bool
    ) -> bool:
        """Charge a further attempt of a request; return whether it may run.

        Unless ``waits``, it does not block, and only succeeds far below the cap.
        """
        if account is None or account.cap is None:
            return True
        if waits:
            ask = self._decide(account.name, account.cap, version, deadline_at)
            return bool(ask.admitted)
        with self._lock:
            admitted, messages = self._decisions.try_extra(
                account.name, version, account.cap, self._now(), self._terms()
            )
        self._send(messages)
        return admitted

    def give_back(self, account: Account | None) -> None:
        """Return what was charged for a request that was not sent."""
        if account is not None and account.cap is not None:
            with self._lock:
                self._decisions.give_back(account.name, self._now())

    def _decide(
        self, account: str, cap: UsageCap, version: int, deadline_at: float
    ) -> Ask:
        decided = threading.Event()
        with self._lock:
            ask = self._decisions.begin(
                account, version, cap, self._now(), self._terms()
            )
            ask.on_decided = decided.set
        messages = ask.messages
        self._send(messages)
        while ask.admitted is None:
            left_s = max(0.0, deadline_at - self._now())
            if decided.wait(min(REPLY_WAIT_S, left_s)):
                break
            with self._lock:
                messages = self._decisions.repeat(ask, self._now(), self._terms())
            self._send(messages)
        if ask.decided_alone:
            self._metrics.count("cap_fallbacks")
        return ask

    def _receive_request(self, content: bytes) -> None:
        request = decode_grant_request(content)
        with self._lock:
            messages = self._decisions.receive_request(
                request, self._now(), self._terms()
            )
        self._send(messages)

    def _receive_reply(self, content: bytes) -> None:
        reply = decode_grant_reply(content)
        with self._lock:
            messages = self._decisions.receive_reply(reply, self._now())
        self._send(messages)

    def _follow_fleet(self) -> None:
        if not self._fleet.loaded():
            # Every entry knows only itself at first, and would be the home of all.
            return
        members = self._fleet.members()
        with self._lock:
            messages = self._decisions.follow_fleet(members, self._now(), self._terms())
        self._send(messages)

    def _follow_accounts(self) -> None:
        table = self._routes.table()
        if table is None:
            return
        accounts = table.account_by_key_digest.values()
        capped = {account.name for account in accounts if account.cap is not None}
        with self._lock:
            self._decisions.retain(capped)
        labelled = frozenset(sorted(capped)[:MAX_LABELLED_ACCOUNTS])
        self._metrics.restrict_label_values("account", labelled)

    def _send(self, messages: list[GrantMessage]) -> None:
        for message in messages:
            content = message.content
            if isinstance(content, GrantRequest):
                kind, encoded = (
                    DatagramKind.GRANT_REQUEST,
                    encode_grant_request(content),
                )
            else:
                kind, encoded = DatagramKind.GRANT_REPLY, encode_grant_reply(content)
            self._datagrams.send(message.address, kind, encoded)

    def _now(self) -> float:
        return self._clock.monotonic()

    def _terms(self) -> CapTerms:
        entries = self._fleet.size() if self._fleet.loaded() else UNKNOWN_ENTRIES
        bounds = self._settings.bounds()
        return CapTerms(bounds.cap_slack, bounds.cap_over, entries)


def make_usage_caps(kernel: Kernel, *, first_start: bool) -> UsageCaps:
    """Return the service, not yet started.

    With ``first_start``, the whole fleet starts for the first time, so that no cap can
    have been used before.
    """
    return SharedUsageCaps(
        kernel.find(ServiceName.CLOCK, Clock),
        kernel.find(ServiceName.METRICS, Metrics),
        kernel.find(ServiceName.FLEET, Fleet),
        kernel.find(ServiceName.ROUTES, Routes),
        kernel.find(ServiceName.DATAGRAMS, Datagrams),
        kernel.find(ServiceName.LIVE_SETTINGS, LiveSettings),
        first_start,
    )
