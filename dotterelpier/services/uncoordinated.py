"""Choice of backend servers by each entry alone, without homes.

What balancers do that share nothing but load reports; the bench compares it with
homes. Every entry connects to every backend server and measures it.
"""

import itertools
import random
import threading
from collections.abc import Callable
from concurrent.futures import Future

from attrs import define, field

from dotterelpier.errors import OverloadedError
from dotterelpier.kernel import Kernel
from dotterelpier.model.admission import Slot
from dotterelpier.model.evidence import Observation
from dotterelpier.model.manifest import BackendServer, Revision
from dotterelpier.model.membership import (
    Assignment,
    HandoverState,
    HomeGrant,
    ServiceLoad,
    SlotOffer,
)
from dotterelpier.protocols import (
    Admission,
    Evidence,
    Homes,
    ManifestSource,
    ServerPolicy,
    ServiceName,
)

NOTHING_TO_HAND_OVER = HandoverState(0, 0, 0.0)


@define
class UncoordinatedHomes:
    """Lets this entry send to every backend server, as all others do."""

    _manifest: ManifestSource
    _known_ids: set[str] = field(factory=set)
    _listeners: list[Callable[[str, HomeGrant | None], None]] = field(factory=list)
    _lock: threading.RLock = field(factory=threading.RLock)

    def start(self) -> None:
        """Start to follow the manifest."""
        self._manifest.subscribe(self._on_revision)

    def stop(self) -> None:
        """Do nothing."""

    def is_home(self, backend_id: str) -> bool:
        """Tell whether the manifest declares the backend server."""
        return backend_id in self._known_ids

    def send_deadline(self, backend_id: str, *, cold: bool) -> float | None:
        """Return infinity: no lease limits what is sent."""
        return float("inf") if backend_id in self._known_ids else None

    def assignment(self) -> Assignment:
        """Return an assignment without homes."""
        return Assignment()

    def subscribe(self, listener: Callable[[str, HomeGrant | None], None]) -> None:
        """Call a listener with each backend server declared."""
        with self._lock:
            self._listeners.append(listener)
            known_ids = tuple(self._known_ids)
        for backend_id in known_ids:
            listener(backend_id, HomeGrant())

    def set_handover_state_source(self, source: Callable[[str], HandoverState]) -> None:
        """Do nothing: nothing is handed over."""

    def hand_over(self, backend_id: str, assignment: int) -> HandoverState:
        """Return that nothing is in flight."""
        return NOTHING_TO_HAND_OVER

    def _on_revision(self, revision: Revision) -> None:
        declared_ids = set(revision.manifest.backend_by_id)
        with self._lock:
            added_ids = declared_ids - self._known_ids
            removed_ids = self._known_ids - declared_ids
            self._known_ids = declared_ids
            listeners = tuple(self._listeners)
        for listener in listeners:
            for backend_id in added_ids:
                listener(backend_id, HomeGrant())
            for backend_id in removed_ids:
                listener(backend_id, None)


@define
class TwoChoicesPolicy:
    """Takes the less loaded of two backend servers chosen at random."""

    _random: random.Random

    def choose(
        self, servers: list[BackendServer], load_by_id: dict[str, int]
    ) -> BackendServer:
        """Return the chosen backend server."""
        sample = self._random.sample(servers, min(2, len(servers)))
        return min(sample, key=lambda server: load_by_id.get(server.id, 0))


@define
class RoundRobinPolicy:
    """Takes the backend servers in turn."""

    _turns: "itertools.count[int]"

    def choose(
        self, servers: list[BackendServer], load_by_id: dict[str, int]
    ) -> BackendServer:
        """Return the chosen backend server."""
        return servers[next(self._turns) % len(servers)]


