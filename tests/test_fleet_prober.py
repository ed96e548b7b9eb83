"""How often an entry checks a backend server."""

from typing import Any

import pytest

from dotterelpier.fleet.prober import (
    OTHER_ZONE_INTERVAL_S,
    UNVERIFIED_INTERVAL_S,
    InstanceProbe,
    ProbeSchedule,
)
from dotterelpier.model.instance import Instance
from tests.fakes import ManualClock

INSTANCE = Instance("i-1", "shop", "x:1", "b", 4)


class Conditions:
    """Knows only whether a health check was answered."""

    def __init__(self, verified: bool) -> None:
        self.verified = verified

    def is_verified(self, instance_id: str) -> bool:
        return self.verified


@pytest.mark.parametrize(
    ("proven", "interval_s"),
    [(True, OTHER_ZONE_INTERVAL_S), (False, UNVERIFIED_INTERVAL_S)],
)
def test_unverified_server_of_another_zone_is_checked_soon(
    verified: bool, interval_s: float
) -> None:
    nothing: Any = None
    conditions: Any = Conditions(verified)
    probe = InstanceProbe(
        INSTANCE,
        nothing,
        ManualClock(now=0.0),
        nothing,
        nothing,
        conditions,
        nothing,
        nothing,
    )
    assert (
        probe._pause_s(ProbeSchedule(OTHER_ZONE_INTERVAL_S, home=False)) == interval_s
    )
