"""Plays a load against hedging in virtual time: ``python -m tests.hedge_model``.

Extends the model of the waiting room by slow phases that begin and end between the load
reports, by requests that take long by themselves, and by hedged requests.
"""

import math
import sys
from collections.abc import Callable
from random import Random
from typing import Any

from attrs import define, evolve
from loguru import logger

from dotterelpier.fleet.hedging.fixed_delay import FixedDelayHedging
from dotterelpier.fleet.hedging.limited import LimitedHedging
from dotterelpier.fleet.retry_budget import SharedRetryBudget
from dotterelpier.fleet_settings import BoundSettings
from dotterelpier.model.hedge import HedgeCandidate
from tests.fakes import FixedSettings
from tests.load_model import STEP_S, LoadModel, PlayedRequest, make_route
from tests.test_fleet_decisions import Fleet, NoMetrics, member

SLOW_PHASE_S = 0.5
SLOW_SHARE, HEAVY_SHARE, FACTOR = 0.25, 0.03, 7.0
WORK_S, SLOTS = 0.16, 4
# Share of the slots that slow phases leave, by the mean work of a request.
SERVED_PER_S = (
    SLOTS
    * (1 - SLOW_SHARE * (1 - 1 / FACTOR))
    / (WORK_S * (1 + HEAVY_SHARE * (FACTOR - 1)))
)
LIMITED = "limited"


@define(eq=False)
class Attempts:
    """The attempts of a request that has no answer yet."""

    first: PlayedRequest
    policy: Any
    second: PlayedRequest | None = None
    slowed: bool = False
    due: bool = False
    hedged: bool = False
    unwatch: Callable[[], None] = lambda: None


class HedgeModel(LoadModel):
    """Entries whose requests are idempotent, with a policy each: none, fixed, limited.

    They share a waiting room and what is known of the backend servers.
    """

    def __init__(self, servers, seed, policy="", hedge_share=0.0, entries=1) -> None:
        super().__init__(servers, seed)
        # Draws of their own, so that runs with other policies see the same load.
        self.phases, self.seconds = Random(seed + 1), Random(seed + 2)
        settings = FixedSettings(BoundSettings(hedge_share=hedge_share))
        fleet = Fleet(*(member(f"e-{number}") for number in range(entries)))
        self.budget = SharedRetryBudget(self.clock, fleet, settings)
        common = (NoMetrics(), fleet, settings, self.conditions, self.room)
        make = {"fixed": FixedDelayHedging, LIMITED: lambda: LimitedHedging(*common)}
        self.policies = [make[policy]() for _ in range(entries)] if policy else [None]
        self.open: dict[int, Attempts] = {}
        self.sent: list[tuple[float, bool]] = []
        self.won, self.spent_s, self.wasted_s = 0, 0.0, 0.0

    def _change_phase(self, server) -> None:
        """Do nothing; phases change between the reports, in ``_serve_waiting``."""

    def _serve_waiting(self) -> None:
        for server in self.servers:
            if self.phases.random() < STEP_S / SLOW_PHASE_S:
                slow = self.phases.random() < self.slow_share
                server.slowdown = self.slow_factor if slow else 1.0
        super()._serve_waiting()
        for attempts in {id(item): item for item in self.open.values()}.values():
            self._consider_hedge(attempts)

    def _draw_work_s(self, random: Random | None = None) -> float:
        random = random or self.random
        heavy = random.random() < HEAVY_SHARE
        return WORK_S * random.lognormvariate(0, 0.3) * (FACTOR if heavy else 1.0)

    def _begin(self, item: PlayedRequest) -> None:
        super()._begin(item)
        attempts = Attempts(item, self.phases.choice(self.policies))
        self.open[id(item)] = attempts
        self.sent.append((self.clock.now, False))
        self.budget.note_request("svc")
        if attempts.policy is not None:
            attempts.policy.note_request("svc")
        attempts.unwatch = self.conditions.watch_slowdown(
            item.choice.instance.id, lambda: setattr(attempts, "slowed", True)
        )

    def _consider_hedge(self, attempts: Attempts) -> None:
        """Decide as forwarding does."""
        policy, item, now = attempts.policy, attempts.first, self.clock.now
        slowed, attempts.slowed = attempts.slowed, False
        if policy is None or attempts.hedged:
            return
        due_at = policy.due_at(item.route, item.arrived_at, item.sent_at)
        if now >= due_at and not attempts.due:
            # One that was overdue when the first attempt was sent is not sent.
            attempts.due, slowed = True, slowed or due_at >= item.sent_at
        if not slowed:
            return
        peer = item.choice.instance.id
        times = (item.arrived_at, item.sent_at)
        if policy.admit(HedgeCandidate("svc", item.route, peer, *times), now):
            attempts.hedged = True
            if not self._hedge(attempts):
                policy.note_unsent("svc", no_room=True)

    def _hedge(self, attempts: Attempts) -> bool:
        item, now = attempts.first, self.clock.now
        if not self.budget.try_withdraw("svc"):
            return False
        choice = self.conditions.pick(
            "svc",
            item.route,
            frozenset({item.choice.instance.id}),
            item.arrived_at + item.route.target_s - now,
            spare_room=attempts.policy.limited,
        )
        if choice is None:
            self.budget.refund("svc")
            return False
        work_s = self._draw_work_s(self.seconds)
        second = evolve(item, work_s=work_s, choice=choice, sent_at=now)
        attempts.second = second
        self.open[id(second)] = attempts
        self.sent.append((now, True))
        super()._begin(second)
        return True

    def _note_done(self, server, item) -> None:
        super()._note_done(server, item)
        attempts = self.open.pop(id(item))
        attempts.unwatch()
        won = item is attempts.second
        self.won += won
        self._note_ended(attempts, item, ended=True)
        loser = attempts.first if won else attempts.second
        if loser is not None:
            del self.open[id(loser)]
            at = next(item for item in self.servers if loser in item.requests)
            at.requests.remove(loser)
            overdue = self.clock.now - loser.sent_at > loser.route.target_s
            self.conditions.note_ended(at.instance.id, False if overdue else None)
            self._note_ended(attempts, loser, ended=False)
        attempts.first.answered_at = self.clock.now

    def _note_ended(self, attempts, item, *, ended: bool) -> None:
        duration_s = self.clock.now - item.sent_at
        self.spent_s += duration_s
        self.wasted_s += 0.0 if ended else duration_s
        if attempts.policy is not None and item is attempts.first:
            attempts.policy.note_attempt(item.route, duration_s, ended=ended)

    def hedges(self, since: float, until: float) -> int:
        """Return the number of hedged requests that were sent in a time."""
        return sum(hedge and since <= at < until for at, hedge in self.sent)

    def quantile_ms(self, share: float, since: float) -> float:
        """Return a quantile of the response times of answered requests."""
        times = sorted(
            item.answered_at - item.arrived_at
            for item in self.requests
            if item.answered_at is not None and item.arrived_at >= since
        )
        return round(1000 * times[int(len(times) * share)])