@define
class UncoordinatedAdmission:
    """Sends each call at once; calls over the slots queue at the backend server."""

    _evidence: Evidence
    _manifest: ManifestSource
    _policy: ServerPolicy
    _reported_by_id: dict[str, int] = field(factory=dict)
    _in_flight_by_id: dict[str, int] = field(factory=dict)
    _slot_ids: "itertools.count[int]" = field(factory=lambda: itertools.count(1))
    _lock: threading.Lock = field(factory=threading.Lock)

    def start(self) -> None:
        """Start to follow load reports."""
        self._evidence.subscribe(self._on_observation)

    def stop(self) -> None:
        """Do nothing: no call waits here."""

    def try_acquire(
        self, service: str, excluded: frozenset[str], deadline_at: float
    ) -> Slot | None:
        """Return a slot on the chosen backend server."""
        servers = [
            server
            for server in self._servers(service)
            if server.id not in excluded and self._evidence.allows(server.id)
        ]
        if not servers:
            return None
        with self._lock:
            load_by_id = {server.id: self._load(server.id) for server in servers}
            chosen = self._policy.choose(servers, load_by_id)
            in_flight = self._in_flight_by_id.get(chosen.id, 0)
            self._in_flight_by_id[chosen.id] = in_flight + 1
        return Slot(next(self._slot_ids), chosen)

    def begin_probe(self, backend_id: str) -> bool:
        """Allow every probe."""
        return True

    def end_probe(self, backend_id: str) -> None:
        """Do nothing; probes are not counted."""

    def wait(
        self,
        service: str,
        deadline_at: float,
        excluded: frozenset[str] = frozenset(),
    ) -> "Future[Slot]":
        """Refuse: there is nothing to wait for."""
        raise OverloadedError("no backend server is allowed", step="admission.wait")

    def release(self, slot: Slot) -> None:
        """Count one request less in flight."""
        if slot.server is None:
            return
        with self._lock:
            self._in_flight_by_id[slot.server.id] -= 1

    def waiting(self, service: str) -> int:
        """Return 0: calls wait at the backend servers."""
        return 0

    def load_by_service(self) -> dict[str, ServiceLoad]:
        """Return nothing: no call is relayed."""
        return {}

    def take_offer(self, offer: SlotOffer) -> bool:
        """Refuse: no call waits here."""
        return False

    def redeem(
        self, reservation: str, deadline_at: float = float("inf")
    ) -> Slot | None:
        """Return None: nothing is reserved."""
        return None

    def reserve(self, service: str) -> tuple[Slot, str] | None:
        """Return None: nothing is reserved."""
        return None

    def subscribe_free_slots(self, listener: Callable[[str], None]) -> None:
        """Do nothing: no slot is kept."""

    def subscribe_cancellations(
        self, listener: Callable[[tuple[int, ...]], None]
    ) -> None:
        """Do nothing; no request is cancelled."""

    def handover_state(self, backend_id: str) -> HandoverState:
        """Return that nothing is handed over."""
        return NOTHING_TO_HAND_OVER

    def _servers(self, service: str) -> list[BackendServer]:
        revision = self._manifest.current()
        if revision is None:
            return []
        return [
            server
            for server in revision.manifest.backend_servers
            if server.service == service
        ]

    def _load(self, backend_id: str) -> int:
        reported = self._reported_by_id.get(backend_id, 0)
        return max(reported, self._in_flight_by_id.get(backend_id, 0))

    def _on_observation(self, observation: Observation) -> None:
        report = observation.report
        if report is not None:
            self._reported_by_id[observation.backend_id] = report.in_flight


def make_uncoordinated_homes(kernel: Kernel) -> Homes:
    """Return homes that let every entry send to every backend server."""
    return UncoordinatedHomes(kernel.find(ServiceName.MANIFEST, ManifestSource))


def make_uncoordinated_admission(
    kernel: Kernel, policy: str, seed: int | None = None
) -> Admission:
    """Return the admission for ``two_choices`` or ``round_robin``."""
    rng = random.Random(seed)
    chooser: ServerPolicy = (
        TwoChoicesPolicy(rng)
        if policy == "two_choices"
        else RoundRobinPolicy(itertools.count(rng.randrange(1000)))
    )
    return UncoordinatedAdmission(
        kernel.find(ServiceName.EVIDENCE, Evidence),
        kernel.find(ServiceName.MANIFEST, ManifestSource),
        chooser,
    )
