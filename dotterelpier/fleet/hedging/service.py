"""The policy for hedged requests that the settings in force ask for."""

import threading

from attrs import define, field

from dotterelpier.fleet.hedging.fixed_delay import FixedDelayHedging
from dotterelpier.fleet.hedging.limited import LimitedHedging
from dotterelpier.kernel import Kernel
from dotterelpier.protocols import Metrics, ServiceName
from dotterelpier.protocols.fleet import (
    Conditions,
    Fleet,
    HedgePolicy,
    Hedging,
    LiveSettings,
    Routes,
    WaitingRoom,
)

FIXED_DELAY = FixedDelayHedging()


@define
class FollowedHedging:
    """Hedges within the limit while there is one, else after the fixed delay.

    What is known of durations and what was saved is dropped when the limit is removed.
    Thread-safe.
    """

    _metrics: Metrics
    _routes: Routes
    _fleet: Fleet
    _settings: LiveSettings
    _conditions: Conditions
    _waiting_room: WaitingRoom
    _limited: LimitedHedging | None = None
    _lock: threading.Lock = field(factory=threading.Lock)

    def start(self) -> None:
        """Follow the routes, to forget those that are removed."""
        self._routes.subscribe(self._forget_removed)

    def stop(self) -> None:
        """Do nothing; the service runs no task."""

    def policy(self) -> HedgePolicy:
        """Return the policy for a request that begins now."""
        if self._settings.bounds().hedge_share <= 0:
            self._limited = None
            return FIXED_DELAY
        with self._lock:
            if self._limited is None:
                self._limited = LimitedHedging(
                    self._metrics,
                    self._fleet,
                    self._settings,
                    self._conditions,
                    self._waiting_room,
                )
            return self._limited

    def _forget_removed(self) -> None:
        limited, table = self._limited, self._routes.table()
        if limited is not None and table is not None:
            limited.keep(table)


def make_hedging(kernel: Kernel) -> Hedging:
    """Return the service, not yet started."""
    return FollowedHedging(
        kernel.find(ServiceName.METRICS, Metrics),
        kernel.find(ServiceName.ROUTES, Routes),
        kernel.find(ServiceName.FLEET, Fleet),
        kernel.find(ServiceName.LIVE_SETTINGS, LiveSettings),
        kernel.find(ServiceName.CONDITIONS, Conditions),
        kernel.find(ServiceName.WAITING_ROOM, WaitingRoom),
    )
