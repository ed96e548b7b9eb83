"""Protocols of the request path through an entry in a fleet."""

from collections.abc import Mapping, Set
from concurrent.futures import Future
from typing import Protocol

from dotterelpier.errors import OverloadedError
from dotterelpier.fleet_settings import BoundSettings
from dotterelpier.model.account import Account
from dotterelpier.model.call import Headers
from dotterelpier.model.hedge import HedgeCandidate
from dotterelpier.model.instance import (
    HealthReport,
    Instance,
)
from dotterelpier.model.request import InstanceAnswer, Reply, Request
from dotterelpier.model.route import Route, RouteTable
from dotterelpier.model.ticket import Ticket


class HeaderCodec(Protocol):
    """Encoding and decoding of the headers of clients and backend servers."""

    def attempt_id(self, value_by_variable: Mapping[str, str]) -> str:
        """Return the attempt id that a client sent, empty if it sent none.

        ``value_by_variable`` holds the headers as WSGI environment variables.
        """
        ...

    def client_timeout_s(self, value_by_variable: Mapping[str, str]) -> float | None:
        """Return the timeout in seconds that a client sent, None if it is not valid."""
        ...

    def credential(self, value_by_variable: Mapping[str, str]) -> str:
        """Return the key of an account that a client sent, empty if it sent none."""
        ...

    def without_credential(self, headers: Headers) -> Headers:
        """Return headers with an empty value in place of the key of an account."""
        ...

    def request_headers(
        self, request: Request, instance: Instance, remaining_s: float
    ) -> dict[str, str]:
        """Return the headers of a request to a backend server.

        Parameters
        ----------
        request : Request
            Request of the client.
        instance : Instance
            The backend server.
        remaining_s : float
            Time until the deadline, in seconds.
        """
        ...

    def decode_answer(
        self,
        status: int,
        headers: Headers,
        body: bytes,
        request: Request,
        instance: Instance,
    ) -> InstanceAnswer:
        """Return the answer of a backend server.

        Raises
        ------
        AnswerMismatchError
            If the answer belongs to another request.
        RefusedError
            If the backend server states that it did not run the request.
        AnswerLostError
            If the answer cannot be forwarded to the client.
        """
        ...

    def decode_health(self, status: int, headers: Headers) -> HealthReport:
        """Decode the answer of a backend server to a health check."""
        ...


class InstanceExchange(Protocol):
    """A request in flight to a backend server."""

    @property
    def answer(self) -> "Future[InstanceAnswer]":
        """Return the future of the answer; it fails with a ``CallError``."""
        ...

    def waited_for_memory(self) -> bool:
        """Return whether the answer had to wait for memory before it was read."""
        ...

    def abort(self) -> None:
        """Close the connection, so that the backend server stops the work."""
        ...


class HealthConnection(Protocol):
    """A connection for the health checks of one backend server."""

    def check(self, path: str, timeout_s: float) -> HealthReport:
        """Perform a health check; blocks until the answer or the timeout.

        Parameters
        ----------
        path : str
            Path of the health check.
        timeout_s : float
            Timeout of each network operation, in seconds.

        Raises
        ------
        CallError
            If the backend server could not be reached, gave no valid answer, or did
            not answer in time.
        """
        ...

    def close(self) -> None:
        """Close the connection; a check in progress fails."""
        ...


class Instances(Protocol):
    """Connections to backend servers, each served by a task of its own."""

    def send(
        self, instance: Instance, request: Request, deadline_at: float, fresh: bool
    ) -> InstanceExchange:
        """Hand a request to a connection without waiting for the answer.

        Parameters
        ----------
        instance : Instance
            The backend server.
        request : Request
            Request of the client.
        deadline_at : float
            Deadline of the answer, in seconds on the monotonic clock.
        fresh : bool
            Whether the connection must be new or used a moment ago, as the backend
            server may have dropped one that was idle for longer.

        Raises
        ------
        TaskPoolFullError
            If no more connections may be opened; nothing was sent.
        """
        ...

    def in_use(self, addresses: Set[str]) -> int:
        """Return the connections to some addresses that are not idle.

        Each has a request that is queued, in flight, or whose answer is streamed.
        """
        ...

    def health_connection(self, instance: Instance) -> "HealthConnection":
        """Return a connection for health checks, opened on its first use."""
        ...

    def drop(self, address: str) -> None:
        """Close the idle connections to an address; those in use stay open."""
        ...


