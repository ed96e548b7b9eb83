"""Composition of an entry: registers its services with a kernel and runs them."""

import signal
import threading
import uuid
from types import FrameType

from loguru import logger

from dotterelpier.clients.backends import make_backends
from dotterelpier.clients.peers import make_peers
from dotterelpier.clients.platform import make_platform_client
from dotterelpier.clients.relays import make_relays
from dotterelpier.errors import SettingsError
from dotterelpier.frontends.callers import make_caller_frontend, make_relay_frontend
from dotterelpier.frontends.client_limits import make_limited_client_memory
from dotterelpier.frontends.operators import make_operator_frontend
from dotterelpier.frontends.peers import make_peer_frontend
from dotterelpier.kernel import Kernel, make_kernel
from dotterelpier.model.membership import Member
from dotterelpier.protocols import Drain, Membership, ServiceName
from dotterelpier.services.admission import make_admission
from dotterelpier.services.audit import make_audit
from dotterelpier.services.calls import make_calls
from dotterelpier.services.claim_sweeper import make_claim_sweeper
from dotterelpier.services.claims import make_claims
from dotterelpier.services.clock import make_clock
from dotterelpier.services.directory import make_directory
from dotterelpier.services.drain import make_drain
from dotterelpier.services.evidence import make_evidence
from dotterelpier.services.homes import make_homes
from dotterelpier.services.manifest import make_manifest_source
from dotterelpier.services.membership import make_membership
from dotterelpier.services.metrics import make_metrics
from dotterelpier.services.pulling import make_pulling
from dotterelpier.services.routing import make_routing
from dotterelpier.services.status import make_status
from dotterelpier.services.tasks import make_tasks
from dotterelpier.services.timer import make_timer
from dotterelpier.services.uncoordinated import (
    make_uncoordinated_admission,
    make_uncoordinated_homes,
)
from dotterelpier.settings import EntrySettings, Settings
from dotterelpier.tls import read_tls_keys


def run_entry(settings: Settings) -> None:
    """Run an entry until SIGTERM or SIGINT, then perform the planned stop.

    Raises
    ------
    SettingsError
        If the settings have no ``entry`` table, or an address cannot be listened on.
    """
    stop_requested = threading.Event()

    def request_stop(number: int, frame: FrameType | None) -> None:
        stop_requested.set()

    signal.signal(signal.SIGTERM, request_stop)
    signal.signal(signal.SIGINT, request_stop)
    kernel = make_entry(settings)
    _start(kernel)
    logger.info("entry started", step="entry")
    stop_requested.wait()
    kernel.find(ServiceName.DRAIN, Drain).run()
    kernel.stop()
    logger.info("entry stopped", step="entry")


def _start(kernel: Kernel) -> None:
    try:
        kernel.start()
    except BaseException:
        # Tasks of the services that did start would keep the process alive.
        kernel.stop()
        raise


def make_entry(settings: Settings) -> Kernel:
    """Return a kernel with all services of an entry, not yet started.

    Raises
    ------
    SettingsError
        If the settings have no ``entry`` table.
    """
    if settings.entry is None:
        raise SettingsError("entry: the table is missing", step="entry")
    kernel = make_kernel()
    me = _make_member(settings.entry, settings)
    _register_foundations(kernel, settings, me.id)
    _register_control(kernel, settings, me)
    _register_call_path(kernel, settings)
    _register_frontends(kernel, settings, settings.entry)
    return kernel


def _make_member(entry: EntrySettings, settings: Settings) -> Member:
    return Member(
        f"{entry.name}.{uuid.uuid4().hex[:8]}",
        entry.zone,
        entry.caller_address,
        entry.relay_address,
        entry.peer_address,
        lease_s=settings.lease.lease_s,
        operator_address=entry.operator_address,
    )


def _register_foundations(kernel: Kernel, settings: Settings, own_id: str) -> None:
    clock = make_clock()
    platform = make_platform_client(settings.platform, clock)
    tasks, timer = ServiceName.TASKS, ServiceName.TIMER
    kernel.register(ServiceName.CLOCK, clock)
    kernel.register(ServiceName.METRICS, make_metrics())
    kernel.register(tasks, make_tasks(settings.limits))
    kernel.register(timer, make_timer(kernel), (tasks,))
    client_memory = make_limited_client_memory(kernel, settings.limits)
    kernel.register(ServiceName.CLIENT_MEMORY, client_memory, (timer,))
    kernel.register(ServiceName.TABLE, platform)
    kernel.register(ServiceName.OBJECTS, platform)
    kernel.register(ServiceName.VMS, platform)
    kernel.register(ServiceName.AUDIT, make_audit(kernel), (tasks,))
    kernel.register(ServiceName.PEERS, make_peers(own_id, read_tls_keys(settings.tls)))
    backends = make_backends(kernel, settings.limits)
    kernel.register(ServiceName.BACKENDS, backends, (timer,))


