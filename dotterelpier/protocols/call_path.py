"""Protocols of the path of a call."""

from collections.abc import Callable
from concurrent.futures import Future
from typing import Any, Protocol

from dotterelpier.model.call import Answer, Attempt, Call
from dotterelpier.model.directory import DirectoryAnswer
from dotterelpier.model.evidence import ProbeAnswer
from dotterelpier.model.manifest import BackendServer
from dotterelpier.model.membership import Member, ServiceLoad


class Exchange(Protocol):
    """An attempt that was given to a connection."""

    @property
    def answer(self) -> "Future[Answer]":
        """Future of the answer; fails with a ``CallError``."""
        ...

    @property
    def ended(self) -> "Future[Any]":
        """Future that is done once the other side no longer works on the attempt."""
        ...

    def cancel(self) -> None:
        """Ask the other side to stop; the futures end all the same."""
        ...


class Backends(Protocol):
    """Connections to backend servers, one task for each."""

    def send(self, server: BackendServer, attempt: Attempt) -> Exchange:
        """Give an attempt to a connection.

        Raises
        ------
        TaskPoolFullError
            If no more connections may be opened; nothing was sent.
        """
        ...

    def probe(self, server: BackendServer, timeout_s: float) -> ProbeAnswer:
        """Probe a backend server.

        Raises
        ------
        CallError
            If it did not answer.
        """
        ...

    def drop(self, backend_id: str) -> None:
        """Close the idle connections to a backend server."""
        ...


class Relays(Protocol):
    """Connections to other entries that take relayed calls."""

    def relay(self, member: Member, attempt: Attempt) -> Exchange:
        """Relay a call; the answer fails with a ``CallError``.

        Raises
        ------
        TaskPoolFullError
            If no more connections may be opened; nothing was sent.
        """
        ...


class Routing(Protocol):
    """Chooses another home for a call; the policy is behind ``Policy``."""

    def choose_peer(self, service: str, excluded: frozenset[str]) -> Member | None:
        """Return a member likely to have a slot free, or None."""
        ...

    def choose_busy_peer(self, service: str, excluded: frozenset[str]) -> Member | None:
        """Return a home of the service that is not known to have a slot free.

        Its refusal of a call tells it that the call waits here.
        """
        ...

    def learn(self, member_id: str, service: str, load: ServiceLoad) -> None:
        """Take in the load that a peer reported with a relayed answer."""
        ...

    def note_refused(self, member_id: str, service: str) -> None:
        """Take in that a peer's call found no slot here and waits there."""
        ...

    def note_waiting(self, member_id: str, service: str, waiting: int) -> None:
        """Take in how many calls wait at a peer."""
        ...

    def peer_with_longest_queue(self, service: str) -> Member | None:
        """Return the member known to hold most waiting calls, or None."""
        ...

    def note_offered(self, member_id: str, service: str) -> None:
        """Take in that a waiting call of a peer gets a slot here."""
        ...

    def subscribe_waiting(self, listener: Callable[[str], None]) -> None:
        """Call a listener with a service as soon as calls of it wait at a peer.

        The listener must not block.
        """
        ...

    def load_of(self, member_id: str, service: str) -> ServiceLoad | None:
        """Return the last load known of a peer, or None."""
        ...


class Pulling(Protocol):
    """Lets peers pull their waiting calls to slots that come free here."""

    def offer(self, service: str) -> None:
        """Offer the free slots of a service to peers whose calls wait, if any."""
        ...


class Claims(Protocol):
    """Idempotency keys, claimed before anything is sent."""

    def claim(self, call: Call) -> Answer | None:
        """Claim the key of a call; return the recorded answer if it already ran.

        Raises
        ------
        KeyReusedError
            If the key came before with another request.
        DuplicateCallError
            If an earlier call with this key may have run.
        ClaimUnavailableError
            If the platform could not take the claim; nothing was sent.
        """
        ...

    def settle(self, call: Call, answer: Answer | None) -> None:
        """Record the answer, or None where nothing ran and the key is free again."""
        ...


class Calls(Protocol):
    """Serves calls."""

    def serve(self, call: Call) -> Answer:
        """Return the answer to a call.

        Raises
        ------
        CallError
            If the call could not be answered; ``ran`` tells if it may have run.
        """
        ...

    def in_flight(self) -> int:
        """Return the number of calls being served."""
        ...


class Directory(Protocol):
    """Tells callers which entries to use."""

    def entries(self, service: str) -> DirectoryAnswer:
        """Return the entries for a service.

        Raises
        ------
        UnknownServiceError
            If the manifest declares no such service.
        """
        ...
