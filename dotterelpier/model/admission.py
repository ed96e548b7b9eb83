"""Slots on backend servers."""

from attrs import frozen

from dotterelpier.model.manifest import BackendServer


@frozen
class Slot:
    """The right to have one request in flight, here or at a peer.

    Attributes
    ----------
    id : int
        Unique on this entry.
    server : BackendServer or None
        Backend server, None if the slot is at a peer.
    cold : bool
        Whether the server is in cold start.
    peer_id : str
        Entry that reserved the slot, empty if it is this one.
    reservation : str
        Token under which the peer reserved it.
    """

    id: int
    server: BackendServer | None
    cold: bool = False
    peer_id: str = ""
    reservation: str = ""
