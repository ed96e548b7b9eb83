"""Answers of the directory, from which callers choose an entry."""

from attrs import frozen


@frozen
class DirectoryEntry:
    """An entry that callers may send calls to.

    Attributes
    ----------
    address : str
        ``IP:port`` that callers connect to.
    zone : str
        Availability zone of the entry.
    weight : int
        Relative share of the calls to send to this entry.
    """

    address: str
    zone: str
    weight: int


@frozen
class DirectoryAnswer:
    """Entries to use for a service, best first.

    Attributes
    ----------
    service : str
        Name of the service.
    entries : tuple of DirectoryEntry
        At least two entries, in two zones, if the fleet has them.
    max_age_s : int
        Time for which the answer may be cached, in seconds.
    """

    service: str
    entries: tuple[DirectoryEntry, ...]
    max_age_s: int
