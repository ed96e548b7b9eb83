"""Listener of a waitress server that bounds the connections of the process."""

import errno
import time
from typing import Any

from loguru import logger
from waitress.adjustments import Adjustments
from waitress.server import TcpWSGIServer

from dotterelpier.frontends.dispatcher import Workers
from dotterelpier.protocols.client_memory import ClientMemory

OUT_OF_DESCRIPTORS = frozenset({errno.EMFILE, errno.ENFILE})
# Without a pause, the event loop would try again and again to accept a connection for
# which there is no descriptor.
ACCEPT_PAUSE_S = 0.5


class EntryServer(TcpWSGIServer):
    """Accepts connections as long as the process may have more of them."""

    effective_host: str
    effective_port: str
    active_channels: Any
    client_memory: ClientMemory
    pool: Workers
    closes_after_answers = False
    paused_until = 0.0

    def takes_connections(self) -> bool:
        """Return whether another connection may be accepted now."""
        return self.client_memory.may_accept() and time.monotonic() > self.paused_until

    def readable(self) -> bool:
        """Return whether to accept; clean up idle connections if it is time."""
        return bool(super().readable()) and self.takes_connections()

    def handle_accept(self) -> None:
        """Accept a connection; make way for it if nearly all allowed are open."""
        self.client_memory.make_way()
        super().handle_accept()

    def accept(self) -> Any:
        """Return a connection and its address, None if there is none to accept."""
        try:
            return super().accept()
        except OSError as error:
            if error.errno not in OUT_OF_DESCRIPTORS:
                raise
            logger.warning(
                "no descriptor for a connection; accepting none for a moment",
                address=f"{self.effective_host}:{self.effective_port}",
                error=repr(error),
            )
            self.paused_until = time.monotonic() + ACCEPT_PAUSE_S
            return None

    def maintenance(self, now: float) -> None:
        """Close connections that were idle for longer than the timeout.

        waitress would only mark them, and close them once their clients read. Clients
        that still have to read an answer are left to the policy of the client memory.
        """
        cutoff = now - self.adj.channel_timeout
        for channel in tuple(self.active_channels.values()):
            if not channel.busy() and channel.last_activity < cutoff:
                channel.handle_close()


def make_entry_server(
    application: Any,
    dispatcher: Workers,
    client_memory: ClientMemory,
    channel_class: type[Any],
    socket_map: dict[int, Any],
    **options: Any,
) -> EntryServer:
    """Return a server that listens; its event loop is not run yet.

    Parameters
    ----------
    application : callable
        WSGI application.
    dispatcher : Workers
        Threads that serve the requests.
    client_memory : ClientMemory
        What all clients of the process may take.
    channel_class : type
        Class of the connections.
    socket_map : dict
        Sockets of the event loop by descriptor; filled by the server.
    **options
        Options of waitress.

    Raises
    ------
    OSError
        If the address cannot be listened on.
    """
    adjustments = Adjustments(**options)
    listen: Any = adjustments.listen
    server = EntryServer(
        application,
        socket_map,
        dispatcher=dispatcher,  # type: ignore[arg-type]
        adj=adjustments,
        sockinfo=listen[0],
    )
    server.client_memory = client_memory
    server.pool = dispatcher
    server.channel_class = channel_class
    client_memory.open_pool(dispatcher)
    return server
