"""Status of this entry, collected from its other services."""

import math

from attrs import define

from dotterelpier.kernel import Kernel
from dotterelpier.model.manifest import Revision
from dotterelpier.model.membership import PeerStatus
from dotterelpier.model.status import BackendStatus, EntryStatus, MemberStatus
from dotterelpier.protocols import (
    Admission,
    Calls,
    Clock,
    Drain,
    Evidence,
    Homes,
    ManifestSource,
    Membership,
    Metrics,
    ServiceName,
    Status,
)

# Replaces an unknown or infinite duration, because JSON has no infinity.
UNKNOWN_S = -1.0


@define
class LiveStatus:
    """Collects the status from the other services on each request."""

    _clock: Clock
    _manifest: ManifestSource
    _membership: Membership
    _homes: Homes
    _evidence: Evidence
    _admission: Admission
    _calls: Calls
    _drain: Drain
    _metrics: Metrics

    def start(self) -> None:
        """Restrict the ``service`` label of metrics to the services of the manifest."""
        self._manifest.subscribe(self._on_revision)

    def stop(self) -> None:
        """Do nothing; this service has no task."""

    def healthy(self) -> bool:
        """Return whether the entry may take new work and is not stopping."""
        return self._membership.may_take_work() and not self._drain.draining()

    def entry(self) -> EntryStatus:
        """Return the status of this entry at this moment."""
        me = self._membership.me()
        revision = self._manifest.current()
        return EntryStatus(
            me.id,
            me.zone,
            0 if revision is None else revision.number,
            self._homes.assignment().number,
            _seconds_or_unknown(self._membership.lease_end() - self._clock.monotonic()),
            self._membership.platform_reached(),
            self._membership.may_take_work(),
            self._drain.draining(),
            self._calls.in_flight(),
            self._members(),
            self._backend_servers(),
            self._admission.load_by_service(),
        )

    def publish(self) -> None:
        """Set the gauges of the metrics from the current status."""
        status = self.entry()
        spent = [server.budget_spent for server in status.backend_servers]
        ages = [server.evidence_age_s for server in status.backend_servers]
        value_by_name = {
            "revision": status.revision,
            "assignment": status.assignment,
            "lease_left_seconds": status.lease_left_s,
            "platform_reached": status.platform_reached,
            "taking_work": status.may_take_work,
            "stopping": status.draining,
            "calls_in_flight": status.calls_in_flight,
            "members": len(status.members),
            "members_heard": 1 + len(self._membership.peers()),
            "homes": len(status.backend_servers),
            "cold_servers": sum(server.cold for server in status.backend_servers),
            "refused_servers": sum(
                not server.allowed for server in status.backend_servers
            ),
            "evidence_age_max_seconds": max(ages, default=0.0),
            "measuring_budget_spent_max": max(spent, default=0.0),
        }
        for name, value in value_by_name.items():
            self._metrics.set_gauge(name, value)
        for service, load in status.load_by_service.items():
            self._metrics.set_gauge("free_slots", load.free_slots, service=service)
            self._metrics.set_gauge("slots", load.slots, service=service)
            self._metrics.set_gauge("waiting_calls", load.waiting, service=service)

    def _on_revision(self, revision: Revision) -> None:
        names = frozenset(revision.manifest.service_by_name)
        self._metrics.restrict_label_values("service", names)

    def _members(self) -> tuple[MemberStatus, ...]:
        peer_status_by_id = {item.member.id: item for item in self._membership.peers()}
        return tuple(
            MemberStatus(
                member.id,
                member.zone,
                member.revision,
                self._heartbeat_age_s(peer_status_by_id.get(member.id)),
                member.leaving,
                member.operator_address,
            )
            for member in self._membership.known_by_id().values()
        )

    def _heartbeat_age_s(self, status: PeerStatus | None) -> float:
        if status is None:
            return UNKNOWN_S
        return _seconds_or_unknown(self._clock.monotonic() - status.last_heartbeat_at)

    def _backend_servers(self) -> tuple[BackendStatus, ...]:
        own_id = self._membership.me().id
        return tuple(
            self._backend_server(backend_id)
            for backend_id, home in self._homes.assignment().home_by_backend_id.items()
            if home.entry_id == own_id
        )

    def _backend_server(self, backend_id: str) -> BackendStatus:
        revision = self._manifest.current()
        declared = {} if revision is None else revision.manifest.backend_by_id
        server = declared.get(backend_id)
        handover_state = self._admission.handover_state(backend_id)
        return BackendStatus(
            backend_id,
            handover_state.limit,
            handover_state.in_flight,
            _seconds_or_unknown(self._evidence.age_s(backend_id)),
            self._evidence.allows(backend_id),
            "" if server is None else server.zone,
            server is not None and handover_state.limit < server.slots,
            round(self._evidence.budget_spent(backend_id), 3),
        )


def _seconds_or_unknown(seconds: float) -> float:
    return round(seconds, 3) if math.isfinite(seconds) else UNKNOWN_S


def make_status(kernel: Kernel) -> Status:
    """Return the status service of this entry."""
    return LiveStatus(
        kernel.find(ServiceName.CLOCK, Clock),
        kernel.find(ServiceName.MANIFEST, ManifestSource),
        kernel.find(ServiceName.MEMBERSHIP, Membership),
        kernel.find(ServiceName.HOMES, Homes),
        kernel.find(ServiceName.EVIDENCE, Evidence),
        kernel.find(ServiceName.ADMISSION, Admission),
        kernel.find(ServiceName.CALLS, Calls),
        kernel.find(ServiceName.DRAIN, Drain),
        kernel.find(ServiceName.METRICS, Metrics),
    )
