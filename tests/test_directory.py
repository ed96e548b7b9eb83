"""Entries that callers are told to use."""

import pytest
from attrs import define, field

from dotterelpier.errors import UnknownServiceError
from dotterelpier.kernel import make_kernel
from dotterelpier.model.membership import (
    Assignment,
    Heartbeat,
    Home,
    Member,
    PeerStatus,
    ServiceLoad,
)
from dotterelpier.protocols import ServiceName
from dotterelpier.services.directory import make_directory
from dotterelpier.settings import DirectorySettings
from tests.test_uncoordinated import SERVICE, FakeManifest


@define
class FakeServices:
    """Members, homes and loads of one case."""

    members: tuple[Member, ...]
    home_by_backend_id: dict[str, Home]
    load_by_member_id: dict[str, ServiceLoad] = field(factory=dict)
    leaving_heartbeat_ids: frozenset[str] = frozenset()

    def me(self) -> Member:
        return self.members[0]

    def live_by_id(self) -> dict[str, Member]:
        return {member.id: member for member in self.members}

    def peers(self) -> tuple[PeerStatus, ...]:
        return tuple(
            PeerStatus(
                member,
                Heartbeat(member.id, leaving=member.id in self.leaving_heartbeat_ids),
            )
            for member in self.members[1:]
        )

    def assignment(self) -> Assignment:
        return Assignment(1, self.home_by_backend_id)

    def load_of(self, member_id: str, service: str) -> ServiceLoad | None:
        return self.load_by_member_id.get(member_id)

    def load_by_service(self) -> dict[str, ServiceLoad]:
        load = self.load_by_member_id.get(self.me().id)
        return {} if load is None else {SERVICE: load}


def make_member(member_id: str, zone: str, leaving: bool = False) -> Member:
    address = f"{member_id}:8000"
    return Member(member_id, zone, address, "", "", leaving=leaving)


def weight_by_address(services: FakeServices) -> dict[str, int]:
    kernel = make_kernel()
    kernel.register(ServiceName.MANIFEST, FakeManifest())
    for name in (
        ServiceName.MEMBERSHIP,
        ServiceName.HOMES,
        ServiceName.ADMISSION,
        ServiceName.ROUTING,
    ):
        kernel.register(name, services)
    directory = make_directory(kernel, DirectorySettings())
    with pytest.raises(UnknownServiceError):
        directory.entries("nothing")
    return {entry.address: entry.weight for entry in directory.entries(SERVICE).entries}


MEMBERS = (
    make_member("a", "tt-north-1"),
    make_member("b", "tt-north-2"),
    make_member("c", "tt-north-1"),
)
HOMES = {"one": Home("a"), "two": Home("b"), "three": Home("b")}


def test_homes_come_first_weighted_by_declared_slots() -> None:
    weights = weight_by_address(FakeServices(MEMBERS, HOMES))
    assert list(weights.items()) == [("a:8000", 4), ("b:8000", 8)]


def test_entry_of_another_zone_is_added_if_all_homes_share_a_zone() -> None:
    weights = weight_by_address(FakeServices(MEMBERS, {"one": Home("a")}))
    assert weights == {"a:8000": 4, "b:8000": 1}


def test_all_members_are_listed_if_no_home_is_known() -> None:
    assert len(weight_by_address(FakeServices(MEMBERS, {}))) == 3


def test_home_without_slots_is_listed_only_for_its_zone() -> None:
    loads = {"a": ServiceLoad(0, 0), "b": ServiceLoad(0, 8)}
    weights = weight_by_address(FakeServices(MEMBERS, HOMES, loads))
    assert weights == {"b:8000": 8, "a:8000": 1}


def test_reported_slots_replace_declared_ones() -> None:
    loads = {"a": ServiceLoad(0, 1), "b": ServiceLoad(0, 8)}
    weights = weight_by_address(FakeServices(MEMBERS, HOMES, loads))
    assert (weights["a:8000"], weights["b:8000"]) == (1, 8)


def test_leaving_entries_are_not_listed() -> None:
    members = (MEMBERS[0], make_member("b", "tt-north-2", leaving=True), MEMBERS[2])
    assert "b:8000" not in weight_by_address(FakeServices(members, HOMES))


def test_entries_leaving_by_heartbeat_are_not_listed() -> None:
    services = FakeServices(MEMBERS, HOMES, leaving_heartbeat_ids=frozenset({"b"}))
    assert "b:8000" not in weight_by_address(services)
