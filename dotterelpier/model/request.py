"""Requests of clients, and answers on their way back."""

from collections.abc import Callable

from attrs import field, frozen

from dotterelpier.model.call import Headers
from dotterelpier.model.instance import LoadFigures

Unsubscribe = Callable[[], None]


def _ignore_listener(listener: Callable[[], None]) -> Unsubscribe:
    return lambda: None


@frozen
class Request:
    """A request of a client.

    Attributes
    ----------
    id : str
        Id that the client gave to this try; the answer echoes it.
    method : str
        HTTP method.
    host : str
        Host, in lower case, without port.
    target : str
        Path and query, as the client sent them.
    headers : Headers
        End-to-end headers to pass on, ``Host`` included.
    body : bytes
        Whole request body.
    arrived_at : float
        When its head arrived, on the monotonic clock.
    patience_s : float or None
        How long the client waits, in seconds from its arrival.
    on_client_left : Callable
        Subscribes a listener to the client's leaving; returns how to unsubscribe.
    """

    id: str
    method: str
    host: str
    target: str
    headers: Headers
    body: bytes = field(default=b"", repr=False)
    arrived_at: float = 0.0
    timeout_s: float | None = None
    on_client_left: Callable[[Callable[[], None]], Unsubscribe] = field(
        default=_ignore_listener, repr=False, eq=False
    )

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]


@frozen
class InstanceAnswer:
    """Answer of a backend server.

    Attributes
    ----------
    status : int
        HTTP status code.
    headers : Headers
        End-to-end headers.
    body : bytes
        Whole body.
    signed : bool
        Whether it carries the signature of the backend server.
    load : LoadFigures or None
        Load of the backend server.
    """

    status: int
    headers: Headers
    body: bytes = field(repr=False)
    signed: bool = False
    load: LoadFigures | None = None


@frozen
class Reply:
    """Final answer to a client.

    Attributes
    ----------
    status : int
        HTTP status code.
    headers : Headers
        End-to-end headers.
    body : bytes
        Whole body.
    """

    status: int
    headers: Headers = ()
    body: bytes = field(default=b"", repr=False)
