"""Fakes around the real evidence and admission of one entry, stepped by hand."""

from collections.abc import Callable
from concurrent.futures import Future

from attrs import define, evolve, field

from dotterelpier.errors import AnswerTimeoutError, ConnectFailedError
from dotterelpier.kernel import Kernel
from dotterelpier.model.admission import Slot
from dotterelpier.model.evidence import (
    ExchangeResult,
    LoadReport,
    Observation,
    ProbeAnswer,
    Readiness,
)
from dotterelpier.model.manifest import (
    BackendServer,
    Manifest,
    MeasuringBudget,
    Revision,
    Service,
    Zone,
    ZoneState,
)
from dotterelpier.model.membership import HandoverState, HomeGrant, ServiceLoad
from dotterelpier.protocols import Admission, Evidence, ServiceName
from dotterelpier.services.admission import make_admission
from dotterelpier.services.evidence import make_evidence
from dotterelpier.services.metrics import make_metrics
from tests.fakes import ManualClock, MemoryPlatform, make_step_kernel, step

SERVICE = "catalogue"
SERVER = BackendServer("server-1", SERVICE, "127.0.0.9:80", "north", 4, 1)
SLOTS, COLD_SLOTS = SERVER.slots, SERVER.cold_slots
PROBE_BYTES = 300


def make_manifest(
    *servers: BackendServer,
    budget: MeasuringBudget | None = None,
    zone: ZoneState = ZoneState.IN,
) -> Manifest:
    """Return a manifest with one zone and one service."""
    return Manifest(
        "test",
        (Zone("north", "here", zone),),
        (Service(SERVICE, queue_calls=64),),
        servers or (SERVER,),
        budget or MeasuringBudget(),
    )


@define
class ManualManifest:
    """A manifest that changes when told."""

    manifest: Manifest
    number: int = 1
    listeners: list[Callable[[Revision], None]] = field(factory=list)

    def current(self) -> Revision:
        return Revision(self.number, "", "", "", self.manifest)

    def subscribe(self, listener: Callable[[Revision], None]) -> None:
        self.listeners.append(listener)
        listener(self.current())

    def put(self, manifest: Manifest) -> None:
        self.manifest, self.number = manifest, self.number + 1
        for listener in self.listeners:
            listener(self.current())


@define
class ManualHomes:
    """Homes that are given and taken by the test."""

    clock: ManualClock
    lease_end: float = float("inf")
    active_ids: set[str] = field(factory=set)
    listeners: list[Callable[[str, HomeGrant | None], None]] = field(factory=list)

    def send_deadline(self, backend_id: str, *, cold: bool) -> float | None:
        if backend_id not in self.active_ids or self.clock.now >= self.lease_end:
            return None
        return self.lease_end

    def subscribe(self, listener: Callable[[str, HomeGrant | None], None]) -> None:
        self.listeners.append(listener)

    def set_handover_state_source(self, source: Callable[[str], HandoverState]) -> None:
        pass

    def assign(self, grant: HomeGrant, backend_id: str = SERVER.id) -> None:
        self.active_ids.add(backend_id)
        for listener in self.listeners:
            listener(backend_id, grant)

    def revoke(self, backend_id: str = SERVER.id) -> None:
        self.active_ids.discard(backend_id)
        for listener in self.listeners:
            listener(backend_id, None)


@define
class StubMembership:
    """Takes no loads."""

    def set_load_source(self, source: Callable[[], dict[str, ServiceLoad]]) -> None:
        pass


@define
class ModelServer:
    """A backend server as the oracle knows it."""

    clock: ManualClock
    warm_after: int = 8
    boot: int = 1
    warm: bool = True
    leaving: bool = False
    refusing: bool = False
    silent: bool = False
    probe_s: float = 0.0
    stale_report: LoadReport | None = None
    running: set[int] = field(factory=set)
    answers: int = 0
    probed_at: list[float] = field(factory=list)
    probe_slot_s: list[tuple[float, float]] = field(factory=list)

    def report(self) -> LoadReport:
        if self.stale_report is not None:
            return self.stale_report
        state = Readiness.READY if self.warm else Readiness.COLD
        state = Readiness.LEAVING if self.leaving else state
        return LoadReport(state, f"boot-{self.boot}", len(self.running))

    def turn_cold(self) -> None:
        self.warm, self.answers = False, 0

    def restart(self) -> None:
        self.turn_cold()
        self.boot += 1
        self.running.clear()

    def answer(self, slot_id: int) -> None:
        self.running.discard(slot_id)
        self.answers += 1
        self.warm |= self.answers >= self.warm_after

    def probe(self) -> ProbeAnswer:
        if self.refusing:
            raise ConnectFailedError("refused", step="probe")
        self.probed_at.append(self.clock.now)
        self.probe_slot_s.append((self.clock.now, self.probe_s))
        self.clock.advance(self.probe_s)
        if self.silent:
            raise AnswerTimeoutError("silent", step="probe")
        return ProbeAnswer(self.report(), PROBE_BYTES)


