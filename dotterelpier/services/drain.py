"""Planned stop of an entry."""

from collections.abc import Callable

from attrs import define
from loguru import logger

from dotterelpier.kernel import Kernel
from dotterelpier.protocols import (
    Calls,
    Clock,
    Drain,
    Homes,
    ManifestSource,
    Membership,
    ServiceName,
    StoppableFrontend,
    Timer,
)
from dotterelpier.settings import Settings

CHECK_INTERVAL_S = 0.1
HANDOVER_TIMEOUT_S = 10.0
# Longest wait for a caller that does not read its answer.
UNREAD_ANSWER_TIMEOUT_S = 30.0
DEFAULT_CALL_TIMEOUT_S = 60.0
FRONTENDS = (ServiceName.CALLER_FRONTEND, ServiceName.RELAY_FRONTEND)


@define
class PlannedStop:
    """Serves until no caller can still hold this entry's address.

    Other entries name this one to callers until they know that it leaves; callers
    keep that answer for its longest age. Only then are new calls refused, and what is
    in flight ends.
    """

    _directory_max_age_s: float
    _propagation_s: float
    _kernel: Kernel
    _clock: Clock
    _timer: Timer
    _manifest: ManifestSource
    _membership: Membership
    _homes: Homes
    _calls: Calls
    _draining: bool = False
    _takes_calls: bool = True

    def draining(self) -> bool:
        """Tell whether the planned stop has begun."""
        return self._draining

    def takes_calls(self) -> bool:
        """Tell whether new calls are still served."""
        return self._takes_calls

    def run(self) -> None:
        """Perform the planned stop; return when no call is in flight."""
        logger.info("planned stop begun", step="drain")
        self._draining = True
        self._membership.set_leaving()
        frontends = self._frontends()
        for frontend in frontends:
            frontend.close_after_answers()
        self._wait(lambda: False, self._propagation_s + self._directory_max_age_s)
        self._wait(lambda: not self._has_homes_to_hand_over(), HANDOVER_TIMEOUT_S)
        self._takes_calls = False
        self._wait(lambda: self._calls.in_flight() == 0, self._longest_call_s())
        deadline_at = self._clock.monotonic() + UNREAD_ANSWER_TIMEOUT_S
        self._wait(
            lambda: not any(item.busy() for item in frontends), UNREAD_ANSWER_TIMEOUT_S
        )
        # A request may have come in since; those that did are answered too.
        for frontend in frontends:
            frontend.stop_listening()
        remaining_s = deadline_at - self._clock.monotonic()
        self._wait(lambda: not any(item.busy() for item in frontends), remaining_s)
        logger.info("planned stop done", step="drain")

    def _frontends(self) -> tuple[StoppableFrontend, ...]:
        # They need this service, so they are found only now.
        return tuple(self._kernel.find(name, StoppableFrontend) for name in FRONTENDS)

    def _wait(self, condition: Callable[[], bool], timeout_s: float) -> None:
        deadline_at = self._clock.monotonic() + timeout_s
        subscription = self._timer.every(CHECK_INTERVAL_S)
        while subscription.wait():
            if condition() or self._clock.monotonic() >= deadline_at:
                break
        subscription.cancel()

    def _has_homes_to_hand_over(self) -> bool:
        """Tell whether another entry is about to take homes over."""
        own_id = self._membership.me().id
        others = [
            member
            for member in self._membership.live_by_id().values()
            if member.id != own_id and not member.leaving
        ]
        if not others or not self._membership.platform_reached():
            return False
        homes = self._homes.assignment().home_by_backend_id.values()
        return any(home.entry_id == own_id for home in homes)

    def _longest_call_s(self) -> float:
        revision = self._manifest.current()
        if revision is None:
            return DEFAULT_CALL_TIMEOUT_S
        services = revision.manifest.services
        return max(
            (item.max_deadline_s for item in services), default=DEFAULT_CALL_TIMEOUT_S
        )


def make_drain(kernel: Kernel, settings: Settings) -> Drain:
    """Return the planned stop."""
    lease = settings.lease
    return PlannedStop(
        settings.directory.max_age_s,
        settings.platform.poll_s + lease.renew_s + lease.heartbeat_s,
        kernel,
        kernel.find(ServiceName.CLOCK, Clock),
        kernel.find(ServiceName.TIMER, Timer),
        kernel.find(ServiceName.MANIFEST, ManifestSource),
        kernel.find(ServiceName.MEMBERSHIP, Membership),
        kernel.find(ServiceName.HOMES, Homes),
        kernel.find(ServiceName.CALLS, Calls),
    )
