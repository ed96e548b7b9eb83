"""Slots, each of which admits one request to a backend server."""

from attrs import frozen

from dotterelpier.model.manifest import BackendServer


@frozen
class Slot:
    """Permission for one request in flight, reserved on this entry or by a peer.

    Attributes
    ----------
    id : int
        Number of the slot, unique on this entry.
    server : BackendServer or None
        Backend server to send to, None if a peer reserved the slot.
    cold : bool
        Whether the concurrency limit of the server is below its declared slots.
    peer_id : str
        Id of the peer that reserved the slot, empty if this entry did.
    reservation : str
        Token of the peer's reservation, empty if this entry holds the slot.
    """

    id: int
    server: BackendServer | None
    cold: bool = False
    peer_id: str = ""
    reservation: str = ""
