"""Assembles and runs an entry of a fleet: all its services in one kernel."""

import signal
import threading
import uuid
from collections.abc import Callable
from pathlib import Path
from types import FrameType

from loguru import logger

from dotterelpier.clients.datagrams import make_datagrams
from dotterelpier.clients.fleet_peers import make_fleet_peers
from dotterelpier.clients.instances import make_instances
from dotterelpier.fleet.accounts import make_accounts
from dotterelpier.fleet.conditions import make_conditions
from dotterelpier.fleet.directory import make_entry_directory
from dotterelpier.fleet.drain_window import make_drain_window
from dotterelpier.fleet.forwarding import make_forwarding
from dotterelpier.fleet.hedging.service import make_hedging
from dotterelpier.fleet.live_settings import make_live_settings
from dotterelpier.fleet.liveness import make_liveness
from dotterelpier.fleet.measurements import make_measurements
from dotterelpier.fleet.members import make_fleet
from dotterelpier.fleet.mirrors import make_mirrors
from dotterelpier.fleet.planned_stop import make_planned_stop
from dotterelpier.fleet.prober import make_prober
from dotterelpier.fleet.registry import make_registry
from dotterelpier.fleet.retry_budget import make_retry_budget
from dotterelpier.fleet.rollouts.service import make_rollouts
from dotterelpier.fleet.routes import make_routes
from dotterelpier.fleet.store_link import make_store_link
from dotterelpier.fleet.subsets import make_subsets
from dotterelpier.fleet.usage_caps.service import make_usage_caps
from dotterelpier.fleet.waiting import make_waiting_room
from dotterelpier.fleet_settings import FleetEntrySettings, FleetSettings
from dotterelpier.frontends.client_limits import make_limited_client_memory
from dotterelpier.frontends.clients import make_client_frontend
from dotterelpier.frontends.fleet_peers import make_fleet_peer_frontend
from dotterelpier.frontends.pages import (
    make_directory_frontend,
    make_metrics_frontend,
    make_readiness_frontend,
)
from dotterelpier.kernel import Kernel, make_kernel
from dotterelpier.model.fleet import FleetMember
from dotterelpier.platform.codec import make_store_codec
from dotterelpier.platform.headers import make_platform_headers
from dotterelpier.platform.pages import make_platform_pages
from dotterelpier.platform.store import make_row_stores
from dotterelpier.protocols import ServiceName
from dotterelpier.protocols.fleet import LiveSettings, PlannedStop, StoreLink
from dotterelpier.services.clock import make_clock
from dotterelpier.services.metrics import make_metrics
from dotterelpier.services.tasks import make_tasks
from dotterelpier.services.timer import make_timer
from dotterelpier.settings import LimitSettings


def run_fleet_entry(
    settings: FleetSettings, path: Path, apply_log_level: Callable[[str], None]
) -> None:
    """Run an entry until SIGTERM or SIGINT, then perform the planned stop.

    Must run in the main thread, as it installs signal handlers.

    Parameters
    ----------
    settings : FleetSettings
        Settings to start with.
    path : Path
        Their file, which is read again on SIGHUP and when it changes.
    apply_log_level : Callable
        Called with the log level of changed settings.

    Raises
    ------
    SettingsError
        If an address cannot be listened on.
    """
    stop_requested = threading.Event()

    def request_stop(number: int, frame: FrameType | None) -> None:
        stop_requested.set()

    signal.signal(signal.SIGTERM, request_stop)
    signal.signal(signal.SIGINT, request_stop)
    kernel = make_fleet_entry(settings, path, apply_log_level)
    live_settings = kernel.find(ServiceName.LIVE_SETTINGS, LiveSettings)
    signal.signal(signal.SIGHUP, lambda number, frame: live_settings.request_reload())
    try:
        kernel.start()
    except BaseException:
        # Tasks that are already running would keep the process alive.
        kernel.stop()
        raise
    logger.info("entry started", step="entry", entry=settings.entry.name)
    stop_requested.wait()
    kernel.find(ServiceName.PLANNED_STOP, PlannedStop).run()
    kernel.find(ServiceName.STORE_LINK, StoreLink).close()
    kernel.stop()
    logger.info("entry stopped", step="entry", entry=settings.entry.name)


def make_fleet_entry(
    settings: FleetSettings,
    path: Path | None = None,
    apply_log_level: Callable[[str], None] = lambda level: None,
) -> Kernel:
    """Return a kernel with all services of an entry, not yet started.

    The settings follow the file at ``path`` if there is one.
    """
    kernel = make_kernel()
    kernel.register(ServiceName.TASKS, make_tasks(LimitSettings()))
    live_settings = make_live_settings(kernel, settings, path, apply_log_level)
    kernel.register(ServiceName.LIVE_SETTINGS, live_settings, (ServiceName.TASKS,))
    _register_foundations(kernel, settings)
    _register_fleet_state(kernel, settings)
    _register_request_path(kernel, settings)
    _register_frontends(kernel, settings)
    return kernel


def _make_member(entry: FleetEntrySettings) -> FleetMember:
    return FleetMember(
        entry.name,
        entry.zone,
        entry.caller_address,
        entry.peer_address,
        uuid.uuid4().hex[:8],
    )


