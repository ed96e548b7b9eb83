"""Protocols of evidence about backend servers and of slots on them."""

from collections.abc import Callable
from concurrent.futures import Future
from typing import Protocol, runtime_checkable

from dotterelpier.model.admission import Slot
from dotterelpier.model.evidence import Observation
from dotterelpier.model.manifest import BackendServer
from dotterelpier.model.membership import HandoverState, ServiceLoad, SlotOffer


class ProbeLimiter(Protocol):
    """Decides whether a backend server bears a probe now."""

    def begin_probe(self, backend_id: str) -> bool:
        """Tell whether a probe may be sent; it must be ended if so."""
        ...

    def end_probe(self, backend_id: str) -> None:
        """State that the probe ended."""
        ...


class Evidence(Protocol):
    """What is known of the backend servers whose home this entry is."""

    def observe(self, observation: Observation) -> None:
        """Take in how an exchange ended."""
        ...

    def allows(self, backend_id: str) -> bool:
        """Tell whether fresh evidence speaks for sending new work."""
        ...

    def age_s(self, backend_id: str) -> float:
        """Return the age of the newest evidence in seconds."""
        ...

    def budget_spent(self, backend_id: str) -> float:
        """Return the share of the measuring budget spent since measuring began."""
        ...

    def refresh(self, service: str) -> None:
        """Ask for probes of the service's idle backend servers."""
        ...

    def subscribe(self, listener: Callable[[Observation], None]) -> None:
        """Call a listener with each observation."""
        ...

    def set_probe_limiter(self, limiter: ProbeLimiter) -> None:
        """Let a gate decide about each probe."""
        ...


class Admission(ProbeLimiter, Protocol):
    """Slots of the backend servers whose home this entry is."""

    def try_acquire(
        self, service: str, excluded: frozenset[str], deadline_at: float
    ) -> Slot | None:
        """Take a slot if one is free, on a server that is not excluded."""
        ...

    def wait(
        self,
        service: str,
        deadline_at: float,
        excluded: frozenset[str] = frozenset(),
    ) -> "Future[Slot]":
        """Queue for a slot; cancel the future to leave the queue.

        Raises
        ------
        OverloadedError
            If the queue of the service is full, or too long for the deadline.
        """
        ...

    def release(self, slot: Slot) -> None:
        """Give a slot back, once the request surely no longer runs."""
        ...

    def waiting(self, service: str) -> int:
        """Return the number of calls that wait here for a slot of a service."""
        ...

    def load_by_service(self) -> dict[str, ServiceLoad]:
        """Return the load of each service on this entry."""
        ...

    def take_offer(self, offer: SlotOffer) -> bool:
        """Give a slot offered by a peer to a waiting call, if there is one."""
        ...

    def reserve(self, service: str) -> tuple[Slot, str] | None:
        """Hold a free slot that no call here waits for, under a new token.

        The slot is free again unless it is redeemed within a second. Returns None
        if no slot is free or calls wait here.
        """
        ...

    def redeem(
        self, reservation: str, deadline_at: float = float("inf")
    ) -> Slot | None:
        """Return the slot reserved under a token, once, for a call with a deadline."""
        ...

    def subscribe_free_slots(self, listener: Callable[[str], None]) -> None:
        """Call a listener with a service that has a slot free and nobody waiting.

        The listener runs on the thread that freed the slot and must not block.
        """
        ...

    def subscribe_cancellations(
        self, listener: Callable[[tuple[int, ...]], None]
    ) -> None:
        """Call a listener with the ids of slots that a cold server cannot bear.

        Idempotent requests in these slots are to be cancelled and sent elsewhere.
        The listener must not block.
        """
        ...

    def handover_state(self, backend_id: str) -> HandoverState:
        """Return what a backend server bears and has in flight from here."""
        ...


@runtime_checkable
class Policy(Protocol):
    """Chooses among candidates with known free slots."""

    def choose(self, slots_by_id: dict[str, int]) -> str | None:
        """Return the id of the chosen candidate, or None if there is none."""
        ...


@runtime_checkable
class ServerPolicy(Protocol):
    """Chooses a backend server where entries share nothing."""

    def choose(
        self, servers: list[BackendServer], load_by_id: dict[str, int]
    ) -> BackendServer:
        """Return one of the servers, given the requests counted at each."""
        ...
