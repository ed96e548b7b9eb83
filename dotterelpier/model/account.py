"""Client accounts, their keys and their usage caps."""

from hashlib import blake2b

from attrs import field, frozen

DIGEST_BYTES = 16
# Keeps these digests apart from other uses of the same hash function.
DIGEST_PERSON = b"dotterelpier key"


@frozen
class UsageCap:
    """Limit on the requests of an account that backend servers run.

    Attributes
    ----------
    rate_per_s : float
        Requests per second that are allowed in the long run, over all entries.
    burst : float
        Requests that are allowed at once after a silence.
    """

    rate_per_s: float
    burst: float


@frozen
class Account:
    """An account of clients, which its keys identify.

    Attributes
    ----------
    name : str
        Name, which backend servers are told.
    key_digests : frozenset of bytes
        Digests of its keys.
    priority : int or None
        Priority of its requests in place of the route's; None if it has none.
    cap : UsageCap or None
        Its usage cap, None if its usage is not limited.
    """

    name: str
    key_digests: frozenset[bytes] = field(default=frozenset(), repr=False)
    priority: int | None = None
    cap: UsageCap | None = None


# Stands for the clients of public routes that send no valid key.
ANONYMOUS = Account("")


def key_digest(key: bytes) -> bytes:
    """Return the digest by which a key is known; the key itself is kept nowhere."""
    return blake2b(key, digest_size=DIGEST_BYTES, person=DIGEST_PERSON).digest()
