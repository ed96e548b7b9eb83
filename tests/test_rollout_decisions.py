"""Verdict and share plan of roll-outs, against loads played in virtual time."""

import pytest

from dotterelpier.fleet.rollouts.durations import (
    bucket_of,
    median_bucket,
    upper_bound_s,
)
from dotterelpier.fleet.rollouts.share_plan import FULL_REACTION_S, REACTION_S
from dotterelpier.fleet.rollouts.verdict import ReleaseVerdict, Verdict
from dotterelpier.model.rollout import ReleaseCounts, RolloutCounts, RolloutState
from tests.rollout_model import Badness, RolloutPlay

EXPOSE_SHARE, EXPOSE_SLACK, ROLLBACK_S = 0.1, 50, 5.0
SEEDS = range(50)


def play(seed: int, rate: int, badness: Badness | None = None, **options):
    servers = {
        "target_servers": max(4, rate // 10),
        "old_servers": max(6, rate // 5),
    }
    return RolloutPlay(seed, rate, badness, **{**servers, **options})


def completed(rate: int, badness: Badness | None = None, **options) -> int:
    plays = [play(seed, rate, badness, **options).run() for seed in SEEDS]
    for item in plays:
        if item.fiftieth_bad_at is not None and item.state is RolloutState.ROLLED_BACK:
            assert item.last_sent_at - item.fiftieth_bad_at <= ROLLBACK_S
    return sum(item.state is RolloutState.COMPLETED for item in plays)


@pytest.mark.parametrize("rate", [20, 300])
@pytest.mark.parametrize("crash_at", [float("inf"), 4.0, 6.5])
def test_good_release_is_completed_beside_slow_phases_and_a_crash(
    rate, crash_at
) -> None:
    """False alarms: at most 1 in 50, with a quarter of all servers slow at any time."""
    assert completed(rate, crash_at=crash_at) >= len(SEEDS) - 1


@pytest.mark.parametrize("duration_s", [12.0, 14.0, 16.0])
@pytest.mark.parametrize("rate", [10, 40, 100, 450])
def test_good_release_reaches_full_load_in_time_at_any_rate(rate, duration_s) -> None:
    """The full load never began where the last rise of the share was a small one."""
    for seed in range(5):
        item = play(seed, rate, duration_s=duration_s).run()
        assert item.state is RolloutState.COMPLETED, (seed, item.reason)


@pytest.mark.parametrize("rate", [20, 300])
def test_failures_of_both_releases_alike_are_no_fault_of_the_target(rate) -> None:
    assert completed(rate, usual_failure_rate=0.02) >= len(SEEDS) - 3


# Misses in 50 orders that are accepted at 20 and at 300 requests a second.
BAD_RELEASES = {
    "failures at once": (Badness(failure_rate=0.2), 5, 1),
    "failures later": (Badness(failure_rate=0.2, from_s=5.0), 5, 1),
    "failures under load": (Badness(failure_rate=0.2, from_share=0.8), 10, 1),
    "slow at once": (Badness(slow_factor=4), 1, 1),
    "slow under load": (Badness(slow_factor=4, from_share=0.8), 5, 1),
    "slow, and reported as a work ratio": (Badness(slow_factor=4, reported=True), 1, 1),
    # A route with 15 % of the requests has some ten answers in all at 20 a second.
    "failures on one route": (Badness(failure_rate=0.5, route="c"), 15, 1),
    "slow on one route": (Badness(slow_factor=4, route="c"), 40, 1),
}


@pytest.mark.parametrize("case", BAD_RELEASES)
def test_bad_release_is_rolled_back_at_20_requests_a_second(case) -> None:
    badness, misses, _ = BAD_RELEASES[case]
    assert completed(20, badness) <= misses


@pytest.mark.parametrize("case", BAD_RELEASES)
def test_bad_release_is_rolled_back_at_300_requests_a_second(case) -> None:
    badness, _, misses = BAD_RELEASES[case]
    assert completed(300, badness) <= misses


@pytest.mark.parametrize("duration_s", [12.0, 16.0])
@pytest.mark.parametrize("rate", [20, 60, 300])
@pytest.mark.parametrize("kind", [{"failure_rate": 0.3}, {"slow_factor": 4.0}])
def test_release_that_turns_bad_at_any_moment_stays_within_exposure(
    duration_s, rate, kind
) -> None:
    """What it gets after it turned bad is always bounded by the agreed exposure.

    All that it gets since the order is, too, unless it turns bad after it served all
    requests well for a while: that while alone takes more than the bound allows.
    """
    # At 20 requests a second, the answers that show it take as long as planned with.
    reaction_s = FULL_REACTION_S if rate >= 60 else REACTION_S
    bound = EXPOSE_SHARE * rate * duration_s + EXPOSE_SLACK
    for seed in range(30):
        item = play(
            seed,
            rate,
            Badness(from_s=1.5 + seed * (duration_s - 4.0) / 30, **kind),
            duration_s=duration_s,
        ).run()
        assert item.sent_after_bad <= bound
        sent_until_found = item.share_when_bad * rate * reaction_s
        allowed = item.max_sent_while_good + sent_until_found <= bound
        if allowed and item.state is RolloutState.ROLLED_BACK:
            assert item.sent <= bound, (seed, item.bad_since)


def test_share_starts_small_and_rises_only_after_answers() -> None:
    item = play(1, 60)
    shares: list[float] = []

    def note() -> None:
        shares.append(item.share)
        if item.share > EXPOSE_SHARE / 2:
            assert sum(c.answers for c in item.reported.target_by_route.values()) > 0

    item.run(note)
    assert next(share for share in shares if share > 0) <= EXPOSE_SHARE / 2
    assert shares.count(1.0) * 0.02 >= 1.5


def counts(errors: int, answers: int, old_answers: int = 200) -> RolloutCounts:
    return RolloutCounts(
        target_by_route={"r": ReleaseCounts(answers, errors)},
        old_by_route={"r": ReleaseCounts(old_answers)},
    )


def test_verdict_needs_answers() -> None:
    assert ReleaseVerdict().judge(counts(0, 3)).verdict is Verdict.NOT_ENOUGH
    assert ReleaseVerdict().judge(counts(0, 30)).verdict is Verdict.GOOD_SO_FAR
    assert ReleaseVerdict().judge(counts(10, 20)).verdict is Verdict.BAD


def test_release_that_was_good_for_long_is_condemned_as_soon_as_a_new_one() -> None:
    """Good answers of the past do not outweigh failures now."""
    verdict = ReleaseVerdict()
    verdict.judge(counts(0, 5000))
    assert verdict.judge(counts(10, 5010)).verdict is Verdict.BAD


def test_crash_of_one_server_is_not_taken_for_a_bad_release() -> None:
    lost = ReleaseCounts(40, lost=6)
    one = RolloutCounts(
        target_by_route={"r": lost},
        old_by_route={"r": ReleaseCounts(200)},
        lost_by_server={"i-1": 6},
    )
    assert ReleaseVerdict().judge(one).verdict is not Verdict.BAD


def test_buckets_hold_their_durations() -> None:
    for duration_s in (0.001, 0.004, 0.06, 0.4, 2.8, 100.0):
        bucket = bucket_of(duration_s)
        assert duration_s <= upper_bound_s(bucket) or bucket == 63
        assert bucket == 0 or duration_s > upper_bound_s(bucket - 1)
    assert median_bucket({1: 3, 5: 4}) == 5
    assert median_bucket({}) is None
