"""Status of an entry, for operators."""

from attrs import frozen

from dotterelpier.model.membership import ServiceLoad


@frozen
class BackendStatus:
    """Status of one backend server as its home sees it.

    Attributes
    ----------
    id : str
        Id of the backend server.
    limit : int
        Requests that it is known to bear at once.
    in_flight : int
        Requests in flight.
    evidence_age_s : float
        Age of the newest evidence, in seconds; -1 if there is none.
    allowed : bool
        Whether evidence speaks for new work.
    zone : str
        Availability zone, empty once the manifest no longer declares the server.
    cold : bool
        Whether it bears fewer requests than when warm.
    budget_spent : float
        Share of the measuring budget spent since its home measures it.
    """

    id: str
    limit: int
    in_flight: int
    evidence_age_s: float
    allowed: bool
    zone: str = ""
    cold: bool = False
    budget_spent: float = 0.0


@frozen
class MemberStatus:
    """Status of one member as an entry sees it.

    Attributes
    ----------
    id, zone : str
        Id and availability zone.
    revision : int
        Manifest revision acknowledged.
    heard_age_s : float
        Age of its last heartbeat, in seconds; -1 if there is none.
    leaving : bool
        Whether it is in a planned stop.
    operator_address : str
        ``IP:port`` where it answers operators.
    """

    id: str
    zone: str
    revision: int
    heard_age_s: float
    leaving: bool
    operator_address: str = ""


@frozen
class EntryStatus:
    """Status of one entry.

    Attributes
    ----------
    id, zone : str
        Id and availability zone.
    revision : int
        Manifest revision in force, 0 if none.
    assignment : int
        Number of the assignment in force.
    lease_left_s : float
        Rest of the lease, in seconds; negative once it lapsed.
    platform_reached, may_take_work, draining : bool
        Contacts and planned stop.
    calls_in_flight : int
        Calls being served.
    members : tuple of MemberStatus
        All members known.
    backend_servers : tuple of BackendStatus
        Backend servers whose home the entry is.
    load_by_service : dict of str to ServiceLoad
        Load of each service.
    """

    id: str
    zone: str
    revision: int
    assignment: int
    lease_left_s: float
    platform_reached: bool
    may_take_work: bool
    draining: bool
    calls_in_flight: int
    members: tuple[MemberStatus, ...]
    backend_servers: tuple[BackendStatus, ...]
    load_by_service: dict[str, ServiceLoad]
