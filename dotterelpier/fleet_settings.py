"""Settings of an entry of a fleet, read from a TOML file."""

from pathlib import Path

from attrs import Factory, field, frozen
from attrs.validators import ge, gt, in_, le

from dotterelpier.settings import LOG_LEVELS, check_addresses, read_toml


@frozen
class FleetEntrySettings:
    """Identity and listen addresses of an entry.

    Attributes
    ----------
    name : str
        Name of the entry, unique in the fleet.
    zone : str
        Availability zone of its VM.
    caller_address : str
        ``IP:port`` to listen on for clients.
    readiness_address : str
        ``IP:port`` to listen on for readiness checks.
    directory_address : str
        ``IP:port`` to listen on for clients that look up which entries to use.
    peer_address : str
        ``IP:port`` to listen on for messages of other entries.
    metrics_address : str
        ``IP:port`` to listen on for metrics scrapes.
    first_start : bool
        Whether the whole fleet starts for the first time. The entry may then wait
        longer for the seeds, as no client waits for it yet.
    """

    name: str
    zone: str
    caller_address: str
    readiness_address: str
    directory_address: str
    peer_address: str
    metrics_address: str
    first_start: bool = False


@frozen
class StoreSettings:
    """How to connect to the platform's store.

    Attributes
    ----------
    address : str
        ``IP:port`` of the store.
    """

    address: str


@frozen
class PeerSettings:
    """Other entries that are known before any table was read.

    Attributes
    ----------
    seeds : tuple of str
        Peer addresses ``IP:port`` of some entries, which may be stale or those of this
        entry. An entry that starts reads the store's tables from them.
    """

    seeds: tuple[str, ...] = ()


@frozen
class BoundSettings:
    """Limits that operators and clients rely on.

    Attributes
    ----------
    grace_s : float
        Time from SIGTERM to SIGKILL, in seconds.
    retry_ratio : float
        Limit of retries and hedged requests, as a share of the requests of a service.
    retry_window_s : float
        Window in which all of these are counted, in seconds.
    retry_slack : float
        Retries and hedged requests allowed above that share, by all entries together.
    directory_age_max_s : float
        Longest time that clients may cache an answer of the directory, in seconds.
    probes_per_s : float
        Limit of the health checks of a backend server per second, by all entries
        together.
    change_ms : float
        Time within which a change of the configuration must be in force, in
        milliseconds.
    expose_share : float
        Limit of the requests that a bad release gets during a roll-out, as a share of
        the requests of its service.
    expose_slack : float
        Requests that it may get above that share, from all entries together.
    rollback_ms : float
        Time from the 50th bad answer of a release until it gets no more requests, in
        milliseconds.
    revoke_ms : float
        Time within which a withdrawn key is refused everywhere, in milliseconds.
    fail_closed : bool
        Whether an entry refuses all requests that need a key while its configuration
        may be older than ``revoke_ms``.
    cap_window_s : float
        Window in which the usage caps of client accounts hold, in seconds.
    cap_over : float
        Requests above a usage cap that are tolerated, as a share of the cap.
    cap_slack : float
        Requests above that share that are tolerated.
    hedge_share : float
        Limit of hedged requests as a share of the requests of a service. With 0, an
        idempotent request is hedged after a fixed share of its objective.
    """

    grace_s: float = field(default=6.0, validator=[gt(0), le(600)])
    retry_ratio: float = field(default=0.2, validator=[ge(0), le(1)])
    retry_window_s: float = field(default=10.0, validator=[gt(0), le(600)])
    retry_slack: float = field(default=0.0, validator=[ge(0)])
    directory_age_max_s: float = field(default=5.0, validator=[gt(0), le(3600)])
    probes_per_s: float = field(default=60.0, validator=[gt(0), le(1000)])
    change_ms: float = field(default=2000.0, validator=[ge(500), le(60_000)])
    expose_share: float = field(default=0.1, validator=[ge(0), le(1)])
    expose_slack: float = field(default=50.0, validator=[ge(0)])
    rollback_ms: float = field(default=5000.0, validator=[ge(500), le(600_000)])
    revoke_ms: float = field(default=5000.0, validator=[ge(500), le(600_000)])
    fail_closed: bool = False
    cap_window_s: float = field(default=5.0, validator=[gt(0), le(600)])
    cap_over: float = field(default=0.1, validator=[ge(0), le(1)])
    cap_slack: float = field(default=20.0, validator=[ge(0)])
    hedge_share: float = field(default=0.0, validator=[ge(0), le(0.5)])


@frozen
class FleetLimitSettings:
    """What the VM of the entry provides.

    Attributes
    ----------
    memory_mb : float
        Memory of the process, in MB. What it does not need itself is for the requests
        and answers of clients; those that do not fit wait or are refused.
    connections : int
        Limit of open connections of clients, other entries and pages together. Near it,
        the connection idle for longest is closed for each new one.
    descriptors : int
        Descriptor limit of the process; 0 stands for the one that it runs under. Three
        quarters of what is free at the start may be connections of clients.
    read_bytes_per_s : float
        Slowest rate at which a client counts as reading, in bytes per second.
    stall_s : float
        Time for which a client must be slower to count as stalled, in seconds. A
        stalled connection is closed when its memory or its thread is needed.
    stalled_max_s : float
        Time after which a stalled connection is closed in any case, in seconds.
    pipelined_requests : int
        Requests that one connection of a client may have in progress side by side. With
        1, they are served one after another.
    """

    memory_mb: float = field(default=300.0, validator=[ge(32), le(1_000_000)])
    connections: int = field(default=4096, validator=[ge(16), le(1_000_000)])
    descriptors: int = field(default=0, validator=[ge(0), le(10_000_000)])
    read_bytes_per_s: float = field(default=16_384.0, validator=[ge(0), le(1 << 30)])
    stall_s: float = field(default=1.0, validator=[gt(0), le(600)])
    stalled_max_s: float = field(default=45.0, validator=[gt(0), le(3600)])
    pipelined_requests: int = field(default=8, validator=[ge(1), le(8)])


@frozen
class FleetLogSettings:
    """What is logged.

    Attributes
    ----------
    level : str
        Lowest level written to the log.
    """

    level: str = field(default="INFO", validator=in_(LOG_LEVELS))


@frozen
class FleetSettings:
    """All settings of an entry; each attribute is a table of the settings file."""

    entry: FleetEntrySettings
    store: StoreSettings
    bounds: BoundSettings = Factory(BoundSettings)
    log: FleetLogSettings = Factory(FleetLogSettings)
    peers: PeerSettings = Factory(PeerSettings)
    limits: FleetLimitSettings = Factory(FleetLimitSettings)


def read_fleet_settings(path: Path) -> FleetSettings:
    """Read and check the settings file of an entry.

    Raises
    ------
    SettingsError
        If the file cannot be read or a value is invalid; the message names the file or
        the key.
    """
    settings = read_toml(path, FleetSettings)
    entry = settings.entry
    address_by_key = {
        "entry.caller_address": entry.caller_address,
        "entry.readiness_address": entry.readiness_address,
        "entry.directory_address": entry.directory_address,
        "entry.peer_address": entry.peer_address,
        "entry.metrics_address": entry.metrics_address,
        "store.address": settings.store.address,
    }
    for number, seed in enumerate(settings.peers.seeds):
        address_by_key[f"peers.seeds[{number}]"] = seed
    check_addresses(address_by_key, path)
    return settings