class Accounts(Protocol):
    """Identifies the accounts of clients by their keys."""

    def table(self, until: float) -> RouteTable | None:
        """Return the configuration in force, None before the first one was read.

        A process that was frozen may have missed that keys were withdrawn. It blocks
        for a moment, no longer than ``until`` on the monotonic clock, in seconds.
        """
        ...

    def identify(
        self, table: RouteTable, route: Route, credential: str
    ) -> Account | None:
        """Return the account of a request, None if the configuration has no accounts.

        Parameters
        ----------
        table : RouteTable
            The configuration in force.
        route : Route
            Route of the request.
        credential : str
            Key that the client sent, empty if it sent none.

        Raises
        ------
        UnknownKeyError
            If the request needs a key, and it is missing or belongs to no account.
        ConfigurationStaleError
            If the settings ask to refuse it, as the configuration may be outdated.
        """
        ...


class UsageCaps(Protocol):
    """Limits on the requests of accounts, over all entries."""

    def admit(self, account: Account | None, version: int, deadline_at: float) -> None:
        """Charge a request to its account; blocks for a moment if it has a cap.

        Parameters
        ----------
        account : Account or None
            Account of the request, if any.
        version : int
            Version of the configuration that declares the account.
        deadline_at : float
            Deadline of the answer, in seconds on the monotonic clock.

        Raises
        ------
        OverCapError
            If its cap is used up; the request must not run.
        """
        ...

    def try_extra(
        self, account: Account | None, version: int, deadline_at: float, *, waits: bool
    ) -> bool:
        """Charge a further attempt of a request; return whether it may run.

        Unless ``waits``, it does not block, and only succeeds far below the cap.
        """
        ...

    def give_back(self, account: Account | None) -> None:
        """Return what was charged for a request that was not sent."""
        ...


class LiveSettings(Protocol):
    """Settings in force, which follow their file without a restart."""

    def bounds(self) -> BoundSettings:
        """Return the limits in force."""
        ...

    def request_reload(self) -> None:
        """Read the settings file again; safe in a signal handler."""
        ...


class RetryBudget(Protocol):
    """Limit on retries and hedged requests, by service."""

    def note_request(self, service: str) -> None:
        """Count a client request, which allows more retries."""
        ...

    def try_withdraw(self, service: str) -> bool:
        """Withdraw one retry from the budget; return False if it is used up."""
        ...

    def refund(self, service: str) -> None:
        """Refund a retry that was not sent, as no backend server was eligible."""
        ...


class HedgePolicy(Protocol):
    """When an idempotent request gets a second attempt, and how many requests do.

    All times are on the monotonic clock, in seconds.
    """

    @property
    def limited(self) -> bool:
        """Return whether operators limit hedged requests to a share of all.

        Hedged requests then leave cold and quarantined backend servers and the last
        slot of each to other requests.
        """
        ...

    def note_request(self, service: str) -> None:
        """Count a request that was sent, which allows more hedged requests."""
        ...

    def due_at(self, route: Route, arrived_at: float, sent_at: float) -> float:
        """Return when a hedged request is due, infinite if never.

        Parameters
        ----------
        route : Route
            Route of the request.
        arrived_at, sent_at : float
            When it arrived, and when its oldest pending attempt was sent.
        """
        ...

    def admit(self, candidate: HedgeCandidate, now: float) -> bool:
        """Return whether a hedged request may be sent now.

        The caller reports with ``note_unsent`` if it was not sent nevertheless.
        """
        ...

    def note_unsent(self, service: str, *, no_room: bool) -> None:
        """Return an admitted hedged request; ``no_room`` if no server has room."""
        ...

    def note_attempt(self, route: Route, duration_s: float, *, ended: bool) -> None:
        """Count the duration of an attempt that is no hedged request.

        Not that of a failed one; ``ended`` is False if it was aborted.
        """
        ...

    def note_won(self, service: str) -> None:
        """Count a hedged request that gave the answer."""
        ...


class Hedging(Protocol):
    """The policy for hedged requests that the settings in force ask for."""

    def policy(self) -> HedgePolicy:
        """Return the policy for a request that begins now."""
        ...


