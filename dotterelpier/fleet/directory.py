"""Directory in which clients look up the entries to use."""

from collections.abc import Mapping

from attrs import define, field, frozen

from dotterelpier.fleet.ranking import weight
from dotterelpier.kernel import Kernel
from dotterelpier.model.fleet import FleetMember
from dotterelpier.protocols import ServiceName
from dotterelpier.protocols.fleet import (
    Conditions,
    EntryDirectory,
    Fleet,
    LiveSettings,
    PlannedStop,
    Routes,
)

# Clients that keep an answer for three times as long still notice within the grace
# period of a planned stop that the entry leaves.
ANSWER_TTL_S = 1.5
MAX_ADDRESSES = 64
# Client zones whose rankings are kept; clients may name any zone.
MAX_ZONES = 32


@frozen(eq=False)
class _Ranking:
    """Members of the fleet, and the order in which clients of a zone use them."""

    members: tuple[FleetMember, ...]
    ranked: tuple[FleetMember, ...]


@define
class CapacityDirectory:
    """Returns entries of each zone in proportion to its backend servers' capacity.

    Entries prefer backend servers of their own zone, so this avoids traffic between
    zones, and no zone gets more requests than it can serve.
    """

    _fleet: Fleet
    _routes: Routes
    _conditions: Conditions
    _stop: PlannedStop
    _settings: LiveSettings
    # Ranking a large fleet takes milliseconds, so it is kept until the members change.
    _ranking_by_client_zone: dict[str, _Ranking] = field(factory=dict)

    def addresses(self, host: str, zone: str) -> tuple[str, ...]:
        """Return the ``IP:port`` of entries for a client, at most ``MAX_ADDRESSES``.

        Without any known capacity, all registered entries are returned. This entry is
        left out while it does not take requests.

        Parameters
        ----------
        host : str
            Host whose routes decide which services count.
        zone : str
            Zone of the client. Where not all entries can be named, clients of
            different zones get different ones.
        """
        me = self._fleet.me()
        ranked = [
            member
            for member in self._ranked(zone)
            if member.name != me.name or self._stop.takes_requests()
        ]
        capacity = self._conditions.capacity_by_zone(self._services(host))
        chosen = _proportional(ranked, capacity) or ranked[:MAX_ADDRESSES]
        return tuple(member.caller_address for member in chosen)

    def answer_ttl_s(self) -> float:
        """Return how long clients may cache an answer, in seconds."""
        return min(ANSWER_TTL_S, self._settings.bounds().directory_age_max_s)

    def _ranked(self, client_zone: str) -> tuple[FleetMember, ...]:
        members = self._fleet.members()
        ranking = self._ranking_by_client_zone.get(client_zone)
        if ranking is None or ranking.members is not members:
            ranking = _Ranking(members, _rank_for_clients(client_zone, members))
            if len(self._ranking_by_client_zone) >= MAX_ZONES:
                self._ranking_by_client_zone.clear()
            self._ranking_by_client_zone[client_zone] = ranking
        return ranking.ranked

    def _services(self, host: str) -> frozenset[str]:
        """Return the services of a host, or all services if it has no route."""
        table = self._routes.table()
        if table is None:
            return frozenset()
        routes = table.route_by_prefix_by_host.get(host, {}).values()
        services = {share.service for route in routes for share in route.shares}
        return frozenset(services) or frozenset(table.config_by_service)


def _rank_for_clients(
    client_zone: str, members: tuple[FleetMember, ...]
) -> tuple[FleetMember, ...]:
    """Return members in the order in which clients of a zone should use them.

    Each member comes first for the clients of one zone, so that all members together
    serve the clients of all zones. A member that leaves changes no other's position.
    """
    zones = sorted({member.zone for member in members})

    def key(member: FleetMember) -> tuple[bool, bytes]:
        preferred = max(zones, key=lambda zone: weight(zone, member.name))
        return preferred == client_zone, weight(client_zone, member.name)

    return tuple(sorted(members, key=key, reverse=True))


def _proportional(
    ranked: list[FleetMember], capacity: Mapping[str, float]
) -> list[FleetMember]:
    """Return at most ``MAX_ADDRESSES`` members, of each zone in proportion to capacity.

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
        MAX_ADDRESSES / sum(capacity[zone] for zone in eligible),
        *(len(members) / capacity[zone] for zone, members in eligible.items()),
    )
    chosen = []
    for zone, members in eligible.items():
        count = max(1, round(members_per_slot * capacity[zone]))
        chosen.extend(members[:count])
    return chosen[:MAX_ADDRESSES]


def make_entry_directory(kernel: Kernel) -> EntryDirectory:
    """Return the directory; the settings limit the TTL of its answers."""
    return CapacityDirectory(
        kernel.find(ServiceName.FLEET, Fleet),
        kernel.find(ServiceName.ROUTES, Routes),
        kernel.find(ServiceName.CONDITIONS, Conditions),
        kernel.find(ServiceName.PLANNED_STOP, PlannedStop),
        kernel.find(ServiceName.LIVE_SETTINGS, LiveSettings),
    )
