"""Entries of the audit trail."""

from attrs import frozen


@frozen
class AuditEntry:
    """One change or event in the audit trail.

    Attributes
    ----------
    at : float
        Time of the event, in seconds since 1970.
    event : str
        Name of the event, such as ``"manifest.apply"``.
    who : str
        User or entry that caused it.
    origin : str
        Host or address that it came from, empty if it has none.
    outcome : str
        ``"accepted"``, ``"conflict"``, ``"refused"`` or ``"done"``.
    revision : int
        Manifest revision that the event is about, 0 if none.
    digest : str
        SHA-256 of the manifest, empty if none.
    step : str
        Processing step that recorded the event, empty if none.
    peer : str
        Other party, such as an entry, server or zone; empty if none.
    changes : tuple of str
        One line for each changed key, moved home, or fault of a refused manifest.
    """

    at: float
    event: str
    who: str
    origin: str = ""
    outcome: str = "done"
    revision: int = 0
    digest: str = ""
    step: str = ""
    peer: str = ""
    changes: tuple[str, ...] = ()
