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
    """Access to the platform.

    Attributes
    ----------
    address : str
        ``IP:port`` of the table, the object store and the list of VMs.
    timeout_s : float
        Timeout of one request, in seconds.
    poll_s : float
        Interval between reads of the shared rows, in seconds.
    vm_list_lag_s : float
        Longest lag of the list of VMs behind their state, in seconds.
    """

    address: str
    timeout_s: float = field(default=1.0, validator=[gt(0), le(30)])
    poll_s: float = field(default=1.0, validator=[gt(0), le(5)])
    vm_list_lag_s: float = field(default=30.0, validator=[ge(0), le(3600)])


@frozen
class LeaseSettings:
    """Lease of the entry, and contact with its peers.

    Attributes
    ----------
    lease_s : float
        Duration of the lease from each renewal, in seconds.
    margin_s : float
        Extra wait before the lease of another entry counts as lapsed, in seconds.
    renew_s : float
        Interval between renewals, in seconds.
    heartbeat_s : float
        Interval between heartbeats to each peer, in seconds.
    contact_s : float
        Time for which an answer of the platform or a heartbeat of a peer counts as
        recent contact, in seconds; at most ``lease_s``.
    seeds : tuple of str
        ``peer_address`` of other entries, which are asked for the members if the
        platform does not answer at startup.
    """

    lease_s: float = field(default=6.0, validator=[gt(0), le(60)])
    margin_s: float = field(default=1.0, validator=[gt(0), le(10)])
    renew_s: float = field(default=1.0, validator=[gt(0), le(10)])
    heartbeat_s: float = field(default=1.0, validator=[gt(0), le(10)])
    contact_s: float = field(default=4.0, validator=[gt(0), le(30)])
    seeds: tuple[str, ...] = ()


@frozen
class LimitSettings:
    """Sizes of executors, connection pools and buffers.

    Attributes
    ----------
    caller_threads : int
        Threads that serve callers, and so the limit of their calls in flight.
    relay_threads : int
        Threads that serve calls relayed by other entries.
    peer_threads : int
        Threads that serve control messages of other entries.
    backend_connections : int
        Limit of connections to backend servers, each served by a task.
    relay_connections : int
        Limit of connections to other entries for relayed calls, each served by a
        task.
    peers : int
        Limit of peers, each served by a task.
    measured : int
        Limit of backend servers that this entry measures, each by a task.
    max_body_bytes : int
        Largest request body accepted from a caller, in bytes.
    max_header_bytes : int
        Largest request line and headers together accepted from a caller, in bytes.
    idle_connection_s : float
        Idle time after which a connection to a backend server or another entry is
        closed, in seconds.
    memory_mb : float
        Memory of the process, in MB. What it does not need itself is for the requests
        and answers of callers; those that do not fit wait or are refused.
    connections : int
        Limit of open connections of callers, other entries and operators together. Near
        it, the connection idle for longest is closed for each new one.
    descriptors : int
        Descriptor limit of the process; 0 stands for the one that it runs under. Three
        quarters of what is free at the start may be connections of callers.
    read_bytes_per_s : float
        Slowest rate at which a caller counts as reading, in bytes per second.
    stall_s : float
        Time for which a caller must be slower to count as stalled, in seconds. A
        stalled connection is closed when its memory or its thread is needed.
    stalled_max_s : float
        Time after which a stalled connection is closed in any case, in seconds.
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
    memory_mb: float = field(default=1000.0, validator=[ge(32), le(1_000_000)])
    connections: int = field(default=4096, validator=[ge(16), le(1_000_000)])
    descriptors: int = field(default=0, validator=[ge(0), le(10_000_000)])
    read_bytes_per_s: float = field(default=16_384.0, validator=[ge(0), le(1 << 30)])
    stall_s: float = field(default=1.0, validator=[gt(0), le(600)])
    stalled_max_s: float = field(default=45.0, validator=[gt(0), le(3600)])


@frozen
class DirectorySettings:
    """Answers to callers that ask which entries to use.

    Attributes
    ----------
    max_age_s : int
        Time for which callers may cache an answer, in seconds.
    max_entries : int
        Limit of entries in one answer.
    """

    max_age_s: int = field(default=5, validator=[ge(1), le(3600)])
    max_entries: int = field(default=32, validator=[ge(2), le(64)])


@frozen
class RoutingSettings:
    """Choice of a backend server for a call.

    Attributes
    ----------
    policy : str
        ``homes``: each backend server has one entry, its home, that alone sends to
        it. ``two_choices`` and ``round_robin``: each entry sends to all backend servers
        and chooses on its own, without the guarantees about cold starts and probes.
    """

    policy: str = field(default="homes", validator=in_(POLICIES))


@frozen
class LogSettings:
    """Log output.

    Attributes
    ----------
    level : str
        Lowest level that is written.
    """

    level: str = field(default="INFO", validator=in_(LOG_LEVELS))


@frozen
class TlsSettings:
    """Files for mutual TLS on connections for control messages between entries.

    Attributes
    ----------
    certificate_file : str
        Own certificate chain in PEM; it must include the IP of ``peer_address``.
    key_file : str
        Private key of the certificate, in PEM.
    ca_file : str
        Certificates in PEM of the authorities that sign the entries' certificates.
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
        Access to the platform, for entries and for operators' commands.
    entry : EntrySettings or None
        Identity and addresses of the entry; operators' commands do not need them.
    lease : LeaseSettings
        Lease of the entry and contact with its peers.
    limits : LimitSettings
        Sizes of executors, connection pools and buffers.
    directory : DirectorySettings
        Answers to callers that ask which entries to use.
    routing : RoutingSettings
        Choice of a backend server for a call.
    log : LogSettings
        Log output.
    tls : TlsSettings or None
        If None, control messages between entries are not encrypted.
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
    """Return the settings of a TOML file, checked.

    Raises
    ------
    SettingsError
        If the file cannot be read or is invalid; names the key at fault.
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
        raise _error("lease.contact_s: must be <= lease.lease_s", path)
    return settings


def read_toml(path: Path, kind: type[T]) -> T:
    """Return a TOML file as an instance of a settings class.

    Raises
    ------
    SettingsError
        If the file cannot be read or does not fit the class; names all keys at fault.
    """
    try:
        return structure(tomllib.loads(path.read_text(encoding="utf-8")), kind)
    except OSError as error:
        raise _error(error.strerror or str(error), path) from None
    except ValueError as error:
        raise _error("; ".join(str(fault) for fault in error.args), path) from None


def check_addresses(address_by_key: Mapping[str, str], path: Path) -> None:
    """Check that the settings with these keys have the form ``IP:port``.

    Raises
    ------
    SettingsError
        If one does not; names the first key at fault.
    """
    for key, address in address_by_key.items():
        if not is_address(address):
            raise _error(f"{key}: {address!r} is not IP:port", path)


def _error(message: str, path: Path) -> SettingsError:
    return SettingsError(message, step="settings", peer=str(path))
