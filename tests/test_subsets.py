"""Subsets of the backend servers that the entries of a fleet work with."""

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dotterelpier.fleet.subsets import (
    OTHER_ZONES_SIZE,
    OWN_ZONE_SIZE,
    HomeTable,
    Subset,
    compute_subset,
)
from dotterelpier.model.fleet import FleetMember
from dotterelpier.model.instance import Instance

ZONES = ("a", "b", "c", "d", "e")
SERVICES = ("catalogue", "reservations", "library")


def members_of(per_zone: int, zones=ZONES) -> tuple[FleetMember, ...]:
    return tuple(
        FleetMember(f"{zone}-{number}", zone, "x:1", f"{zone}{number}:2", "x")
        for zone in zones
        for number in range(per_zone)
    )


def instances_of(per_zone: int, zones=ZONES, services=SERVICES) -> list[Instance]:
    return [
        Instance(f"{service}-{zone}-{number}", service, "x:1", zone, 4)
        for service in services
        for zone in zones
        for number in range(per_zone)
    ]


def subsets_of(members, instances) -> dict[str, Subset]:
    return {item.name: compute_subset(item, members, instances) for item in members}


sizes = st.integers(1, 40)


@given(entries=sizes, servers=sizes)
def test_each_server_has_one_home_and_is_used_in_its_zone(entries, servers) -> None:
    zones, services = ZONES[:2], SERVICES[:1]
    members = members_of(entries, zones)
    instances = instances_of(servers, zones, services)
    subset_by_name = subsets_of(members, instances)
    homes = Counter(
        item for subset in subset_by_name.values() for item in subset.home_ids
    )
    assert homes == Counter(item.id for item in instances)
    zone_by_id = {item.id: item.zone for item in instances}
    used = {
        item
        for member in members
        for item in subset_by_name[member.name].ids()
        if zone_by_id[item] == member.zone
    }
    assert used == set(zone_by_id)


@given(entries=sizes, servers=sizes)
def test_a_home_tells_exactly_the_entries_that_use_its_server(entries, servers) -> None:
    members = members_of(entries, ("a",))
    instances = instances_of(servers, ("a",), SERVICES[:1])
    subset_by_name = subsets_of(members, instances)
    for member in members:
        subset = subset_by_name[member.name]
        for instance_id in subset.home_ids:
            told = {item.name for item in subset.listeners_by_id[instance_id]}
            users = {
                name
                for name, other in subset_by_name.items()
                if name != member.name and instance_id in other.ids()
            }
            assert told == users


@pytest.mark.parametrize(("entries", "servers"), [(20, 24), (62, 45), (140, 45)])
def test_subset_of_an_entry_does_not_grow_with_the_fleet(entries, servers) -> None:
    members = members_of(entries)
    instances = instances_of(servers)
    for member in members[:5]:
        subset = compute_subset(member, members, instances)
        bound = len(SERVICES) * (OWN_ZONE_SIZE + OTHER_ZONES_SIZE)
        assert len(subset.ids()) <= bound + len(subset.home_ids)


def test_servers_of_a_zone_are_in_equally_many_subsets() -> None:
    members = members_of(62, ("a",))
    instances = instances_of(45, ("a",), SERVICES[:1])
    uses = Counter(
        item
        for subset in subsets_of(members, instances).values()
        for item in subset.ids() - subset.home_ids
    )
    fair = 62 * OWN_ZONE_SIZE / 45
    assert min(uses.values()) >= 0.7 * fair
    assert max(uses.values()) <= 1.3 * fair


def test_an_entry_that_leaves_moves_few_servers() -> None:
    members = members_of(62, ("a",))
    instances = instances_of(45, ("a",), SERVICES[:1])
    before = subsets_of(members, instances)
    after = subsets_of(members[:-1], instances)
    moved = [
        len(after[item.name].ids() - before[item.name].ids()) for item in members[:-1]
    ]
    assert sum(moved) / len(moved) <= 1.5
    assert max(moved) <= 4


def test_servers_of_a_zone_without_entries_have_one_home_elsewhere() -> None:
    members = members_of(4, ("a", "b"))
    instances = instances_of(6, ("z",))
    homes = Counter(
        item
        for subset in subsets_of(members, instances).values()
        for item in subset.home_ids
    )
    assert homes == Counter(item.id for item in instances)
    for subset in subsets_of(members, instances).values():
        assert subset.home_ids <= subset.ids()


def test_small_fleet_uses_every_server() -> None:
    members = members_of(5, ZONES[:3])
    instances = instances_of(4, ZONES[:3])
    for subset in subsets_of(members, instances).values():
        assert len(subset.ids()) == len(instances)


@given(
    st.lists(
        st.tuples(st.sets(st.integers(0, 11), min_size=1), st.sets(st.integers(0, 30))),
        min_size=1,
        max_size=6,
    )
)
def test_homes_kept_between_changes_are_those_of_a_new_computation(steps) -> None:
    every_member = members_of(12, ZONES[:2])
    every_instance = instances_of(31, ZONES[:2], SERVICES[:1])
    me, homes = every_member[0], HomeTable()
    for entries, servers in steps:
        members = (me, *(every_member[number + 1] for number in sorted(entries)))
        instances = [every_instance[number] for number in sorted(servers)]
        kept = compute_subset(me, members, instances, homes)
        assert kept == compute_subset(me, members, instances)
