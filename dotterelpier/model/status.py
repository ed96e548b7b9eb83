"""Status of an entry, as operators see it."""

from attrs import frozen

from dotterelpier.model.membership import ServiceLoad


@frozen
class BackendStatus:
    """Status of one backend server as its home records it.

    Attributes
    ----------
    id : str
        Id of the backend server.
    limit : int
        Concurrency limit in force.
    in_flight : int
        Requests in flight.
    evidence_age_s : float
        Age of the newest evidence, in seconds; -1 if there is none.
    allowed : bool
        Whether the evidence allows new requests.
    zone : str
        Availability zone, empty once the manifest no longer declares the server.
    cold : bool
        Whether its concurrency limit is below its declared slots.
    budget_spent : float
        Share of the measuring budget spent since its home began to measure it.
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
    """Status of one member as the reporting entry knows it.

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
        ``IP:port`` that serves operators.
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
        Time left of the lease, in seconds; negative once it expired.
    platform_reached : bool
        Whether the platform answered recently.
    may_take_work : bool
        Whether the manifest revision in force is confirmed as the highest.
    draining : bool
        Whether the entry is in a planned stop.
    calls_in_flight : int
        Calls in flight, those with an open stream included.
    members : tuple of MemberStatus
        All members that the entry knows.
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