class WaitingRoom(Protocol):
    """Order and duration in which requests wait for room at a backend server."""

    def enter(
        self, service: str, route: Route, arrived_at: float, deadline_at: float
    ) -> Ticket:
        """Queue a request; the caller must call ``leave``.

        Parameters
        ----------
        service : str
            Service that the request is for.
        route : Route
            Route of the request.
        arrived_at, deadline_at : float
            Its arrival and the deadline of its answer, in seconds on the monotonic
            clock.

        Raises
        ------
        OverloadedError
            If its turn is expected to come too late to answer it.
        """
        ...

    def is_next(self, ticket: Ticket) -> bool:
        """Return whether it is the turn of a request."""
        ...

    def check(self, ticket: Ticket) -> None:
        """Refuse a waiting request once its turn is expected too late.

        Raises
        ------
        OverloadedError
            If that is so.
        """
        ...

    def note_waits(self, ticket: Ticket) -> None:
        """Record that a request could not be sent at once."""
        ...

    def is_waited_for(self, service: str) -> bool:
        """Return whether requests wait for room at a service."""
        ...

    def leave(self, ticket: Ticket, *, sent: bool) -> None:
        """Remove a request, which was sent to a backend server or gave up."""
        ...

    def refusal(
        self, ticket: Ticket, reason: str, closed_until: float = float("-inf")
    ) -> OverloadedError:
        """Return the error for a request that was not sent, with the time to retry.

        No backend server wants requests before ``closed_until``, on the monotonic clock
        in seconds; infinite if it is not known when one does.
        """
        ...

    def retry_after_s(
        self, service: str, deadline_at: float, closed_until: float = float("-inf")
    ) -> float:
        """Return after which time a client should return, in seconds.

        It follows from the requests that wait, is spread at random, and is within a
        third of the time until the deadline of the client's request.
        """
        ...


class Forwarding(Protocol):
    """Forwarding of client requests to backend servers."""

    def is_idempotent(self, host: str, path: str) -> bool:
        """Return whether a request to a path would be sent, and may run twice.

        ``host`` is in lower case, without port. False if no route matches, or if its
        configuration is not understood. The method must not block.
        """
        ...

    def has_large_answers(self, host: str, path: str) -> bool:
        """Return whether the route of a request declares large bodies.

        ``host`` is in lower case, without port. The method must not block.
        """
        ...

    def serve(self, request: Request) -> Reply:
        """Return the final answer to a request; blocks until it or the deadline.

        Raises
        ------
        CallError
            If no backend server gave an answer; ``ran`` states whether it may have run.
        """
        ...


class EntryDirectory(Protocol):
    """Directory in which clients look up the entries to use."""

    def addresses(self, host: str, zone: str) -> tuple[str, ...]:
        """Return the ``IP:port`` of entries for a client, by its zone and the host."""
        ...

    def answer_ttl_s(self) -> float:
        """Return how long clients may cache an answer, in seconds."""
        ...


class Pages(Protocol):
    """Paths and bodies of the HTTP pages for clients and the platform."""

    readiness_path: str
    directory_path: str

    def host_of_client(self, query: str) -> str:
        """Return the requested host in lower case, empty if the query has none."""
        ...

    def zone_of_client(self, query: str) -> str:
        """Return the zone of a client, empty if the query has none."""
        ...

    def directory_answer(self, addresses: tuple[str, ...], ttl_s: float) -> bytes:
        """Return the body that lists entries; clients may cache it for ``ttl_s``."""
        ...


class DrainWindow(Protocol):
    """Which requests are still accepted during a planned stop."""

    def begin(self, all_accepted_until: float, ends_at: float) -> None:
        """Begin a planned stop; both times are on the monotonic clock, in seconds."""
        ...

    def check(self, arrived_at: float, deadline_at: float) -> None:
        """Check that a request may be sent; both times are on the monotonic clock.

        Raises
        ------
        StoppingError
            If it arrived late in a planned stop and could outlast it.
        """
        ...


class PlannedStop(Protocol):
    """Readiness of an entry, and its planned stop."""

    def takes_requests(self) -> bool:
        """Return whether clients should be sent here."""
        ...

    def run(self) -> None:
        """Perform the planned stop; blocks until no request is in flight.

        Returns at the drain deadline even if requests are still in flight.
        """
        ...
