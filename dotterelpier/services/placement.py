"""Placement of homes by rendezvous hashing over the members of each zone."""

import hashlib
from collections.abc import Callable, Mapping

from dotterelpier.model.manifest import BackendServer, Revision
from dotterelpier.model.membership import Assignment, Home, Member

NO_ENTRY = ""


def place(
    revision: Revision,
    leased_by_id: Mapping[str, Member],
    current: Assignment,
    is_released: Callable[[str, int], bool],
) -> Assignment:
    """Return the desired assignment, or the current one if nothing changes.

    The home of a backend server is in the server's zone if that has a candidate. A
    server that is no longer declared stays in the assignment, without a home, until its
    former homes have released it: if it is declared again meanwhile, it still cannot
    get two homes.

    Parameters
    ----------
    revision : Revision
        Manifest revision that declares the backend servers.
    leased_by_id : mapping of str to Member
        Members that hold a lease; those that are leaving get no homes.
    current : Assignment
        Assignment in force.
    is_released : callable
        Takes the id of a member and the number of the assignment in which it lost a
        home; returns whether the member certainly sends nothing more to the backend
        server.
    """
    candidates = [item for item in leased_by_id.values() if not item.leaving]
    if not candidates or revision.number < current.revision:
        return current
    number = current.number + 1
    before = current.home_by_backend_id
    home_by_backend_id: dict[str, Home] = {}
    for server in revision.manifest.backend_servers:
        wanted_id = _choose(server, candidates).id
        home = before.get(server.id)
        home_by_backend_id[server.id] = _moved(home, wanted_id, number, is_released)
    for backend_id in before.keys() - home_by_backend_id.keys():
        home = before[backend_id]
        if home.entry_id != NO_ENTRY or not _all_released(home, is_released):
            moved = _moved(home, NO_ENTRY, number, is_released)
            home_by_backend_id[backend_id] = moved
    if home_by_backend_id == before:
        return current
    return Assignment(number, home_by_backend_id, revision.number)


def _choose(server: BackendServer, candidates: list[Member]) -> Member:
    same_zone = [item for item in candidates if item.zone == server.zone]
    return max(same_zone or candidates, key=lambda item: _score(server.id, item.id))


def _score(backend_id: str, member_id: str) -> bytes:
    return hashlib.blake2b(f"{backend_id}/{member_id}".encode()).digest()


def _moved(
    home: Home | None,
    wanted_id: str,
    number: int,
    is_released: Callable[[str, int], bool],
) -> Home:
    if home is None:
        return Home(wanted_id, since=number)
    if home.entry_id == wanted_id:
        # Released former homes are removed only together with a change of home.
        return home
    unreleased = {
        member_id: lost_in
        for member_id, lost_in in home.lost_in_by_previous_id.items()
        if not is_released(member_id, lost_in)
    }
    if home.entry_id != NO_ENTRY:
        unreleased[home.entry_id] = number
    unreleased.pop(wanted_id, None)
    return Home(wanted_id, home.epoch + 1, unreleased, number)


def _all_released(home: Home, is_released: Callable[[str, int], bool]) -> bool:
    return all(
        is_released(member_id, lost_in)
        for member_id, lost_in in home.lost_in_by_previous_id.items()
    )
