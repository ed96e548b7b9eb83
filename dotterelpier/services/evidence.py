"""What is known of the backend servers whose home this entry is."""

import threading
from collections.abc import Callable

from attrs import define, field
from loguru import logger

from dotterelpier.errors import CallError, PlatformError
from dotterelpier.kernel import Kernel
from dotterelpier.model.evidence import (
    ExchangeResult,
    Observation,
    Readiness,
)
from dotterelpier.model.manifest import BackendServer, MeasuringBudget, Revision
from dotterelpier.model.membership import HomeGrant
from dotterelpier.model.platform import VmState
from dotterelpier.protocols import (
    Backends,
    Clock,
    Evidence,
    Homes,
    ManifestKeeper,
    Metrics,
    ServiceName,
    Subscription,
    TaskKind,
    Tasks,
    Timer,
    Vms,
)

MAX_AGE_S = 2.0
PROBE_AGE_S = 1.0
MEASURE_TICK_S = 0.25
PROBE_TIMEOUT_S = 1.0
VM_POLL_S = 2.0
MAX_TOKENS = 1.0


@define
class TokenBucket:
    """Allows probes at a rate; starts empty, so that a restart buys none."""

    rate_per_s: float
    _filled_at: float
    _tokens: float = 0.0

    def take(self, now: float) -> bool:
        """Take one token if there is one."""
        grown = (now - self._filled_at) * self.rate_per_s
        self._tokens = min(MAX_TOKENS, self._tokens + grown)
        self._filled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


@define
class _ServerState:
    """Evidence about one backend server."""

    server: BackendServer
    bucket: TokenBucket
    subscription: Subscription
    good_at: float = float("-inf")
    leaving: bool = False


