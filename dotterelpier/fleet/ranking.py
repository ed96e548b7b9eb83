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
    return sorted(members, key=lambda member: _weight(key, member.name), reverse=True)


def home(key: str, zone: str, members: Iterable[FleetMember]) -> FleetMember | None:
    """Return the member that is the home of a backend server, None without members.

    It is a member of the same zone if there is one, and of any other zone if not.

    Parameters
    ----------
    key : str
        Id of the backend server.
    zone : str
        Zone of the backend server.
    members : iterable of FleetMember
        Members to choose from.
    """
    members = tuple(members)
    same_zone = [member for member in members if member.zone == zone]
    ranked = rank(key, same_zone or members)
    return ranked[0] if ranked else None


def _weight(key: str, name: str) -> bytes:
    return blake2b(f"{key}\n{name}".encode(), digest_size=DIGEST_BYTES).digest()
