"""Usage caps of accounts over all entries: neither exceeded nor refused too early."""

import threading
import time

import pytest
from google.protobuf.message import DecodeError
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)
from loguru import logger

from dotterelpier.fleet.ranking import first
from dotterelpier.fleet.usage_caps.bucket import TokenBucket
from dotterelpier.fleet.usage_caps.home import AccountHome
from dotterelpier.model.account import UsageCap
from dotterelpier.model.grant import GrantReply, GrantRequest
from dotterelpier.protocols import ServiceName
from dotterelpier.protocols.fleet import Fleet
from dotterelpier.wire import grants
from tests.cap_model import BOUNDS, CASES, CapModel, PlayedEntry, played
from tests.fleet_system import start_another_entry
from tests.test_accounts import KEY, apply, send, start
from tests.utils import request, wait_until

SIZES = (3, 47, 121, 312)
# In these nothing fails and nobody asks for more than the cap, or all do all the time.
CALM = ("concentrated", "sparse", "storm", "moves", "burst", "joins", "cap_changes")


class CapMachine(RuleBasedStateMachine):
    """Demand, losses, freezes, cuts and home changes in any order."""

    @initialize(size=st.integers(2, 9), seed=st.integers(0, 99), first=st.booleans())
    def begin(self, size: int, seed: int, first: bool) -> None:
        logger.remove()
        self.model = CapModel(size, UsageCap(30.0, 30.0), seed, first)
        self.changed_at = -100.0

    def entry(self, number: int) -> PlayedEntry:
        return self.model.entries[number % len(self.model.entries)]

    @rule(seconds=st.floats(0.1, 4.0), times=st.sampled_from([0.1, 0.5, 1, 2, 7]))
    def demand_everywhere(self, seconds: float, times: float) -> None:
        self.model.play(seconds, 30 * times)

    @rule(number=st.integers(0, 8), seconds=st.floats(0.1, 2.0))
    def demand_at_one_entry(self, number: int, seconds: float) -> None:
        self.model.play(seconds, 100.0, self.entry(number))

    @rule(seconds=st.floats(0.1, 8.0))
    def silence(self, seconds: float) -> None:
        self.model.play(seconds, 0.0)

    @rule(loss=st.sampled_from([0.0, 0.05, 0.3]))
    def lose(self, loss: float) -> None:
        self.model.loss = loss

    @rule(number=st.integers(0, 8), seconds=st.floats(0.1, 4.0))
    def freeze(self, number: int, seconds: float) -> None:
        self.entry(number).frozen_until = self.model.now + seconds

    @rule(number=st.integers(0, 8), one_way=st.booleans())
    def cut_off(self, number: int, one_way: bool) -> None:
        cut = self.entry(number)
        self.model.cut = lambda sender, receiver: (
            sender is cut or (receiver is cut and not one_way)
        )

    @rule()
    def heal(self) -> None:
        self.model.cut = lambda sender, receiver: False

    @precondition(lambda self: self.model.now - self.changed_at > 6.0)
    @rule(number=st.integers(0, 8), dies=st.booleans())
    def lose_an_entry(self, number: int, dies: bool) -> None:
        if len(self.model.entries) < 2:
            return
        gone = self.entry(number)
        self.changed_at = self.model.now
        if dies:
            self.model.kill(gone)
        self.model.entries.remove(gone)
        if not dies:
            self.model.entries.append(gone)
            self.model.set_members(*self.model.others(gone))
            self.model.entries.remove(gone)

    @invariant()
    def cap_is_kept(self) -> None:
        if hasattr(self, "model"):
            assert self.model.over() <= 1.0


CapMachine.TestCase.settings = settings(max_examples=60, stateful_step_count=15)
TestCapMachine = CapMachine.TestCase


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("case", CASES)
def test_cap_is_kept_and_used_in_full(case, size) -> None:
    logger.remove()
    model = played(case, size)
    print(case, size, model.over(), model.under(), model.messages / model.seconds)
    assert model.over() <= 1.0
    if case in CALM:
        assert model.under() <= 0.02
        # One exchange for each request, and some checks.
        assert model.messages <= 2.5 * len(model.demanded)
    assert model.under(model.now - BOUNDS.cap_window_s) <= 0.1


def test_entry_that_starts_first_admits_a_burst_and_a_later_one_does_not() -> None:
    for first_start, least, most in ((True, 30, 31), (False, 10, 11)):
        model = CapModel(3, UsageCap(30.0, 30.0), 1, first_start)
        model.now = 100.0
        model.play(0.01, 10_000.0)
        assert least <= len(model.run) <= most


