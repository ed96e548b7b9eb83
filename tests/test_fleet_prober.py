"""How often an entry checks a backend server."""

from typing import Any

import pytest

from dotterelpier.fleet.prober import (
    FAR_INTERVAL_S,
    UNPROVEN_INTERVAL_S,
    Duty,
    InstanceProbe,
)
from dotterelpier.model.instance import Instance
from tests.fakes import ManualClock

INSTANCE = Instance("i-1", "shop", "x:1", "b", 4)


class Conditions:
    """Knows only whether a health check was answered."""

    def __init__(self, proven: bool) -> None:
        self.proven = proven

    def is_proven(self, instance_id: str) -> bool:
        return self.proven


@pytest.mark.parametrize(
    ("proven", "interval_s"), [(True, FAR_INTERVAL_S), (False, UNPROVEN_INTERVAL_S)]
)
def test_server_of_another_zone_is_checked_soon_until_it_answered(
    proven: bool, interval_s: float
) -> None:
    nothing: Any = None
    conditions: Any = Conditions(proven)
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
    assert probe._pause_s(Duty(FAR_INTERVAL_S, home=False)) == interval_s
