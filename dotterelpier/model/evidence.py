"""Evidence about the health and load of backend servers."""

from enum import Enum

from attrs import frozen


class Readiness(str, Enum):
    """Readiness that a backend server reports."""

    READY = "ready"
    COLD = "cold"
    LEAVING = "leaving"


@frozen
class LoadReport:
    """Load report that a backend server sends with an answer, probes included.

    Attributes
    ----------
    readiness : Readiness
        Whether the server is ready, in cold start or about to stop.
    boot_id : str
        Id that changes with each start of the server; empty if not reported.
    in_flight : int
        Requests in flight by the server's own count, which may be stale.
    uptime_s : float or None
        Time since the server started, in seconds; None if not reported.
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
        Load report of the server.
    size_bytes : int
        Size of the request and the answer together, in bytes.
    """

    report: LoadReport
    size_bytes: int = 0


class ExchangeResult(str, Enum):
    """How one exchange with a backend server ended.

    ``NO_EXCHANGE`` marks evidence from another source, such as the list of VMs.
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
    """One observation of a backend server, which counts as evidence of its state.

    Attributes
    ----------
    backend_id : str
        Id of the backend server.
    result : ExchangeResult
        How the exchange ended.
    report : LoadReport or None
        Load report in the answer, None if there is none.
    latency_s : float
        Duration of the exchange, in seconds.
    from_probe : bool
        Whether the exchange was a probe rather than a call.
    at : float
        Time of the observation on the monotonic clock, in seconds.
    """

    backend_id: str
    result: ExchangeResult
    at: float
    report: LoadReport | None = None
    latency_s: float = 0.0
    from_probe: bool = False


class MeasuringKind(str, Enum):
    """Purpose of the bytes that count as measuring traffic."""

    PROBE = "probe"
    REPORT = "report"
