"""Members, leases and homes."""

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
        ``IP:port`` where callers connect.
    relay_address : str
        ``IP:port`` where other entries relay calls to.
    peer_address : str
        ``IP:port`` of its gRPC front end.
    renewals : int
        Grows with each renewal, so that every renewal changes the row.
    lease_s : float
        Duration of the lease from each renewal, in seconds.
    revision : int
        Highest manifest revision in force on this entry.
    assignment : int
        Highest assignment number in force on this entry, with nothing in flight at
        the backend servers that it took away.
    leaving : bool
        Whether the entry is in a planned stop and wants no homes.
    known : int
        Members known to the entry; it counts a majority of no fewer.
    operator_address : str
        ``IP:port`` where it answers operators.
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
    """Which entry alone sends to a backend server.

    Attributes
    ----------
    entry_id : str
        Id of the home, empty once the manifest no longer declares the server.
    epoch : int
        Grows with each change of home.
    lost_in_by_previous_id : dict of str to int
        Homes before that may still send, each with the number of the assignment
        in which it lost the backend server.
    since : int
        Number of the assignment in which this home was set.
    """

    entry_id: str
    epoch: int = 1
    lost_in_by_previous_id: dict[str, int] = field(factory=dict)
    since: int = 1


@frozen
class Assignment:
    """Homes of all backend servers, kept as one row.

    Attributes
    ----------
    number : int
        Grows by one with each change.
    home_by_backend_id : dict of str to Home
        Home of each backend server.
    revision : int
        Manifest revision by which it was made.
    """

    number: int = 0
    home_by_backend_id: dict[str, Home] = field(factory=dict)
    revision: int = 0


@frozen
class ServiceLoad:
    """State of one service on one entry.

    Attributes
    ----------
    free_slots : int
        Slots free on the backend servers whose home this entry is.
    slots : int
        Slots that those backend servers bear now.
    waiting : int
        Calls that wait for a slot.
    """

    free_slots: int = 0
    slots: int = 0
    waiting: int = 0


@frozen
class Heartbeat:
    """What an entry tells its peers.

    Attributes
    ----------
    sender_id : str
        Id of the sender.
    revision : int
        Highest manifest revision in force on the sender.
    platform_reached : bool
        Whether the platform answered the sender within the last seconds.
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
    """What is known of a peer.

    Attributes
    ----------
    member : Member
        Its last known lease row.
    heartbeat : Heartbeat or None
        Its last heartbeat, None if never heard.
    heard_at : float
        When it was last heard, on the monotonic clock, in seconds.
    """

    member: Member
    heartbeat: Heartbeat | None = None
    last_heartbeat_at: float = float("-inf")


@frozen
class SlotOffer:
    """A free slot that a home offers to a peer with waiting calls.

    Attributes
    ----------
    sender_id : str
        Id of the home.
    service : str
        Name of the service.
    reservation : str
        Token that the relayed call must carry.
    """

    sender_id: str
    service: str
    reservation: str


@frozen
class HandoverState:
    """What a home still has in flight at a backend server that it hands over.

    Attributes
    ----------
    limit : int
        Requests that the server was known to bear at once.
    in_flight : int
        Requests of the old home still in flight.
    longest_s : float
        Time until the last of their deadlines, in seconds.
    """

    limit: int
    in_flight: int
    longest_s: float


@frozen
class HomeGrant:
    """What an entry may do as the home of a backend server.

    Attributes
    ----------
    limit : int
        Requests that the server is known to bear at once, 0 to start cold.
    in_flight_elsewhere : int
        Requests of the home before that are still in flight.
    """

    limit: int = 0
    in_flight_elsewhere: int = 0