def _register_control(kernel: Kernel, settings: Settings, me: Member) -> None:
    poll_s = settings.platform.poll_s
    vm_list_lag_s = settings.platform.vm_list_lag_s
    membership = make_membership(kernel, me, settings.lease, poll_s, vm_list_lag_s)
    kernel.register(
        ServiceName.MEMBERSHIP,
        membership,
        (
            ServiceName.TIMER,
            ServiceName.TABLE,
            ServiceName.PEERS,
            ServiceName.AUDIT,
        ),
    )
    manifest = make_manifest_source(kernel, poll_s)
    kernel.register(ServiceName.MANIFEST, manifest, (ServiceName.MEMBERSHIP,))
    if settings.routing.policy == "homes":
        homes = make_homes(kernel, poll_s)
    else:
        homes = make_uncoordinated_homes(kernel)
    kernel.register(ServiceName.HOMES, homes, (ServiceName.MANIFEST,))


def _register_call_path(kernel: Kernel, settings: Settings) -> None:
    evidence = make_evidence(kernel)
    dependencies = (ServiceName.HOMES, ServiceName.BACKENDS)
    kernel.register(ServiceName.EVIDENCE, evidence, dependencies)
    policy = settings.routing.policy
    if policy == "homes":
        admission = make_admission(kernel)
    else:
        admission = make_uncoordinated_admission(kernel, policy)
    kernel.register(ServiceName.ADMISSION, admission, (ServiceName.EVIDENCE,))
    routing = make_routing(kernel)
    kernel.register(ServiceName.ROUTING, routing, (ServiceName.MEMBERSHIP,))
    own_id = kernel.find(ServiceName.MEMBERSHIP, Membership).me().id
    relays = make_relays(kernel, settings.limits, own_id)
    kernel.register(ServiceName.RELAYS, relays, (ServiceName.ROUTING,))
    pulling = make_pulling(kernel)
    dependencies = (ServiceName.ADMISSION, ServiceName.RELAYS)
    kernel.register(ServiceName.PULLING, pulling, dependencies)
    dependencies = (ServiceName.MANIFEST, ServiceName.TIMER)
    kernel.register(ServiceName.CLAIMS, make_claims(kernel), dependencies)
    sweeper = make_claim_sweeper(kernel)
    kernel.register(ServiceName.CLAIM_SWEEPER, sweeper, (ServiceName.MEMBERSHIP,))
    kernel.register(
        ServiceName.CALLS,
        make_calls(kernel),
        (
            ServiceName.ADMISSION,
            ServiceName.ROUTING,
            ServiceName.RELAYS,
            ServiceName.CLAIMS,
        ),
    )
    directory = make_directory(kernel, settings.directory)
    kernel.register(ServiceName.DIRECTORY, directory, (ServiceName.HOMES,))
    drain = make_drain(kernel, settings)
    kernel.register(ServiceName.DRAIN, drain, (ServiceName.CALLS,))
    kernel.register(ServiceName.STATUS, make_status(kernel), (ServiceName.DRAIN,))


def _register_frontends(
    kernel: Kernel, settings: Settings, entry: EntrySettings
) -> None:
    dependencies = (ServiceName.CALLS, ServiceName.DIRECTORY, ServiceName.DRAIN)
    callers = make_caller_frontend(kernel, settings, entry.caller_address)
    kernel.register(ServiceName.CALLER_FRONTEND, callers, dependencies)
    relays = make_relay_frontend(kernel, settings, entry.relay_address)
    kernel.register(ServiceName.RELAY_FRONTEND, relays, dependencies)
    peers = make_peer_frontend(kernel, settings, entry.peer_address)
    kernel.register(ServiceName.PEER_FRONTEND, peers, dependencies)
    operators = make_operator_frontend(kernel, settings, entry.operator_address)
    kernel.register(ServiceName.OPERATOR_FRONTEND, operators, (ServiceName.STATUS,))