def play(load: float, seed: int, policy="", hedge_share=0.0, **options) -> HedgeModel:
    """Play 30 s at a load, as a share of what the backend servers can do."""
    target_s, servers = options.pop("target_s", 0.4), options.pop("servers", 16)
    model = HedgeModel(servers, seed, policy, hedge_share, **options)
    route = make_route("r", target_s=target_s)
    model.play(30.0, lambda at: load * servers * SERVED_PER_S, route)
    model.play(3.0, lambda at: 0.0, route)
    return model


def main(target_s: float = 0.4) -> None:
    """Print what clients get and what it costs, for each load and policy.

    In columns: load, policy, limit, share in the objective, 50th and 99th percentile of
    the response time in ms, hedged requests, those that won, and time of slots that
    aborted attempts took; shares are percentages.
    """
    logger.remove()
    policies = [("", 0.0), ("fixed", 0.0), *((LIMITED, s) for s in (0.02, 0.05, 0.1))]
    for load in (0.5, 0.8, 1.3):
        for policy in policies:
            rows = [
                _figures(play(load, seed, *policy, target_s=target_s))
                for seed in range(3)
            ]
            means = (sum(column) / len(rows) for column in zip(*rows, strict=True))
            print(load, *policy, *(f"{mean:.1f}" for mean in means), flush=True)


def _figures(model: HedgeModel) -> tuple[float, ...]:
    hedges = model.hedges(0.0, math.inf)
    return (
        100 * model.share_in_objective(8.0, 30.0),
        model.quantile_ms(0.5, 8.0),
        model.quantile_ms(0.99, 8.0),
        100 * hedges / (len(model.sent) - hedges),
        100 * model.won / max(1, hedges),
        100 * model.wasted_s / model.spent_s,
    )


if __name__ == "__main__":
    main(*map(float, sys.argv[1:]))
