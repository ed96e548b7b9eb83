"""The manifest: what the operators declare."""

import fnmatch
import re
from enum import Enum
from urllib.parse import unquote

from attrs import field, frozen
from attrs.validators import ge, gt, le

REPEATED_SLASHES = re.compile("/+")


class ZoneState(str, Enum):
    """Whether an availability zone takes new work."""

    IN = "in"
    OUT = "out"


@frozen
class Zone:
    """An availability zone.

    Attributes
    ----------
    name : str
        Unique name of the availability zone.
    region : str
        Region that the zone is part of.
    state : ZoneState
        ``out`` while operators hold the zone out of service, else ``in``.
    """

    name: str
    region: str
    state: ZoneState = ZoneState.IN


def _normalized_path(path: str) -> str:
    """Return a path without query, escapes and repeated slashes."""
    return REPEATED_SLASHES.sub("/", unquote(path.partition("?")[0]))


@frozen
class NonIdempotentRule:
    """Marks requests that must run at most once.

    Attributes
    ----------
    method : str
        HTTP method.
    path : str
        Shell pattern matched against the decoded path below the service, without
        its query.
    """

    method: str
    path: str = "/*"

    def matches(self, method: str, path: str) -> bool:
        """Tell whether a request falls under this rule, however its path is written."""
        if self.method != method:
            return False
        normalized = _normalized_path(path)
        spellings = (normalized, normalized.rstrip("/"), normalized.rstrip("/") + "/")
        return any(fnmatch.fnmatchcase(item, self.path) for item in spellings)


@frozen
class Service:
    """A service and the limits of its calls.

    Attributes
    ----------
    name : str
        First segment of the path of its calls.
    deadline_s : float
        Deadline of a call that states none, in seconds.
    max_deadline_s : float
        Longest deadline that a caller may state, in seconds.
    max_body_bytes : int
        Largest request body, in bytes.
    whole_answer_bytes : int
        Answers up to this size are checked whole before they are passed on.
    queue_calls : int
        Calls that may wait for a slot on one entry.
    hedge_share : float
        Share of idempotent calls that may be hedged.
    retry_share : float
        Share of calls that may be retried.
    key_retention_s : float
        How long an idempotency key is kept after its last change, in seconds.
    non_idempotent : tuple of NonIdempotentRule
        Requests that must run at most once.
    """

    name: str
    deadline_s: float = field(default=5.0, validator=[gt(0), le(3600)])
    max_deadline_s: float = field(default=60.0, validator=[gt(0), le(3600)])
    max_body_bytes: int = field(default=1 << 20, validator=[ge(0), le(64 << 20)])
    whole_answer_bytes: int = field(default=256 << 10, validator=[ge(0), le(16 << 20)])
    queue_calls: int = field(default=256, validator=[ge(0), le(10_000)])
    hedge_share: float = field(default=0.05, validator=[ge(0), le(1)])
    retry_share: float = field(default=0.1, validator=[ge(0), le(1)])
    key_retention_s: float = field(default=86_400.0, validator=[ge(60), le(2_592_000)])
    non_idempotent: tuple[NonIdempotentRule, ...] = ()

    def is_non_idempotent(self, method: str, path: str) -> bool:
        """Tell whether a request must run at most once."""
        return any(rule.matches(method, path) for rule in self.non_idempotent)


@frozen
class BackendServer:
    """One endpoint of a service.

    Attributes
    ----------
    id : str
        Unique id.
    service : str
        Name of its service.
    address : str
        ``IP:port``.
    zone : str
        Name of its availability zone.
    slots : int
        Requests that it bears at once when warm.
    cold_slots : int
        Requests that it bears at once in cold start.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int = field(default=4, validator=[ge(1), le(1024)])
    cold_slots: int = field(default=1, validator=[ge(1), le(1024)])


@frozen
class MeasuringBudget:
    """What measuring one backend server may cost.

    Attributes
    ----------
    probes_per_s : float
        Probes a second.
    bytes_per_s : float
        Bytes a second of probes and their answers.
    slot_share : float
        Share of the server's slot time that probes may take.
    probe_s : float
        Expected duration of one probe, in seconds.
    probe_bytes : int
        Expected bytes of one probe and its answer.
    """

    probes_per_s: float = field(default=1.0, validator=[gt(0), le(100)])
    bytes_per_s: float = field(default=2048.0, validator=[gt(0), le(1e6)])
    slot_share: float = field(default=0.01, validator=[gt(0), le(1)])
    probe_s: float = field(default=0.006, validator=[gt(0), le(10)])
    probe_bytes: int = field(default=1024, validator=[gt(0), le(1 << 20)])


@frozen
class Manifest:
    """Everything that the operators declare.

    Attributes
    ----------
    tenant : str
        Name of the tenant.
    zones, services, backend_servers : tuple
        Declared items, in the order of the file.
    measuring : MeasuringBudget
        Budget for each backend server.
    """

    tenant: str
    zones: tuple[Zone, ...]
    services: tuple[Service, ...]
    backend_servers: tuple[BackendServer, ...]
    measuring: MeasuringBudget = MeasuringBudget()

    zone_by_name: dict[str, Zone] = field(init=False, eq=False, repr=False)
    service_by_name: dict[str, Service] = field(init=False, eq=False, repr=False)
    backend_by_id: dict[str, BackendServer] = field(init=False, eq=False, repr=False)

    def __attrs_post_init__(self) -> None:
        put = object.__setattr__
        put(self, "zone_by_name", {zone.name: zone for zone in self.zones})
        put(self, "service_by_name", {item.name: item for item in self.services})
        put(self, "backend_by_id", {item.id: item for item in self.backend_servers})

    def zone_is_out(self, name: str) -> bool:
        """Tell whether operators hold the zone out of service."""
        return self.zone_by_name[name].state is ZoneState.OUT


@frozen
class Revision:
    """An accepted manifest with its place in the order of changes.

    Attributes
    ----------
    number : int
        Grows by one with each accepted change; 0 means that none is known.
    digest : str
        SHA-256 of the text, in hexadecimal.
    apply_id : str
        Id of the ``manifest apply`` that wrote it.
    text : str
        The manifest as TOML.
    manifest : Manifest
        The manifest, checked.
    """

    number: int
    digest: str
    apply_id: str
    text: str
    manifest: Manifest
