"""Chooses the backend server for a request among those that can take it."""

import random

from attrs import define, field, frozen

from dotterelpier.fleet.condition import LAST_SLOT_PENALTY, Condition
from dotterelpier.model.instance import Instance
from dotterelpier.model.route import Route

# Added to the expected time of a backend server in another zone, in multiples of the
# usual work: bytes between zones have a price, those of large answers a high one.
OTHER_ZONE_PENALTY = 0.65
OTHER_ZONE_PENALTY_LARGE = 5.0
# Added where its own health check speaks against it; the check may be wrong.
UNHEALTHY_PENALTY = 2.0
# Backend servers that differ by less than this are chosen among at random, so that
# entries with the same knowledge do not all send to one.
TIE_MARGIN = 0.2


@frozen
class ChosenInstance:
    """A backend server chosen for a request, and what decided it."""

    instance: Instance
    work_ratio: float
    expected_time: float
    age_s: float
    estimated_in_flight: int


@define
class ConditionChooser:
    """Chooses by expected time, at random among those that hardly differ."""

    _random: random.Random = field(factory=random.Random)

    def choose(
        self, conditions: list[Condition], route: Route, own_zone: str, now: float
    ) -> Condition | None:
        """Return the condition of the chosen backend server, None if there is none."""
        if not conditions:
            return None
        scores = [_score(item, route, own_zone, now) for item in conditions]
        limit = min(scores) + TIE_MARGIN
        near = [
            item
            for item, score in zip(conditions, scores, strict=True)
            if score <= limit
        ]
        weights = [
            max(1, item.instance.slots - item.estimated_in_flight()) for item in near
        ]
        return self._random.choices(near, weights)[0]


def _score(condition: Condition, route: Route, own_zone: str, now: float) -> float:
    score = condition.expected_time(now)
    if condition.instance.zone != own_zone:
        large = route.large_answers
        score += OTHER_ZONE_PENALTY_LARGE if large else OTHER_ZONE_PENALTY
    if not condition.healthy:
        score += UNHEALTHY_PENALTY
    if condition.takes_last_slot():
        score += LAST_SLOT_PENALTY
    return score
