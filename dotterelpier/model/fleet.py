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
    """

    rows: tuple[StoreRow, ...]
    version: int


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
