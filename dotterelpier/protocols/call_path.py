"""Protocols of the services that a call passes through."""

from collections.abc import Callable
from concurrent.futures import Future
from typing import Any, Protocol

from dotterelpier.model.call import Answer, Attempt, Call
from dotterelpier.model.directory import DirectoryAnswer
from dotterelpier.model.evidence import ProbeAnswer
from dotterelpier.model.manifest import BackendServer
from dotterelpier.model.membership import Member, ServiceLoad


class Exchange(Protocol):
    """An attempt handed to a connection."""

    @property
    def answer(self) -> "Future[Answer]":
        """Future of the answer; fails with a ``CallError``."""
        ...

    @property
    def ended(self) -> "Future[Any]":
        """Future that completes once the other side no longer works on the attempt."""
        ...

    def cancel(self) -> None:
        """Ask the other side to stop; both futures still complete."""
        ...


class Backends(Protocol):
    """Connections to backend servers, each served by a task of its own."""

    def send(self, server: BackendServer, attempt: Attempt) -> Exchange:
        """Hand an attempt to a connection without waiting for the answer.

        Raises
        ------
        TaskPoolFullError
            If no further connection may be opened; nothing was sent.
        """
        ...

    def probe(self, server: BackendServer, timeout_s: float) -> ProbeAnswer:
        """Send a health check and return the load report of the backend server.

        Blocks for up to ``timeout_s`` seconds.

        Raises
        ------
        CallError
            If it did not answer in time, or answered without a load report.
        """
        ...

    def drop(self, backend_id: str) -> None:
        """Close the idle connections to a backend server."""
        ...


class Relays(Protocol):
    """Connections to the relay front ends of other entries."""

    def relay(self, member: Member, attempt: Attempt) -> Exchange:
        """Hand a call for a peer to a connection without waiting for the answer.

        Raises
        ------
        TaskPoolFullError
            If no further connection may be opened; nothing was sent.
        """
        ...


class Routing(Protocol):
    """Tracks the load of the peers and chooses a peer for a call or a free slot.

    ``excluded`` holds the ids that must not be chosen. The weights of the random choice
    are left to ``Policy``.
    """

    def choose_peer(self, service: str, excluded: frozenset[str]) -> Member | None:
        """Return a peer likely to have a free slot, or None; count the slot as used."""
        ...

    def choose_busy_peer(self, service: str, excluded: frozenset[str]) -> Member | None:
        """Return a home of the service although no free slot is known there, or None.

        If it refuses the relayed call, it learns that the call waits here and can offer
        the next slot that comes free.
        """
        ...

    def update_load(self, member_id: str, service: str, load: ServiceLoad) -> None:
        """Replace the known load of a peer by what the peer reported."""
        ...

    def note_refused(self, member_id: str, service: str) -> None:
        """Record that a call was refused here and therefore waits at the peer."""
        ...

    def note_waiting(self, member_id: str, service: str, waiting: int) -> None:
        """Record the number of calls that wait at a peer."""
        ...

    def peer_with_longest_queue(self, service: str) -> Member | None:
        """Return the peer with the most waiting calls, or None if none is known."""
        ...

    def note_offered(self, member_id: str, service: str) -> None:
        """Record that a slot is offered to a peer for one of its waiting calls."""
        ...

    def subscribe_waiting(self, listener: Callable[[str], None]) -> None:
        """Call a listener with a service when its calls are known to wait at a peer.

        The listener runs on the thread that reported the calls and must not block.
        """
        ...

    def load_of(self, member_id: str, service: str) -> ServiceLoad | None:
        """Return the last known load of a peer, or None if none is known."""
        ...


class Pulling(Protocol):
    """Offers free slots of this entry to peers, which relay waiting calls to them."""

    def offer(self, service: str) -> None:
        """Offer the free slots of a service to the peers with the longest queues.

        Returns without waiting for the peers' replies.
        """
        ...


class Claims(Protocol):
    """Idempotency keys, each claimed before its call is sent."""

    def claim(self, call: Call) -> Answer | None:
        """Claim the idempotency key of a call, or return the answer recorded for it.

        Blocks while the platform handles the claim. Returns None if the key is claimed
        and the call may be sent.

        Raises
        ------
        KeyReusedError
            If the key was already used with a different request.
        DuplicateCallError
            If an earlier call with this key may have run and no answer is recorded.
        ClaimUnavailableError
            If the platform did not confirm the claim; the call must not be sent.
        """
        ...

    def record_outcome(self, call: Call, answer: Answer | None) -> None:
        """Record the answer of a claimed call, or release its key.

        ``answer`` is None if the call certainly did not run; this releases the key.
        """
        ...


class Calls(Protocol):
    """Serves the calls of callers and those relayed by other entries."""

    def serve(self, call: Call) -> Answer:
        """Return the answer to a call; block until it is answered or has failed.

        Raises
        ------
        CallError
            If there is no answer; ``ran`` says whether the call may have run.
        """
        ...

    def in_flight(self) -> int:
        """Return the number of calls in flight, those with an open stream included."""
        ...


class Directory(Protocol):
    """Lists the entries that callers should connect to."""

    def entries(self, service: str) -> DirectoryAnswer:
        """Return the entries for calls of a service.

        Raises
        ------
        NoManifestError
            If this entry knows no manifest yet.
        UnknownServiceError
            If the manifest declares no such service.
        """
        ...
