"""Slots of the backend servers whose home this entry is."""

import itertools
import threading
import uuid
from collections.abc import Callable
from concurrent.futures import Future

from attrs import define, field, frozen

from dotterelpier.errors import OverloadedError
from dotterelpier.kernel import Kernel
from dotterelpier.model.admission import Slot
from dotterelpier.model.evidence import ExchangeResult, Observation
from dotterelpier.model.manifest import Revision
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
    ManifestSource,
    Membership,
    ServiceName,
    Timer,
)
from dotterelpier.services.call_queue import CallQueue, Waiter
from dotterelpier.services.concurrency_limiter import (
    ConcurrencyLimiter,
    make_concurrency_limiter,
)

RESERVATION_S = 1.0


@define
class HomeAdmission:
    """Counts requests in flight exactly and queues calls when no slot is free.

    Listeners and futures are served without the lock held.
    """

    _clock: Clock
    _homes: Homes
    _evidence: Evidence
    _manifest: ManifestSource
    _timer: Timer
    _limiter_by_id: dict[str, ConcurrencyLimiter] = field(factory=dict)
    _queue_by_service: dict[str, CallQueue] = field(factory=dict)
    _zones_out: frozenset[str] = frozenset()
    _slot_ids: "itertools.count[int]" = field(factory=lambda: itertools.count(1))
    _reserved_by_token: dict[str, Slot] = field(factory=dict)
    _free_slot_listeners: list[Callable[[str], None]] = field(factory=list)
    _cancellation_listeners: list[Callable[[tuple[int, ...]], None]] = field(
        factory=list
    )
    _lock: threading.RLock = field(factory=threading.RLock)

    def start(self) -> None:
        """Start to follow homes, evidence and the manifest."""
        self._homes.set_handover_state_source(self.handover_state)
        self._manifest.subscribe(self._on_revision)
        self._homes.subscribe(self._on_home)
        self._evidence.subscribe(self._on_observation)
        self._evidence.set_probe_limiter(self)

    def stop(self) -> None:
        """Fail the calls that still wait."""
        with self._lock:
            queues = tuple(self._queue_by_service.values())
        for queue in queues:
            for waiter in queue.in_order():
                waiter.future.cancel()

    def try_acquire(
        self, service: str, excluded: frozenset[str], deadline_at: float
    ) -> Slot | None:
        """Take a slot if one is free, on a server that is not excluded."""
        with self._lock:
            limiters = [
                limiter
                for limiter in self._available_limiters(service)
                if limiter.server.id not in excluded
            ]
            limiters.sort(
                key=lambda limiter: limiter.free / limiter.limit, reverse=True
            )
            for limiter in limiters:
                slot = self._try_take(limiter, deadline_at)
                if slot is not None:
                    return slot
        return None

    def wait(
        self,
        service: str,
        deadline_at: float,
        excluded: frozenset[str] = frozenset(),
    ) -> "Future[Slot]":
        """Queue for a slot; cancel the future to leave the queue."""
        now = self._clock.monotonic()
        waiter = Waiter(deadline_at, excluded)
        with self._lock:
            queue = self._queue_by_service.setdefault(service, CallQueue())
            if len(queue) >= self._queue_limit(service):
                raise OverloadedError(
                    f"{len(queue)} calls wait already", step="admission.wait"
                )
            if now + queue.expected_wait_s() > deadline_at:
                raise OverloadedError(
                    "the deadline is before a slot is likely to come free",
                    step="admission.wait",
                )
            queue.add(waiter, now)
        waiter.future.add_done_callback(lambda _: self._leave_queue(service, waiter))
        self._grant_waiting(service)
        return waiter.future

    def release(self, slot: Slot) -> None:
        """Give a slot back, once the request surely no longer runs."""
        if slot.server is None:
            return
        with self._lock:
            limiter = self._limiter_by_id.get(slot.server.id)
            if limiter is not None:
                limiter.remove_request(slot.id, self._clock.monotonic())
                self._remove_if_undeclared(limiter)
        self._grant_waiting(slot.server.service)

    def waiting(self, service: str) -> int:
        """Return the number of calls that wait here for a slot of a service."""
        return len(self._queue_by_service.get(service, ()))

    def load_by_service(self) -> dict[str, ServiceLoad]:
        """Return the load of each service on this entry."""
        with self._lock:
            services = {
                limiter.server.service for limiter in self._limiter_by_id.values()
            }
            services.update(self._queue_by_service)
            return {service: self._load(service) for service in services}

    def take_offer(self, offer: SlotOffer) -> bool:
        """Give a slot offered by a peer to a waiting call, if there is one."""
        slot = Slot(
            next(self._slot_ids),
            None,
            peer_id=offer.sender_id,
            reservation=offer.reservation,
        )
        while (waiter := self._dequeue_first(offer.service)) is not None:
            if _deliver(waiter, slot):
                return True
        return False

    def reserve(self, service: str) -> tuple[Slot, str] | None:
        """Hold a free slot that no call here waits for, under a new token."""
        with self._lock:
            if self._queue_by_service.get(service):
                return None
            expires_at = self._clock.monotonic() + RESERVATION_S
            slot = self.try_acquire(service, frozenset(), expires_at)
            if slot is None:
                return None
            token = uuid.uuid4().hex
            self._reserved_by_token[token] = slot
        self._timer.after(RESERVATION_S, lambda: self._expire_reservation(token))
        return slot, token

    def redeem(
        self, reservation: str, deadline_at: float = float("inf")
    ) -> Slot | None:
        """Return the slot reserved under a token, once, for a call with a deadline."""
        with self._lock:
            slot = self._reserved_by_token.pop(reservation, None)
            if slot is not None and slot.server is not None:
                limiter = self._limiter_by_id[slot.server.id]
                limiter.deadline_by_slot_id[slot.id] = deadline_at
            return slot

    def subscribe_free_slots(self, listener: Callable[[str], None]) -> None:
        """Call a listener with a service that has a slot free and nobody waiting."""
        with self._lock:
            self._free_slot_listeners.append(listener)

    def subscribe_cancellations(
        self, listener: Callable[[tuple[int, ...]], None]
    ) -> None:
        """Call a listener with the ids of slots that a cold server cannot bear."""
        with self._lock:
            self._cancellation_listeners.append(listener)

    def handover_state(self, backend_id: str) -> HandoverState:
        """Return what a backend server bears and has in flight from here."""
        with self._lock:
            limiter = self._limiter_by_id.get(backend_id)
            if limiter is None:
                return HandoverState(0, 0, 0.0)
            return limiter.handover_state(self._clock.monotonic())

    def begin_probe(self, backend_id: str) -> bool:
        """Tell whether a probe may be sent; a cold server spends a slot on it."""
        with self._lock:
            limiter = self._limiter_by_id.get(backend_id)
            if limiter is None or not limiter.active:
                return False
            if limiter.cold and not limiter.free:
                return False
            limiter.probing = limiter.cold
            return True

    def end_probe(self, backend_id: str) -> None:
        """State that the probe ended."""
        with self._lock:
            limiter = self._limiter_by_id.get(backend_id)
            if limiter is None or not limiter.probing:
                return
            limiter.probing = False
        self._grant_waiting(limiter.server.service)

    def _available_limiters(self, service: str) -> list[ConcurrencyLimiter]:
        return [
            limiter
            for limiter in self._limiter_by_id.values()
            if limiter.server.service == service
            and limiter.free
            and self._evidence.allows(limiter.server.id)
        ]

    def _try_take(self, limiter: ConcurrencyLimiter, deadline_at: float) -> Slot | None:
        now = self._clock.monotonic()
        limiter.turn_cold_if_idle(now)
        if not limiter.free:
            return None
        if self._homes.send_deadline(limiter.server.id, cold=limiter.cold) is None:
            return None
        slot = Slot(next(self._slot_ids), limiter.server, limiter.cold)
        limiter.add_request(slot.id, deadline_at, now)
        return slot

    def _load(self, service: str) -> ServiceLoad:
        limiters = [
            limiter
            for limiter in self._limiter_by_id.values()
            if limiter.active
            and limiter.server.service == service
            and self._evidence.allows(limiter.server.id)
        ]
        return ServiceLoad(
            sum(limiter.free_for_calls for limiter in limiters),
            sum(limiter.limit for limiter in limiters),
            len(self._queue_by_service.get(service, ())),
        )

    def _queue_limit(self, service: str) -> int:
        revision = self._manifest.current()
        if revision is None or service not in revision.manifest.service_by_name:
            return 0
        return revision.manifest.service_by_name[service].queue_calls

    def _leave_queue(self, service: str, waiter: Waiter) -> None:
        with self._lock:
            self._queue_by_service[service].discard(waiter)

    def _expire_reservation(self, token: str) -> None:
        slot = self.redeem(token)
        if slot is not None:
            self.release(slot)

    def _dequeue_first(self, service: str) -> Waiter | None:
        with self._lock:
            queue = self._queue_by_service.get(service)
            if not queue:
                return None
            waiter = queue.in_order()[0]
            queue.remove_granted(waiter, self._clock.monotonic())
            return waiter

    def _grant_waiting(self, service: str) -> None:
        while (grant := self._next_grant(service)) is not None:
            if not _deliver(grant.waiter, grant.slot):
                self.release(grant.slot)
        self._notify_free_slots(service)

    def _next_grant(self, service: str) -> "_Grant | None":
        with self._lock:
            queue = self._queue_by_service.get(service)
            for waiter in queue.in_order() if queue else ():
                slot = self.try_acquire(service, waiter.excluded, waiter.deadline_at)
                if slot is not None and queue is not None:
                    queue.remove_granted(waiter, self._clock.monotonic())
                    return _Grant(waiter, slot)
                if not waiter.excluded:
                    return None
        return None

    def _notify_free_slots(self, service: str) -> None:
        with self._lock:
            listeners = tuple(self._free_slot_listeners)
            if not listeners or self._queue_by_service.get(service):
                return
            if not self._available_limiters(service):
                return
        for listener in listeners:
            listener(service)

    def _on_home(self, backend_id: str, grant: HomeGrant | None) -> None:
        revision = self._manifest.current()
        server = revision and revision.manifest.backend_by_id.get(backend_id)
        with self._lock:
            limiter = self._limiter_by_id.get(backend_id)
            if grant is None:
                self._deactivate_limiter(limiter)
                return
            if not server:
                return
            if limiter is None:
                limiter = make_concurrency_limiter(server)
                self._limiter_by_id[backend_id] = limiter
            limiter.apply_grant(grant, self._clock.monotonic())
        self._grant_waiting(server.service)

    def _deactivate_limiter(self, limiter: ConcurrencyLimiter | None) -> None:
        if limiter is not None:
            limiter.active = False
            self._remove_if_undeclared(limiter)

    def _remove_if_undeclared(self, limiter: ConcurrencyLimiter) -> None:
        revision = self._manifest.current()
        declared = (
            revision is None or limiter.server.id in revision.manifest.backend_by_id
        )
        if not declared and not limiter.active and not limiter.deadline_by_slot_id:
            self._limiter_by_id.pop(limiter.server.id, None)

    def _on_revision(self, revision: Revision) -> None:
        manifest = revision.manifest
        now = self._clock.monotonic()
        zones_out = frozenset(
            zone.name for zone in manifest.zones if manifest.zone_is_out(zone.name)
        )
        with self._lock:
            returned_zones = self._zones_out - zones_out
            self._zones_out = zones_out
            for backend_id, limiter in tuple(self._limiter_by_id.items()):
                server = manifest.backend_by_id.get(backend_id)
                if server is None:
                    self._remove_if_undeclared(limiter)
                    continue
                if server != limiter.server:
                    limiter.set_server(server, now)
                if server.zone in returned_zones:
                    limiter.turn_cold(now)
        for service in manifest.service_by_name:
            self._grant_waiting(service)

    def _on_observation(self, observation: Observation) -> None:
        with self._lock:
            limiter = self._limiter_by_id.get(observation.backend_id)
            if limiter is None:
                return
            slow = self._record_latency(limiter, observation)
            excess = limiter.adjust_limit(observation, slow)
            listeners = tuple(self._cancellation_listeners) if excess else ()
        for listener in listeners:
            listener(excess)
        self._grant_waiting(limiter.server.service)

    def _record_latency(
        self, limiter: ConcurrencyLimiter, observation: Observation
    ) -> bool:
        results_with_latency = (ExchangeResult.ANSWERED, ExchangeResult.TIMEOUT)
        if observation.from_probe or observation.result not in results_with_latency:
            return False
        limiter.baseline.add(observation.latency_s)
        if not limiter.baseline.is_exceeded():
            return False
        # Where most servers look slow, the cause is on the side of this entry.
        limiters = [item for item in self._limiter_by_id.values() if item.active]
        slow = sum(item.baseline.is_exceeded() for item in limiters)
        return 2 * slow <= max(2, len(limiters))


@frozen
class _Grant:
    """A slot for a waiting call."""

    waiter: Waiter
    slot: Slot


def _deliver(waiter: Waiter, slot: Slot) -> bool:
    if not waiter.future.set_running_or_notify_cancel():
        return False
    waiter.future.set_result(slot)
    return True


def make_admission(kernel: Kernel) -> Admission:
    """Return the admission of this entry."""
    admission = HomeAdmission(
        kernel.find(ServiceName.CLOCK, Clock),
        kernel.find(ServiceName.HOMES, Homes),
        kernel.find(ServiceName.EVIDENCE, Evidence),
        kernel.find(ServiceName.MANIFEST, ManifestSource),
        kernel.find(ServiceName.TIMER, Timer),
    )
    membership = kernel.find(ServiceName.MEMBERSHIP, Membership)
    membership.set_load_source(admission.load_by_service)
    return admission
