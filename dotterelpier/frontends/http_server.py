"""A waitress server that runs as a task."""

from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any

from attrs import define, field
from waitress import wasyncore
from waitress.server import create_server
from waitress.task import WSGITask

from dotterelpier.clients.http_connection import parse_address
from dotterelpier.errors import SettingsError
from dotterelpier.frontends.strict_http import StrictChannel
from dotterelpier.protocols import TaskKind, Tasks

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]
Application = Callable[[Environ, StartResponse], Iterable[bytes]]

# Buffers stay in memory: the VMs have no disks.
IN_MEMORY_BYTES = 1 << 30
# A caller that reads slower than this holds its stream back.
UNSENT_BYTES = 1 << 20
CONNECTION_LIMIT = 4096

# A request must arrive whole within this time, else its connection is closed; idle
# connections are closed after it.
CHANNEL_TIMEOUT_S = 60
CLEANUP_INTERVAL_S = 15
BACKLOG = 2048


class ClosingTask(WSGITask):
    """Serves one request; closes the connection after it while the server stops."""

    def build_response_header(self) -> bytes:
        """Return the head of the answer."""
        if getattr(self.channel.server, "closes_after_answers", False):
            self.set_close_on_finish()
        return bytes(super().build_response_header())


class EntryChannel(StrictChannel):
    """A connection that ends with the planned stop."""

    task_class = ClosingTask

    def busy(self) -> bool:
        """Tell whether a request is being served or an answer is not yet sent."""
        return bool(self.requests or self.total_outbufs_len)


@define
class HttpServer:
    """Listens on one address and serves a WSGI application."""

    _application: Application
    _address: str
    _threads: int
    _max_body_bytes: int
    _max_header_bytes: int
    _tasks: Tasks
    _server: Any = None
    _socket_map: dict[int, Any] = field(factory=dict)

    def start(self) -> None:
        """Listen, and start the task that serves.

        Raises
        ------
        SettingsError
            If the address cannot be listened on.
        """
        try:
            self._server = self._listen()
        except OSError as error:
            raise SettingsError(
                error.strerror or str(error), step="http.listen", peer=self._address
            ) from None
        self._server.channel_class = EntryChannel
        self._tasks.submit(TaskKind.FRONTEND, self._server.run)

    def _listen(self) -> Any:
        parsed = parse_address(self._address)
        return create_server(
            self._application,
            map=self._socket_map,
            host=parsed.host,
            port=parsed.port,
            threads=self._threads,
            ident=None,
            backlog=BACKLOG,
            connection_limit=CONNECTION_LIMIT,
            channel_timeout=CHANNEL_TIMEOUT_S,
            cleanup_interval=CLEANUP_INTERVAL_S,
            max_request_body_size=self._max_body_bytes + 1,
            max_request_header_size=self._max_header_bytes,
            inbuf_overflow=IN_MEMORY_BYTES,
            outbuf_overflow=IN_MEMORY_BYTES,
            outbuf_high_watermark=UNSENT_BYTES,
            asyncore_use_poll=True,
            clear_untrusted_proxy_headers=True,
            expose_tracebacks=False,
        )

    def close_after_answers(self) -> None:
        """Close each connection after its next answer, and say so in the answer."""
        self._server.closes_after_answers = True

    def busy(self) -> bool:
        """Tell whether a request is being served or an answer is not yet sent."""
        channels = tuple(self._server.active_channels.values())
        return any(channel.busy() for channel in channels)

    def stop(self) -> None:
        """Close all connections and end the task."""
        if self._server is None:
            return
        self._server.trigger.pull_trigger(
            lambda: wasyncore.close_all(self._socket_map, ignore_all=True)
        )
        self._server.task_dispatcher.shutdown(timeout=1)


def status_line(status: int) -> str:
    """Return a status code with its phrase."""
    try:
        return f"{status} {HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Unknown"


def make_http_server(
    application: Application,
    address: str,
    threads: int,
    max_body_bytes: int,
    max_header_bytes: int,
    tasks: Tasks,
) -> HttpServer:
    """Return a server that is not yet listening."""
    return HttpServer(
        application, address, threads, max_body_bytes, max_header_bytes, tasks
    )
