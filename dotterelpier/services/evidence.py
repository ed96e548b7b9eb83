"""Health evidence about the backend servers whose home this entry is."""

import threading
from collections.abc import Callable

from attrs import define, field
from loguru import logger

from dotterelpier.errors import (
    AnswerTimeoutError,
    CallError,
    ConnectFailedError,
    PlatformError,
    RefusedError,
    TaskPoolFullError,
)
from dotterelpier.kernel import Kernel
from dotterelpier.model.evidence import (
    ExchangeResult,
    LoadReport,
    MeasuringKind,
    Observation,
    Readiness,
)
from dotterelpier.model.manifest import BackendServer, Revision
from dotterelpier.model.membership import HomeGrant
from dotterelpier.model.platform import VmState
from dotterelpier.protocols import (
    Backends,
    Clock,
    Evidence,
    Homes,
    ManifestSource,
    Metrics,
    ProbeLimiter,
    ServiceName,
    Subscription,
    TaskKind,
    Tasks,
    Timer,
    Vms,
)
from dotterelpier.services.probe_budget import ProbeBudget
from dotterelpier.services.readiness import ServerReadiness

PROBE_CHECK_INTERVAL_S = 0.25
PROBE_TIMEOUT_S = 1.0
VM_POLL_INTERVAL_S = 2.0

RESULT_BY_ERROR: dict[type[CallError], ExchangeResult] = {
    ConnectFailedError: ExchangeResult.CONNECT_FAILED,
    AnswerTimeoutError: ExchangeResult.TIMEOUT,
    RefusedError: ExchangeResult.SHED,
}


@define
class _MeasuredServer:
    """A backend server whose home this entry is, with its budget and readiness."""

    server: BackendServer
    budget: ProbeBudget
    subscription: Subscription
    readiness: ServerReadiness = field(factory=ServerReadiness)


