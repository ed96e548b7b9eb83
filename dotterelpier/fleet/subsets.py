"""The backend servers that this entry works with, a bounded share of all.

What an entry checks, hears of and connects to is bounded by its subset, so it does not
grow with the fleet. The entries of a zone divide its backend servers evenly: for each
service, both are put in a fixed order, and each entry takes the servers from its own
position on. An entry that joins or leaves moves the positions by one server at most.
"""

import threading
from collections.abc import Callable, Iterable, Mapping

from attrs import define, field, frozen
from loguru import logger

from dotterelpier.fleet.ranking import first, weight
from dotterelpier.fleet.rollouts.disabled import NoRollouts
from dotterelpier.kernel import Kernel
from dotterelpier.model.fleet import FleetMember
from dotterelpier.model.instance import Instance
from dotterelpier.protocols import Metrics, ServiceName
from dotterelpier.protocols.fleet import Fleet, Registry, Rollouts, Subsets

# Backend servers of one service in the zone of the entry. With 4 slots each, a pool of
# this size loses little to queueing against one of all servers.
OWN_ZONE_SIZE = 16
# Backend servers of one service in all other zones together.
OTHER_ZONES_SIZE = 12


@frozen
class Subset:
    """The backend servers of one entry.

    Attributes
    ----------
    ids_by_service : Mapping
        Ids of the backend servers to send to, by service.
    home_ids : frozenset of str
        Those whose home the entry is.
    listeners_by_id : Mapping
        Other entries of the zone that have a server in their subset, for each server
        whose home the entry is.
    """

    ids_by_service: Mapping[str, tuple[str, ...]] = field(factory=dict)
    home_ids: frozenset[str] = frozenset()
    listeners_by_id: Mapping[str, tuple[FleetMember, ...]] = field(factory=dict)

    def ids(self) -> frozenset[str]:
        """Return the ids of all backend servers of the subset."""
        ids = (item for ids in self.ids_by_service.values() for item in ids)
        return frozenset(ids)


@define
class HomeTable:
    """Homes of backend servers, kept until the entries to choose from change.

    Ranking all servers at each change of one would cost more than all other work on it.
    """

    _members: list[FleetMember] = field(factory=list)
    _home_by_id: dict[str, FleetMember | None] = field(factory=dict)

    def set_members(self, members: list[FleetMember]) -> None:
        """Set the entries to choose from."""
        if members != self._members:
            self._members, self._home_by_id = members, {}

    def home(self, instance_id: str) -> FleetMember | None:
        """Return the home of a backend server, None without entries."""
        if instance_id not in self._home_by_id:
            self._home_by_id[instance_id] = first(instance_id, self._members)
        return self._home_by_id[instance_id]

    def keep(self, instance_ids: Iterable[str]) -> None:
        """Forget all other backend servers."""
        for instance_id in self._home_by_id.keys() - set(instance_ids):
            del self._home_by_id[instance_id]