def _register_foundations(kernel: Kernel, settings: FleetSettings) -> None:
    tasks, timer = ServiceName.TASKS, ServiceName.TIMER
    kernel.register(ServiceName.CLOCK, make_clock())
    kernel.register(ServiceName.METRICS, make_metrics())
    kernel.register(timer, make_timer(kernel), (tasks,))
    client_memory = make_limited_client_memory(kernel, settings.limits)
    kernel.register(ServiceName.CLIENT_MEMORY, client_memory, (timer,))
    kernel.register(ServiceName.STORES, make_row_stores(settings.store.address))
    kernel.register(ServiceName.CODEC, make_store_codec())
    kernel.register(ServiceName.HEADER_CODEC, make_platform_headers())
    kernel.register(ServiceName.PAGES, make_platform_pages())
    kernel.register(ServiceName.STORE_LINK, make_store_link(kernel))
    kernel.register(ServiceName.FLEET_PEERS, make_fleet_peers(settings.entry.name))
    datagrams = make_datagrams(kernel, settings.entry.peer_address)
    kernel.register(ServiceName.DATAGRAMS, datagrams, (tasks,))
    dependencies = (tasks, ServiceName.DATAGRAMS)
    mirrors = make_mirrors(kernel, settings)
    kernel.register(ServiceName.MIRRORS, mirrors, dependencies)
    kernel.register(ServiceName.INSTANCES, make_instances(kernel), (timer,))


def _register_fleet_state(kernel: Kernel, settings: FleetSettings) -> None:
    dependencies: tuple[str, ...] = (ServiceName.TIMER, ServiceName.MIRRORS)
    kernel.register(ServiceName.ROUTES, make_routes(kernel), dependencies)
    kernel.register(ServiceName.REGISTRY, make_registry(kernel), dependencies)
    fleet = make_fleet(kernel, _make_member(settings.entry))
    kernel.register(ServiceName.FLEET, fleet, dependencies)
    dependencies = (ServiceName.REGISTRY, ServiceName.FLEET)
    rollouts = make_rollouts(kernel)
    kernel.register(ServiceName.ROLLOUTS, rollouts, (*dependencies, ServiceName.ROUTES))
    dependencies = (*dependencies, ServiceName.ROLLOUTS)
    kernel.register(ServiceName.SUBSETS, make_subsets(kernel), dependencies)
    dependencies = (ServiceName.ROUTES, ServiceName.SUBSETS)
    kernel.register(ServiceName.CONDITIONS, make_conditions(kernel), dependencies)
    dependencies = (ServiceName.CONDITIONS, ServiceName.DATAGRAMS)
    kernel.register(ServiceName.MEASUREMENTS, make_measurements(kernel), dependencies)
    prober = make_prober(kernel, first_start=settings.entry.first_start)
    dependencies = (ServiceName.MEASUREMENTS, ServiceName.INSTANCES)
    kernel.register(ServiceName.PROBER, prober, dependencies)
    kernel.register(ServiceName.LIVENESS, make_liveness(kernel), (ServiceName.FLEET,))


def _register_request_path(kernel: Kernel, settings: FleetSettings) -> None:
    budget = make_retry_budget(kernel)
    kernel.register(ServiceName.RETRY_BUDGET, budget, (ServiceName.FLEET,))
    kernel.register(ServiceName.WAITING_ROOM, make_waiting_room(kernel))
    kernel.register(ServiceName.DRAIN_WINDOW, make_drain_window())
    hedging = make_hedging(kernel)
    kernel.register(ServiceName.HEDGING, hedging, (ServiceName.ROUTES,))
    dependencies: tuple[str, ...] = (ServiceName.ROUTES,)
    kernel.register(ServiceName.ACCOUNTS, make_accounts(kernel), dependencies)
    caps = make_usage_caps(kernel, first_start=settings.entry.first_start)
    dependencies = (ServiceName.FLEET, ServiceName.ROUTES, ServiceName.DATAGRAMS)
    kernel.register(ServiceName.USAGE_CAPS, caps, dependencies)
    dependencies = (
        ServiceName.CONDITIONS,
        ServiceName.RETRY_BUDGET,
        ServiceName.ACCOUNTS,
        ServiceName.USAGE_CAPS,
    )
    kernel.register(ServiceName.FORWARDING, make_forwarding(kernel), dependencies)
    stop = make_planned_stop(kernel)
    kernel.register(ServiceName.PLANNED_STOP, stop, (ServiceName.FORWARDING,))
    directory = make_entry_directory(kernel)
    dependencies = (ServiceName.PLANNED_STOP,)
    kernel.register(ServiceName.ENTRY_DIRECTORY, directory, dependencies)


def _register_frontends(kernel: Kernel, settings: FleetSettings) -> None:
    dependencies = (ServiceName.FORWARDING, ServiceName.ENTRY_DIRECTORY)
    address = settings.entry.peer_address
    frontend_by_name = {
        ServiceName.FLEET_FRONTEND: make_fleet_peer_frontend(kernel, address),
        ServiceName.METRICS_FRONTEND: make_metrics_frontend(kernel, settings),
        ServiceName.READINESS_FRONTEND: make_readiness_frontend(kernel, settings),
        ServiceName.CLIENT_FRONTEND: make_client_frontend(kernel, settings),
        ServiceName.DIRECTORY_FRONTEND: make_directory_frontend(kernel, settings),
    }
    for name, frontend in frontend_by_name.items():
        kernel.register(name, frontend, dependencies)
