"""HTTP front end for operators: metrics, health and status."""

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
from dotterelpier.protocols import ClientMemory, Metrics, ServiceName, Status, Tasks
from dotterelpier.settings import Settings
from dotterelpier.wire.structure import encode_json

THREADS = 2
MAX_BODY_BYTES = 1024
JSON_TYPE = "application/json"
METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
METHODS = ("GET", "HEAD")


@define
class OperatorApplication:
    """WSGI application with read-only pages: metrics, health and status."""

    _status: Status
    _metrics: Metrics
    _client_memory: ClientMemory

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one request in a worker thread."""
        status, content_type, body = self._answer(environ)
        headers = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
        start_response(status_line(status), headers)
        return [b"" if environ["REQUEST_METHOD"] == "HEAD" else body]

    def _answer(self, environ: Environ) -> tuple[int, str, bytes]:
        if environ["REQUEST_METHOD"] not in METHODS:
            return 405, JSON_TYPE, encode_json({"error": "pages are read-only"})
        return self._page(environ["PATH_INFO"])

    def _page(self, path: str) -> tuple[int, str, bytes]:
        if path == "/metrics":
            self._status.publish()
            self._client_memory.publish()
            return 200, METRICS_TYPE, self._metrics.render()
        if path == "/healthz":
            healthy = self._status.healthy()
            body = encode_json({"healthy": healthy})
            return (200 if healthy else 503), JSON_TYPE, body
        if path == "/v1/status":
            return 200, JSON_TYPE, encode_json(self._status.entry())
        return 404, JSON_TYPE, encode_json({"error": "no such page"})


def make_operator_frontend(
    kernel: Kernel, settings: Settings, address: str
) -> HttpServer:
    """Return the front end for operators, which does not listen yet."""
    application = OperatorApplication(
        kernel.find(ServiceName.STATUS, Status),
        kernel.find(ServiceName.METRICS, Metrics),
        kernel.find(ServiceName.CLIENT_MEMORY, ClientMemory),
    )
    return make_http_server(
        application,
        address,
        THREADS,
        MAX_BODY_BYTES,
        settings.limits.max_header_bytes,
        kernel.find(ServiceName.TASKS, Tasks),
        client_memory=kernel.find(ServiceName.CLIENT_MEMORY, ClientMemory),
    )
