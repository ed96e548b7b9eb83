"""What a second attempt is expected to gain."""

from dotterelpier.fleet.condition import SLOW_RATIO
from dotterelpier.fleet.hedging.durations import DurationEstimate

# Points at which the time saved is evaluated; more of them change little.
STEPS = 12


def hedge_benefit(
    estimate: DurationEstimate, elapsed_s: float, left_s: float, work_ratio: float
) -> float:
    """Return the expected gain of a second attempt sent now, from 0 to 1.

    It is the mean of two shares: that of such requests that end within the objective
    because of the second attempt, and that of the time left that it saves. The first
    one decides where requests miss the objective, the second one where none does.

    Parameters
    ----------
    estimate : DurationEstimate
        Durations of attempts of the route.
    elapsed_s : float
        Time since the first attempt was sent, in seconds.
    left_s : float
        Time until the objective ends, in seconds.
    work_ratio : float
        Work time of the backend server of the first attempt, in multiples of the usual.
        If it is slow, the first attempt needs that multiple of the time it still lacks.
    """
    still_open = estimate.slower_share(elapsed_s)
    if left_s <= 0:
        return 0.0
    slowdown = work_ratio if work_ratio >= SLOW_RATIO else 1.0

    def gained(after_s: float) -> float:
        """Return the chance that only the second attempt has ended after a time."""
        first_open = 1.0
        if still_open > 0:
            first_open = estimate.slower_share(elapsed_s + after_s / slowdown)
            first_open /= still_open
        return first_open * (1 - estimate.slower_share(after_s))

    saved = sum(gained(left_s * (step + 0.5) / STEPS) for step in range(STEPS)) / STEPS
    return (gained(left_s) + saved) / 2
