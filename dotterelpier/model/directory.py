"""Answers of the directory."""

from attrs import frozen


@frozen
class DirectoryEntry:
    """An entry that callers may use.

    Attributes
    ----------
    address : str
        ``IP:port`` where callers connect.
    zone : str
        Availability zone of the entry.
    weight : int
        Share of calls to send there, relative to the others.
    """

    address: str
    zone: str
    weight: int


@frozen
class DirectoryAnswer:
    """Entries to use for a service, the best first.

    Attributes
    ----------
    service : str
        Name of the service.
    entries : tuple of DirectoryEntry
        At least two in two zones where there are such.
    max_age_s : int
        How long the answer may be kept, in seconds.
    """

    service: str
    entries: tuple[DirectoryEntry, ...]
    max_age_s: int
