"""Load balancing without coordination between entries.

Each entry chooses among all backend servers by itself, connects to all and probes all.
It knows the load of the others only from the load reports of the servers. The bench
compares this with homes.
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
    """Makes this entry, like all others, a home of every declared backend server."""

    _manifest: ManifestSource
    _known_ids: set[str] = field(factory=set)
    _listeners: list[Callable[[str, HomeGrant | None], None]] = field(factory=list)
    _lock: threading.RLock = field(factory=threading.RLock)

    def start(self) -> None:
        """Subscribe to the manifest."""
        self._manifest.subscribe(self._on_revision)

    def stop(self) -> None:
        """Do nothing; there is no task to end."""

    def is_home(self, backend_id: str) -> bool:
        """Return whether the manifest declares the backend server."""
        return backend_id in self._known_ids

    def send_deadline(self, backend_id: str, *, cold: bool) -> float | None:
        """Return ``inf`` for a declared server, since no lease limits its requests."""
        return float("inf") if backend_id in self._known_ids else None

    def assignment(self) -> Assignment:
        """Return an assignment without homes."""
        return Assignment()

    def subscribe(self, listener: Callable[[str, HomeGrant | None], None]) -> None:
        """Call a listener with each backend server declared or removed."""
        with self._lock:
            self._listeners.append(listener)
            known_ids = tuple(self._known_ids)
        for backend_id in known_ids:
            listener(backend_id, HomeGrant())

    def set_handover_state_source(self, source: Callable[[str], HandoverState]) -> None:
        """Ignore the source, since nothing is handed over."""

    def hand_over(self, backend_id: str, assignment: int) -> HandoverState:
        """Return a state without requests in flight."""
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
    """Chooses the less loaded of two backend servers picked at random."""

    _random: random.Random

    def choose(
        self, servers: list[BackendServer], load_by_id: dict[str, int]
    ) -> BackendServer:
        """Return the chosen backend server."""
        sample = self._random.sample(servers, min(2, len(servers)))
        return min(sample, key=lambda server: load_by_id.get(server.id, 0))


@define
class RoundRobinPolicy:
    """Chooses the backend servers in turn."""

    _turns: "itertools.count[int]"

    def choose(
        self, servers: list[BackendServer], load_by_id: dict[str, int]
    ) -> BackendServer:
        """Return the chosen backend server."""
        return servers[next(self._turns) % len(servers)]


@define
class UncoordinatedAdmission:
    """Admits each call at once; calls above the slots queue at the backend server."""

    _evidence: Evidence
    _manifest: ManifestSource
    _policy: ServerPolicy
    _reported_by_id: dict[str, int] = field(factory=dict)
    _in_flight_by_id: dict[str, int] = field(factory=dict)
    _slot_ids: "itertools.count[int]" = field(factory=lambda: itertools.count(1))
    _lock: threading.Lock = field(factory=threading.Lock)

    def start(self) -> None:
        """Subscribe to observations for their load reports."""
        self._evidence.subscribe(self._on_observation)

    def stop(self) -> None:
        """Do nothing; no call waits here."""

    def try_acquire(
        self, service: str, excluded: frozenset[str], deadline_at: float
    ) -> Slot | None:
        """Return a slot on the server that the policy chooses, or None."""
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
        """Return True; probes are not limited."""
        return True

    def end_probe(self, backend_id: str) -> None:
        """Do nothing; probes are not counted."""

    def wait(
        self,
        service: str,
        deadline_at: float,
        excluded: frozenset[str] = frozenset(),
    ) -> "Future[Slot]":
        """Raise, since calls do not wait for slots here.

        Raises
        ------
        OverloadedError
            Always, because ``try_acquire`` found no server that evidence allows and
            that is not excluded.
        """
        raise OverloadedError(
            "no backend server of the service is available", step="admission.wait"
        )

    def release(self, slot: Slot) -> None:
        """Count a request as ended."""
        if slot.server is None:
            return
        with self._lock:
            self._in_flight_by_id[slot.server.id] -= 1

    def waiting(self, service: str) -> int:
        """Return 0, since calls queue at the backend servers."""
        return 0

    def load_by_service(self) -> dict[str, ServiceLoad]:
        """Return no loads, so that peers relay no calls here."""
        return {}

    def take_offer(self, offer: SlotOffer) -> bool:
        """Return False, since no call waits here."""
        return False

    def redeem(
        self, reservation: str, deadline_at: float = float("inf")
    ) -> Slot | None:
        """Return None, since no slot is ever reserved."""
        return None

    def reserve(self, service: str) -> tuple[Slot, str] | None:
        """Return None, since peers are offered no slots."""
        return None

    def subscribe_free_slots(self, listener: Callable[[str], None]) -> None:
        """Ignore the listener, since no slots are offered."""

    def subscribe_cancellations(
        self, listener: Callable[[tuple[int, ...]], None]
    ) -> None:
        """Ignore the listener, since no limit is lowered."""

    def handover_state(self, backend_id: str) -> HandoverState:
        """Return a state without requests in flight."""
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
    """Return homes that make every entry a home of every backend server."""
    return UncoordinatedHomes(kernel.find(ServiceName.MANIFEST, ManifestSource))


def make_uncoordinated_admission(
    kernel: Kernel, policy: str, seed: int | None = None
) -> Admission:
    """Return the admission that chooses servers by a policy.

    Parameters
    ----------
    kernel : Kernel
        Where evidence and the manifest are registered.
    policy : str
        ``"two_choices"``, or ``"round_robin"``, which any other value means too.
    seed : int or None
        Seed of the random choices, None for a random one.
    """
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
