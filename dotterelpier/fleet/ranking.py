"""Assigns things to entries without talking: every entry gets the same result."""

from collections.abc import Iterable
from hashlib import blake2b

from dotterelpier.model.fleet import FleetMember

DIGEST_BYTES = 8


def rank(key: str, members: Iterable[FleetMember]) -> list[FleetMember]:
    """Return members in the order of rendezvous hashing for a key."""
    return sorted(members, key=lambda member: _weight(key, member.name), reverse=True)


def home(key: str, zone: str, members: Iterable[FleetMember]) -> FleetMember | None:
    """Return the member that a backend server is assigned to.

    Members of its own zone go first; others serve zones that have none.
    """
    members = tuple(members)
    same_zone = [member for member in members if member.zone == zone]
    ranked = rank(key, same_zone or members)
    return ranked[0] if ranked else None


def _weight(key: str, name: str) -> bytes:
    return blake2b(f"{key}\n{name}".encode(), digest_size=DIGEST_BYTES).digest()