@define
class ModelBackends:
    """Probes model servers."""

    server_by_id: dict[str, ModelServer]

    def probe(self, server: BackendServer, timeout_s: float) -> ProbeAnswer:
        return self.server_by_id[server.id].probe()


@define
class StepEntry:
    """The real evidence and admission of one entry among fakes."""

    clock: ManualClock
    servers: dict[str, ModelServer]
    manifest: ManualManifest
    homes: ManualHomes = field(init=False)
    platform: MemoryPlatform = field(init=False)
    kernel: Kernel = field(init=False)
    evidence: Evidence = field(init=False)
    admission: Admission = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.homes = ManualHomes(self.clock)
        self.platform = MemoryPlatform(self.clock)
        self.kernel = make_step_kernel(self.clock, self.platform)
        self.kernel.register(ServiceName.METRICS, make_metrics())
        self.kernel.register(ServiceName.MANIFEST, self.manifest)
        self.kernel.register(ServiceName.HOMES, self.homes)
        self.kernel.register(ServiceName.MEMBERSHIP, StubMembership())
        self.kernel.register(ServiceName.BACKENDS, ModelBackends(self.servers))
        self.evidence = make_evidence(self.kernel)
        self.kernel.register(ServiceName.EVIDENCE, self.evidence)
        self.admission = make_admission(self.kernel)
        self.kernel.register(ServiceName.ADMISSION, self.admission)
        self.kernel.start()

    def step(self, seconds: float = 0.25) -> None:
        """Let time pass, then run every task for one tick."""
        self.clock.advance(seconds)
        step(self.kernel)

    def run(self, seconds: float) -> None:
        """Step for a while."""
        for _ in range(round(seconds / 0.25)):
            self.step()

    def acquire(self, deadline_s: float = 5.0) -> Slot | None:
        """Take a slot for a call."""
        deadline_at = self.clock.now + deadline_s
        return self.admission.try_acquire(SERVICE, frozenset(), deadline_at)

    def wait(self, deadline_s: float = 5.0) -> "Future[Slot]":
        """Queue for a slot."""
        return self.admission.wait(SERVICE, self.clock.now + deadline_s)

    def finish(
        self,
        slot: Slot,
        result: ExchangeResult = ExchangeResult.ANSWERED,
        report: LoadReport | None = None,
        latency_s: float = 0.0,
    ) -> None:
        """End an exchange as a call does: observe first, then give the slot back."""
        self.observe(result, report, latency_s)
        self.admission.release(slot)

    def observe(
        self,
        result: ExchangeResult,
        report: LoadReport | None = None,
        latency_s: float = 0.0,
    ) -> None:
        """Observe an exchange with the server."""
        now = self.clock.now
        self.evidence.observe(Observation(SERVER.id, result, now, report, latency_s))


def make_step_entry(
    clock: ManualClock | None = None,
    server: ModelServer | None = None,
    manifest: Manifest | None = None,
) -> StepEntry:
    """Return an entry with one model server, not yet its home."""
    clock = clock or ManualClock()
    servers = {SERVER.id: server or ModelServer(clock)}
    return StepEntry(clock, servers, ManualManifest(manifest or make_manifest()))


def make_warm_entry() -> StepEntry:
    """Return an entry that is the home of a warm server."""
    entry = make_step_entry()
    entry.homes.assign(HomeGrant(limit=SLOTS))
    entry.run(1.5)
    return entry


def changed(server: BackendServer, **changes: object) -> BackendServer:
    """Return a server declared otherwise."""
    return evolve(server, **changes)
