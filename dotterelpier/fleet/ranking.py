"""Assignment of keys to entries by rendezvous hashing.

Entries with the same list of members compute the same result without a message.
"""

from collections.abc import Iterable
from hashlib import blake2b

from dotterelpier.model.fleet import FleetMember

DIGEST_BYTES = 8


def rank(key: str, members: Iterable[FleetMember]) -> list[FleetMember]:
    """Return members by descending rendezvous weight for a key.

    The order in which they are given does not matter.
    """
    return sorted(members, key=lambda member: weight(key, member.name), reverse=True)


def first(key: str, members: Iterable[FleetMember]) -> FleetMember | None:
    """Return the member that ranks first for a key, None without members.

    The home of a backend server ranks first for its id, among the entries of its zone
    if there are any.
    """
    return max(members, key=lambda member: weight(key, member.name), default=None)


def weight(key: str, name: str) -> bytes:
    """Return the rendezvous weight of a name for a key; weights compare as bytes."""
    return blake2b(f"{key}\n{name}".encode(), digest_size=DIGEST_BYTES).digest()
