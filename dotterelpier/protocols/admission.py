"""Protocols for health evidence about backend servers and for admission to them."""

from collections.abc import Callable
from concurrent.futures import Future
from typing import Protocol, runtime_checkable

from dotterelpier.model.admission import Slot
from dotterelpier.model.evidence import Observation
from dotterelpier.model.manifest import BackendServer
from dotterelpier.model.membership import HandoverState, ServiceLoad, SlotOffer


class ProbeLimiter(Protocol):
    """Limits probes to what a backend server may have in flight."""

    def begin_probe(self, backend_id: str) -> bool:
        """Return whether a probe may be sent now.

        After True, the caller must call ``end_probe`` whatever the result.
        """
        ...

    def end_probe(self, backend_id: str) -> None:
        """Release what ``begin_probe`` took; does nothing if it took nothing."""
        ...


class Evidence(Protocol):
    """Health of the backend servers whose home this entry is.

    It comes from answers to calls, probes and the platform's list of VMs.
    """

    def observe(self, observation: Observation) -> None:
        """Record the result of an exchange and pass it to the listeners.

        The listeners run on the calling thread.
        """
        ...

    def allows(self, backend_id: str) -> bool:
        """Return whether a backend server may get new work.

        True needs a recent answer. It is False if the server leaves, refuses
        connections or loses one request after another, if its VM leaves, if its zone
        is out, or if this entry is not its home.
        """
        ...

    def age_s(self, backend_id: str) -> float:
        """Return the time since the last answer, in seconds; ``inf`` if none came."""
        ...

    def budget_spent(self, backend_id: str) -> float:
        """Return the share of the measuring budget spent since measuring began.

        Of probes, bytes and slot time, the one spent the most counts. The share is
        above 1 if probes cost more than declared, and 0 if this entry is not the home.
        """
        ...

    def refresh(self, service: str) -> None:
        """Check at once which backend servers of a service need a probe."""
        ...

    def subscribe(self, listener: Callable[[Observation], None]) -> None:
        """Call a listener with each observation, on the thread that observed it."""
        ...

    def set_probe_limiter(self, limiter: ProbeLimiter) -> None:
        """Ask this limiter, and no earlier one, before each probe from now on."""
        ...


class Admission(ProbeLimiter, Protocol):
    """Concurrency limits and queues for the backend servers whose home this entry is.

    A slot is the right to have one request in flight at a backend server.
    """

    def try_acquire(
        self, service: str, excluded: frozenset[str], deadline_at: float
    ) -> Slot | None:
        """Return a free slot without waiting, or None.

        Parameters
        ----------
        service : str
            Name of the service.
        excluded : frozenset of str
            Ids of backend servers not to choose.
        deadline_at : float
            When the request ends at the latest, on the monotonic clock, in seconds.
        """
        ...

    def wait(
        self,
        service: str,
        deadline_at: float,
        excluded: frozenset[str] = frozenset(),
    ) -> "Future[Slot]":
        """Queue for a slot; cancelling the future leaves the queue.

        Parameters
        ----------
        service : str
            Name of the service.
        deadline_at : float
            Deadline of the call, on the monotonic clock, in seconds.
        excluded : frozenset of str
            Ids of backend servers not to choose.

        Raises
        ------
        OverloadedError
            If the queue of the service is full, or the expected wait is longer than
            the time to the deadline.
        """
        ...

    def release(self, slot: Slot) -> None:
        """Return a slot once the backend server no longer works on its request.

        The slot goes to the first waiting call, if any.
        """
        ...

    def waiting(self, service: str) -> int:
        """Return the number of calls in the queue of a service on this entry."""
        ...

    def load_by_service(self) -> dict[str, ServiceLoad]:
        """Return free slots, slots and queue length of each service on this entry."""
        ...

    def take_offer(self, offer: SlotOffer) -> bool:
        """Give a slot offered by a peer to the first waiting call.

        Returns
        -------
        bool
            Whether a call took it.
        """
        ...

    def reserve(self, service: str) -> tuple[Slot, str] | None:
        """Reserve a free slot for a peer's call and return it with a new token.

        The reservation expires after one second unless it is redeemed. Returns None
        if no slot is free or calls of the service wait here.
        """
        ...

    def redeem(
        self, reservation: str, deadline_at: float = float("inf")
    ) -> Slot | None:
        """Return the slot reserved under a token, None if expired or already redeemed.

        Parameters
        ----------
        reservation : str
            Token from ``reserve``.
        deadline_at : float
            Deadline of the call, on the monotonic clock, in seconds.
        """
        ...

    def subscribe_free_slots(self, listener: Callable[[str], None]) -> None:
        """Call a listener with a service that has a free slot and an empty queue.

        The listener runs on the thread that freed the slot and must not block.
        """
        ...

    def subscribe_cancellations(
        self, listener: Callable[[tuple[int, ...]], None]
    ) -> None:
        """Call a listener with the ids of slots above the limit of a cold server.

        The listener should cancel the idempotent requests in these slots, so that they
        are sent elsewhere. It runs on the thread that observed the cold start and must
        not block.
        """
        ...

    def handover_state(self, backend_id: str) -> HandoverState:
        """Return the limit of a backend server and the requests in flight from here.

        All values are 0 if this entry has no record of the server.
        """
        ...


@runtime_checkable
class Policy(Protocol):
    """Chooses a peer to relay a call to."""

    def choose(self, slots_by_id: dict[str, int]) -> str | None:
        """Return the id of the chosen peer, or None if no peer has a slot.

        Parameters
        ----------
        slots_by_id : dict of str to int
            Slots that count for each peer: free ones, or all for a busy peer.
        """
        ...


@runtime_checkable
class ServerPolicy(Protocol):
    """Chooses a backend server where entries balance without coordination."""

    def choose(
        self, servers: list[BackendServer], load_by_id: dict[str, int]
    ) -> BackendServer:
        """Return one of the servers, given the requests in flight by server id."""
        ...
