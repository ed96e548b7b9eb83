"""Planned stop of an entry."""

from attrs import define
from loguru import logger

from dotterelpier.kernel import Kernel
from dotterelpier.protocols import (
    Calls,
    Clock,
    Drain,
    Membership,
    ServiceName,
    Timer,
)
from dotterelpier.settings import DirectorySettings

CHECK_S = 0.1


@define
class PlannedStop:
    """Serves until no caller can still hold this entry's address."""

    _max_age_s: int
    _clock: Clock
    _timer: Timer
    _membership: Membership
    _calls: Calls
    _draining: bool = False

    def draining(self) -> bool:
        """Tell whether the planned stop has begun."""
        return self._draining

    def run(self) -> None:
        """Perform the planned stop; return when no call is in flight."""
        self._draining = True
        self._membership.set_leaving()
        served_until = self._clock.monotonic() + self._max_age_s
        logger.info("planned stop begun", step="drain")
        subscription = self._timer.every(CHECK_S)
        while subscription.wait():
            now = self._clock.monotonic()
            if now >= served_until and not self._calls.in_flight():
                break
        subscription.cancel()
        logger.info("planned stop done", step="drain")


def make_drain(kernel: Kernel, settings: DirectorySettings) -> Drain:
    """Return the planned stop."""
    return PlannedStop(
        settings.max_age_s,
        kernel.find(ServiceName.CLOCK, Clock),
        kernel.find(ServiceName.TIMER, Timer),
        kernel.find(ServiceName.MEMBERSHIP, Membership),
        kernel.find(ServiceName.CALLS, Calls),
    )
