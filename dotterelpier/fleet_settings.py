"""Settings of an entry of a fleet, read from a TOML file."""

from pathlib import Path

from attrs import Factory, field, frozen
from attrs.validators import ge, gt, in_, le

from dotterelpier.settings import LOG_LEVELS, check_addresses, read_toml


@frozen
class FleetEntrySettings:
    """Identity and addresses of an entry.

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
        ``IP:port`` to listen on for clients that ask which entries to use.
    peer_address : str
        ``IP:port`` to listen on for messages of other entries.
    metrics_address : str
        ``IP:port`` to listen on for metrics.
    """

    name: str
    zone: str
    caller_address: str
    readiness_address: str
    directory_address: str
    peer_address: str
    metrics_address: str


@frozen
class StoreSettings:
    """The platform's store.

    Attributes
    ----------
    address : str
        ``IP:port``.
    """

    address: str


@frozen
class BoundSettings:
    """What operators and clients are promised.

    Attributes
    ----------
    grace_s : float
        Time from SIGTERM to SIGKILL, in seconds.
    retry_ratio : float
        Further sendings of requests, as a share of the requests of a service.
    retry_window_s : float
        Window in which they are counted, in seconds.
    retry_slack : float
        Further sendings above that share, of all entries together.
    directory_age_max_s : float
        Longest time that clients may keep an answer of the directory, in seconds.
    probes_per_s : float
        Health checks of a backend server each second, of all entries together.
    """

    grace_s: float = field(default=6.0, validator=[gt(0), le(600)])
    retry_ratio: float = field(default=0.2, validator=[ge(0), le(1)])
    retry_window_s: float = field(default=10.0, validator=[gt(0), le(600)])
    retry_slack: float = field(default=0.0, validator=[ge(0)])
    directory_age_max_s: float = field(default=5.0, validator=[gt(0), le(3600)])
    probes_per_s: float = field(default=60.0, validator=[gt(0), le(1000)])


@frozen
class FleetLogSettings:
    """Logs.

    Attributes
    ----------
    level : str
        Lowest level written.
    """

    level: str = field(default="INFO", validator=in_(LOG_LEVELS))


@frozen
class FleetSettings:
    """All settings of an entry of a fleet."""

    entry: FleetEntrySettings
    store: StoreSettings
    bounds: BoundSettings = Factory(BoundSettings)
    log: FleetLogSettings = Factory(FleetLogSettings)


def read_fleet_settings(path: Path) -> FleetSettings:
    """Read and check a settings file.

    Raises
    ------
    SettingsError
        Naming the key at fault.
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
    check_addresses(address_by_key, path)
    return settings
