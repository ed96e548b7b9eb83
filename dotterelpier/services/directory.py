"""Tells callers which entries to use."""

from attrs import define

from dotterelpier.errors import NoManifestError, UnknownServiceError
from dotterelpier.kernel import Kernel
from dotterelpier.model.directory import DirectoryAnswer, DirectoryEntry
from dotterelpier.model.manifest import Manifest
from dotterelpier.model.membership import Member, ServiceLoad
from dotterelpier.protocols import (
    Admission,
    Directory,
    Homes,
    ManifestSource,
    Membership,
    Routing,
    ServiceName,
)
from dotterelpier.settings import DirectorySettings


@define
class HomesDirectory:
    """Names the homes of a service's backend servers, near zone first."""

    _settings: DirectorySettings
    _manifest: ManifestSource
    _membership: Membership
    _homes: Homes
    _admission: Admission
    _routing: Routing

    def entries(self, service: str) -> DirectoryAnswer:
        """Return the entries for a service."""
        revision = self._manifest.current()
        if revision is None:
            raise NoManifestError("no manifest is known yet", step="directory")
        if service not in revision.manifest.service_by_name:
            raise UnknownServiceError(
                f"no service {service!r} is declared", step="directory"
            )
        weight_by_id = self._weight_by_id(revision.manifest, service)
        leaving_ids = self._leaving_ids()
        members = [
            member
            for member in self._membership.live_by_id().values()
            if not member.leaving and member.id not in leaving_ids
        ]
        members.sort(key=lambda item: self._sort_key(item, weight_by_id))
        entries = tuple(
            DirectoryEntry(
                member.caller_address, member.zone, weight_by_id.get(member.id, 0) or 1
            )
            for member in self._choose(members, weight_by_id)
        )
        return DirectoryAnswer(service, entries, self._settings.max_age_s)

    def _leaving_ids(self) -> set[str]:
        """Return who said so in a heartbeat, which needs no platform."""
        return {
            status.member.id
            for status in self._membership.peers()
            if status.heartbeat is not None and status.heartbeat.leaving
        }

    def _weight_by_id(self, manifest: Manifest, service: str) -> dict[str, int]:
        weight_by_id = self._declared_slots_by_id(manifest, service)
        for member_id in weight_by_id:
            load = self._load(member_id, service)
            if load is not None:
                weight_by_id[member_id] = load.slots
        return weight_by_id

    def _load(self, member_id: str, service: str) -> ServiceLoad | None:
        if member_id == self._membership.me().id:
            return self._admission.load_by_service().get(service)
        return self._routing.load_of(member_id, service)

    def _declared_slots_by_id(self, manifest: Manifest, service: str) -> dict[str, int]:
        weight_by_id: dict[str, int] = {}
        for backend_id, home in self._homes.assignment().home_by_backend_id.items():
            server = manifest.backend_by_id.get(backend_id)
            if server is None or server.service != service:
                continue
            if manifest.zone_is_out(server.zone):
                continue
            weight = weight_by_id.get(home.entry_id, 0)
            weight_by_id[home.entry_id] = weight + server.slots
        return weight_by_id

    def _sort_key(
        self, member: Member, weight_by_id: dict[str, int]
    ) -> tuple[object, ...]:
        own_zone = self._membership.me().zone
        weight = weight_by_id.get(member.id, 0)
        return (weight == 0, member.zone != own_zone, -weight, member.id)

    def _choose(
        self, ranked: list[Member], weight_by_id: dict[str, int]
    ) -> list[Member]:
        """Return the homes; others only to reach two zones, or where none is known."""
        homes = [member for member in ranked if weight_by_id.get(member.id, 0)]
        chosen = (homes or ranked)[: self._settings.max_entries]
        zones = {member.zone for member in chosen}
        if len(zones) != 1:
            return chosen
        others = [member for member in ranked if member.zone not in zones]
        if not others:
            return chosen
        return [*chosen[: self._settings.max_entries - 1], others[0]]


def make_directory(kernel: Kernel, settings: DirectorySettings) -> Directory:
    """Return the directory."""
    return HomesDirectory(
        settings,
        kernel.find(ServiceName.MANIFEST, ManifestSource),
        kernel.find(ServiceName.MEMBERSHIP, Membership),
        kernel.find(ServiceName.HOMES, Homes),
        kernel.find(ServiceName.ADMISSION, Admission),
        kernel.find(ServiceName.ROUTING, Routing),
    )
