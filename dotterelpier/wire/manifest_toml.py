"""Reads and checks manifests."""

import hashlib
import ipaddress
import tomllib
from collections.abc import Iterable

from attrs import Factory, frozen

from dotterelpier.errors import ManifestError
from dotterelpier.model.manifest import (
    BackendServer,
    Manifest,
    MeasuringBudget,
    Revision,
    Service,
    Zone,
)
from dotterelpier.wire.structure import structure

MAX_MANIFEST_BYTES = 4 << 20

# Evidence must be renewed once in each evidence age, with one probe to spare.
MIN_PROBES_PER_S = 0.5


@frozen
class _Document:
    """Top level of the file."""

    tenant: str
    zones: tuple[Zone, ...]
    services: tuple[Service, ...]
    backend_servers: tuple[BackendServer, ...]
    measuring: MeasuringBudget = Factory(MeasuringBudget)


def read_manifest(text: str, origin: str) -> Manifest:
    """Return a manifest, fully checked.

    Parameters
    ----------
    text : str
        The manifest as TOML.
    origin : str
        File or address from which it came, for the error.

    Raises
    ------
    ManifestError
        Naming every fault at its key.
    """
    if len(text.encode()) > MAX_MANIFEST_BYTES:
        fault = f"the manifest is larger than {MAX_MANIFEST_BYTES} bytes"
        raise ManifestError((fault,), step="manifest.read", peer=origin)
    try:
        document = structure(tomllib.loads(text), _Document)
    except tomllib.TOMLDecodeError as error:
        raise ManifestError((str(error),), step="manifest.read", peer=origin) from None
    except ValueError as error:
        faults = tuple(str(fault) for fault in error.args)
        raise ManifestError(faults, step="manifest.check", peer=origin) from None
    manifest = Manifest(
        document.tenant,
        document.zones,
        document.services,
        document.backend_servers,
        document.measuring,
    )
    faults = tuple(_faults(manifest))
    if faults:
        raise ManifestError(faults, step="manifest.check", peer=origin)
    return manifest


def make_revision(number: int, apply_id: str, text: str, origin: str) -> Revision:
    """Return a revision from the text of a manifest.

    Raises
    ------
    ManifestError
        If the manifest is not valid.
    """
    manifest = read_manifest(text, origin)
    return Revision(number, digest(text), apply_id, text, manifest)


def digest(text: str) -> str:
    """Return the SHA-256 of a manifest's text, in hexadecimal."""
    return hashlib.sha256(text.encode()).hexdigest()


def _faults(manifest: Manifest) -> Iterable[str]:
    yield from _naming_faults("zones", "name", [item.name for item in manifest.zones])
    yield from _naming_faults(
        "services", "name", [item.name for item in manifest.services]
    )
    servers = manifest.backend_servers
    yield from _naming_faults("backend_servers", "id", [item.id for item in servers])
    yield from _naming_faults(
        "backend_servers", "address", [item.address for item in servers]
    )
    for index, service in enumerate(manifest.services):
        yield from _service_faults(f"services[{index}]", service)
    for index, server in enumerate(servers):
        yield from _server_faults(f"backend_servers[{index}]", server, manifest)
    yield from _measuring_faults(manifest.measuring)


def _naming_faults(path: str, key: str, values: list[str]) -> Iterable[str]:
    used_values: set[str] = set()
    for index, value in enumerate(values):
        if not value:
            yield f"{path}[{index}].{key}: is empty"
        if value in used_values:
            yield f"{path}[{index}].{key}: {value!r} is used twice"
        used_values.add(value)


def _service_faults(path: str, service: Service) -> Iterable[str]:
    if "/" in service.name or service.name == "v1":
        yield f"{path}.name: {service.name!r} cannot be part of a path"
    if service.deadline_s > service.max_deadline_s:
        yield f"{path}.deadline_s: is above max_deadline_s"
    for index, rule in enumerate(service.non_idempotent):
        rule_path = f"{path}.non_idempotent[{index}]"
        if not rule.method.isupper():
            yield f"{rule_path}.method: {rule.method!r} is not an HTTP method"
        if not rule.path.startswith("/"):
            yield f"{rule_path}.path: {rule.path!r} does not start with '/'"


def _server_faults(
    path: str, server: BackendServer, manifest: Manifest
) -> Iterable[str]:
    if server.service not in manifest.service_by_name:
        yield f"{path}.service: no service {server.service!r} is declared"
    if server.zone not in manifest.zone_by_name:
        yield f"{path}.zone: no zone {server.zone!r} is declared"
    if server.cold_slots > server.slots:
        yield f"{path}.cold_slots: is above slots"
    if not is_address(server.address):
        yield f"{path}.address: {server.address!r} is not IP:port"


def _measuring_faults(measuring: MeasuringBudget) -> Iterable[str]:
    if measuring.probes_per_s < MIN_PROBES_PER_S:
        yield (
            f"measuring.probes_per_s: {measuring.probes_per_s} is too small to keep "
            f"evidence fresh, at least {MIN_PROBES_PER_S} is needed"
        )
    needed_bytes = measuring.probes_per_s * measuring.probe_bytes
    if measuring.bytes_per_s < needed_bytes:
        yield f"measuring.bytes_per_s: probes need {needed_bytes:g}"
    needed_share = measuring.probes_per_s * measuring.probe_s
    if measuring.slot_share < needed_share:
        yield f"measuring.slot_share: probes need {needed_share:g}"


def is_address(text: str) -> bool:
    """Tell whether a text is ``IP:port``."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    return port.isascii() and port.isdecimal() and 0 < int(port) < 65536
