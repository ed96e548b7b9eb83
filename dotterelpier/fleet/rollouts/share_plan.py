"""Share of the requests that go to the target of a roll-out, from counts and time.

A decision without clock, lock or network. A canary phase collects answers for a verdict
and leaves most of the exposure budget to the full load, under which the release must be
seen before the order ends.
"""

import math

from attrs import define, frozen

# Of the agreed exposure, the part that is planned with. Counts of the entries are late.
BUDGET_SHARE = 0.8
# Time within which a release that turns bad is found and gets no more requests.
REACTION_S = 1.5
# The same at full load, where evidence comes fast and each bad answer is told at once.
FULL_REACTION_S = 0.8
# First share, as a part of the exposure share.
START_PART = 0.5
# Lowest share of the canary phase in the same terms, so that a release that turns bad
# later is noticed.
LEAST_PART = 0.1
# Relative change of the share below which it stays as it is.
LEAST_CHANGE = 0.2
# Answers that the canary phase aims at, so that a release that fails in one of ten
# requests is found before the full load.
CANARY_ANSWERS = 60
# Time in which it aims at them, where the order lasts for longer.
CANARY_S = 8.0
MAX_CANARY_SHARE = 0.5
# Answers after which the share may grow: those of this time at the whole rate.
STEP_ANSWERS_S = 0.1
MAX_STEP_ANSWERS = 8
STEP_S = 0.5
# Largest growth in one step; the larger one where the budget allows full load anyway.
GROWTH = 4.0
FREE_GROWTH = 8.0
# Time at full load before the release is called good.
FULL_LOAD_S = 1.5
# Time before the end by which the full load begins even if the budget is short: the
# full load, the answers of the old releases that run slower, and the messages.
FULL_BEFORE_END_S = 4.0
# Time before the end after which the full load could not be seen long enough.
LATEST_FULL_S = 2.2
# Part of the answers expected at full load that must be there.
FULL_ANSWERS_SHARE = 0.5
MAX_FULL_ANSWERS = 25
# Time before the end at which a release is called good on fewer answers than the canary
# phase aims at, as there will not be more.
LATEST_GOOD_S = 1.5


@frozen
class PlanInputs:
    """What the share follows from.

    Attributes
    ----------
    now : float
        Time on any steady clock, in seconds.
    left_s : float
        Time until the decision must be written, in seconds.
    requests : int
        Requests that reached the service since the order.
    received : int
        Attempts that the target received of them.
    rate_per_s : float
        Requests each second.
    answers : int
        Answers of the target that count as evidence.
    good : bool
        Whether the verdict is good so far.
    suspected : bool
        Whether the answers raise a suspicion.
    ready : bool
        Whether a backend server of the target can get requests.
    has_capacity : bool
        Whether those of the target can serve all requests.
    may_rise : bool
        Whether the share may rise, which it may not without the store.
    """

    now: float
    left_s: float
    requests: int
    received: int
    rate_per_s: float
    answers: int
    good: bool
    suspected: bool
    ready: bool
    has_capacity: bool
    may_rise: bool


@define
class SharePlan:
    """Plans the share of one order.

    Attributes
    ----------
    expose_share, expose_slack : float
        The agreed exposure: a share of all requests, and requests above it.
    share : float
        Share that was planned last.
    full_since : float
        Since when it is 1, on the clock of the inputs; infinite while it is not.
    """

    expose_share: float
    expose_slack: float
    share: float = 0.0
    full_since: float = math.inf
    _changed_at: float = -math.inf
    _answers_before: int = 0

    def restart(self, share: float) -> None:
        """Go on from a share that another coordinator gave, without its history."""
        self.share, self.full_since = share, math.inf
        self._changed_at, self._answers_before = -math.inf, 0

    def next(self, inputs: PlanInputs) -> float:
        """Return the share to use from now on."""
        wanted = self._wanted(inputs)
        if wanted > self.share and self._may_rise(inputs, wanted):
            self._set(min(wanted, self._largest_step(inputs, wanted)), inputs)
        elif wanted < self.share * (1 - LEAST_CHANGE):
            self._set(wanted, inputs)
        return self.share

    def _set(self, share: float, inputs: PlanInputs) -> None:
        self.share = share
        self.full_since = inputs.now if share >= 1 else math.inf
        self._changed_at, self._answers_before = inputs.now, inputs.answers

    def is_observed(self, inputs: PlanInputs) -> bool:
        """Return whether the release was seen at full load for long enough."""
        full_s = inputs.now - self.full_since
        if full_s < FULL_LOAD_S:
            return False
        if inputs.answers < CANARY_ANSWERS and inputs.left_s > LATEST_GOOD_S:
            return False
        expected = FULL_ANSWERS_SHARE * inputs.rate_per_s * FULL_LOAD_S
        since_full = inputs.answers - self._answers_before
        return since_full >= min(MAX_FULL_ANSWERS, expected)

    def _may_rise(self, inputs: PlanInputs, wanted: float) -> bool:
        if not inputs.may_rise or inputs.suspected:
            return False
        if self.share == 0:
            return True
        if inputs.now - self._changed_at < STEP_S:
            return False
        if wanted >= 1:
            # The verdict is good, which needs answers of the whole canary phase.
            return True
        enough = max(1, min(MAX_STEP_ANSWERS, STEP_ANSWERS_S * inputs.rate_per_s))
        has_answers = inputs.answers - self._answers_before >= enough
        return has_answers and wanted > self.share * (1 + LEAST_CHANGE)

    def _largest_step(self, inputs: PlanInputs, wanted: float) -> float:
        start = self.expose_share * START_PART
        if self.share == 0:
            return start
        if wanted >= 1:
            return 1.0
        free = self._affordable(inputs) >= 1
        return max(start, self.share) * (FREE_GROWTH if free else GROWTH)

    def _wanted(self, inputs: PlanInputs) -> float:
        if not inputs.rate_per_s:
            return self.share
        if not inputs.ready:
            return 0.0 if self.share < 1 else 1.0
        if self._wants_full(inputs):
            return 1.0
        to_full_s = max(1.0, min(CANARY_S, inputs.left_s - FULL_BEFORE_END_S))
        missing = max(0, CANARY_ANSWERS - inputs.answers)
        evidence = missing / (inputs.rate_per_s * to_full_s)
        canary = max(evidence, self.expose_share * LEAST_PART)
        return min(canary, self._affordable(inputs), MAX_CANARY_SHARE)

    def _wants_full(self, inputs: PlanInputs) -> bool:
        if not inputs.has_capacity:
            return False
        if self.share >= 1:
            return True
        if inputs.left_s < LATEST_FULL_S:
            return False
        due = inputs.left_s <= FULL_BEFORE_END_S
        return inputs.good and (due or self._full_load_fits(inputs))

    def _full_load_fits(self, inputs: PlanInputs) -> bool:
        """Return whether the full load may begin before it must.

        That is, if a release that turns bad then stays in its bound, and the canary
        phase had its answers.
        """
        if inputs.answers < CANARY_ANSWERS:
            return False
        bound = self.expose_share * inputs.requests + self.expose_slack
        return bound - inputs.received >= inputs.rate_per_s * FULL_REACTION_S

    def _affordable(self, inputs: PlanInputs) -> float:
        """Return the share at which a bad release stays within the budget."""
        bound = self.expose_share * inputs.requests + self.expose_slack
        left = BUDGET_SHARE * bound - inputs.received
        return max(0.0, left / (inputs.rate_per_s * REACTION_S))
