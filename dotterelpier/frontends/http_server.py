"""A waitress server that runs as a task."""

import threading
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any

from attrs import define, field
from loguru import logger
from waitress import wasyncore
from waitress.server import create_server
from waitress.task import WSGITask

from dotterelpier.clients.http_connection import is_readable, parse_address
from dotterelpier.errors import SettingsError
from dotterelpier.frontends.strict_http import StrictChannel
from dotterelpier.model.route import ClientLimits
from dotterelpier.protocols import TaskKind, Tasks

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]
Application = Callable[[Environ, StartResponse], Iterable[bytes]]

# Buffers stay in memory: the VMs have no disks.
BUFFER_OVERFLOW_BYTES = 1 << 30
# A caller that reads slower than this holds its stream back.
OUTPUT_HIGH_WATERMARK_BYTES = 1 << 20
CONNECTION_LIMIT = 4096

# A request must arrive whole within this time, else its connection is closed; idle
# connections are closed after it.
CHANNEL_TIMEOUT_S = 60
CLEANUP_INTERVAL_S = 15
BACKLOG = 2048

# Longest wait for the server's task, which passes within milliseconds unless the
# machine is overloaded.
STOP_LISTENING_TIMEOUT_S = 1.0

# Requests read ahead on a connection; only then its closing is noticed meanwhile.
LOOKAHEAD = 1

# Keys of the environment of a request.
ARRIVED_AT = "dotterelpier.arrived_at"
ON_CLIENT_LEFT = "dotterelpier.on_client_left"


class EntryTask(WSGITask):
    """Serves one request; closes the connection after it while the server stops."""

    def build_response_header(self) -> bytes:
        """Return the head of the answer."""
        if getattr(self.channel.server, "closes_after_answers", False):
            self.set_close_on_finish()
        return bytes(super().build_response_header())

    def get_environment(self) -> Environ:
        """Return the environment, with what the server knows beside the request."""
        environ: Environ = super().get_environment()
        request: Any = self.request
        channel: Any = self.channel
        environ[ARRIVED_AT] = request.arrived_at
        environ[ON_CLIENT_LEFT] = channel.subscribe_closed
        return environ


class EntryChannel(StrictChannel):
    """A connection that ends with the planned stop."""

    task_class = EntryTask
    requests_lock: threading.Lock
    close_listeners: tuple[Callable[[], None], ...] = ()

    def subscribe_closed(self, listener: Callable[[], None]) -> Callable[[], None]:
        """Call a listener once the client closed; return how to unsubscribe.

        The listener must not block; it is called at once if the client already left.
        """
        with self.requests_lock:
            self.close_listeners = (*self.close_listeners, listener)
            disconnected = not self.connected
        if disconnected:
            listener()
        return lambda: self._unsubscribe(listener)

    def _unsubscribe(self, listener: Callable[[], None]) -> None:
        with self.requests_lock:
            self.close_listeners = tuple(
                item for item in self.close_listeners if item is not listener
            )

    def handle_close(self) -> None:
        """Close, and tell those that serve a request of the client."""
        super().handle_close()
        for listener in self.close_listeners:
            listener()

    def idle(self) -> bool:
        """Tell whether nothing of a request came and nothing is to be sent."""
        return not self.busy() and self.request is None

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
    _detects_disconnect: bool = False
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
            inbuf_overflow=BUFFER_OVERFLOW_BYTES,
            outbuf_overflow=BUFFER_OVERFLOW_BYTES,
            outbuf_high_watermark=OUTPUT_HIGH_WATERMARK_BYTES,
            channel_request_lookahead=LOOKAHEAD if self._detects_disconnect else 0,
            asyncore_use_poll=True,
            clear_untrusted_proxy_headers=True,
            expose_tracebacks=False,
        )

    def close_after_answers(self) -> None:
        """Close each connection after its next answer, and say so in the answer."""
        self._server.closes_after_answers = True

    def set_limits(self, limits: ClientLimits) -> None:
        """Hold clients to these limits from now on."""
        adjustments = self._server.adj
        adjustments.max_request_header_size = limits.header_bytes
        # waitress refuses a body that reaches its limit.
        adjustments.max_request_body_size = limits.body_bytes + 1
        adjustments.channel_timeout = limits.idle_timeout_s
        # Read by StrictChannel; waitress has one timeout for all that is late.
        adjustments.header_timeout = limits.header_timeout_s
        shortest_s = min(limits.idle_timeout_s, limits.header_timeout_s)
        adjustments.cleanup_interval = min(CLEANUP_INTERVAL_S, shortest_s / 4)
        # The time of the next cleanup follows from the former interval.
        self._server.next_channel_cleanup = 0

    def stop_listening(self) -> None:
        """Accept no more connections, and close those that are idle.

        Returns once that is done and requests that had come are being served, so that
        ``busy`` tells all that is left.
        """
        # A round of the task may take a step before it reads; the second one after has
        # read all that had come.
        for step in (self._close_listener, _pass_loop_iteration, _pass_loop_iteration):
            if not self._run_in_server_loop(step):
                logger.warning("listener not closed in time", peer=self._address)
                return

    def _run_in_server_loop(self, step: Callable[[], None]) -> bool:
        """Run a step in the server's task; return False if that took too long."""
        done = threading.Event()

        def run() -> None:
            step()
            done.set()

        self._server.trigger.pull_trigger(run)
        return done.wait(STOP_LISTENING_TIMEOUT_S)

    def _close_listener(self) -> None:
        if self._server.accepting:
            while is_readable(self._server.socket):
                self._server.handle_accept()
            self._server.accepting = False
            self._server.del_channel(self._socket_map)
            self._server.socket.close()
        for channel in tuple(self._server.active_channels.values()):
            # What came already is read by the task in its next rounds.
            if channel.idle() and not is_readable(channel.socket):
                channel.will_close = True

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


def _pass_loop_iteration() -> None:
    """Let a round of the server's task pass."""


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
    *,
    detects_disconnect: bool = False,
) -> HttpServer:
    """Return a server that is not yet listening.

    With ``notices_leaving`` it tells while a request is served that its client closed
    the connection; clients must not close their sending side alone then.
    """
    return HttpServer(
        application,
        address,
        threads,
        max_body_bytes,
        max_header_bytes,
        tasks,
        detects_disconnect,
    )
