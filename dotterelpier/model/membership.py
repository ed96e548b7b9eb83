"""Members and their leases, heartbeats, homes and handovers."""

from attrs import field, frozen


@frozen
class Member:
    """Lease row of an entry in the platform's table.

    Attributes
    ----------
    id : str
        Id of the entry, unique for each start of the process.
    zone : str
        Availability zone of the entry.
    caller_address : str
        ``IP:port`` that callers connect to.
    relay_address : str
        ``IP:port`` that other entries relay calls to.
    peer_address : str
        ``IP:port`` of its gRPC front end.
    renewals : int
        Counter that grows with each renewal, so that every renewal changes the row.
    lease_s : float
        Duration of the lease after each renewal, in seconds.
    revision : int
        Highest manifest revision in force on this entry.
    assignment : int
        Highest assignment number in force on this entry. The entry has nothing in
        flight at the backend servers that this assignment took away from it.
    leaving : bool
        Whether the entry is in a planned stop, so that it gets no homes.
    known : int
        Number of members that the entry knows. It computes majorities over at least
        this number.
    operator_address : str
        ``IP:port`` that serves operators.
    """

    id: str
    zone: str
    caller_address: str
    relay_address: str
    peer_address: str
    renewals: int = 0
    lease_s: float = 4.0
    revision: int = 0
    assignment: int = 0
    leaving: bool = False
    known: int = 0
    operator_address: str = ""


@frozen
class Home:
    """The one entry that may send requests to a backend server.

    Attributes
    ----------
    entry_id : str
        Id of the home, empty once the manifest no longer declares the server.
    epoch : int
        Number that grows with each change of home.
    lost_in_by_previous_id : dict of str to int
        Former homes that may still send, each with the number of the assignment in
        which it lost the backend server.
    since : int
        Number of the assignment in which this home was set.
    """

    entry_id: str
    epoch: int = 1
    lost_in_by_previous_id: dict[str, int] = field(factory=dict)
    since: int = 1


@frozen
class Assignment:
    """Homes of all backend servers, stored as one row.

    Attributes
    ----------
    number : int
        Number that grows by one with each change.
    home_by_backend_id : dict of str to Home
        Home of each backend server.
    revision : int
        Manifest revision that the assignment was computed from.
    """

    number: int = 0
    home_by_backend_id: dict[str, Home] = field(factory=dict)
    revision: int = 0


@frozen
class ServiceLoad:
    """Load of one service on one entry.

    Attributes
    ----------
    free_slots : int
        Free slots on the backend servers whose home the entry is and whose evidence
        allows new requests.
    slots : int
        Sum of the current concurrency limits of those backend servers.
    waiting : int
        Calls that wait for a slot on the entry.
    """

    free_slots: int = 0
    slots: int = 0
    waiting: int = 0


@frozen
class Heartbeat:
    """Message by which an entry tells its peers that it runs, and its state.

    Attributes
    ----------
    sender_id : str
        Id of the sender.
    revision : int
        Highest manifest revision in force on the sender.
    platform_reached : bool
        Whether the platform answered the sender recently.
    leaving : bool
        Whether the sender is in a planned stop.
    load_by_service : dict of str to ServiceLoad
        Load of each service on the sender.
    """

    sender_id: str
    revision: int = 0
    platform_reached: bool = False
    leaving: bool = False
    load_by_service: dict[str, ServiceLoad] = field(factory=dict)


@frozen
class PeerStatus:
    """A peer's lease row and last heartbeat.

    Attributes
    ----------
    member : Member
        Its last known lease row.
    heartbeat : Heartbeat or None
        Its last heartbeat, None if none was received.
    last_heartbeat_at : float
        Time of the last heartbeat on the monotonic clock, in seconds. For a reply,
        the time at which this entry sent the heartbeat that it answers.
    """

    member: Member
    heartbeat: Heartbeat | None = None
    last_heartbeat_at: float = float("-inf")


@frozen
class SlotOffer:
    """A free slot that a home reserves for a peer with waiting calls.

    Attributes
    ----------
    sender_id : str
        Id of the home.
    service : str
        Name of the service.
    reservation : str
        Token of the reservation, which the relayed call must contain.
    """

    sender_id: str
    service: str
    reservation: str


@frozen
class HandoverState:
    """Limit and requests in flight at a backend server that its home hands over.

    Attributes
    ----------
    limit : int
        Concurrency limit of the server on the old home, 0 if it has none.
    in_flight : int
        Requests of the old home still in flight.
    longest_s : float
        Time until the latest of their deadlines, in seconds.
    """

    limit: int
    in_flight: int
    longest_s: float


@frozen
class HomeGrant:
    """What a new home knows of a backend server from the handover by former homes.

    Attributes
    ----------
    limit : int
        Concurrency limit that the previous home reported, 0 to start cold.
    in_flight_elsewhere : int
        Requests of former homes that are still in flight.
    """

    limit: int = 0
    in_flight_elsewhere: int = 0
