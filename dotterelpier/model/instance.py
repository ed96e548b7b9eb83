"""Incarnations of backend servers and what they report."""

from attrs import frozen


@frozen
class Instance:
    """One incarnation of a backend server, as it registered itself.

    Attributes
    ----------
    id : str
        Id that the backend server checks requests against.
    service : str
        Name of its service.
    address : str
        ``IP:port``.
    zone : str
        Availability zone.
    slots : int
        Requests that it serves at once.
    draining : bool
        Whether it announced that it leaves.
    cold_remaining_s : float
        How much longer it is cold, in seconds, as of its last report.
    born_ms : int
        Start of the process in Unix milliseconds, 0 if unknown; with the id it
        names the incarnation.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool = False
    cold_remaining_s: float = 0.0
    started_at_ms: int = 0


@frozen
class LoadFigures:
    """Load that a backend server states with an answer.

    Attributes
    ----------
    running : int
        Requests running.
    waiting : int
        Requests queued.
    slots : int
        Requests that run at once.
    work_ratio : float
        How long work takes now, in multiples of the usual time.
    """

    running: int
    waiting: int
    slots: int
    work_ratio: float = 1.0


@frozen
class HealthReport:
    """Answer to a health check.

    Attributes
    ----------
    instance_id : str
        Id of the backend server that answered, empty if it told none.
    healthy : bool
        Whether it considers itself fit.
    load : LoadFigures or None
        Its load, if it tells it.
    cold_remaining_s : float
        How much longer it is cold, in seconds.
    """

    instance_id: str
    healthy: bool
    load: LoadFigures | None = None
    cold_remaining_s: float = 0.0


@frozen
class Measurement:
    """Result of a health check, as entries share it.

    Attributes
    ----------
    instance_id : str
        Id of the backend server that was checked.
    measured_at : float
        When the check was sent, on the monotonic clock of this process.
    report : HealthReport or None
        Its answer, None if it did not answer.
    unreachable : str
        Why it did not answer, empty if it did.
    """

    instance_id: str
    measured_at: float
    report: HealthReport | None = None
    unreachable: str = ""
