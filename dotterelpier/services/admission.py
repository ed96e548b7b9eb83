"""Slots of the backend servers whose home this entry is."""

import itertools
import threading
import uuid
from collections import deque
from collections.abc import Callable, Iterable
from concurrent.futures import Future

from attrs import define, field

from dotterelpier.errors import OverloadedError
from dotterelpier.kernel import Kernel
from dotterelpier.model.admission import Slot
from dotterelpier.model.evidence import ExchangeResult, Observation, Readiness
from dotterelpier.model.manifest import BackendServer
from dotterelpier.model.membership import (
    HandoverState,
    HomeGrant,
    ServiceLoad,
    SlotOffer,
)
from dotterelpier.protocols import (
    Admission,
    Clock,
    Evidence,
    Homes,
    ManifestKeeper,
    Membership,
    ServiceName,
    Timer,
)

RESERVATION_S = 1.0


@define(eq=False)
class _Gate:
    """Requests in flight at one backend server, and how many it bears."""

    server: BackendServer
    limit: int
    in_flight_elsewhere: int = 0
    deadline_by_slot_id: dict[int, float] = field(factory=dict)
    successes: int = 0
    boot_id: str = ""

    @property
    def in_flight(self) -> int:
        return len(self.deadline_by_slot_id) + self.in_flight_elsewhere

    @property
    def free(self) -> int:
        return max(0, self.limit - self.in_flight)

    @property
    def cold(self) -> bool:
        return self.limit < self.server.slots

    def turn_cold(self) -> None:
        """Admit no more than the cold allowance from now on."""
        self.limit = self.server.cold_slots
        self.successes = 0

    def succeed(self) -> None:
        """Double the limit after as many good answers as it allows at once."""
        if not self.cold:
            return
        self.successes += 1
        if self.successes >= self.limit:
            self.limit = min(self.server.slots, 2 * self.limit)
            self.successes = 0


