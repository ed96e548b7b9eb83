"""Incarnations of backend servers, their health checks and load reports."""

from attrs import field, frozen


@frozen
class Instance:
    """One incarnation of a backend server, as it registered itself.

    Attributes
    ----------
    id : str
        Id of the backend server, which compares it with the id that a request names.
    service : str
        Name of its service.
    address : str
        ``IP:port``.
    zone : str
        Availability zone.
    slots : int
        Concurrency limit: requests that it serves at once.
    draining : bool
        Whether it announced that it is about to stop.
    cold_remaining_s : float
        Time left of its cold start, in seconds, as of its last report.
    started_at_ms : int
        Start of the process in Unix milliseconds, 0 if unknown. The id and the
        start identify the incarnation.
    release : str
        Release of the software that it runs, empty if unknown.
    report_number : int
        Number of the report that wrote this registration, 0 if unknown. It grows with
        each report of an incarnation; registrations that differ in nothing else are
        equal.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool = False
    cold_remaining_s: float = 0.0
    started_at_ms: int = 0
    release: str = ""
    report_number: int = field(default=0, eq=False)


@frozen
class LoadFigures:
    """Load that a backend server reports with an answer.

    Attributes
    ----------
    running : int
        Requests that are being processed.
    waiting : int
        Requests in the server's queue.
    slots : int
        Concurrency limit of the server.
    work_ratio : float
        Current processing time as a multiple of the usual one.
    """

    running: int
    waiting: int
    slots: int
    work_ratio: float = 1.0


@frozen
class InstanceNotice:
    """What a backend server asks for beside an answer.

    Attributes
    ----------
    leaving : bool
        Whether it leaves, and wants no further requests.
    retry_after_s : float
        For how long it wants nothing from this entry, in seconds; 0 if it did not say.
    """

    leaving: bool = False
    retry_after_s: float = 0.0


NO_NOTICE = InstanceNotice()


@frozen
class HealthReport:
    """Answer of a backend server to a health check.

    Attributes
    ----------
    instance_id : str
        Id of the backend server that answered, empty if the answer has none.
    healthy : bool
        Whether the server reports that it is healthy.
    load : LoadFigures or None
        Load of the server, None if the answer has none.
    cold_remaining_s : float
        Time left of its cold start, in seconds.
    notice : InstanceNotice
        What the server asks for.
    """

    instance_id: str
    healthy: bool
    load: LoadFigures | None = None
    cold_remaining_s: float = 0.0
    notice: InstanceNotice = NO_NOTICE


@frozen
class Measurement:
    """Result of a health check, which the entry that ran it shares with its peers.

    Attributes
    ----------
    instance_id : str
        Id of the backend server that was checked.
    measured_at : float
        When the check was sent, on the monotonic clock of this process, in seconds.
    report : HealthReport or None
        Answer of the server, None if it did not answer.
    unreachable : str
        Reason that the server did not answer, empty if it did.
    started_at_ms : int
        Start of the incarnation that was checked, 0 if unknown.
    """

    instance_id: str
    measured_at: float
    report: HealthReport | None = None
    unreachable: str = ""
    started_at_ms: int = 0
