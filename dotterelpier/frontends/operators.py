"""HTTP front end for operators: metrics, health and status."""

import math
from collections.abc import Iterable

from attrs import define

from dotterelpier.frontends.http_server import (
    Environ,
    HttpServer,
    StartResponse,
    make_http_server,
    status_line,
)
from dotterelpier.kernel import Kernel
from dotterelpier.model.membership import PeerStatus
from dotterelpier.model.status import BackendStatus, EntryStatus, MemberStatus
from dotterelpier.protocols import (
    Admission,
    Calls,
    Clock,
    Drain,
    Evidence,
    Homes,
    ManifestKeeper,
    Membership,
    Metrics,
    ServiceName,
    Tasks,
)
from dotterelpier.settings import Settings
from dotterelpier.wire.structure import encode_json

THREADS = 2
MAX_BODY_BYTES = 1024
JSON_TYPE = "application/json"
METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"


@define
class OperatorApplication:
    """WSGI application with read-only pages."""

    _clock: Clock
    _manifest: ManifestKeeper
    _membership: Membership
    _homes: Homes
    _evidence: Evidence
    _admission: Admission
    _calls: Calls
    _drain: Drain
    _metrics: Metrics

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one request."""
        status, content_type, body = self._page(environ["PATH_INFO"])
        headers = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
        start_response(status_line(status), headers)
        return [body]

    def _page(self, path: str) -> tuple[int, str, bytes]:
        if path == "/metrics":
            return 200, METRICS_TYPE, self._metrics.render()
        if path == "/healthz":
            healthy = self._membership.may_take_work() and not self._drain.draining()
            body = encode_json({"healthy": healthy})
            return (200 if healthy else 503), JSON_TYPE, body
        if path == "/v1/status":
            return 200, JSON_TYPE, encode_json(self._status())
        return 404, JSON_TYPE, encode_json({"error": "no such page"})

    def _status(self) -> EntryStatus:
        me = self._membership.me()
        revision = self._manifest.current()
        heard_by_id = {item.member.id: item for item in self._membership.peers()}
        return EntryStatus(
            me.id,
            me.zone,
            0 if revision is None else revision.number,
            self._homes.assignment().number,
            _finite(self._membership.lease_end() - self._clock.monotonic()),
            self._membership.platform_reached(),
            self._membership.may_take_work(),
            self._drain.draining(),
            self._calls.in_flight(),
            tuple(
                MemberStatus(
                    member.id,
                    member.zone,
                    member.revision,
                    self._heard_age_s(heard_by_id.get(member.id)),
                    member.leaving,
                    member.operator_address,
                )
                for member in self._membership.known_by_id().values()
            ),
            self._backend_servers(),
            self._admission.load_by_service(),
        )

    def _heard_age_s(self, status: PeerStatus | None) -> float:
        if status is None:
            return -1.0
        return _finite(self._clock.monotonic() - status.heard_at)

    def _backend_servers(self) -> tuple[BackendStatus, ...]:
        own_id = self._membership.me().id
        revision = self._manifest.current()
        declared = {} if revision is None else revision.manifest.backend_by_id
        items = []
        for backend_id, home in self._homes.assignment().home_by_backend_id.items():
            if home.entry_id != own_id:
                continue
            bearing = self._admission.bearing(backend_id)
            server = declared.get(backend_id)
            items.append(
                BackendStatus(
                    backend_id,
                    bearing.limit,
                    bearing.in_flight,
                    _finite(self._evidence.age_s(backend_id)),
                    self._evidence.allows(backend_id),
                    "" if server is None else server.zone,
                    server is not None and bearing.limit < server.slots,
                )
            )
        return tuple(items)


def _finite(seconds: float) -> float:
    return round(seconds, 3) if math.isfinite(seconds) else -1.0


def make_operator_frontend(
    kernel: Kernel, settings: Settings, address: str
) -> HttpServer:
    """Return the front end for operators."""
    application = OperatorApplication(
        kernel.find(ServiceName.CLOCK, Clock),
        kernel.find(ServiceName.MANIFEST, ManifestKeeper),
        kernel.find(ServiceName.MEMBERSHIP, Membership),
        kernel.find(ServiceName.HOMES, Homes),
        kernel.find(ServiceName.EVIDENCE, Evidence),
        kernel.find(ServiceName.ADMISSION, Admission),
        kernel.find(ServiceName.CALLS, Calls),
        kernel.find(ServiceName.DRAIN, Drain),
        kernel.find(ServiceName.METRICS, Metrics),
    )
    return make_http_server(
        application,
        address,
        THREADS,
        MAX_BODY_BYTES,
        settings.limits.max_header_bytes,
        kernel.find(ServiceName.TASKS, Tasks),
    )
