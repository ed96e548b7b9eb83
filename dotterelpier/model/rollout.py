"""Roll-outs of a release of a service: orders, decisions, counts and messages."""

from collections.abc import Mapping
from enum import Enum

from attrs import field, frozen


class RolloutState(str, Enum):
    """State of an order.

    In ``COMPLETING``, entries that know of it send nothing to the old releases until
    they know a later version of the record. It shows as running to operators.
    """

    RUNNING = "running"
    COMPLETING = "completing"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"

    @property
    def is_final(self) -> bool:
        """Return whether the state never changes again for the same order."""
        return self in (RolloutState.COMPLETED, RolloutState.ROLLED_BACK)


@frozen
class RolloutOrder:
    """What operators ordered.

    Attributes
    ----------
    service : str
        Name of the service.
    target : str
        Release that is to serve all its requests.
    duration_s : float
        Time from the write of the order until its end, in seconds.
    version : int
        Version of the store at which the order was written; identifies the order.
    """

    service: str
    target: str
    duration_s: float
    version: int


@frozen
class RolloutRecord:
    """What was decided about an order, as the store keeps it.

    Attributes
    ----------
    order_version : int
        Version of the order.
    target : str
        Release that was ordered.
    state : RolloutState
        State of the order.
    old_releases : tuple of str
        Other releases that were registered at the time of the order.
    withdrawn : tuple of str
        Releases that an earlier decision took out of service.
    ends_at_store_ms : int
        End of the order on the clock of the store, at the earliest that it may be, in
        milliseconds; 0 if unknown.
    reason : str
        Why the last state was decided.
    """

    order_version: int
    target: str
    state: RolloutState
    old_releases: tuple[str, ...] = ()
    withdrawn: tuple[str, ...] = ()
    ends_at_store_ms: int = 0
    reason: str = ""

    def out_of_service(self) -> frozenset[str]:
        """Return the releases that must get no requests."""
        if self.state is RolloutState.COMPLETED:
            return frozenset((*self.old_releases, *self.withdrawn))
        if self.state is RolloutState.ROLLED_BACK:
            return frozenset((self.target, *self.withdrawn))
        return frozenset(self.withdrawn)


@frozen
class StoredRecord:
    """Record of a service in the store, and the version of its row.

    Attributes
    ----------
    record : RolloutRecord or None
        None if there is no row, or it cannot be read.
    version : int
        Version of the row, 0 if there is none.
    """

    record: RolloutRecord | None
    version: int


@frozen
class ReleaseCounts:
    """Answers of one release on one route since the order, without cold servers.

    Attributes
    ----------
    answers : int
        Answers without a server error.
    errors : int
        Answers with status 500 and above.
    lost : int
        Answers that were lost.
    durations : Mapping
        Answers by bucket of their duration divided by the reported work ratio.
    raw_durations : Mapping
        Answers and aborted attempts by bucket of their duration.
    pending : Mapping
        Attempts without an answer so far by bucket of their duration until now.
    """

    answers: int = 0
    errors: int = 0
    lost: int = 0
    durations: Mapping[int, int] = field(factory=dict)
    raw_durations: Mapping[int, int] = field(factory=dict)
    pending: Mapping[int, int] = field(factory=dict)


@frozen
class RolloutCounts:
    """Counts of one or several entries since the order.

    Attributes
    ----------
    requests : int
        Requests of clients for the service.
    sent : int
        Attempts sent to the target.
    due : int
        Attempts that were to go to the target.
    placed : int
        Those for which a server of the target had room.
    target_by_route, old_by_route : Mapping
        Answers of the target, and of the other releases, by route.
    lost_by_server : Mapping
        Lost answers of the target by the id of the backend server.
    """

    requests: int = 0
    sent: int = 0
    due: int = 0
    placed: int = 0
    target_by_route: Mapping[str, ReleaseCounts] = field(factory=dict)
    old_by_route: Mapping[str, ReleaseCounts] = field(factory=dict)
    lost_by_server: Mapping[str, int] = field(factory=dict)


@frozen
class RolloutReport:
    """What an entry tells the coordinator of a roll-out.

    Attributes
    ----------
    service : str
        Name of the service.
    order_version : int
        Version of the order.
    sender : str
        Name of the entry.
    incarnation : str
        Its incarnation; the counts begin anew with each.
    address : str
        ``IP:port`` for messages to it.
    sequence : int
        Number of the report, growing.
    order_age_s : float or None
        Time since the entry knows of the order, in seconds; None if it does not know
        how old the order was then.
    counts : RolloutCounts
        What it counted.
    in_flight_old : int
        Its requests at the old releases, and those on their way.
    sealed_version : int
        Version of the record with state ``COMPLETING`` under which it sends nothing to
        the old releases, 0 if it may send to them.
    heard : bool
        Whether it ever heard a coordinator of the order, so that it stops sending to
        the old releases when it hears none for long.
    closed : bool
        Whether it stopped for that reason, until it hears one.
    halted : str
        Why it sends nothing to the target any more, empty if it may.
    leaving : bool
        Whether it ends and has no requests.
    """

    service: str
    order_version: int
    sender: str
    incarnation: str
    address: str
    sequence: int
    order_age_s: float | None
    counts: RolloutCounts = RolloutCounts()
    in_flight_old: int = 0
    sealed_version: int = 0
    heard: bool = False
    closed: bool = False
    halted: str = ""
    leaving: bool = False


@frozen
class RolloutShare:
    """What the coordinator of a roll-out tells the entries.

    Attributes
    ----------
    service : str
        Name of the service.
    order_version : int
        Version of the order.
    sender : str
        Name of the coordinator.
    share : float
        Share of its requests that an entry sends to the target.
    halted : str
        Why nothing may be sent to the target for good, empty if it may.
    order_age_s : float or None
        Time since the order in seconds, None if unknown.
    stored : StoredRecord
        The record as the coordinator knows it.
    """

    service: str
    order_version: int
    sender: str
    share: float
    halted: str
    order_age_s: float | None
    stored: StoredRecord = StoredRecord(None, 0)
