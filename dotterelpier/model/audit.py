"""Entries of the audit trail."""

from attrs import frozen


@frozen
class AuditEntry:
    """One change or event.

    Attributes
    ----------
    at : float
        Seconds since 1970.
    event : str
        Name of the event, such as ``"manifest.apply"``.
    who : str
        User or entry that caused it.
    origin : str
        Host or address from which it came.
    outcome : str
        ``"accepted"``, ``"conflict"``, ``"refused"`` or ``"done"``.
    revision : int
        Manifest revision concerned, 0 if none.
    digest : str
        SHA-256 of the manifest, empty if none.
    step : str
        Step at which it happened.
    peer : str
        Other side, empty if none.
    changes : tuple of str
        What changed, key by key.
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
