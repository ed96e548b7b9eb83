"""Readiness of an entry, and its planned stop, which drains requests in flight."""

import threading

from attrs import define, field
from loguru import logger

from dotterelpier.kernel import Kernel
from dotterelpier.protocols import Clock, Metrics, ServiceName, StoppableFrontend
from dotterelpier.protocols.fleet import (
    DrainWindow,
    Fleet,
    LiveSettings,
    PlannedStop,
    Registry,
    Routes,
)

# Share of the grace period during which new connections are still accepted. Meanwhile
# clients learn from the directory that this entry leaves.
LISTEN_SHARE = 0.5
# Requests that arrive within this share of the grace period, and within this time, are
# accepted whatever their deadline.
ALL_ACCEPTED_SHARE = 0.4
ALL_ACCEPTED_S = 2.5
# Share of the grace period until the drain deadline. The rest is a margin for a busy
# machine.
DRAIN_END_SHARE = 0.85
POLL_INTERVAL_S = 0.05


@define
class GracefulStop:
    """Leaves the fleet, closes client connections and drains requests in flight.

    Clients are sent away first and new connections refused later, so that no request
    fails while its client still uses an old answer of the directory.
    """

    _kernel: Kernel
    _clock: Clock
    _metrics: Metrics
    _fleet: Fleet
    _routes: Routes
    _registry: Registry
    _settings: LiveSettings
    _window: DrainWindow
    _stopping: threading.Event = field(factory=threading.Event)

    def takes_requests(self) -> bool:
        """Return whether clients should be sent here.

        False until the configuration and the registry were read, and from the start of
        the planned stop.
        """
        loaded = self._routes.table() is not None and self._registry.loaded()
        return loaded and not self._stopping.is_set()

    def run(self) -> None:
        """Perform the planned stop; blocks until no request is in flight.

        Returns at the drain deadline even if requests are still in flight.
        """
        began_at = self._clock.monotonic()
        grace_s = self._settings.bounds().grace_s
        drain_until = began_at + grace_s * DRAIN_END_SHARE
        all_accepted_s = min(grace_s * ALL_ACCEPTED_SHARE, ALL_ACCEPTED_S)
        self._window.begin(began_at + all_accepted_s, drain_until)
        self._stopping.set()
        self._metrics.set_gauge("stopping", 1)
        logger.info("stop began", step="stop", grace_s=grace_s)
        frontend = self._kernel.find(ServiceName.CLIENT_FRONTEND, StoppableFrontend)
        frontend.close_after_answers()
        self._fleet.leave()
        listen_until = began_at + grace_s * LISTEN_SHARE
        threading.Event().wait(max(0.0, listen_until - self._clock.monotonic()))
        frontend.stop_listening()
        self._wait_for_answers(drain_until)

    def _wait_for_answers(self, until: float) -> None:
        frontend = self._kernel.find(ServiceName.CLIENT_FRONTEND, StoppableFrontend)
        pause = threading.Event()
        while frontend.busy():
            if self._clock.monotonic() >= until:
                logger.warning(
                    "drain deadline passed; aborting the remaining requests",
                    step="stop",
                )
                return
            pause.wait(POLL_INTERVAL_S)
        logger.info("all requests answered", step="stop")


def make_planned_stop(kernel: Kernel) -> PlannedStop:
    """Return the planned stop, not yet started."""
    return GracefulStop(
        kernel,
        kernel.find(ServiceName.CLOCK, Clock),
        kernel.find(ServiceName.METRICS, Metrics),
        kernel.find(ServiceName.FLEET, Fleet),
        kernel.find(ServiceName.ROUTES, Routes),
        kernel.find(ServiceName.REGISTRY, Registry),
        kernel.find(ServiceName.LIVE_SETTINGS, LiveSettings),
        kernel.find(ServiceName.DRAIN_WINDOW, DrainWindow),
    )
