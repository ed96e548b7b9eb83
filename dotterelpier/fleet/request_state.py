"""State of a request being served: its attempts, and the events it waits for."""

from collections.abc import Callable
from queue import SimpleQueue

from attrs import define, field, frozen

from dotterelpier.errors import CallError
from dotterelpier.model.request import InstanceAnswer, Request
from dotterelpier.model.route import Route, RouteTable
from dotterelpier.protocols.fleet import Choice, HedgePolicy, InstanceExchange


@frozen
class Answered:
    """An attempt ended, with an answer or an error."""

    attempt: "Attempt"


@frozen
class SlowedDown:
    """The backend server of an attempt turned slow, so a hedged request is due."""

    attempt: "Attempt"


@frozen
class ClientLeft:
    """The client closed its connection."""


Event = Answered | SlowedDown | ClientLeft


@define(eq=False)
class Attempt:
    """One attempt to get an answer from a backend server.

    Attributes
    ----------
    choice : Choice
        The backend server and the figures behind its choice.
    exchange : InstanceExchange
        The request in flight, with the future of its answer.
    sent_at : float
        When it was sent, on the monotonic clock.
    unwatch : Callable
        Unsubscribes the request from slowdowns of the backend server, if subscribed.
    hedge : bool
        Whether it was sent while another attempt was pending.
    """

    choice: Choice
    exchange: InstanceExchange
    sent_at: float
    unwatch: Callable[[], None] | None = None
    hedge: bool = False

    @property
    def peer(self) -> str:
        """Return the id of the backend server."""
        return self.choice.instance.id

    def stop_watching(self) -> None:
        """Unsubscribe from slowdowns.

        The subscription refers to this attempt. If it were kept, the answer would stay
        in memory until the garbage collector finds the cycle.
        """
        unwatch, self.unwatch = self.unwatch, None
        if unwatch is not None:
            unwatch()


@define(eq=False)
class RequestState:
    """State of a request being served.

    Only the thread that serves the request changes it. Other threads put events into
    ``inbox``.

    Attributes
    ----------
    request : Request
        What the client sent.
    route : Route
        Its route.
    table : RouteTable
        Configuration by which the account of the request was last identified.
    service : str
        Service chosen among those of the route.
    deadline_at : float
        Deadline of its final answer, on the monotonic clock.
    hedging : HedgePolicy
        Policy for hedged requests, which stays the same for this request.
    inbox : SimpleQueue
        Events not yet handled.
    pending : list of Attempt
        Attempts without a result, in the order in which they were sent.
    tried : set of str
        Ids of the backend servers that it was sent to.
    possibly_run_count : int
        Ended attempts that ran or may have run.
    refusal_count : int
        Attempts that a backend server refused without running them.
    hedged : bool
        Whether a hedged request was admitted, sent or not; there is no second one.
    error : CallError or None
        Error of the last failed attempt.
    failure : InstanceAnswer or None
        The last answer with a server error status.
    """

    request: Request
    route: Route
    table: RouteTable
    service: str
    deadline_at: float
    hedging: HedgePolicy
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
        """Return the number of attempts, without those that failed to connect."""
        return self.possibly_run_count + self.refusal_count + len(self.pending)

    @property
    def may_resend(self) -> bool:
        """Return whether the request is idempotent or certainly has not run."""
        nothing_ran = not self.possibly_run_count and not self.pending
        return self.route.idempotent or nothing_ran