@define
class MeasuredEvidence:
    """Collects evidence from answers to calls, probes and the platform's list of VMs.

    One task for each backend server probes it, more often if no call is answered; one
    more task polls the list of VMs. Listeners are called outside of the lock.
    """

    _clock: Clock
    _timer: Timer
    _tasks: Tasks
    _vms: Vms
    _homes: Homes
    _manifest: ManifestSource
    _backends: Backends
    _metrics: Metrics
    _measured_by_id: dict[str, _MeasuredServer] = field(factory=dict)
    _leaving_addresses: frozenset[str] = frozenset()
    _listeners: list[Callable[[Observation], None]] = field(factory=list)
    _probe_limiter: ProbeLimiter | None = None
    _subscription: Subscription | None = None
    _lock: threading.RLock = field(factory=threading.RLock)

    def start(self) -> None:
        """Subscribe to homes and the manifest, and start to poll the list of VMs."""
        self._homes.subscribe(self._on_home)
        self._manifest.subscribe(self._on_revision)
        self._subscription = self._timer.every(VM_POLL_INTERVAL_S)
        self._tasks.supervise(TaskKind.CONTROL, self._watch_vms, self._subscription)

    def stop(self) -> None:
        """End the tasks that probe servers and poll the list of VMs."""
        if self._subscription is not None:
            self._subscription.cancel()
        for measured in self._all_measured():
            measured.subscription.cancel()

    def observe(self, observation: Observation) -> None:
        """Record the result of an exchange and pass it to the listeners.

        Listeners also get observations of servers whose home this entry no longer is.
        """
        with self._lock:
            measured = self._measured_by_id.get(observation.backend_id)
            if measured is not None:
                measured.readiness.record(observation)
            listeners = tuple(self._listeners)
        report = observation.report
        if measured is not None and report is not None and not observation.from_probe:
            self._count_bytes(measured.server, MeasuringKind.REPORT, report.size_bytes)
        for listener in listeners:
            listener(observation)

    def allows(self, backend_id: str) -> bool:
        """Return whether a backend server may get new work."""
        revision = self._manifest.current()
        with self._lock:
            measured = self._measured_by_id.get(backend_id)
            if measured is None or revision is None:
                return False
            server = revision.manifest.backend_by_id.get(backend_id)
            if server is None or revision.manifest.zone_is_out(server.zone):
                return False
            if _host(server) in self._leaving_addresses:
                return False
            return measured.readiness.is_ready(self._clock.monotonic())

    def age_s(self, backend_id: str) -> float:
        """Return the time since the last answer, in seconds; ``inf`` if none came."""
        measured = self._measured_by_id.get(backend_id)
        if measured is None:
            return float("inf")
        return self._clock.monotonic() - measured.readiness.last_success_at

    def budget_spent(self, backend_id: str) -> float:
        """Return the share of the measuring budget spent since measuring began."""
        with self._lock:
            measured = self._measured_by_id.get(backend_id)
            if measured is None:
                return 0.0
            return measured.budget.spent_share(self._clock.monotonic())

    def refresh(self, service: str) -> None:
        """Check at once which backend servers of a service need a probe."""
        for measured in self._all_measured():
            if measured.server.service == service:
                measured.subscription.wake()

    def subscribe(self, listener: Callable[[Observation], None]) -> None:
        """Call a listener with each observation, on the thread that observed it."""
        with self._lock:
            self._listeners.append(listener)

    def set_probe_limiter(self, limiter: ProbeLimiter) -> None:
        """Ask a limiter before each probe from now on."""
        self._probe_limiter = limiter

    def _all_measured(self) -> tuple[_MeasuredServer, ...]:
        with self._lock:
            return tuple(self._measured_by_id.values())

    def _on_home(self, backend_id: str, grant: HomeGrant | None) -> None:
        if grant is None:
            with self._lock:
                measured = self._measured_by_id.pop(backend_id, None)
            if measured is not None:
                measured.subscription.cancel()
            return
        revision = self._manifest.current()
        if revision is None or backend_id not in revision.manifest.backend_by_id:
            return
        with self._lock:
            if backend_id in self._measured_by_id:
                return
            measured = self._make_measured_server(revision, backend_id)
            self._measured_by_id[backend_id] = measured
        try:
            self._tasks.supervise(TaskKind.MEASURE, self._probe_when_needed, measured)
        except TaskPoolFullError as error:
            logger.error(
                "no thread to probe backend server; no probes until its home changes",
                backend=backend_id,
                error=str(error),
            )

    def _make_measured_server(
        self, revision: Revision, backend_id: str
    ) -> _MeasuredServer:
        server = revision.manifest.backend_by_id[backend_id]
        budget = ProbeBudget(
            revision.manifest.measuring, server.slots, self._clock.monotonic()
        )
        return _MeasuredServer(
            server, budget, self._timer.every(PROBE_CHECK_INTERVAL_S)
        )

    def _on_revision(self, revision: Revision) -> None:
        now = self._clock.monotonic()
        manifest = revision.manifest
        with self._lock:
            for backend_id, measured in self._measured_by_id.items():
                server = manifest.backend_by_id.get(backend_id, measured.server)
                measured.budget.set_budget(manifest.measuring, server.slots, now)
                if server.address != measured.server.address:
                    measured.readiness = ServerReadiness()
                measured.server = server

    def _probe_when_needed(self, measured: _MeasuredServer) -> None:
        while measured.subscription.wait():
            if measured.readiness.needs_probe(self._clock.monotonic()):
                self._probe_if_allowed(measured)

    def _probe_if_allowed(self, measured: _MeasuredServer) -> None:
        backend_id = measured.server.id
        timeout_s = self._timeout_s(backend_id)
        if timeout_s <= 0:
            return
        if self._probe_limiter is not None and not self._probe_limiter.begin_probe(
            backend_id
        ):
            return
        try:
            with self._lock:
                affordable = measured.budget.take(self._clock.monotonic())
            if affordable:
                self.observe(self._probe(measured, timeout_s))
        finally:
            if self._probe_limiter is not None:
                self._probe_limiter.end_probe(backend_id)

    def _timeout_s(self, backend_id: str) -> float:
        deadline_at = self._homes.send_deadline(backend_id, cold=True)
        if deadline_at is None:
            return 0.0
        return min(PROBE_TIMEOUT_S, deadline_at - self._clock.monotonic())

    def _probe(self, measured: _MeasuredServer, timeout_s: float) -> Observation:
        server = measured.server
        started_at = self._clock.monotonic()
        result, report, size_bytes = ExchangeResult.ANSWERED, None, 0
        try:
            answer = self._backends.probe(server, timeout_s)
            report, size_bytes = answer.report, answer.size_bytes
        except CallError as error:
            logger.debug("probe failed", backend=server.id, error=str(error))
            result = RESULT_BY_ERROR.get(type(error), ExchangeResult.RESET)
        now = self._clock.monotonic()
        with self._lock:
            measured.budget.charge_excess(size_bytes, now - started_at)
        self._count_probe(server, result, size_bytes, now - started_at)
        return Observation(server.id, result, now, report, now - started_at, True)

    def _count_probe(
        self,
        server: BackendServer,
        result: ExchangeResult,
        size_bytes: int,
        duration_s: float,
    ) -> None:
        service = server.service
        self._metrics.count("probes", service=service, result=result.value)
        self._metrics.count("measuring_slot_seconds", duration_s, service=service)
        self._count_bytes(server, MeasuringKind.PROBE, size_bytes)

    def _count_bytes(
        self, server: BackendServer, kind: MeasuringKind, size: int
    ) -> None:
        self._metrics.count(
            "measuring_bytes", size, service=server.service, kind=kind.value
        )

    def _watch_vms(self, subscription: Subscription) -> None:
        while subscription.wait():
            try:
                vms = self._vms.list()
            except PlatformError as error:
                logger.debug(
                    "list of VMs not read; keeping the previous one", error=str(error)
                )
                continue
            self._leaving_addresses = frozenset(
                vm.address for vm in vms if vm.state is VmState.LEAVING
            )
            self._observe_leaving_vms()

    def _observe_leaving_vms(self) -> None:
        report = LoadReport(Readiness.LEAVING)
        for measured in self._all_measured():
            if _host(measured.server) in self._leaving_addresses:
                now = self._clock.monotonic()
                result = ExchangeResult.NO_EXCHANGE
                self.observe(Observation(measured.server.id, result, now, report))


def _host(server: BackendServer) -> str:
    return server.address.rpartition(":")[0].strip("[]")


def make_evidence(kernel: Kernel) -> Evidence:
    """Return the evidence of this entry; it probes nothing before ``start``."""
    return MeasuredEvidence(
        kernel.find(ServiceName.CLOCK, Clock),
        kernel.find(ServiceName.TIMER, Timer),
        kernel.find(ServiceName.TASKS, Tasks),
        kernel.find(ServiceName.VMS, Vms),
        kernel.find(ServiceName.HOMES, Homes),
        kernel.find(ServiceName.MANIFEST, ManifestSource),
        kernel.find(ServiceName.BACKENDS, Backends),
        kernel.find(ServiceName.METRICS, Metrics),
    )
