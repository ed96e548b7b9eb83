"""Choice of homes by rendezvous hashing over live members, zone by zone."""

import hashlib
from collections.abc import Callable, Mapping

from dotterelpier.model.manifest import BackendServer, Manifest
from dotterelpier.model.membership import Assignment, Home, Member


def place(
    manifest: Manifest,
    live_by_id: Mapping[str, Member],
    current: Assignment,
    is_released: Callable[[str, int], bool],
) -> Assignment:
    """Return the assignment wanted now; the current one if nothing changes.

    Parameters
    ----------
    manifest : Manifest
        Declares the backend servers.
    live_by_id : mapping of str to Member
        Live members.
    current : Assignment
        Assignment in force.
    is_released : callable
        Tells whether a member, which lost a home in an assignment of this number,
        surely sends nothing more to its backend server.
    """
    candidates = [item for item in live_by_id.values() if not item.leaving]
    if not candidates:
        return current
    number = current.number + 1
    home_by_backend_id: dict[str, Home] = {}
    for server in manifest.backend_servers:
        wanted_id = _choose(server, candidates).id
        home = current.home_by_backend_id.get(server.id)
        home_by_backend_id[server.id] = _moved(home, wanted_id, number, is_released)
    if home_by_backend_id == current.home_by_backend_id:
        return current
    return Assignment(number, home_by_backend_id)


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
    unreleased = {
        member_id: lost_in
        for member_id, lost_in in home.lost_in_by_previous_id.items()
        if not is_released(member_id, lost_in)
    }
    if home.entry_id == wanted_id:
        # Released predecessors are pruned only with the next real change.
        return home
    unreleased[home.entry_id] = number
    unreleased.pop(wanted_id, None)
    return Home(wanted_id, home.epoch + 1, unreleased, number)
