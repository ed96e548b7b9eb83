"""When a second attempt of a request is due."""

import math

from dotterelpier.fleet.hedging.durations import EDGES_S, DurationEstimate

# Attempts that the share of the slowest must hold before the estimate is used.
MIN_SLOWEST = 2.0
# A hedged request that ends within the objective less often is not worth its work.
MIN_IN_OBJECTIVE = 0.1


def is_known(estimate: DurationEstimate, hedge_share: float) -> bool:
    """Return whether enough attempts are known to set the delay by them."""
    return estimate.count * hedge_share >= MIN_SLOWEST


def hedge_delay_s(
    estimate: DurationEstimate, hedge_share: float, target_s: float
) -> float:
    """Return how long after the first attempt the second one is due, in seconds.

    It is the time that the share of requests that may be hedged exceeds. An earlier
    time is taken if a second attempt so late would seldom end within the objective:
    more requests are then still open than may be hedged, so each is hedged with the
    chance ``hedge_share`` by the share still open, and the time at which the most
    hedged requests end within the objective is the best. Infinite if too few would.

    Parameters
    ----------
    estimate : DurationEstimate
        Durations of attempts of the route.
    hedge_share : float
        Share of requests that may be hedged.
    target_s : float
        Response time objective of the route, in seconds.
    """
    latest_s = min(estimate.quantile_s(hedge_share), target_s)
    best_s, most = math.inf, 0.0
    for delay_s in (*(edge for edge in EDGES_S if edge < latest_s), latest_s):
        in_objective = in_objective_share(estimate, target_s - delay_s)
        if in_objective < MIN_IN_OBJECTIVE:
            break
        gain = in_objective / max(estimate.slower_share(delay_s), hedge_share)
        if gain >= most:
            best_s, most = delay_s, gain
    return best_s


def in_objective_share(estimate: DurationEstimate, left_s: float) -> float:
    """Return the share of attempts that end within the time left."""
    return 1 - estimate.slower_share(left_s)
