"""Evidence about the state of backend servers."""

from enum import Enum

from attrs import frozen


class Readiness(str, Enum):
    """What a backend server says about itself."""

    READY = "ready"
    COLD = "cold"
    LEAVING = "leaving"


@frozen
class LoadReport:
    """What a backend server reports with an answer or to a probe.

    Attributes
    ----------
    readiness : Readiness
        Whether it is ready, cold or leaving.
    boot_id : str
        Changes each time the server starts; empty if not reported.
    in_flight : int
        Requests that it counts in flight; may be stale.
    uptime_s : float or None
        Time since it started, in seconds; None if not reported.
    size_bytes : int
        Size of the header that carried the report.
    """

    readiness: Readiness = Readiness.READY
    boot_id: str = ""
    in_flight: int = 0
    uptime_s: float | None = None
    size_bytes: int = 0


@frozen
class ProbeAnswer:
    """Answer of a backend server to a probe.

    Attributes
    ----------
    report : LoadReport
        What it reports.
    size_bytes : int
        Bytes of the request and the answer.
    """

    report: LoadReport
    size_bytes: int = 0


class ExchangeResult(str, Enum):
    """How one exchange with a backend server ended, as evidence.

    ``NO_EXCHANGE`` marks what another source told, such as the list of VMs.
    """

    ANSWERED = "answered"
    SHED = "shed"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    TIMEOUT = "timeout"
    CANCELLED = "cancelled"
    NO_EXCHANGE = "no_exchange"


@frozen
class Observation:
    """One piece of evidence about a backend server.

    Attributes
    ----------
    backend_id : str
        Id of the backend server.
    result : ExchangeResult
        How the exchange ended.
    report : LoadReport or None
        Load report carried by the answer.
    latency_s : float
        Duration of the exchange, in seconds.
    from_probe : bool
        Whether it was a probe rather than a call.
    at : float
        When it ended, on the monotonic clock, in seconds.
    """

    backend_id: str
    result: ExchangeResult
    at: float
    report: LoadReport | None = None
    latency_s: float = 0.0
    from_probe: bool = False


class MeasuringKind(str, Enum):
    """What the bytes of measuring were spent on."""

    PROBE = "probe"
    REPORT = "report"
