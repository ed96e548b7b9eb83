"""Hedging within the share of requests that operators allow."""

import threading

from attrs import define, field, frozen

from dotterelpier.fleet.hedging.benefit import hedge_benefit
from dotterelpier.fleet.hedging.budget import LEAST_BENEFIT, HedgeBudget
from dotterelpier.fleet.hedging.delay import hedge_delay_s, is_known
from dotterelpier.fleet.hedging.durations import DurationEstimate, RouteDurations
from dotterelpier.fleet.hedging.fixed_delay import FixedDelayHedging
from dotterelpier.model.hedge import HedgeCandidate
from dotterelpier.model.route import Route, RouteTable
from dotterelpier.protocols import Metrics
from dotterelpier.protocols.fleet import Conditions, Fleet, LiveSettings, WaitingRoom

# A delay takes about 0.2 ms to compute and changes little with a single attempt.
RECOMPUTE_ATTEMPTS = 16
# Applies to a route until enough of its attempts are known.
FIXED_DELAY = FixedDelayHedging()


@frozen
class RouteDelay:
    """Delay of a route, and what it was computed from.

    Attributes
    ----------
    hedge_share : float
        Limit of hedged requests as a share of the requests.
    target_s : float
        Objective of the route, in seconds.
    estimate : DurationEstimate
        Durations of its attempts.
    delay_s : float or None
        The delay in seconds, None while too few attempts are known.
    """

    hedge_share: float
    target_s: float
    estimate: DurationEstimate
    delay_s: float | None


@define
class LimitedHedging:
    """Hedges the requests that gain most, within ``hedge_share`` of each service.

    All times are on the monotonic clock, in seconds. Thread-safe.
    """

    _metrics: Metrics
    _fleet: Fleet
    _settings: LiveSettings
    _conditions: Conditions
    _waiting_room: WaitingRoom
    _durations: RouteDurations = field(factory=RouteDurations)
    _budget: HedgeBudget = field(factory=HedgeBudget)
    _delay_by_route: dict[str, RouteDelay] = field(factory=dict)
    _attempts_by_route: dict[str, int] = field(factory=dict)
    _lock: threading.Lock = field(factory=threading.Lock)

    limited: bool = field(default=True, init=False)

    def note_request(self, service: str) -> None:
        """Count a request that was sent, which allows more hedged requests."""
        hedge_share, entries = self._settings.bounds().hedge_share, self._fleet.size()
        with self._lock:
            self._budget.note_request(service, hedge_share, entries)

    def due_at(self, route: Route, arrived_at: float, sent_at: float) -> float:
        """Return when a hedged request is due, infinite if never."""
        delay = self._delay(route)
        if delay.delay_s is None:
            return FIXED_DELAY.due_at(route, arrived_at, sent_at)
        return sent_at + delay.delay_s

    def admit(self, candidate: HedgeCandidate, now: float) -> bool:
        """Withdraw a hedged request, unless load or the limit forbids it.

        Also if its benefit is too small.
        """
        service, benefit = candidate.service, self._benefit(candidate, now)
        if benefit < LEAST_BENEFIT:
            return False
        if self._lacks_room(service):
            self._metrics.count("hedges_suppressed", service=service)
            return False
        with self._lock:
            admitted = self._budget.try_withdraw(service, benefit)
        if not admitted:
            self._metrics.count("hedges_denied", service=service)
        return admitted

    def _benefit(self, candidate: HedgeCandidate, now: float) -> float:
        delay = self._delay(candidate.route)
        if delay.delay_s is None:
            return float(FIXED_DELAY.admit(candidate, now))
        return hedge_benefit(
            delay.estimate,
            now - candidate.sent_at,
            candidate.arrived_at + candidate.route.target_s - now,
            self._conditions.work_ratio(candidate.peer),
        )

    def _lacks_room(self, service: str) -> bool:
        """Return whether other requests need the room that a hedged one would take."""
        if self._waiting_room.is_waited_for(service):
            return True
        return self._conditions.lacks_room(service)

    def note_unsent(self, service: str, *, no_room: bool) -> None:
        """Return an admitted hedged request that was not sent."""
        if no_room:
            self._metrics.count("hedges_suppressed", service=service)
        entries = self._fleet.size()
        with self._lock:
            self._budget.refund(service, entries)

    def note_attempt(self, route: Route, duration_s: float, *, ended: bool) -> None:
        """Count the duration of an attempt that ended or was cut short."""
        with self._lock:
            self._durations.note(route.name, duration_s, ended=ended)
            attempts = self._attempts_by_route.get(route.name, 0) + 1
            self._attempts_by_route[route.name] = attempts % RECOMPUTE_ATTEMPTS
            if attempts >= RECOMPUTE_ATTEMPTS:
                self._delay_by_route.pop(route.name, None)

    def note_won(self, service: str) -> None:
        """Count a hedged request that gave the answer."""
        self._metrics.count("hedges_won", service=service)

    def keep(self, table: RouteTable) -> None:
        """Forget all routes and services that a configuration does not declare."""
        routes = table.route_names()
        with self._lock:
            self._durations.keep(routes)
            self._budget.keep(table.config_by_service)
            for name in self._delay_by_route.keys() - routes:
                del self._delay_by_route[name]
            for name in self._attempts_by_route.keys() - routes:
                del self._attempts_by_route[name]

    def _delay(self, route: Route) -> RouteDelay:
        hedge_share = self._settings.bounds().hedge_share
        with self._lock:
            delay = self._delay_by_route.get(route.name)
            if (
                delay is None
                or delay.hedge_share != hedge_share
                or delay.target_s != route.target_s
            ):
                delay = self._compute(route, hedge_share)
                self._delay_by_route[route.name] = delay
            return delay

    def _compute(self, route: Route, hedge_share: float) -> RouteDelay:
        estimate = self._durations.estimate(route.name)
        delay_s = None
        if is_known(estimate, hedge_share):
            delay_s = hedge_delay_s(estimate, hedge_share, route.target_s)
        return RouteDelay(hedge_share, route.target_s, estimate, delay_s)