@pytest.mark.parametrize(
    "decode", [grants.decode_grant_request, grants.decode_grant_reply]
)
@given(content=st.binary(max_size=40))
def test_arbitrary_datagram_is_decoded_or_malformed(decode, content) -> None:
    try:
        decode(content)
    except DecodeError:
        pass


def test_messages_are_encoded_and_decoded() -> None:
    asked = GrantRequest("h:1", 7, "a", 3, UsageCap(2.5, 4.0), 2, 9, handed_over=-1.5)
    assert grants.decode_grant_request(grants.encode_grant_request(asked)) == asked
    reply = GrantReply(7, "a", 2, 0.25, 1.5, 0.5, 0.125, "h:1")
    assert grants.decode_grant_reply(grants.encode_grant_reply(reply)) == reply


def test_reply_to_a_request_for_no_grants_is_encoded() -> None:
    """Its negative wait was not, so the entry took the home for silent."""
    home = AccountHome(1, TokenBucket(UsageCap(30.0, 30.0), 30.0, 0.0), None)
    grant = home.grant("e-2", wanted=0, alone=0, now=0.0, entries=3)
    assert (grant.count, grant.hold_s, grant.room_s) == (0, 0.0, 0.0)
    reply = GrantReply(1, "a", 0, grant.hold_s, grant.room_s, grant.fill, 0.0)
    assert grants.decode_grant_reply(grants.encode_grant_reply(reply)) == reply


@pytest.fixture
def two():
    """Two entries, of which the first is the home of the account."""
    system, instance = start()
    other = start_another_entry(system, "entry-2")
    entries = (system, other)
    accounts = {"a": {"apiKeys": [KEY], "ratePerS": 20, "burst": 5}}
    apply(system, 2, accounts)
    fleets = [item.kernel.find(ServiceName.FLEET, Fleet) for item in entries]
    wait_until(lambda: all(len(item.members()) == 2 for item in fleets), "both join")
    wait_until(lambda: send(other, KEY).status == 200, "the other entry serves")
    home = first("account a", fleets[0].members())
    if home != fleets[0].me():
        entries = entries[::-1]
    yield entries, instance
    for entry in entries:
        entry.stop()


def test_cap_holds_over_two_entries_and_refused_requests_do_not_run(two) -> None:
    entries, instance = two
    ends_at, replies = time.monotonic() + 6.0, []
    runs: list[float] = []
    served = instance.script
    instance.script = lambda item: (runs.append(time.monotonic()), served(item))[1]

    def hammer(entry) -> None:
        while time.monotonic() < ends_at:
            replies.append((entry, send(entry, KEY)))

    threads = [threading.Thread(target=hammer, args=(item,)) for item in entries * 2]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    page = request(entries[0].settings.entry.metrics_address, "GET", "/metrics").body
    bound = (20 * 5 + 5) * 1.1 + 20
    assert max(sum(at <= item < at + 5 for item in runs) for at in runs) <= bound
    answered = sum(reply.status == 200 for _, reply in replies)
    refused = [reply for _, reply in replies if reply.status == 429]
    assert len(runs) == answered and refused
    for entry in entries:
        statuses = {reply.status for asked, reply in replies if asked is entry}
        assert statuses == {200, 429}
    assert all(item.outcome == "not-run" for item in refused)
    # Clients have three seconds, of which they wait a third.
    assert all(0 < float(item.headers["Retry-After"]) <= 1.0 for item in refused)
    assert len({item.headers["Retry-After"] for item in refused}) > 1
    assert b'dotterelpier_over_cap_total{account="a"}' in page


def test_entry_decides_without_a_home_that_died_and_then_is_the_home(two) -> None:
    (home, entry), _ = two
    # The home began with an empty burst, so a request may be over the cap at first.
    for number in range(5):
        wait_until(lambda: send(entry, KEY).status == 200, f"request {number} runs")
    home.kernel.stop()
    statuses: list[int] = []
    # Without the home, the part of the cap that this entry may use comes with time.
    wait_until(
        lambda: statuses.append(send(entry, KEY).status) or statuses[-1] == 200,
        "a request runs without the home",
    )
    assert set(statuses) <= {200, 429}
    fleet = entry.kernel.find(ServiceName.FLEET, Fleet)
    wait_until(lambda: len(fleet.members()) == 1, "the home is removed")
    wait_until(lambda: send(entry, KEY).status == 200, "the new home grants")
    page = request(entry.settings.entry.metrics_address, "GET", "/metrics").body
    alone = page.partition(b"\ndotterelpier_cap_fallbacks_total ")[2].split()[0]
    assert float(alone) >= 1
