"""Protocols of the control plane: manifest, membership, homes and planned stop."""

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
    """Source of the manifest: the highest revision known to this entry."""

    def current(self) -> Revision | None:
        """Return the revision in force, or None before the first."""
        ...

    def subscribe(self, listener: Callable[[Revision], None]) -> None:
        """Call a listener with the current revision and with each later one.

        The first call happens in the caller's thread before this method returns,
        all later ones in the thread that installs the revision.
        """
        ...


class Membership(Protocol):
    """Lease of this entry, and the members with their liveness."""

    def me(self) -> Member:
        """Return the lease row of this entry, changes not yet written included."""
        ...

    def lease_end(self) -> float:
        """Return when the lease of this entry expires unless it is renewed.

        The value is in seconds on the monotonic clock, ``-inf`` before the first
        renewal.
        """
        ...

    def lease_start(self) -> float:
        """Return since when this entry has held its lease without a gap.

        The value is in seconds on the monotonic clock, ``-inf`` before the first
        renewal.
        """
        ...

    def live_by_id(self) -> dict[str, Member]:
        """Return the members with a valid lease or a fresh heartbeat, and this one."""
        ...

    def leased_by_id(self) -> dict[str, Member]:
        """Return the members whose leases, as last scanned, have not lapsed."""
        ...

    def known_by_id(self) -> dict[str, Member]:
        """Return all members with a lease row, this one included."""
        ...

    def peers(self) -> tuple[PeerStatus, ...]:
        """Return the last heartbeat of each other live member."""
        ...

    def has_lapsed(self, member_id: str, since: float) -> bool:
        """Return whether a member's lease has certainly expired or its row is gone.

        Parameters
        ----------
        member_id : str
            Id of the member.
        since : float
            Only a scan begun after this time counts, in seconds on the monotonic
            clock.
        """
        ...

    def platform_reached(self) -> bool:
        """Return whether the platform answered in the last ``contact_s`` seconds."""
        ...

    def may_take_work(self) -> bool:
        """Return whether the manifest revision in force is confirmed as the highest.

        The platform or a majority of the members must have confirmed it in the last
        ``contact_s`` seconds.
        """
        ...

    def no_takeover_until(self) -> float:
        """Return until when no other entry can take over homes.

        Until then, this entry may send to cold backend servers although its lease
        has expired. The value is in seconds on the monotonic clock, ``-inf`` if
        another entry may be able to take over now.
        """
        ...

    def record_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Record a heartbeat; the listeners get it if the sender is known."""
        ...

    def subscribe(self, listener: Callable[[Member, Heartbeat], None]) -> None:
        """Call a listener with each heartbeat of a known member.

        It runs in the thread that received the heartbeat.
        """
        ...

    def set_load_source(self, source: Callable[[], dict[str, ServiceLoad]]) -> None:
        """Set the function that returns the loads for each heartbeat of this entry."""
        ...

    def acknowledge(self, *, revision: int = 0, assignment: int = 0) -> None:
        """Raise the numbers in force in the lease row; the next renewal writes them.

        An assignment counts as in force once this entry has no request in flight at
        the backend servers that the assignment took away from it.
        """
        ...

    def confirm_manifest(self, at: float) -> None:
        """Record that no revision above the current one was accepted before ``at``.

        Parameters
        ----------
        at : float
            When the read of the platform began, in seconds on the monotonic clock.
        """
        ...

    def set_leaving(self) -> None:
        """Mark this entry as leaving, and wake its lease renewal and heartbeats."""
        ...

    def heartbeat(self) -> Heartbeat:
        """Return a heartbeat with the current state of this entry."""
        ...


class Homes(Protocol):
    """Homes of backend servers: which entry may send to which server."""

    def is_home(self, backend_id: str) -> bool:
        """Return whether this entry may send to a warm backend server now."""
        ...

    def send_deadline(self, backend_id: str, *, cold: bool) -> float | None:
        """Return the latest deadline of an attempt sent now, None to send nothing.

        Parameters
        ----------
        backend_id : str
            Id of the backend server.
        cold : bool
            Whether no other entry may send there at the same time, as two homes at
            once would overload a server in cold start.

        Returns
        -------
        float or None
            In seconds on the monotonic clock, ``inf`` if no lease limits it.
        """
        ...

    def assignment(self) -> Assignment:
        """Return the assignment in force on this entry."""
        ...

    def subscribe(self, listener: Callable[[str, HomeGrant | None], None]) -> None:
        """Call a listener when this entry becomes a home or stops being one.

        While former homes still have requests in flight, each of their reports leads
        to another call.

        Parameters
        ----------
        listener : callable
            Takes the id of the backend server, and what this entry may send as its
            home, or None once it is no longer the home.
        """
        ...

    def set_handover_state_source(self, source: Callable[[str], HandoverState]) -> None:
        """Set the function that returns a server's limit and requests in flight."""
        ...

    def hand_over(self, backend_id: str, assignment: int) -> HandoverState:
        """Stop sending to a backend server and return what is still in flight there.

        Parameters
        ----------
        backend_id : str
            Id of the backend server.
        assignment : int
            Number of the assignment that took the server away from this entry; the
            entry does not become its home again through an older one.
        """
        ...


class Peers(Protocol):
    """Control messages to other entries.

    All methods raise ``PeerUnavailableError`` if the peer does not answer in time or
    its answer is malformed.
    """

    def beat(self, member: Member, heartbeat: Heartbeat) -> Heartbeat:
        """Send a heartbeat and return the one that the peer replies with."""
        ...

    def fetch_manifest(self, member: Member, above: int) -> Revision | None:
        """Return the peer's revision if its number is above ``above``, else None."""
        ...

    def list_members(self, address: str) -> tuple[Member, ...]:
        """Return the members known to the entry at a peer address (``IP:port``)."""
        ...

    def offer_slot(self, member: Member, offer: SlotOffer) -> bool:
        """Offer a free slot; return whether a call waiting at the peer took it."""
        ...

    def hand_over(
        self,
        member: Member,
        backend_id: str,
        assignment: int,
        progress: Callable[[HandoverState], None],
    ) -> None:
        """Ask a former home to stop sending, and follow its requests in flight.

        Blocks until the peer reports none in flight, or ends its stream of reports.

        Parameters
        ----------
        member : Member
            The former home.
        backend_id : str
            Id of the backend server.
        assignment : int
            Number of the assignment in which the former home lost the server.
        progress : callable
            Called in this thread with each report.
        """
        ...


class Drain(Protocol):
    """Planned stop of this entry."""

    def draining(self) -> bool:
        """Return whether the planned stop has begun."""
        ...

    def takes_calls(self) -> bool:
        """Return whether this entry still serves new calls."""
        ...

    def run(self) -> None:
        """Leave, hand the homes over, and return once no call is in flight."""
        ...


class StoppableFrontend(Protocol):
    """Front end that closes its connections in a planned stop."""

    def close_after_answers(self) -> None:
        """Close each connection after its next answer, and announce it there."""
        ...

    def stop_listening(self) -> None:
        """Stop accepting connections, and close idle ones."""
        ...

    def busy(self) -> bool:
        """Return whether a request is being served or an answer is not yet sent."""
        ...


class Status(Protocol):
    """Status and health of this entry, for operators."""

    def healthy(self) -> bool:
        """Return whether the entry takes new work and is not stopping."""
        ...

    def entry(self) -> EntryStatus:
        """Return a snapshot of the state of this entry's services."""
        ...

    def publish(self) -> None:
        """Update the metric gauges from the current status."""
        ...
