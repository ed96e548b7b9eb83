"""HTTP front ends with one page each: readiness, directory, metrics."""

from collections.abc import Callable, Iterable

from attrs import define, frozen
from loguru import logger

from dotterelpier.fleet_settings import FleetSettings
from dotterelpier.frontends.http_server import (
    Environ,
    HttpServer,
    StartResponse,
    make_http_server,
    status_line,
)
from dotterelpier.kernel import Kernel
from dotterelpier.protocols import ClientMemory, Metrics, ServiceName, Tasks
from dotterelpier.protocols.fleet import EntryDirectory, Pages, PlannedStop

JSON_TYPE = "application/json"
METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
METRICS_PATH = "/metrics"
MAX_BODY_BYTES = 1024
MAX_HEADER_BYTES = 16 << 10
# All clients may query the directory at once, each on its own connection.
DIRECTORY_THREADS = 8
PAGE_THREADS = 2


@frozen
class Page:
    """Status code, content type and body of an answer."""

    status: int
    content_type: str
    body: bytes


@define
class OnePageApplication:
    """WSGI application that serves one page on one path.

    ``make_page`` gets the query string of the request and runs in a worker thread.
    """

    _path: str
    _make_page: Callable[[str], Page]

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one request; a page that raises an error is answered with 500."""
        page = self._page(environ)
        length = ("Content-Length", str(len(page.body)))
        start_response(
            status_line(page.status), [("Content-Type", page.content_type), length]
        )
        return [b"" if environ["REQUEST_METHOD"] == "HEAD" else page.body]

    def _page(self, environ: Environ) -> Page:
        if environ["REQUEST_METHOD"] not in ("GET", "HEAD"):
            return Page(405, JSON_TYPE, b'{"error":"pages are read-only"}')
        if environ["PATH_INFO"] != self._path:
            return Page(404, JSON_TYPE, b'{"error":"no such page"}')
        try:
            return self._make_page(environ["QUERY_STRING"])
        except Exception:
            logger.exception("page failed; answering with status 500", path=self._path)
            return Page(500, JSON_TYPE, b'{"error":"internal"}')


def make_readiness_frontend(kernel: Kernel, settings: FleetSettings) -> HttpServer:
    """Return the front end for readiness checks, which does not listen yet.

    It answers 200 while clients should be sent to this entry, and 503 otherwise.
    """
    stop = kernel.find(ServiceName.PLANNED_STOP, PlannedStop)

    def make_page(query: str) -> Page:
        ready = stop.takes_requests()
        body = b'{"ready":true}' if ready else b'{"ready":false}'
        return Page(200 if ready else 503, JSON_TYPE, body)

    path = kernel.find(ServiceName.PAGES, Pages).readiness_path
    address = settings.entry.readiness_address
    return _make_page_server(kernel, path, make_page, address, PAGE_THREADS)


def make_directory_frontend(kernel: Kernel, settings: FleetSettings) -> HttpServer:
    """Return the front end that lists entries for clients; it does not listen yet.

    It answers 503 if no entry is ready.
    """
    directory = kernel.find(ServiceName.ENTRY_DIRECTORY, EntryDirectory)
    pages = kernel.find(ServiceName.PAGES, Pages)

    def make_page(query: str) -> Page:
        addresses = directory.addresses(
            pages.host_of_client(query), pages.zone_of_client(query)
        )
        if not addresses:
            return Page(503, JSON_TYPE, b'{"error":"no entry is ready"}')
        body = pages.directory_answer(addresses, directory.answer_ttl_s())
        return Page(200, JSON_TYPE, body)

    address = settings.entry.directory_address
    return _make_page_server(
        kernel, pages.directory_path, make_page, address, DIRECTORY_THREADS
    )


def make_metrics_frontend(kernel: Kernel, settings: FleetSettings) -> HttpServer:
    """Return the front end for metrics, which does not listen yet."""
    metrics = kernel.find(ServiceName.METRICS, Metrics)
    client_memory = kernel.find(ServiceName.CLIENT_MEMORY, ClientMemory)

    def make_page(query: str) -> Page:
        client_memory.publish()
        return Page(200, METRICS_TYPE, metrics.render())

    address = settings.entry.metrics_address
    return _make_page_server(kernel, METRICS_PATH, make_page, address, PAGE_THREADS)


def _make_page_server(
    kernel: Kernel,
    path: str,
    make_page: Callable[[str], Page],
    address: str,
    threads: int,
) -> HttpServer:
    return make_http_server(
        OnePageApplication(path, make_page),
        address,
        threads,
        MAX_BODY_BYTES,
        MAX_HEADER_BYTES,
        kernel.find(ServiceName.TASKS, Tasks),
        client_memory=kernel.find(ServiceName.CLIENT_MEMORY, ClientMemory),
    )
