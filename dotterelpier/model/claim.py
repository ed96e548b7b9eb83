"""Claims of idempotency keys."""

from enum import Enum

from attrs import field, frozen


class ClaimState(str, Enum):
    """State of a claim, by whether the answer of its call is known."""

    CLAIMED = "claimed"
    ANSWERED = "answered"


@frozen
class Claim:
    """Row in the platform's table that prevents a second use of an idempotency key.

    Attributes
    ----------
    attempt_id : str
        Id of the call that claimed the key.
    request_digest : str
        SHA-256 of the request, in hexadecimal.
    state : ClaimState
        ``CLAIMED`` until the outcome is known, then ``ANSWERED``.
    expires_at : float
        Time from which the row may be deleted, in seconds since 1970.
    status : int
        HTTP status of the answer, 0 until it is known.
    headers : list of list of str
        Name and value of each header of the answer.
    body_base64 : str
        Body of the answer, Base64 encoded.
    """

    attempt_id: str
    request_digest: str
    state: ClaimState
    expires_at: float
    status: int = 0
    headers: list[list[str]] = field(factory=list)
    body_base64: str = ""
