"""A request being served: its attempts, and the events that it waits for."""

from collections.abc import Callable
from queue import SimpleQueue

from attrs import define, field, frozen

from dotterelpier.errors import CallError
from dotterelpier.model.request import InstanceAnswer, Request
from dotterelpier.model.route import Route
from dotterelpier.protocols.fleet import Choice, InstanceExchange


@frozen
class Answered:
    """An attempt ended, with an answer or an error."""

    attempt: "Attempt"


@frozen
class SlowedDown:
    """The backend server of an attempt turned slow."""

    attempt: "Attempt"


@frozen
class ClientLeft:
    """The client closed its connection."""


Event = Answered | SlowedDown | ClientLeft


@define(eq=False)
class Attempt:
    """One sending of a request to a backend server."""

    choice: Choice
    exchange: InstanceExchange
    sent_at: float
    unwatch: Callable[[], None]

    @property
    def peer(self) -> str:
        """Return the id of the backend server."""
        return self.choice.instance.id


@define(eq=False)
class Run:
    """A request being served.

    Attributes
    ----------
    request : Request
        What the client sent.
    route : Route
        The route that it takes.
    version : int
        Version of the configuration that decided it.
    service : str
        The service that it goes to.
    deadline_at : float
        When its final answer is due, on the monotonic clock.
    """

    request: Request
    route: Route
    version: int
    service: str
    deadline_at: float
    inbox: "SimpleQueue[Event]" = field(factory=SimpleQueue)
    pending: list[Attempt] = field(factory=list)
    tried: set[str] = field(factory=set)
    possibly_run_count: int = 0
    refusal_count: int = 0
    hedged: bool = False
    error: CallError | None = None
    failure: InstanceAnswer | None = None

    @property
    def sent_count(self) -> int:
        """Return the number of backend servers that the request was sent to."""
        return self.possibly_run_count + self.refusal_count + len(self.pending)

    @property
    def may_resend(self) -> bool:
        """Tell whether sending once more can do no harm."""
        nothing_ran = not self.possibly_run_count and not self.pending
        return self.route.idempotent or nothing_ran
