"""Histograms of durations with a fixed set of buckets."""

import math
from collections.abc import Mapping

# Buckets per factor of two, so that each is 1.19 times as wide as the one before.
BUCKETS_PER_OCTAVE = 4
FIRST_BUCKET_S = 0.004
LAST_BUCKET = 63
# An answer is slow if its bucket is this far above that of the median: 2.2 times on
# average. Processing times of a route vary less than that, and most answers of a
# release that is several times slower exceed it.
SLOW_BUCKETS = 4


def bucket_of(duration_s: float) -> int:
    """Return the number of the bucket of a duration; the first and last are open."""
    if duration_s <= FIRST_BUCKET_S:
        return 0
    octaves = math.log2(duration_s / FIRST_BUCKET_S)
    return min(LAST_BUCKET, math.ceil(octaves * BUCKETS_PER_OCTAVE))


def upper_bound_s(bucket: int) -> float:
    """Return the longest duration of a bucket, in seconds."""
    return FIRST_BUCKET_S * float(2 ** (bucket / BUCKETS_PER_OCTAVE))


def median_bucket(count_by_bucket: Mapping[int, int]) -> int | None:
    """Return the bucket of the median, None without a duration."""
    return quantile_bucket(count_by_bucket, 0.5)


def quantile_bucket(count_by_bucket: Mapping[int, int], quantile: float) -> int | None:
    """Return the bucket of a quantile, None without a duration."""
    total = sum(count_by_bucket.values())
    below = 0
    for bucket in sorted(count_by_bucket):
        below += count_by_bucket[bucket]
        if total and below >= quantile * total:
            return bucket
    return None


def mean_s(count_by_bucket: Mapping[int, int]) -> float:
    """Return a mean duration in seconds, not below the true one, 0 without any."""
    total = sum(count_by_bucket.values())
    if not total:
        return 0.0
    return sum(upper_bound_s(item) * n for item, n in count_by_bucket.items()) / total


def count_above(count_by_bucket: Mapping[int, int], bucket: int) -> int:
    """Return how many durations lie above a bucket."""
    return sum(count for item, count in count_by_bucket.items() if item > bucket)
