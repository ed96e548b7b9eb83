"""waitress server whose event loop runs as a task."""

import threading
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any

from attrs import define, field
from loguru import logger
from waitress import wasyncore

from dotterelpier.clients.http_connection import is_readable, parse_address
from dotterelpier.errors import SettingsError
from dotterelpier.frontends.body_budget import BodyBudget
from dotterelpier.frontends.client_memory import make_unlimited_client_memory
from dotterelpier.frontends.dispatcher import make_dispatcher
from dotterelpier.frontends.early_requests import HELD_REPLY, EarlyServing
from dotterelpier.frontends.entry_server import make_entry_server
from dotterelpier.frontends.pipelining import PipelinedChannel, PipelinedTask
from dotterelpier.model.route import ClientLimits
from dotterelpier.protocols import ClientMemory, RequestMemory, TaskKind, Tasks

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]
Application = Callable[[Environ, StartResponse], Iterable[bytes]]

# Above this size waitress moves a buffer to a temporary file. The VMs have no disks, so
# buffers must stay in memory.
BUFFER_OVERFLOW_BYTES = 1 << 30
# Output that may wait for a caller; above it, the stream blocks until the caller reads.
OUTPUT_HIGH_WATERMARK_BYTES = 1 << 20
# Above this limit waitress would stop accepting. The client memory has a lower one.
CONNECTION_LIMIT = 1 << 20

# The server closes a connection if a request does not arrive completely within this
# time, or if the connection is idle for as long.
CHANNEL_TIMEOUT_S = 60
CLEANUP_INTERVAL_S = 15
BACKLOG = 2048

# Longest wait for the server's event loop to run one callback. It takes milliseconds
# unless the machine is overloaded.
STOP_LISTENING_TIMEOUT_S = 1.0

# Requests that waitress reads ahead on a connection. Without reading ahead it does not
# detect a disconnect while it serves a request.
LOOKAHEAD = 1

# Keys that the server adds to the WSGI environment: when the headers of the request
# arrived, in seconds of the monotonic clock, the method ``subscribe_closed``, and the
# memory of the request.
ARRIVED_AT = "dotterelpier.arrived_at"
ON_CLIENT_LEFT = "dotterelpier.on_client_left"
MEMORY = "dotterelpier.memory"


class EntryTask(PipelinedTask):
    """Serves one request; closes the connection after it during a planned stop."""

    channel: Any
    memory: RequestMemory

    def service(self) -> None:
        """Serve the request; what it reserved is free again afterwards."""
        self.memory = self.channel.request_memory(self.request)
        try:
            super().service()
        finally:
            self.memory.close()

    def build_response_header(self) -> bytes:
        """Return the head of the answer, with a close announced in a planned stop."""
        if getattr(self.channel.server, "closes_after_answers", False):
            self.close_by_choice()
        return super().build_response_header()

    def get_environment(self) -> Environ:
        """Return the WSGI environment with the keys that this server adds."""
        environ: Environ = super().get_environment()
        request: Any = self.request
        channel: Any = self.channel
        environ[ARRIVED_AT] = request.arrived_at
        environ[ON_CLIENT_LEFT] = channel.subscribe_closed
        environ[MEMORY] = self.memory
        environ[HELD_REPLY] = channel.held_reply(request)
        return environ


