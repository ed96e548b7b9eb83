"""Plays requests of one account against the usage cap decisions of many entries.

Time is virtual, messages take time and may be lost, and entries die, freeze or lose
each other. ``python -m tests.cap_model`` prints the figures of all cases.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any

from attrs import define, field

from dotterelpier.fleet.usage_caps.bucket import TokenBucket
from dotterelpier.fleet.usage_caps.decisions import Ask, CapDecisions
from dotterelpier.fleet.usage_caps.homes import CapTerms
from dotterelpier.fleet.usage_caps.service import REPLY_WAIT_S
from dotterelpier.fleet_settings import BoundSettings
from dotterelpier.model.account import UsageCap
from dotterelpier.model.fleet import FleetMember
from dotterelpier.model.grant import GrantMessage, GrantRequest

BOUNDS = BoundSettings()
ACCOUNT = "a"
ZONES = 4
LATENCY_S = {True: 0.0003, False: 0.0014}
# From the death of an entry until its row is deleted, and until all others know it.
REMOVAL_S, SPREAD_S = 4.0, 1.0


@define(eq=False)
class PlayedEntry:
    """An entry, and whether it runs; a frozen one runs again at ``frozen_until``."""

    member: FleetMember
    decisions: CapDecisions
    alive: bool = True
    frozen_until: float = 0.0


@define(eq=False, slots=False)
class CapModel:
    """Entries of a fleet, the network between them, and requests of one account.

    Attributes
    ----------
    demanded, ideal, run : list of float
        When clients sent requests, when those came that one token bucket would admit,
        and when admitted ones ran.
    messages : int
        Datagrams sent.
    cut : Callable
        Whether a message from one entry to another is lost at a time.
    """

    size: int
    cap: UsageCap
    seed: int = 1
    first_start: bool = False
    loss: float = 0.0
    now: float = 100.0
    version: int = 1
    capped: bool = True
    demanded: list[float] = field(factory=list)
    ideal: list[float] = field(factory=list)
    run: list[float] = field(factory=list)
    messages: int = 0
    cut: Callable[[PlayedEntry, PlayedEntry], bool] = lambda sender, receiver: False
    _events: list[tuple[float, int, Callable[[], None]]] = field(factory=list)
    _sequence: "itertools.count[int]" = field(factory=itertools.count)

    def __attrs_post_init__(self) -> None:
        self.random = random.Random(self.seed)
        self._bucket = TokenBucket(self.cap, self.cap.burst, self.now)
        self.entries = [self._make(number) for number in range(self.size)]
        self.by_address = {item.member.peer_address: item for item in self.entries}
        self.members = tuple(item.member for item in self.entries)
        self.terms = CapTerms(BOUNDS.cap_slack, BOUNDS.cap_over, self.size)
        for entry in self.entries:
            entry.decisions.follow_fleet(self.members, self.now, self.terms)
        if not self.first_start:
            # The homes have been the same for long.
            self.now += 100.0

    def _make(self, number: int, incarnation: str = "1") -> PlayedEntry:
        member = FleetMember(
            f"e-{number:03}", f"z{number % ZONES}", "", f"e-{number:03}", incarnation
        )
        until = self.now + 10.0 if self.first_start else 0.0
        return PlayedEntry(member, CapDecisions(member, until, self.random))

    @property
    def home(self) -> PlayedEntry:
        """Return the entry that is the home in the view of all members."""
        views = self.entries[0].decisions._views
        return self.by_address[views.home(ACCOUNT).peer_address]

    def others(self, entry: PlayedEntry) -> list[PlayedEntry]:
        """Return all entries but one."""
        return [item for item in self.entries if item is not entry]

    def at(self, time: float, action: Callable[[], None]) -> None:
        """Run an action at a time."""
        heapq.heappush(self._events, (time, next(self._sequence), action))

    def play(self, seconds: float, per_s: float, *entries: PlayedEntry) -> None:
        """Send requests at random times to some entries, by default to all."""
        until, chosen = self.now + seconds, entries or tuple(self.entries)
        next_at = self.now + (self.random.expovariate(per_s) if per_s else seconds)
        while next_at < until or (self._events and self._events[0][0] <= until):
            if self._events and self._events[0][0] <= next_at:
                self.now, _, action = heapq.heappop(self._events)
                action()
                continue
            self.now = next_at
            self.demanded.append(self.now)
            self._note_ideal()
            self._request(self.random.choice(chosen))
            next_at += self.random.expovariate(per_s)
        self.now = until

    def set_members(self, *entries: PlayedEntry) -> None:
        """Tell each running entry the members, at a random time within a second.

        Those that leave know it at once.
        """
        self.members = tuple(sorted((item.member for item in entries), key=str))
        self.by_address.update({item.member.peer_address: item for item in entries})
        for entry in set(self.entries) - set(entries):
            self._follow(entry)()
        for entry in entries:
            self.at(self.now + SPREAD_S * self.random.random(), self._follow(entry))

    def _follow(self, entry: PlayedEntry) -> Callable[[], None]:
        members = self.members

        def follow() -> None:
            if entry.alive:
                messages = entry.decisions.follow_fleet(members, self.now, self.terms)
                self._send(entry, messages)

        return follow

    def kill(self, *victims: PlayedEntry) -> None:
        """End entries at once; the others hear of it seconds later."""
        for entry in victims:
            entry.alive = False
        left = [item for item in self.entries if item.alive]
        self.at(self.now + REMOVAL_S, lambda: self.set_members(*left))

    def restart_all(self, after_s: float) -> None:
        """End all entries; new incarnations run after a time, with the same members."""
        for entry in self.entries:
            entry.alive = False

        def restart() -> None:
            self.entries = [self._make(number, "2") for number in range(self.size)]
            self.set_members(*self.entries)

        self.at(self.now + after_s, restart)

    def _note_ideal(self) -> None:
        """Decide about a request as one token bucket for all entries would."""
        self._bucket.refill(self.now)
        self._bucket.set_cap(self.cap)
        if self.capped and self._bucket.level < 1:
            return
        self._bucket.level -= self.capped
        self.ideal.append(self.now)

    def _request(self, entry: PlayedEntry) -> None:
        if not entry.alive or self.now < entry.frozen_until:
            return
        if not self.capped:
            self.run.append(self.now)
            return
        ask = entry.decisions.begin(
            ACCOUNT, self.version, self.cap, self.now, self.terms
        )
        ask.on_decided = lambda: self._note_run(ask)
        self._send(entry, ask.messages)
        if ask.admitted is None:
            self.at(self.now + REPLY_WAIT_S, lambda: self._repeat(entry, ask))
        else:
            self._note_run(ask)

    def _note_run(self, ask: Ask) -> None:
        if ask.admitted:
            self.run.append(self.now)

    def _repeat(self, entry: PlayedEntry, ask: Ask) -> None:
        if ask.admitted is not None or not entry.alive:
            return
        if self.now < entry.frozen_until:
            self.at(entry.frozen_until, lambda: self._repeat(entry, ask))
            return
        self._send(entry, entry.decisions.repeat(ask, self.now, self.terms))
        if ask.admitted is None:
            self.at(self.now + REPLY_WAIT_S, lambda: self._repeat(entry, ask))
        else:
            self._note_run(ask)

    def _send(self, sender: PlayedEntry, messages: list[GrantMessage]) -> None:
        for message in messages:
            self.messages += 1
            receiver = self.by_address[message.address]
            if self.random.random() < self.loss or self.cut(sender, receiver):
                continue
            near = sender.member.zone == receiver.member.zone
            delay_s = LATENCY_S[near] * self.random.uniform(1, 2)
            self.at(self.now + delay_s, self._delivery(receiver, message.content))

    def _delivery(self, receiver: PlayedEntry, content: Any) -> Callable[[], None]:
        def deliver() -> None:
            if not receiver.alive:
                return
            if self.now < receiver.frozen_until:
                self.at(receiver.frozen_until, deliver)
            elif isinstance(content, GrantRequest):
                answers = receiver.decisions.receive_request(
                    content, self.now, self.terms
                )
                self._send(receiver, answers)
            else:
                answers = receiver.decisions.receive_reply(content, self.now)
                self._send(receiver, answers)

        return deliver

    @property
    def seconds(self) -> float:
        """Return for how long requests came."""
        return self.now - self.demanded[0]

    def over(self, since: float = 0.0, cap: UsageCap | None = None) -> float:
        """Return the largest share of the bound that ran in a window."""
        cap, window_s = cap or self.cap, BOUNDS.cap_window_s
        bound = (cap.rate_per_s * window_s + cap.burst) * (1 + BOUNDS.cap_over)
        bound += BOUNDS.cap_slack
        runs, first, most = sorted(at for at in self.run if at >= since), 0, 0
        for last, at in enumerate(runs):
            while runs[first] <= at - window_s:
                first += 1
            most = max(most, last - first + 1)
        return most / bound

    def under(self, since: float = 0.0) -> float:
        """Return the share that is missing of what one token bucket would admit."""
        ideal, run = (sum(at >= since for at in one) for one in (self.ideal, self.run))
        return 1 - run / ideal if ideal else 0.0


def concentrated(model: CapModel) -> None:
    """All clients of the account use one entry, a little below the cap."""
    model.play(20.0, 0.9 * model.cap.rate_per_s, model.entries[-1])


def sparse(model: CapModel) -> None:
    """Five requests per second over all entries."""
    model.cap = UsageCap(6.0, 6.0)
    model.play(60.0, 5.0)


def storm(model: CapModel) -> None:
    """Seven times the usual demand, which is half of the cap."""
    model.play(8.0, 0.5 * model.cap.rate_per_s)
    model.play(12.0, 3.5 * model.cap.rate_per_s)


def moves(model: CapModel) -> None:
    """More demand than the cap moves to another zone within a second."""
    zones = [
        [item for item in model.entries if item.member.zone == f"z{number}"]
        for number in (0, 1)
    ]
    for part in (0, 1, 0):
        model.play(6.0, 2 * model.cap.rate_per_s, *zones[part])


def burst(model: CapModel) -> None:
    """Send a burst of the size of the cap after a silence, again and again."""
    for _ in range(4):
        model.play(0.2, 5 * model.cap.burst, *model.entries[-2:])
        model.play(6.0, 0.0)


def lossy(model: CapModel) -> None:
    """Lose a tenth of all messages, at twice the cap."""
    model.loss = 0.1
    model.play(15.0, 2 * model.cap.rate_per_s)


def home_dies(model: CapModel) -> None:
    """Kill the home under demand below the cap, and later under a storm."""
    for demand in (0.8, 3.5):
        model.play(8.0, demand * model.cap.rate_per_s)
        model.kill(model.home)
        model.entries = [item for item in model.entries if item.alive]
        model.play(12.0, demand * model.cap.rate_per_s)


def home_freezes(model: CapModel) -> None:
    """Freeze the home for three seconds, in which it is not removed."""
    for demand in (0.8, 3.5):
        model.play(8.0, demand * model.cap.rate_per_s)
        model.home.frozen_until = model.now + 3.0
        model.play(10.0, demand * model.cap.rate_per_s)


def home_cut_off(model: CapModel) -> None:
    """Cut off the zone of the home for ten seconds, under a storm on both sides."""
    model.play(8.0, 3.5 * model.cap.rate_per_s)
    zone = model.home.member.zone
    model.cut = lambda one, other: (
        (one.member.zone == zone) != (other.member.zone == zone)
    )
    model.play(10.0, 3.5 * model.cap.rate_per_s)
    model.cut = lambda one, other: False
    model.play(8.0, 3.5 * model.cap.rate_per_s)


def one_way(model: CapModel) -> None:
    """Nothing that the home sends arrives for ten seconds."""
    model.play(8.0, 2 * model.cap.rate_per_s)
    home = model.home
    model.cut = lambda sender, receiver: sender is home
    model.play(10.0, 2 * model.cap.rate_per_s)
    model.cut = lambda one, other: False
    model.play(8.0, 2 * model.cap.rate_per_s)


def all_killed(model: CapModel) -> None:
    """All entries are killed at once and start again two seconds later."""
    model.play(8.0, 2 * model.cap.rate_per_s)
    model.restart_all(2.0)
    model.play(3.5, 2 * model.cap.rate_per_s)
    model.play(8.0, 2 * model.cap.rate_per_s)


def joins(model: CapModel) -> None:
    """Entries leave and join one by one, at twice the cap."""
    entries = list(model.entries)
    for number in range(3):
        model.set_members(*entries[:number], *entries[number + 1 :])
        model.play(3.0, 2 * model.cap.rate_per_s, *model.others(entries[number]))
        model.set_members(*entries)
        model.play(3.0, 2 * model.cap.rate_per_s)


def cap_changes(model: CapModel) -> None:
    """Remove the cap, set it again, lower it and raise it, under a storm."""
    high = model.cap
    for capped, cap in ((False, high), (True, high)):
        model.capped = capped
        model.version += 1
        model.play(6.0, 0.9 * cap.rate_per_s)
    low = UsageCap(high.rate_per_s / 4, high.burst / 4)
    model.cap, model.version = low, model.version + 1
    model.play(4.0, 2 * low.rate_per_s)
    lowered_at = model.now
    model.play(8.0, 2 * low.rate_per_s)
    assert model.over(lowered_at) <= 1.0
    model.cap, model.version = high, model.version + 1
    model.play(8.0, 0.9 * high.rate_per_s)


CASES = {
    case.__name__: case
    for case in (
        *(concentrated, sparse, storm, moves, burst, lossy, home_dies, home_freezes),
        *(home_cut_off, one_way, all_killed, joins, cap_changes),
    )
}


def played(case: str, size: int, seed: int = 1) -> CapModel:
    """Return the model of a case after it was played."""
    model = CapModel(size, UsageCap(60.0, 60.0), seed)
    CASES[case](model)
    return model


def main() -> None:
    """Print the figures of all cases."""
    print("case | entries | share of the bound | missing | messages/s | per request")
    for case in CASES:
        for size in (3, 47, 121, 312):
            model = played(case, size)
            print(
                f"{case} | {size} | {model.over():.2f} | {100 * model.under():.1f} % |"
                f" {model.messages / model.seconds:.0f} |"
                f" {model.messages / len(model.demanded):.2f}"
            )


if __name__ == "__main__":
    main()
