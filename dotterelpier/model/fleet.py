"""Members of a fleet, and the store tables that they replicate to each other."""

from attrs import field, frozen


@frozen
class StoreRow:
    """One row of a table in the platform's store.

    Attributes
    ----------
    key : str
        Key, unique within its table.
    value : bytes or None
        Content, None if the row was deleted.
    version : int
        Version of the store at which the row last changed.
    """

    key: str
    value: bytes | None = field(repr=False)
    version: int


@frozen
class StoreReply:
    """Rows of a table, as a snapshot or as the changes since a version.

    Attributes
    ----------
    rows : tuple of StoreRow
        All rows of the table, or those changed since the requested version.
    version : int
        Version of the store up to which the reply is complete.
    whole : bool
        Whether the rows are a snapshot of the table rather than changes.
    store_ms : int
        Steady clock of the store when it replied, in milliseconds; 0 if unknown.
    """

    rows: tuple[StoreRow, ...]
    version: int
    whole: bool = False
    store_ms: int = 0


@frozen
class RowWrite:
    """A row to be written in a transaction.

    Attributes
    ----------
    table : str
        Name of the table.
    key : str
        Key of the row.
    value : bytes
        New content.
    """

    table: str
    key: str
    value: bytes = field(repr=False)


@frozen
class ExpectedRow:
    """A row that must have a version for a transaction to be applied.

    Attributes
    ----------
    table : str
        Name of the table.
    key : str
        Key of the row.
    version : int
        Version that it must have, 0 if it must not exist.
    """

    table: str
    key: str
    version: int


@frozen
class TableVersions:
    """Versions up to which an entry has replicated a table of the store.

    Attributes
    ----------
    table : str
        Name of the table.
    changed : int
        Version of the newest change that the entry has.
    complete_to : int
        Version of the store up to which the entry has every change.
    """

    table: str
    changed: int
    complete_to: int


@frozen
class Announcement:
    """Tells peers which versions an entry that reads the store has replicated.

    Attributes
    ----------
    sender : str
        Name of the entry that replicates the tables.
    tables : tuple of TableVersions
        Versions of each table that it replicates.
    store_age_s : float
        Time since the store last answered the sender, in seconds.
    """

    sender: str
    tables: tuple[TableVersions, ...]
    store_age_s: float = 0.0


@frozen
class FleetMember:
    """An entry of the fleet, as its row in the store describes it.

    Attributes
    ----------
    name : str
        Name, unique among the entries.
    zone : str
        Availability zone.
    caller_address : str
        ``IP:port`` that clients connect to.
    peer_address : str
        ``IP:port`` that other entries send messages to.
    incarnation : str
        Id that changes with each start of the process.
    """

    name: str
    zone: str
    caller_address: str
    peer_address: str
    incarnation: str
