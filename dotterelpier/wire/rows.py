"""Keys and codec of the rows in the platform's table."""

import hashlib
from typing import TypeVar

from attrs import frozen

from dotterelpier.errors import PlatformUnavailableError
from dotterelpier.model.platform import Row
from dotterelpier.wire.structure import decode_json, encode_json

T = TypeVar("T")

MEMBER_PREFIX = "member/"
AUDIT_PREFIX = "audit/"
CLAIM_PREFIX = "claim/"
CLAIM_SHARD_DIGITS = 3
CLAIM_SHARDS = 16**CLAIM_SHARD_DIGITS
MANIFEST_KEY = "manifest"
ASSIGNMENT_KEY = "assignment"


@frozen
class ManifestRow:
    """Row that names the accepted manifest.

    Attributes
    ----------
    number : int
        Revision number.
    digest : str
        SHA-256 of the manifest text, which the object store holds.
    apply_id : str
        Id of the ``manifest apply`` that wrote the row.
    """

    number: int
    digest: str
    apply_id: str


def member_key(member_id: str) -> str:
    """Return the key of a member's lease row."""
    return MEMBER_PREFIX + member_id


def manifest_object(digest: str) -> str:
    """Return the object store name of the manifest text with this digest."""
    return f"manifest-{digest}"


def claim_key(service: str, idempotency_key: str) -> str:
    """Return the key of a claim row; hashing the caller's key bounds its size."""
    hashed = hashlib.sha256(f"{service}/{idempotency_key}".encode()).hexdigest()
    return CLAIM_PREFIX + hashed


def claim_shard_prefix(shard: int) -> str:
    """Return the key prefix of one shard of the claim rows.

    Parameters
    ----------
    shard : int
        Number from 0 to ``CLAIM_SHARDS`` - 1.
    """
    return f"{CLAIM_PREFIX}{shard:0{CLAIM_SHARD_DIGITS}x}"


def decode_row(row: Row, kind: type[T]) -> T:
    """Return the content of a row as an instance of a class.

    Raises
    ------
    PlatformUnavailableError
        If the content is not JSON or does not fit the class.
    """
    try:
        return decode_json(row.value, kind)
    except ValueError as error:
        raise PlatformUnavailableError(
            f"row {row.key!r} is malformed: {error}", step="platform.decode"
        ) from None


def encode_row(value: object) -> bytes:
    """Return an instance as the content of a row."""
    return encode_json(value)
