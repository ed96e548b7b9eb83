"""Settings of one process, read from a TOML file."""

import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import TypeVar

from attrs import Factory, field, frozen
from attrs.validators import ge, gt, in_, le

from dotterelpier.errors import SettingsError
from dotterelpier.wire.manifest_toml import is_address
from dotterelpier.wire.structure import structure

T = TypeVar("T")

POLICIES = ("homes", "two_choices", "round_robin")
LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")


@frozen
class EntrySettings:
    """Identity and addresses of an entry.

    Attributes
    ----------
    name : str
        Name of the entry, unique among the entries of a tenant.
    zone : str
        Availability zone of its VM.
    caller_address : str
        ``IP:port`` to listen on for callers.
    relay_address : str
        ``IP:port`` to listen on for calls that other entries relay.
    peer_address : str
        ``IP:port`` to listen on for control messages of other entries.
    operator_address : str
        ``IP:port`` to listen on for operators: metrics, health and status.
    """

    name: str
    zone: str
    caller_address: str
    relay_address: str
    peer_address: str
    operator_address: str


@frozen
class PlatformSettings:
    """The platform's service.

    Attributes
    ----------
    address : str
        ``IP:port`` of the table, the object store and the list of VMs.
    timeout_s : float
        Longest wait for one answer, in seconds.
    poll_s : float
        Interval of reading the shared rows, in seconds.
    vm_list_lag_s : float
        How long the list of VMs may lag, in seconds.
    """

    address: str
    timeout_s: float = field(default=1.0, validator=[gt(0), le(30)])
    poll_s: float = field(default=1.0, validator=[gt(0), le(5)])
    vm_list_lag_s: float = field(default=30.0, validator=[ge(0), le(3600)])


@frozen
class LeaseSettings:
    """Lease of the entry.

    Attributes
    ----------
    lease_s : float
        Duration from each renewal, in seconds.
    margin_s : float
        Longer wait before a lease of another counts as lapsed, in seconds.
    renew_s : float
        Interval of renewals, in seconds.
    heartbeat_s : float
        Interval of heartbeats to each peer, in seconds.
    contact_s : float
        Age up to which a contact counts as fresh, in seconds; at most ``lease_s``.
    seeds : tuple of str
        ``IP:port`` of control messages of other entries, asked for the members
        where the platform does not answer at the start.
    """

    lease_s: float = field(default=6.0, validator=[gt(0), le(60)])
    margin_s: float = field(default=1.0, validator=[gt(0), le(10)])
    renew_s: float = field(default=1.0, validator=[gt(0), le(10)])
    heartbeat_s: float = field(default=1.0, validator=[gt(0), le(10)])
    contact_s: float = field(default=4.0, validator=[gt(0), le(30)])
    seeds: tuple[str, ...] = ()


@frozen
class LimitSettings:
    """Sizes of the executors and buffers.

    Attributes
    ----------
    caller_threads : int
        Threads that serve callers; as many calls can be in flight at once.
    relay_threads : int
        Threads that serve calls relayed by other entries.
    peer_threads : int
        Threads that serve control messages of other entries.
    backend_connections : int
        Connections to backend servers, each with a task.
    relay_connections : int
        Connections to other entries for relayed calls, each with a task.
    peers : int
        Peers, each with a task.
    measured : int
        Backend servers measured, each with a task.
    max_body_bytes : int
        Largest request body of a caller, in bytes.
    max_header_bytes : int
        Largest request line and headers of a caller together, in bytes.
    idle_connection_s : float
        Age at which an idle connection is closed, in seconds.
    """

    caller_threads: int = field(default=96, validator=[ge(1), le(4096)])
    relay_threads: int = field(default=64, validator=[ge(1), le(4096)])
    peer_threads: int = field(default=16, validator=[ge(1), le(1024)])
    backend_connections: int = field(default=512, validator=[ge(1), le(8192)])
    relay_connections: int = field(default=256, validator=[ge(1), le(8192)])
    peers: int = field(default=256, validator=[ge(1), le(4096)])
    measured: int = field(default=1024, validator=[ge(1), le(8192)])
    max_body_bytes: int = field(default=4 << 20, validator=[ge(0), le(64 << 20)])
    max_header_bytes: int = field(default=32 << 10, validator=[ge(1024), le(1 << 20)])
    idle_connection_s: float = field(default=30.0, validator=[gt(0), le(3600)])