@define
class ZoneSubsets:
    """Keeps the subset of this entry in line with the registry and the fleet."""

    _registry: Registry
    _fleet: Fleet
    _metrics: Metrics
    _rollouts: Rollouts = field(factory=NoRollouts)
    _subset: Subset = Subset()
    _homes: HomeTable = field(factory=HomeTable)
    _lock: threading.Lock = field(factory=threading.Lock)
    _listeners: list[Callable[[], None]] = field(factory=list)

    def start(self) -> None:
        """Compute the subset now, and after each change."""
        self._registry.subscribe(self.refresh)
        self._fleet.subscribe(self.refresh)
        self._rollouts.subscribe(self.refresh)
        self.refresh()

    def stop(self) -> None:
        """Do nothing; the service runs no task."""

    def refresh(self) -> None:
        """Compute the subset, and call the listeners."""
        with self._lock:
            before = self._subset
            self._subset = compute_subset(
                self._fleet.me(),
                self._fleet.members(),
                self._registry.instances(),
                self._homes,
                self._rollouts.target,
            )
        self._metrics.set_gauge("homes", len(self._subset.home_ids))
        if before.home_ids != self._subset.home_ids:
            logger.info(
                "homes changed",
                gained=sorted(self._subset.home_ids - before.home_ids)[:20],
                lost=sorted(before.home_ids - self._subset.home_ids)[:20],
                subset=len(self._subset.ids()),
            )
        for listener in tuple(self._listeners):
            listener()

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call a listener after each change; it must not block."""
        self._listeners.append(listener)

    def ids_by_service(self) -> Mapping[str, tuple[str, ...]]:
        """Return the ids of the backend servers to send to, by service."""
        return self._subset.ids_by_service

    def home_ids(self) -> frozenset[str]:
        """Return the ids of the backend servers whose home this entry is."""
        return self._subset.home_ids

    def listeners(self, instance_id: str) -> tuple[FleetMember, ...]:
        """Return the entries to tell about a backend server at home here."""
        return self._subset.listeners_by_id.get(instance_id, ())


def _no_target(service: str) -> str | None:
    return None


def compute_subset(
    me: FleetMember,
    members: tuple[FleetMember, ...],
    instances: Iterable[Instance],
    homes: HomeTable | None = None,
    target: Callable[[str], str | None] = _no_target,
) -> Subset:
    """Return the subset of an entry.

    Entries with the same lists compute the same subsets. The servers of a release that
    is rolled out are divided apart from the others of the service, so that each entry
    has some of both.

    Parameters
    ----------
    me : FleetMember
        The entry.
    members : tuple of FleetMember
        All entries.
    instances : iterable of Instance
        All backend servers.
    homes : HomeTable, optional
        What is known of the homes in the zone from an earlier call.
    target : Callable, optional
        Returns the release that is rolled out for a service.
    """
    homes = homes or HomeTable()
    own_zone: dict[tuple[str, bool], list[Instance]] = {}
    other_zones: dict[tuple[str, bool], list[Instance]] = {}
    member_zones = {member.zone for member in members}
    for item in instances:
        by_group = own_zone if item.zone == me.zone else other_zones
        group = (item.service, item.release == target(item.service))
        by_group.setdefault(group, []).append(item)
    zone_members = sorted(
        (item for item in members if item.zone == me.zone),
        key=lambda item: weight("subset", item.name),
    )
    homes.set_members(zone_members)
    homes.keep(item.id for items in own_zone.values() for item in items)
    ids_by_service: dict[str, set[str]] = {}
    home_ids: set[str] = set()
    listeners_by_id: dict[str, tuple[FleetMember, ...]] = {}
    for (service, _), items in own_zone.items():
        items.sort(key=lambda item: weight("subset", item.id))
        ids = ids_by_service.setdefault(service, set())
        ids.update(_slice(items, zone_members, me))
        own_ids = [item.id for item in items if homes.home(item.id) == me]
        home_ids.update(own_ids)
        ids.update(own_ids)
        if own_ids:
            listeners_by_id.update(_listeners(own_ids, items, zone_members, me))
    for (service, _), items in other_zones.items():
        ids = ids_by_service.setdefault(service, set())
        items.sort(key=lambda item: weight(me.name, item.id))
        ids.update(item.id for item in items[:OTHER_ZONES_SIZE])
        # A zone without entries has its homes elsewhere.
        own_ids = [
            item.id
            for item in items
            if item.zone not in member_zones and first(item.id, members) == me
        ]
        home_ids.update(own_ids)
        ids.update(own_ids)
    return Subset(
        {service: tuple(sorted(ids)) for service, ids in ids_by_service.items()},
        frozenset(home_ids),
        listeners_by_id,
    )


def _slice(
    items: list[Instance], members: list[FleetMember], member: FleetMember
) -> list[str]:
    """Return the servers of an entry's zone in its subset; both lists are in order."""
    if len(items) <= OWN_ZONE_SIZE or member not in members:
        return [item.id for item in items]
    size = max(OWN_ZONE_SIZE, -(-len(items) // len(members)))
    start = members.index(member) * len(items) // len(members)
    return [items[(start + number) % len(items)].id for number in range(size)]


def _listeners(
    homes: list[str],
    items: list[Instance],
    members: list[FleetMember],
    me: FleetMember,
) -> dict[str, tuple[FleetMember, ...]]:
    others = [item for item in members if item != me]
    if len(items) <= OWN_ZONE_SIZE:
        return dict.fromkeys(homes, tuple(others))
    ids_by_name = {
        other.name: frozenset(_slice(items, members, other)) for other in others
    }
    return {
        instance_id: tuple(
            other for other in others if instance_id in ids_by_name[other.name]
        )
        for instance_id in homes
    }


def make_subsets(kernel: Kernel) -> Subsets:
    """Return the service, not yet started."""
    return ZoneSubsets(
        kernel.find(ServiceName.REGISTRY, Registry),
        kernel.find(ServiceName.FLEET, Fleet),
        kernel.find(ServiceName.METRICS, Metrics),
        kernel.find(ServiceName.ROLLOUTS, Rollouts),
    )