@define
class HomeAdmission:
    """Counts requests in flight exactly and queues calls when no slot is free."""

    _clock: Clock
    _homes: Homes
    _evidence: Evidence
    _manifest: ManifestKeeper
    _timer: Timer
    _gate_by_id: dict[str, _Gate] = field(factory=dict)
    _waiting_by_service: dict[str, deque["Future[Slot]"]] = field(factory=dict)
    _slot_ids: "itertools.count[int]" = field(factory=lambda: itertools.count(1))
    _reserved_by_token: dict[str, Slot] = field(factory=dict)
    _free_listeners: list[Callable[[str], None]] = field(factory=list)
    _lock: threading.RLock = field(factory=threading.RLock)

    def start(self) -> None:
        """Start to follow homes and evidence."""
        self._homes.report_bearing_from(self.bearing)
        self._homes.subscribe(self._on_home)
        self._evidence.subscribe(self._on_observation)

    def stop(self) -> None:
        """Fail the calls that still wait."""
        with self._lock:
            queues = tuple(self._waiting_by_service.values())
        for waiting in queues:
            for future in tuple(waiting):
                future.cancel()

    def try_acquire(
        self, service: str, excluded: frozenset[str], deadline_at: float
    ) -> Slot | None:
        """Take a slot if one is free, on a server that is not excluded."""
        with self._lock:
            gates = [
                gate
                for gate in self._gates(service)
                if gate.free and gate.server.id not in excluded
            ]
            gates.sort(key=lambda gate: gate.free / gate.limit, reverse=True)
            for gate in gates:
                slot = self._take(gate, deadline_at)
                if slot is not None:
                    return slot
        return None

    def wait(self, service: str, deadline_at: float) -> "Future[Slot]":
        """Queue for a slot; cancel the future to leave the queue."""
        revision = self._manifest.current()
        queue_calls = (
            revision.manifest.service_by_name[service].queue_calls if revision else 0
        )
        future: Future[Slot] = Future()
        with self._lock:
            waiting = self._waiting_by_service.setdefault(service, deque())
            if len(waiting) >= queue_calls:
                raise OverloadedError(
                    f"{len(waiting)} calls wait already", step="admission.wait"
                )
            waiting.append(future)
        future.add_done_callback(lambda done: self._leave_queue(service, done))
        self._grant_waiting(service)
        return future

    def release(self, slot: Slot) -> None:
        """Give a slot back."""
        if slot.server is None:
            return
        with self._lock:
            gate = self._gate_by_id.get(slot.server.id)
            if gate is not None:
                gate.deadline_by_slot_id.pop(slot.id, None)
        self._grant_waiting(slot.server.service)

    def load_by_service(self) -> dict[str, ServiceLoad]:
        """Return the load of each service on this entry."""
        with self._lock:
            services = {gate.server.service for gate in self._gate_by_id.values()}
            services.update(self._waiting_by_service)
            return {service: self._load(service) for service in services}

    def take_offer(self, offer: SlotOffer) -> bool:
        """Give a slot offered by a peer to a waiting call, if there is one."""
        slot = Slot(
            next(self._slot_ids),
            None,
            peer_id=offer.sender_id,
            reservation=offer.reservation,
        )
        return self._give_to_waiting(offer.service, slot)

    def reserve(self, service: str) -> tuple[Slot, str] | None:
        """Hold a free slot that no call here waits for, under a new token."""
        with self._lock:
            if self._waiting_by_service.get(service):
                return None
            expires_at = self._clock.monotonic() + RESERVATION_S
            slot = self.try_acquire(service, frozenset(), expires_at)
            if slot is None:
                return None
            token = uuid.uuid4().hex
            self._reserved_by_token[token] = slot
        self._timer.after(RESERVATION_S, lambda: self._expire(token))
        return slot, token

    def redeem(
        self, reservation: str, deadline_at: float = float("inf")
    ) -> Slot | None:
        """Return the slot reserved under a token, once, for a call with a deadline."""
        with self._lock:
            slot = self._reserved_by_token.pop(reservation, None)
            if slot is not None and slot.server is not None:
                gate = self._gate_by_id[slot.server.id]
                gate.deadline_by_slot_id[slot.id] = deadline_at
            return slot

    def subscribe_free(self, listener: Callable[[str], None]) -> None:
        """Call a listener with a service that has a slot free and nobody waiting."""
        with self._lock:
            self._free_listeners.append(listener)

    def bearing(self, backend_id: str) -> HandoverState:
        """Return what a backend server bears and has in flight from here."""
        with self._lock:
            gate = self._gate_by_id.get(backend_id)
            if gate is None:
                return HandoverState(0, 0, 0.0)
            deadlines = gate.deadline_by_slot_id.values()
            longest_s = max(deadlines, default=0.0) - self._clock.monotonic()
            return HandoverState(gate.limit, len(deadlines), max(0.0, longest_s))

    def _gates(self, service: str) -> Iterable[_Gate]:
        return [
            gate
            for gate in self._gate_by_id.values()
            if gate.server.service == service and self._evidence.allows(gate.server.id)
        ]

    def _take(self, gate: _Gate, deadline_at: float) -> Slot | None:
        if self._homes.send_deadline(gate.server.id, cold=gate.cold) is None:
            return None
        slot = Slot(next(self._slot_ids), gate.server, gate.cold)
        gate.deadline_by_slot_id[slot.id] = deadline_at
        return slot

    def _load(self, service: str) -> ServiceLoad:
        gates = list(self._gates(service))
        return ServiceLoad(
            sum(gate.free for gate in gates),
            sum(gate.limit for gate in gates),
            len(self._waiting_by_service.get(service, ())),
        )

    def _leave_queue(self, service: str, future: "Future[Slot]") -> None:
        with self._lock:
            waiting = self._waiting_by_service.get(service)
            if waiting is not None and future in waiting:
                waiting.remove(future)

    def _expire(self, token: str) -> None:
        slot = self.redeem(token)
        if slot is not None:
            self.release(slot)

    def _grant_waiting(self, service: str) -> None:
        while self._waiting_by_service.get(service):
            slot = self.try_acquire(service, frozenset(), float("inf"))
            if slot is None:
                return
            if not self._give_to_waiting(service, slot):
                self._cancel_slot(slot)
        self._tell_free(service)

    def _tell_free(self, service: str) -> None:
        with self._lock:
            listeners = tuple(self._free_listeners)
            if not listeners or not self._load(service).free_slots:
                return
        for listener in listeners:
            listener(service)

    def _give_to_waiting(self, service: str, slot: Slot) -> bool:
        while True:
            with self._lock:
                waiting = self._waiting_by_service.get(service)
                if not waiting:
                    return False
                future = waiting.popleft()
            if future.set_running_or_notify_cancel():
                future.set_result(slot)
                return True

    def _cancel_slot(self, slot: Slot) -> None:
        with self._lock:
            if slot.server is not None:
                gate = self._gate_by_id.get(slot.server.id)
                if gate is not None:
                    gate.deadline_by_slot_id.pop(slot.id, None)

    def _on_home(self, backend_id: str, grant: HomeGrant | None) -> None:
        revision = self._manifest.current()
        server = revision and revision.manifest.backend_by_id.get(backend_id)
        if not server:
            return
        with self._lock:
            gate = self._gate_by_id.get(backend_id)
            if grant is None:
                if gate is not None:
                    gate.limit = 0
                return
            if gate is None:
                gate = _Gate(server, 0)
                self._gate_by_id[backend_id] = gate
            if gate.limit == 0:
                gate.limit = grant.limit or server.cold_slots
            gate.in_flight_elsewhere = grant.in_flight_elsewhere
        self._grant_waiting(server.service)

    def _on_observation(self, observation: Observation) -> None:
        with self._lock:
            gate = self._gate_by_id.get(observation.backend_id)
            if gate is None or gate.limit == 0:
                return
            self._adapt(gate, observation)
        self._grant_waiting(gate.server.service)

    def _adapt(self, gate: _Gate, observation: Observation) -> None:
        report = observation.report
        rebooted = False
        if report is not None and report.boot_id:
            rebooted = gate.boot_id not in ("", report.boot_id)
            gate.boot_id = report.boot_id
        cold_report = report is not None and report.readiness is Readiness.COLD
        cold_results = (ExchangeResult.SHED, ExchangeResult.RESET)
        if rebooted or cold_report or observation.result in cold_results:
            gate.turn_cold()
        elif (
            observation.result is ExchangeResult.ANSWERED and not observation.from_probe
        ):
            gate.succeed()


def make_admission(kernel: Kernel) -> Admission:
    """Return the admission of this entry."""
    admission = HomeAdmission(
        kernel.find(ServiceName.CLOCK, Clock),
        kernel.find(ServiceName.HOMES, Homes),
        kernel.find(ServiceName.EVIDENCE, Evidence),
        kernel.find(ServiceName.MANIFEST, ManifestKeeper),
        kernel.find(ServiceName.TIMER, Timer),
    )
    membership = kernel.find(ServiceName.MEMBERSHIP, Membership)
    membership.report_loads_from(admission.load_by_service)
    return admission
