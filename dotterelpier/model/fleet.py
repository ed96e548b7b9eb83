"""Entries of a fleet and the rows by which they find each other."""

from attrs import field, frozen


@frozen
class StoreRow:
    """A row of the platform's store.

    Attributes
    ----------
    key : str
        Key within its table.
    value : bytes or None
        Content, None for a row that was deleted.
    version : int
        Version of the row.
    """

    key: str
    value: bytes | None = field(repr=False)
    version: int


@frozen
class StoreReply:
    """Rows read from a table.

    Attributes
    ----------
    rows : tuple of StoreRow
        The rows, or the changes since the version asked for.
    version : int
        Version of the store that the reply covers.
    whole : bool
        Whether the rows are the whole table, not only changes.
    """

    rows: tuple[StoreRow, ...]
    version: int
    whole: bool = False


@frozen
class TableVersions:
    """How far an entry knows a table of the store.

    Attributes
    ----------
    table : str
        Name of the table.
    changed : int
        Version of the newest change known.
    complete_to : int
        Version of the store up to which no change is missing.
    """

    table: str
    changed: int
    complete_to: int


@frozen
class Announcement:
    """Tells other entries how far a keeper of the store's tables knows them.

    Attributes
    ----------
    sender : str
        Name of the entry that keeps the tables.
    tables : tuple of TableVersions
        Its tables.
    store_age_s : float
        How long ago the store answered it last, in seconds.
    """

    sender: str
    tables: tuple[TableVersions, ...]
    store_age_s: float = 0.0


@frozen
class FleetMember:
    """An entry of the fleet, as its row states.

    Attributes
    ----------
    name : str
        Name, unique among the entries.
    zone : str
        Availability zone.
    caller_address : str
        ``IP:port`` for clients.
    peer_address : str
        ``IP:port`` for messages of other entries.
    incarnation : str
        Changes with each start of the process.
    """

    name: str
    zone: str
    caller_address: str
    peer_address: str
    incarnation: str