@frozen
class DirectorySettings:
    """Answers to callers that ask which entries to use.

    Attributes
    ----------
    max_age_s : int
        How long callers may keep an answer, in seconds.
    max_entries : int
        Entries named in one answer.
    """

    max_age_s: int = field(default=5, validator=[ge(1), le(3600)])
    max_entries: int = field(default=32, validator=[ge(2), le(64)])


@frozen
class RoutingSettings:
    """Choice of a backend server for a call.

    Attributes
    ----------
    policy : str
        ``homes``: each backend server has one entry that alone sends to it.
        ``two_choices`` and ``round_robin``: each entry sends to all, and chooses
        by itself; without the promises about cold starts and measuring.
    """

    policy: str = field(default="homes", validator=in_(POLICIES))


@frozen
class LogSettings:
    """Logs.

    Attributes
    ----------
    level : str
        Lowest level written.
    """

    level: str = field(default="INFO", validator=in_(LOG_LEVELS))


@frozen
class TlsSettings:
    """Files for TLS on the channel for control messages between entries.

    Attributes
    ----------
    certificate_file : str
        Own certificate chain in PEM; it must name the IP of ``peer_address``.
    key_file : str
        Private key of the certificate, in PEM.
    ca_file : str
        Certificates in PEM of the authorities that sign those of the entries.
    """

    certificate_file: str
    key_file: str
    ca_file: str


@frozen
class Settings:
    """All settings of a process.

    Attributes
    ----------
    platform : PlatformSettings
        Used by entries and by operators' commands.
    entry : EntrySettings or None
        Only for entries.
    lease : LeaseSettings
        Lease of the entry and contact with its peers.
    limits : LimitSettings
        Sizes of the executors and buffers.
    directory : DirectorySettings
        Answers to callers that ask which entries to use.
    log : LogSettings
        Logs.
    tls : TlsSettings or None
        Without it, control messages between entries are not encrypted.
    """

    platform: PlatformSettings
    entry: EntrySettings | None = None
    lease: LeaseSettings = Factory(LeaseSettings)
    limits: LimitSettings = Factory(LimitSettings)
    directory: DirectorySettings = Factory(DirectorySettings)
    routing: RoutingSettings = Factory(RoutingSettings)
    log: LogSettings = Factory(LogSettings)
    tls: TlsSettings | None = None


def read_settings(path: Path) -> Settings:
    """Read and check a settings file.

    Raises
    ------
    SettingsError
        Naming the key at fault.
    """
    settings = read_toml(path, Settings)
    address_by_key = {"platform.address": settings.platform.address}
    if settings.entry is not None:
        for name in ("caller", "relay", "peer", "operator"):
            key = f"{name}_address"
            address_by_key[f"entry.{key}"] = getattr(settings.entry, key)
    for index, seed in enumerate(settings.lease.seeds):
        address_by_key[f"lease.seeds[{index}]"] = seed
    check_addresses(address_by_key, path)
    if settings.lease.contact_s > settings.lease.lease_s:
        raise _error("lease.contact_s: is above lease_s", path)
    return settings


def read_toml(path: Path, kind: type[T]) -> T:
    """Return a TOML file as an instance of a settings class.

    Raises
    ------
    SettingsError
        Naming the key at fault.
    """
    try:
        return structure(tomllib.loads(path.read_text(encoding="utf-8")), kind)
    except OSError as error:
        raise _error(error.strerror or str(error), path) from None
    except ValueError as error:
        raise _error("; ".join(str(fault) for fault in error.args), path) from None


def check_addresses(address_by_key: Mapping[str, str], path: Path) -> None:
    """Check that the settings under these keys are ``IP:port``.

    Raises
    ------
    SettingsError
        Naming the key at fault.
    """
    for key, address in address_by_key.items():
        if not is_address(address):
            raise _error(f"{key}: {address!r} is not IP:port", path)


def _error(message: str, path: Path) -> SettingsError:
    return SettingsError(message, step="settings", peer=str(path))
