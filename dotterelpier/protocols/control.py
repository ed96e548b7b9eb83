"""Protocols by which entries agree: manifest, members and homes."""

from collections.abc import Callable
from typing import Protocol

from dotterelpier.model.manifest import Revision
from dotterelpier.model.membership import (
    Assignment,
    HandoverState,
    Heartbeat,
    HomeGrant,
    Member,
    PeerStatus,
    ServiceLoad,
    SlotOffer,
)
from dotterelpier.model.status import EntryStatus


class ManifestSource(Protocol):
    """Keeps the highest manifest revision that this entry has seen."""

    def current(self) -> Revision | None:
        """Return the revision in force, or None before the first."""
        ...

    def subscribe(self, listener: Callable[[Revision], None]) -> None:
        """Call a listener with the current revision and with each later one."""
        ...


class Membership(Protocol):
    """Own lease, and the members with their liveness."""

    def me(self) -> Member:
        """Return the own lease row."""
        ...

    def lease_end(self) -> float:
        """Return when the own lease ends, on the monotonic clock."""
        ...

    def lease_start(self) -> float:
        """Return since when the own lease has been held without a gap."""
        ...

    def live_by_id(self) -> dict[str, Member]:
        """Return the members that renew their leases or were heard lately."""
        ...

    def leased_by_id(self) -> dict[str, Member]:
        """Return the members whose leases were seen renewed, this one included."""
        ...

    def known_by_id(self) -> dict[str, Member]:
        """Return all members with a lease row, this one included."""
        ...

    def peers(self) -> tuple[PeerStatus, ...]:
        """Return what is known of the other live members."""
        ...

    def has_lapsed(self, member_id: str, since: float) -> bool:
        """Tell whether a member's lease surely ended, or its row is gone.

        Only rows read after ``since``, on the monotonic clock, count.
        """
        ...

    def platform_reached(self) -> bool:
        """Tell whether the platform answered lately."""
        ...

    def may_take_work(self) -> bool:
        """Tell whether the manifest was lately confirmed as the highest."""
        ...

    def no_takeover_until(self) -> float:
        """Return until when nobody can take over homes without a lease.

        The value is on the monotonic clock, ``-inf`` if somebody can now.
        """
        ...

    def record_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Take in a heartbeat."""
        ...

    def subscribe(self, listener: Callable[[Member, Heartbeat], None]) -> None:
        """Call a listener with each heartbeat of a known member."""
        ...

    def set_load_source(self, source: Callable[[], dict[str, ServiceLoad]]) -> None:
        """Put the loads that ``source`` returns into heartbeats."""
        ...

    def acknowledge(self, *, revision: int = 0, assignment: int = 0) -> None:
        """State numbers in force here, written with the next renewal.

        An assignment counts as in force once nothing is in flight from here at the
        backend servers that it took away.
        """
        ...

    def confirm_manifest(self, at: float) -> None:
        """State that the platform accepted no revision above the own before ``at``."""
        ...

    def set_leaving(self) -> None:
        """State that this entry is in a planned stop."""
        ...

    def heartbeat(self) -> Heartbeat:
        """Return the own heartbeat."""
        ...


class Homes(Protocol):
    """Homes of backend servers."""

    def is_home(self, backend_id: str) -> bool:
        """Tell whether this entry may send to a backend server now."""
        ...

    def send_deadline(self, backend_id: str, *, cold: bool) -> float | None:
        """Return the latest deadline of an attempt sent now, None to send nothing.

        The value is on the monotonic clock, ``inf`` if no lease limits it.
        """
        ...

    def assignment(self) -> Assignment:
        """Return the assignment in force on this entry."""
        ...

    def subscribe(self, listener: Callable[[str, HomeGrant | None], None]) -> None:
        """Call a listener with a backend server's id when its home changes.

        The second argument is what this entry may do as its home, or None if it
        no longer is.
        """
        ...

    def set_handover_state_source(self, source: Callable[[str], HandoverState]) -> None:
        """Take what a backend server bears and has in flight from ``source``."""
        ...

    def hand_over(self, backend_id: str, assignment: int) -> HandoverState:
        """Stop sending to a backend server and return what is in flight."""
        ...


class Peers(Protocol):
    """Control messages to other entries; all raise ``PeerUnavailableError``."""

    def beat(self, member: Member, heartbeat: Heartbeat) -> Heartbeat:
        """Exchange heartbeats."""
        ...

    def fetch_manifest(self, member: Member, above: int) -> Revision | None:
        """Return the peer's revision if its number is above the given one."""
        ...

    def list_members(self, address: str) -> tuple[Member, ...]:
        """Return the members that the entry at an address knows."""
        ...

    def offer_slot(self, member: Member, offer: SlotOffer) -> bool:
        """Offer a slot; return whether a waiting call took it."""
        ...

    def hand_over(
        self,
        member: Member,
        backend_id: str,
        assignment: int,
        progress: Callable[[HandoverState], None],
    ) -> None:
        """Take a backend server over, calling ``progress`` until none is in flight."""
        ...


class Drain(Protocol):
    """Planned stop."""

    def draining(self) -> bool:
        """Tell whether the planned stop has begun."""
        ...

    def takes_calls(self) -> bool:
        """Tell whether new calls are still served."""
        ...

    def run(self) -> None:
        """Perform the planned stop; return when no call is in flight."""
        ...


class StoppableFrontend(Protocol):
    """Front end that ends its connections in a planned stop."""

    def close_after_answers(self) -> None:
        """Close each connection after its next answer, and say so in the answer."""
        ...

    def stop_listening(self) -> None:
        """Accept no more connections, and close those that are idle."""
        ...

    def busy(self) -> bool:
        """Tell whether a request is being served or an answer is not yet sent."""
        ...


class Status(Protocol):
    """Status of this entry, for operators."""

    def healthy(self) -> bool:
        """Tell whether the entry takes new work and is not stopping."""
        ...

    def entry(self) -> EntryStatus:
        """Return the status of this entry."""
        ...

    def publish(self) -> None:
        """Set the gauges among the metrics to the status."""
        ...
