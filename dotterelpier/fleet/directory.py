"""Directory that tells clients which entries to use."""

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

# Clients that keep an answer for three times as long still notice within the grace
# period of a planned stop that the entry leaves.
ANSWER_TTL_S = 1.5
MAX_ADDRESSES = 64


@define
class CapacityDirectory:
    """Return entries of each zone in proportion to the capacity of its backend servers.

    Entries prefer backend servers of their own zone, so this avoids traffic between
    zones, and no zone gets more requests than it can serve.
    """

    _fleet: Fleet
    _routes: Routes
    _conditions: Conditions
    _stop: PlannedStop
    _bounds: BoundSettings

    def addresses(self, host: str, zone: str) -> tuple[str, ...]:
        """Return the ``IP:port`` of entries for a client, at most ``MAX_ADDRESSES``.

        Without any known capacity, all registered entries are returned. This entry is
        left out while it does not take requests.

        Parameters
        ----------
        host : str
            Host whose routes decide which services count.
        zone : str
            Zone of the client. It is the key by which the entries are ranked, so
            clients of different zones get different entries.
        """
        me = self._fleet.me()
        members = [
            member
            for member in self._fleet.members()
            if member.name != me.name or self._stop.takes_requests()
        ]
        capacity = self._conditions.capacity_by_zone(self._services(host))
        chosen = _proportional(rank(zone, members), capacity) or members
        return tuple(member.caller_address for member in chosen[:MAX_ADDRESSES])

    def answer_ttl_s(self) -> float:
        """Return how long clients may cache an answer, in seconds."""
        return min(ANSWER_TTL_S, self._bounds.directory_age_max_s)

    def _services(self, host: str) -> frozenset[str]:
        """Return the services of a host, or all services if it has no route."""
        table = self._routes.table()
        if table is None:
            return frozenset()
        routes = table.route_by_prefix_by_host.get(host, {}).values()
        services = {share.service for route in routes for share in route.shares}
        return frozenset(services) or frozenset(table.config_by_service)


def _proportional(
    ranked: list[FleetMember], capacity: Mapping[str, float]
) -> list[FleetMember]:
    """Return members of each zone in proportion to its capacity, in ranked order.

    Zones without capacity are left out; every other zone keeps at least one member.
    """
    members_by_zone: dict[str, list[FleetMember]] = {}
    for member in ranked:
        members_by_zone.setdefault(member.zone, []).append(member)
    eligible = {
        zone: item for zone, item in members_by_zone.items() if capacity.get(zone)
    }
    if not eligible:
        return []
    members_per_slot = min(
        len(members) / capacity[zone] for zone, members in eligible.items()
    )
    chosen = []
    for zone, members in eligible.items():
        count = max(1, round(members_per_slot * capacity[zone]))
        chosen.extend(members[:count])
    return chosen


def make_entry_directory(kernel: Kernel, bounds: BoundSettings) -> EntryDirectory:
    """Return the directory; ``bounds`` limits the TTL of its answers."""
    return CapacityDirectory(
        kernel.find(ServiceName.FLEET, Fleet),
        kernel.find(ServiceName.ROUTES, Routes),
        kernel.find(ServiceName.CONDITIONS, Conditions),
        kernel.find(ServiceName.PLANNED_STOP, PlannedStop),
        bounds,
    )
