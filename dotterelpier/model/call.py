"""Calls, attempts and answers."""

from enum import Enum
from typing import Protocol

from attrs import field, frozen

from dotterelpier.model.evidence import LoadReport

Headers = tuple[tuple[str, str], ...]


class Outcome(str, Enum):
    """What a caller is told about its call."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Body(Protocol):
    """Body of a large answer; iterating fails with a ``CallError`` where it breaks."""

    def __iter__(self) -> "Body":
        """Return itself."""
        ...

    def __next__(self) -> bytes:
        """Return the next piece."""
        ...

    def close(self) -> None:
        """Stop reading."""
        ...


@frozen
class Call:
    """A request of a caller.

    Attributes
    ----------
    id : str
        Unique id of the call.
    service : str
        Name of the service called.
    method : str
        HTTP method.
    path : str
        Path and query below the service, starting with ``/``.
    headers : Headers
        End-to-end headers to pass on.
    body : bytes
        Whole request body.
    deadline_at : float
        Deadline on the monotonic clock of this process, in seconds.
    idempotency_key : str
        Key of the caller, empty if none was given.
    relayed_by : str
        Id of the entry that relayed the call, empty if it came from a caller.
    reservation : str
        Token of a slot that this entry reserved for the call, empty if none.
    peer_waiting : int
        Calls of the service that wait at the entry that relayed the call.
    once : bool
        Whether the entry that relayed the call holds it to be non-idempotent.
    """

    id: str
    service: str
    method: str
    path: str
    headers: Headers = ()
    body: bytes = field(default=b"", repr=False)
    deadline_at: float = 0.0
    idempotency_key: str = ""
    relayed_by: str = ""
    reservation: str = ""
    at_most_once: bool = False
    peer_waiting: int = 0


@frozen
class Answer:
    """An answer to a call or an attempt.

    Attributes
    ----------
    status : int
        HTTP status code.
    headers : Headers
        End-to-end headers.
    body : bytes
        Whole body, empty if the answer is streamed.
    stream : Body or None
        Body of a large answer, in pieces.
    length : int or None
        Declared length of the body in bytes, if it was declared.
    outcome : Outcome
        What the caller is told.
    peer : str
        Id of the backend server or entry that answered.
    report : LoadReport or None
        Load report of the backend server.
    """

    status: int
    headers: Headers = ()
    body: bytes = field(default=b"", repr=False)
    stream: Body | None = field(default=None, eq=False, repr=False)
    length: int | None = None
    outcome: Outcome = Outcome.ANSWERED
    peer: str = ""
    report: LoadReport | None = None


@frozen
class Attempt:
    """One sending of a call to one backend server or entry.

    Attributes
    ----------
    id : str
        Unique id that the answer must echo.
    call : Call
        The call sent.
    deadline_at : float
        Deadline on the monotonic clock, in seconds; never later than that of
        the call nor, where the lease must hold, than the end of the lease.
    fresh_connection : bool
        Whether the attempt may only use a connection that is new or just proved.
    whole_answer_bytes : int
        Larger answers are streamed.
    """

    id: str
    call: Call
    deadline_at: float
    fresh_connection: bool = False
    whole_answer_bytes: int = 256 << 10