@define
class MeasuredEvidence:
    """Takes evidence from answers, and from probes where there are none."""

    _clock: Clock
    _timer: Timer
    _tasks: Tasks
    _vms: Vms
    _homes: Homes
    _manifest: ManifestKeeper
    _backends: Backends
    _metrics: Metrics
    _state_by_id: dict[str, _ServerState] = field(factory=dict)
    _leaving_addresses: frozenset[str] = frozenset()
    _listeners: list[Callable[[Observation], None]] = field(factory=list)
    _subscription: Subscription | None = None
    _lock: threading.RLock = field(factory=threading.RLock)

    def start(self) -> None:
        """Start to measure the backend servers whose home this entry becomes."""
        self._homes.subscribe(self._on_home)
        self._manifest.subscribe(self._on_revision)
        self._subscription = self._timer.every(VM_POLL_S)
        self._tasks.submit(TaskKind.CONTROL, self._watch_vms, self._subscription)

    def stop(self) -> None:
        """End all measuring tasks."""
        if self._subscription is not None:
            self._subscription.cancel()
        with self._lock:
            states = tuple(self._state_by_id.values())
        for state in states:
            state.subscription.cancel()

    def observe(self, observation: Observation) -> None:
        """Take in how an exchange ended."""
        with self._lock:
            state = self._state_by_id.get(observation.backend_id)
            if state is None:
                return
            self._update(state, observation)
            listeners = tuple(self._listeners)
        for listener in listeners:
            listener(observation)

    def allows(self, backend_id: str) -> bool:
        """Tell whether fresh evidence speaks for sending new work."""
        revision = self._manifest.current()
        with self._lock:
            state = self._state_by_id.get(backend_id)
            if state is None or revision is None or state.leaving:
                return False
            server = revision.manifest.backend_by_id.get(backend_id)
            if server is None or revision.manifest.zone_is_out(server.zone):
                return False
            if server.address.rpartition(":")[0] in self._leaving_addresses:
                return False
            return self._clock.monotonic() - state.good_at < MAX_AGE_S

    def age_s(self, backend_id: str) -> float:
        """Return the age of the newest evidence in seconds."""
        state = self._state_by_id.get(backend_id)
        if state is None:
            return float("inf")
        return self._clock.monotonic() - state.good_at

    def refresh(self, service: str) -> None:
        """Ask for probes of the service's idle backend servers."""
        with self._lock:
            states = tuple(self._state_by_id.values())
        for state in states:
            if state.server.service == service:
                state.subscription.wake()

    def subscribe(self, listener: Callable[[Observation], None]) -> None:
        """Call a listener with each observation."""
        with self._lock:
            self._listeners.append(listener)

    def _update(self, state: _ServerState, observation: Observation) -> None:
        report = observation.report
        if observation.result is ExchangeResult.CONNECT_FAILED:
            state.good_at = float("-inf")
        if report is not None:
            state.leaving = report.readiness is Readiness.LEAVING
        if observation.result is ExchangeResult.ANSWERED:
            state.good_at = max(state.good_at, observation.at)

    def _on_home(self, backend_id: str, grant: HomeGrant | None) -> None:
        revision = self._manifest.current()
        if grant is None:
            with self._lock:
                state = self._state_by_id.pop(backend_id, None)
            if state is not None:
                state.subscription.cancel()
            return
        if revision is None or backend_id not in revision.manifest.backend_by_id:
            return
        with self._lock:
            if backend_id in self._state_by_id:
                return
            state = self._new_state(revision, backend_id)
            self._state_by_id[backend_id] = state
        self._tasks.submit(TaskKind.MEASURE, self._measure, state)

    def _new_state(self, revision: Revision, backend_id: str) -> _ServerState:
        rate_per_s = revision.manifest.measuring.probes_per_s
        return _ServerState(
            revision.manifest.backend_by_id[backend_id],
            TokenBucket(rate_per_s, self._clock.monotonic()),
            self._timer.every(MEASURE_TICK_S),
        )

    def _on_revision(self, revision: Revision) -> None:
        budget: MeasuringBudget = revision.manifest.measuring
        with self._lock:
            for state in self._state_by_id.values():
                state.bucket.rate_per_s = budget.probes_per_s
                server = revision.manifest.backend_by_id.get(state.server.id)
                state.server = server or state.server

    def _measure(self, state: _ServerState) -> None:
        while state.subscription.wait():
            now = self._clock.monotonic()
            if now - state.good_at < PROBE_AGE_S or not self._may_probe(state):
                continue
            with self._lock:
                taken = state.bucket.take(now)
            if taken:
                self.observe(self._probe(state.server))

    def _may_probe(self, state: _ServerState) -> bool:
        return self._homes.send_deadline(state.server.id, cold=True) is not None

    def _probe(self, server: BackendServer) -> Observation:
        started_at = self._clock.monotonic()
        result, report = ExchangeResult.ANSWERED, None
        try:
            report = self._backends.probe(server, PROBE_TIMEOUT_S)
        except CallError as error:
            logger.debug("probe failed", backend=server.id, error=str(error))
            result = ExchangeResult.CONNECT_FAILED
        self._metrics.count("probes", service=server.service, result=result.value)
        now = self._clock.monotonic()
        return Observation(server.id, result, now, report, now - started_at, True)

    def _watch_vms(self, subscription: Subscription) -> None:
        while subscription.wait():
            try:
                vms = self._vms.list()
            except PlatformError as error:
                logger.debug("VM list not read", error=str(error))
                continue
            self._leaving_addresses = frozenset(
                vm.address for vm in vms if vm.state is VmState.LEAVING
            )


def make_evidence(kernel: Kernel) -> Evidence:
    """Return the evidence of this entry."""
    return MeasuredEvidence(
        kernel.find(ServiceName.CLOCK, Clock),
        kernel.find(ServiceName.TIMER, Timer),
        kernel.find(ServiceName.TASKS, Tasks),
        kernel.find(ServiceName.VMS, Vms),
        kernel.find(ServiceName.HOMES, Homes),
        kernel.find(ServiceName.MANIFEST, ManifestKeeper),
        kernel.find(ServiceName.BACKENDS, Backends),
        kernel.find(ServiceName.METRICS, Metrics),
    )