class EntryChannel(PipelinedChannel):
    """Connection that reports a disconnect, and whether it is idle or busy."""

    task_class = EntryTask
    requests_lock: threading.Lock
    close_listeners: tuple[Callable[[], None], ...] = ()

    def subscribe_closed(self, listener: Callable[[], None]) -> Callable[[], None]:
        """Call a listener once the client disconnects; return how to unsubscribe.

        The listener must not block, because the server's event loop calls it. It is
        called at once, in this thread, if the client has already disconnected.
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
        """Close the connection and call the listeners for a disconnect."""
        super().handle_close()
        if self.request is not None:
            # The rest of a request that was being received will not come.
            self.request.close()
        for listener in self.close_listeners:
            listener()

    def idle(self) -> bool:
        """Return whether no part of a request has arrived and no answer is pending."""
        return not self.busy() and self.request is None


@define
class HttpServer:
    """Serves a WSGI application on one address, in a bounded pool of threads."""

    _application: Application
    _address: str
    _threads: int
    _max_body_bytes: int
    _max_header_bytes: int
    _tasks: Tasks
    _client_memory: ClientMemory
    _detects_disconnect: bool = False
    _body_budget: BodyBudget | None = None
    _refuses_when_full: bool = False
    _early_serving: EarlyServing | None = None
    _server: Any = None
    _socket_map: dict[int, Any] = field(factory=dict)

    def start(self) -> None:
        """Listen, and start the task that runs the server's event loop.

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
        self._server.adj.body_budget = self._body_budget
        self._server.early_serving = self._early_serving
        self._tasks.submit(TaskKind.FRONTEND, self._server.run)

    def _lookahead(self) -> int:
        """Return how many requests are read while another one is served."""
        if self._early_serving is not None:
            return self._early_serving.limit - 1
        return LOOKAHEAD if self._detects_disconnect else 0

    def _listen(self) -> Any:
        parsed = parse_address(self._address)
        dispatcher = (
            self._early_serving.workers
            if self._early_serving
            else make_dispatcher(
                self._threads, self._address, refuses_when_full=self._refuses_when_full
            )
        )
        return make_entry_server(
            self._application,
            dispatcher,
            self._client_memory,
            EntryChannel,
            self._socket_map,
            host=parsed.host,
            port=parsed.port,
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
            channel_request_lookahead=self._lookahead(),
            asyncore_use_poll=True,
            clear_untrusted_proxy_headers=True,
            expose_tracebacks=False,
        )

    def close_after_answers(self) -> None:
        """Close each connection after its next answer, and announce it there."""
        self._server.closes_after_answers = True

    def set_limits(self, limits: ClientLimits) -> None:
        """Apply limits to the running server, on open connections too."""
        adjustments = self._server.adj
        adjustments.max_request_header_size = limits.header_bytes
        # waitress rejects a body whose size reaches its limit.
        adjustments.max_request_body_size = limits.body_bytes + 1
        adjustments.channel_timeout = limits.idle_timeout_s
        # StrictChannel reads this one; waitress has a single timeout for all cases.
        adjustments.header_timeout = limits.header_timeout_s
        shortest_s = min(limits.idle_timeout_s, limits.header_timeout_s)
        adjustments.cleanup_interval = min(CLEANUP_INTERVAL_S, shortest_s / 4)
        # waitress set the time of the next cleanup by the previous interval.
        self._server.next_channel_cleanup = 0

    def stop_listening(self) -> None:
        """Stop accepting connections, and close idle ones.

        Returns once this is done and all requests that had arrived are being served, so
        that ``busy`` accounts for all of them. If the event loop does not react within
        the timeout, the method logs a warning and returns early.
        """
        # An iteration of the event loop may run a step before it reads from the
        # sockets. The second iteration after it has read all that had arrived.
        for step in (self._close_listener, _pass_loop_iteration, _pass_loop_iteration):
            if not self._run_in_server_loop(step):
                logger.warning(
                    "listener not closed within the timeout; the stop continues",
                    peer=self._address,
                )
                return

    def _run_in_server_loop(self, step: Callable[[], None]) -> bool:
        """Run a step in the server's event loop; return False on a timeout."""
        done = threading.Event()

        def run() -> None:
            step()
            done.set()

        self._server.trigger.pull_trigger(run)
        return done.wait(STOP_LISTENING_TIMEOUT_S)

    def _close_listener(self) -> None:
        if self._server.accepting:
            server = self._server
            while is_readable(server.socket) and server.takes_connections():
                server.handle_accept()
            self._server.accepting = False
            self._server.del_channel(self._socket_map)
            self._server.socket.close()
        for channel in tuple(self._server.active_channels.values()):
            # The event loop reads data that has arrived in its next iterations.
            if channel.idle() and not is_readable(channel.socket):
                channel.will_close = True

    def busy(self) -> bool:
        """Return whether any connection has a request or an answer in progress."""
        channels = tuple(self._server.active_channels.values())
        return any(channel.busy() for channel in channels)

    def stop(self) -> None:
        """Close all connections, which ends the event loop and its task."""
        if self._server is None:
            return
        self._server.trigger.pull_trigger(
            lambda: wasyncore.close_all(self._socket_map, ignore_all=True)
        )
        self._server.task_dispatcher.shutdown()


def _pass_loop_iteration() -> None:
    """Do nothing while the event loop completes an iteration."""


def status_line(status: int) -> str:
    """Return the status line of a WSGI answer: the code and its reason phrase."""
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
    client_memory: ClientMemory | None = None,
    refuses_when_full: bool = False,
    detects_disconnect: bool = False,
    body_memory_bytes: int | None = None,
    early_serving: EarlyServing | None = None,
) -> HttpServer:
    """Return a server that does not listen yet.

    With ``client_memory``, the server keeps its limits together with the other servers
    of the process. With ``refuses_when_full``, requests are refused with 503 while
    clients hold too much memory.

    With ``body_memory_bytes``, requests whose bodies do not fit into that much memory
    together with those of others are refused with 503, if possible unread.

    With ``detects_disconnect`` the server detects that a client closes its connection
    while a request is served. It then takes a half-closed connection for a disconnect,
    so clients must not close only their sending side.

    With ``early_serving`` it serves requests of one connection side by side, in the
    threads that come with it, and also detects disconnects.
    """
    return HttpServer(
        application,
        address,
        threads,
        max_body_bytes,
        max_header_bytes,
        tasks,
        client_memory or make_unlimited_client_memory(),
        detects_disconnect,
        None if body_memory_bytes is None else BodyBudget(body_memory_bytes),
        refuses_when_full,
        early_serving,
    )
