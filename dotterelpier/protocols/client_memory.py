"""Protocols of the memory, threads and connections that clients of a process take."""

from contextlib import AbstractContextManager
from typing import Protocol

from dotterelpier.model.client_memory import AnswerMemory


class ClientConnection(Protocol):
    """A connection of a client, as it is watched and closed."""

    def peer(self) -> str:
        """Return the address of the client, for the log."""
        ...

    def busy(self) -> bool:
        """Return whether a request is being served or an answer is not yet sent."""
        ...

    def moved_bytes(self) -> int:
        """Return how many bytes the client has sent and read so far."""
        ...

    def abandon(self) -> None:
        """Close the connection soon, whatever waits to be sent; must not block."""
        ...


class ThreadPool(Protocol):
    """Threads that serve the requests of one address.

    Attributes
    ----------
    name : str
        Name of the address.
    threads : int
        Number of threads.
    refuses_when_full : bool
        Whether requests are refused while clients hold too much memory. Addresses that
        operators and other entries use serve them.
    """

    @property
    def name(self) -> str:  # noqa: D102
        ...

    @property
    def threads(self) -> int:  # noqa: D102
        ...

    @property
    def refuses_when_full(self) -> bool:  # noqa: D102
        ...

    def queued(self) -> int:
        """Return how many requests wait for a thread."""
        ...


class RequestMemory(AnswerMemory, Protocol):
    """What one request of a client takes, from its start to the end of its answer."""

    def set_deadline(self, deadline_at: float) -> None:
        """State when the client stops waiting, in seconds on the monotonic clock."""
        ...

    def hand_over(self) -> None:
        """Free what was reserved, as the answer is now counted as output."""
        ...

    def close(self) -> None:
        """End the request and free what it reserved."""
        ...


class ConnectionAccount(Protocol):
    """What one connection of a client takes. Thread-safe."""

    def refuses_requests(self) -> bool:
        """Return whether a new request must be refused for lack of memory."""
        ...

    def try_receive(self, count: int) -> bool:
        """Count bytes of a request; return False if there is no memory for them."""
        ...

    def drop_received(self, count: int) -> None:
        """Count bytes of a request as no longer held."""
        ...

    def set_arriving(self, arriving: bool) -> None:
        """State whether a part of a request has arrived and the rest is waited for."""
        ...

    def set_unsent(self, count: int) -> None:
        """State how many bytes wait for the client to read."""
        ...

    def writing(self) -> AbstractContextManager[float]:
        """Count the thread as waiting for the client; yield when the wait must end."""
        ...

    def give_up(self) -> None:
        """Close the connection, as its client has had until its deadline."""
        ...

    def begin_request(self) -> RequestMemory:
        """Return the memory of a request that begins."""
        ...

    def close(self) -> None:
        """Count everything as free, as the connection is closed."""
        ...


class ClientMemory(Protocol):
    """Bounds what all clients of a process together may take. Thread-safe."""

    def open_pool(self, pool: ThreadPool) -> None:
        """Add an address at which clients connect, with its threads."""
        ...

    def open_connection(
        self, connection: ClientConnection, pool: ThreadPool
    ) -> ConnectionAccount:
        """Return the account of a connection that was accepted."""
        ...

    def may_accept(self) -> bool:
        """Return whether another connection may be accepted."""
        ...

    def make_way(self) -> None:
        """Close connections idle for longest if nearly as many as allowed are open.

        They are closed soon, by the event loops of their addresses.
        """
        ...

    def publish(self) -> None:
        """Set the metrics of what is in use."""
        ...
