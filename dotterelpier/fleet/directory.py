"""Tells clients which entries to use."""

from collections.abc import Mapping

from attrs import define

from dotterelpier.fleet.ranking import rank
from dotterelpier.fleet_settings import BoundSettings
from dotterelpier.kernel import Kernel
from dotterelpier.model.fleet import FleetMember
from dotterelpier.protocols import ServiceName
from dotterelpier.protocols.fleet import (
    Conditions,
    EntryDirectory,
    Fleet,
    PlannedStop,
    Routes,
)

# Clients that keep an answer three times as long still learn within the grace of a
# planned stop that an entry leaves.
ANSWER_TTL_S = 1.5
MAX_ADDRESSES = 64


@define
class CapacityDirectory:
    """Names entries of each zone in proportion to what its backend servers bear.

    Entries send to backend servers of their own zone first, so this keeps bytes from
    crossing zones and no zone gets more than it can serve.
    """

    _fleet: Fleet
    _routes: Routes
    _conditions: Conditions
    _stop: PlannedStop
    _bounds: BoundSettings

    def addresses(self, host: str, zone: str) -> tuple[str, ...]:
        """Return addresses of entries for a client in a zone that asks for a host."""
        me = self._fleet.me()
        members = [
            member
            for member in self._fleet.members()
            if member.name != me.name or self._stop.takes_requests()
        ]
        capacity = self._conditions.capacity_by_zone(self._services(host))
        named = _proportional(rank(zone, members), capacity) or members
        return tuple(member.caller_address for member in named[:MAX_ADDRESSES])

    def answer_ttl_s(self) -> float:
        """Return how long clients may keep an answer, in seconds."""
        return min(ANSWER_TTL_S, self._bounds.directory_age_max_s)

    def _services(self, host: str) -> frozenset[str]:
        """Return the services of a host, all of them for an unknown host."""
        table = self._routes.table()
        if table is None:
            return frozenset()
        routes = table.route_by_prefix_by_host.get(host, {}).values()
        services = {share.service for route in routes for share in route.shares}
        return frozenset(services) or frozenset(table.config_by_service)


def _proportional(
    ranked: list[FleetMember], capacity: Mapping[str, float]
) -> list[FleetMember]:
    """Return so many members of each zone as fit its capacity, in their order."""
    members_by_zone: dict[str, list[FleetMember]] = {}
    for member in ranked:
        members_by_zone.setdefault(member.zone, []).append(member)
    able = {zone: item for zone, item in members_by_zone.items() if capacity.get(zone)}
    if not able:
        return []
    per_unit = min(len(members) / capacity[zone] for zone, members in able.items())
    named = []
    for zone, members in able.items():
        count = max(1, round(per_unit * capacity[zone]))
        named.extend(members[:count])
    return named


def make_entry_directory(kernel: Kernel, bounds: BoundSettings) -> EntryDirectory:
    """Return the directory."""
    return CapacityDirectory(
        kernel.find(ServiceName.FLEET, Fleet),
        kernel.find(ServiceName.ROUTES, Routes),
        kernel.find(ServiceName.CONDITIONS, Conditions),
        kernel.find(ServiceName.PLANNED_STOP, PlannedStop),
        bounds,
    )
