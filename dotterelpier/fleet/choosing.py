"""Choice of the backend server for a request among the eligible ones."""

import random

from attrs import define, field, frozen

from dotterelpier.fleet.condition import LAST_SLOT_PENALTY, Condition
from dotterelpier.fleet.rollouts.disabled import UNTRACKED
from dotterelpier.model.instance import Instance
from dotterelpier.model.route import Route
from dotterelpier.protocols.fleet import TrackedAttempt

# Added to the expected time of a backend server in another zone, in multiples of the
# usual work time. Traffic between zones is billed, so large bodies cost much more.
OTHER_ZONE_PENALTY = 0.65
OTHER_ZONE_PENALTY_LARGE = 5.0
# Added for a backend server whose last health check reported it as unhealthy. It stays
# eligible, as the check may be wrong.
UNHEALTHY_PENALTY = 2.0
# Backend servers whose scores differ by at most this are chosen at random, so that
# entries with the same load reports do not all send to one of them.
TIE_MARGIN = 0.2


@frozen
class ChosenInstance:
    """A backend server chosen for a request, and the figures behind the choice.

    Attributes
    ----------
    instance : Instance
        The backend server.
    work_ratio : float
        Its expected work time, in multiples of the usual.
    expected_time : float
        Expected time to an answer, in multiples of the usual work time.
    load_age_s : float
        Age of its last load report in seconds, infinite if there is none.
    estimated_in_flight : int
        Requests estimated to be at it before this one, from all entries.
    cold : bool
        Whether it was in its cold start.
    tracked : TrackedAttempt
        How the roll-out of its service counts the attempt.
    """

    instance: Instance
    work_ratio: float
    expected_time: float
    load_age_s: float
    estimated_in_flight: int
    cold: bool = False
    tracked: TrackedAttempt = UNTRACKED


@define
class ConditionChooser:
    """Chooses the backend server with the lowest score, at random among near equals.

    The random choice is weighted by the number of free slots.
    """

    _random: random.Random = field(factory=random.Random)

    def choose(
        self, conditions: list[Condition], route: Route, own_zone: str, now: float
    ) -> Condition | None:
        """Return the condition of the chosen backend server, None without candidates.

        Parameters
        ----------
        conditions : list of Condition
            Conditions of the eligible backend servers.
        route : Route
            Route of the request.
        own_zone : str
            Zone of this entry.
        now : float
            Time on the monotonic clock, in seconds.
        """
        if not conditions:
            return None
        scores = [_score(item, route, own_zone, now) for item in conditions]
        limit = min(scores) + TIE_MARGIN
        tied = [
            item
            for item, score in zip(conditions, scores, strict=True)
            if score <= limit
        ]
        weights = [
            max(1, item.instance.slots - item.estimated_in_flight()) for item in tied
        ]
        return self._random.choices(tied, weights)[0]


def _score(condition: Condition, route: Route, own_zone: str, now: float) -> float:
    score = condition.expected_time(now)
    if condition.instance.zone != own_zone:
        large = route.large_bodies
        score += OTHER_ZONE_PENALTY_LARGE if large else OTHER_ZONE_PENALTY
    if not condition.healthy:
        score += UNHEALTHY_PENALTY
    if condition.takes_last_slot():
        score += LAST_SLOT_PENALTY
    return score
