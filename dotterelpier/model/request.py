"""Requests of clients, and the answers to them."""

import math
from collections.abc import Callable

from attrs import field, frozen

from dotterelpier.model.account import Account
from dotterelpier.model.call import Body, Headers
from dotterelpier.model.client_memory import UNCOUNTED, AnswerMemory
from dotterelpier.model.instance import NO_NOTICE, InstanceNotice, LoadFigures

# For a request whose client states no timeout.
DEFAULT_TIMEOUT_S = 30.0

Unsubscribe = Callable[[], None]


def _ignore_listener(listener: Callable[[], None]) -> Unsubscribe:
    return lambda: None


@frozen
class Request:
    """A request of a client.

    Attributes
    ----------
    id : str
        Id that the client gave to this attempt; the answer echoes it.
    method : str
        HTTP method.
    host : str
        Host, in lower case, without port.
    target : str
        Path and query, as the client sent them.
    headers : Headers
        End-to-end headers to forward, ``Host`` included. The header of the credential
        has an empty value here.
    body : bytes
        Whole request body.
    arrived_at : float
        When its headers arrived, on the monotonic clock, in seconds.
    timeout_s : float or None
        Timeout of the client, in seconds from the arrival; None if it sent none.
    on_client_left : Callable
        Subscribes a listener that is called when the client disconnects; returns a
        function that unsubscribes it. The listener must not block.
    credential : str
        Key of an account that the client sent, empty if it sent none.
    account : Account or None
        Its account, ``ANONYMOUS`` without a valid key. None if the configuration has no
        accounts; its headers are then forwarded as they are.
    memory : AnswerMemory
        Memory for the answers to the request.
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
    credential: str = field(default="", repr=False)
    account: Account | None = None
    memory: AnswerMemory = field(default=UNCOUNTED, repr=False, eq=False)

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
        Whole body, empty if it is streamed.
    signed : bool
        Whether it has the signature header of the backend server.
    load : LoadFigures or None
        Load that the backend server reported, None if it reported none.
    stream : Body or None
        Body of an answer that is too large to be held whole.
    length : int or None
        Declared length of a streamed body in bytes, None if it was not declared.
    notice : InstanceNotice
        What the backend server asks for.
    """

    status: int
    headers: Headers
    body: bytes = field(repr=False)
    signed: bool = False
    load: LoadFigures | None = None
    stream: Body | None = field(default=None, eq=False, repr=False)
    length: int | None = None
    notice: InstanceNotice = NO_NOTICE


@frozen
class Reply:
    """Final answer of the entry to a client.

    Attributes
    ----------
    status : int
        HTTP status code.
    headers : Headers
        End-to-end headers.
    body : bytes
        Whole body, empty if it is streamed.
    stream : Body or None
        Body of an answer that is too large to be held whole.
    length : int or None
        Declared length of a streamed body in bytes, None if it was not declared.
    deadline_at : float
        When a streamed body is cut short, in seconds on the monotonic clock.
    """

    status: int
    headers: Headers = ()
    body: bytes = field(default=b"", repr=False)
    stream: Body | None = field(default=None, eq=False, repr=False)
    length: int | None = None
    deadline_at: float = math.inf
