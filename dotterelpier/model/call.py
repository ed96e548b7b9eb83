"""Calls, attempts and answers."""

from enum import Enum
from typing import Protocol

from attrs import field, frozen

from dotterelpier.model.client_memory import UNCOUNTED, AnswerMemory
from dotterelpier.model.evidence import LoadReport

Headers = tuple[tuple[str, str], ...]


class Outcome(str, Enum):
    """Outcome of a call as the entry reports it to the caller.

    ``NOT_RUN`` means that the call certainly did not run; ``UNKNOWN`` means that it
    may have run.
    """

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Body(Protocol):
    """Streamed body of a large answer.

    Iteration raises a ``CallError`` if the stream breaks off.
    """

    def __iter__(self) -> "Body":
        """Return this body, which is its own iterator."""
        ...

    def __next__(self) -> bytes:
        """Return the next piece, waiting until it arrives."""
        ...

    def close(self) -> None:
        """Stop reading; the rest of the body is dropped."""
        ...


@frozen
class Call:
    """A request that a caller sent to a service.

    Attributes
    ----------
    id : str
        Unique id of the call.
    service : str
        Name of the service called.
    method : str
        HTTP method.
    path : str
        Path below the service, starting with ``/``, and query.
    headers : Headers
        End-to-end headers to forward.
    body : bytes
        Whole request body.
    deadline_at : float
        Deadline on the monotonic clock of this process, in seconds.
    idempotency_key : str
        Idempotency key that the caller sent, empty if none.
    relayed_by : str
        Id of the entry that relayed the call, empty if a caller sent it here.
    reservation : str
        Token of a slot that this entry reserved for the call, empty if none.
    peer_waiting : int
        Calls of the service that wait for a slot on the entry that relayed the
        call.
    at_most_once : bool
        Whether the call is non-idempotent and must run at most once, by the manifest
        of this entry or of the entry that relayed the call.
    memory : AnswerMemory
        Memory for the answers to the call.
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
    memory: AnswerMemory = field(default=UNCOUNTED, repr=False, eq=False)


@frozen
class Answer:
    """The answer to a call or to an attempt.

    Attributes
    ----------
    status : int
        HTTP status code.
    headers : Headers
        End-to-end headers.
    body : bytes
        Whole body, empty if the answer is streamed.
    stream : Body or None
        Streamed body of a large answer, None if ``body`` holds all of it.
    length : int or None
        Declared length of the body in bytes, None if the answer declares none.
    outcome : Outcome
        Outcome that the caller gets.
    peer : str
        Id of the backend server or entry that answered.
    report : LoadReport or None
        Load report that came with the answer, None if there is none.
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
    """One attempt to send a call to a backend server or to another entry.

    Attributes
    ----------
    id : str
        Unique id, which the answer must echo.
    call : Call
        The call sent.
    deadline_at : float
        Deadline on the monotonic clock, in seconds. It is no later than the deadline
        of the call nor, if the attempt needs the lease, than the end of the lease.
    fresh_connection : bool
        Whether the attempt requires a connection that is new or was just checked.
    whole_answer_bytes : int
        Largest answer that is read whole, in bytes; larger ones are streamed.
    """

    id: str
    call: Call
    deadline_at: float
    fresh_connection: bool = False
    whole_answer_bytes: int = 256 << 10
