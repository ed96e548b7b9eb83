"""Messages by which entries share the usage cap of an account."""

from attrs import frozen

from dotterelpier.model.account import UsageCap


@frozen
class GrantRequest:
    """Asks the home of an account for the right to admit requests.

    Attributes
    ----------
    reply_to : str
        Peer address of the entry that asks.
    id : int
        Number of the request at that entry; a repeated one has the same.
    account : str
        Name of the account.
    version : int
        Version of the configuration that states the cap.
    cap : UsageCap
        Its cap.
    wanted : int
        Requests to be granted; 0 to find out whether the home answers again.
    alone : int
        Requests that the entry has admitted without the home since its start.
    notice : bool
        Whether it needs no answer: it confirms that an allowance is withdrawn, and may
        return grants.
    returned : int
        Grants that came too late to be used.
    relayed : bool
        Whether an entry that is not the home passed it on.
    handed_over : float or None
        Level of the account's bucket at its former home, in a message of that home.
    """

    reply_to: str
    id: int
    account: str
    version: int
    cap: UsageCap
    wanted: int = 1
    alone: int = 0
    notice: bool = False
    returned: int = 0
    relayed: bool = False
    handed_over: float | None = None


@frozen
class GrantReply:
    """Answer of the home of an account.

    Attributes
    ----------
    id : int
        Number of the request.
    account : str
        Name of the account.
    granted : int
        Requests that the entry may admit now.
    hold_s : float
        If nothing was granted, the time until the bucket holds a request again, in
        seconds.
    room_s : float
        If nothing was granted, the time until there is room for those refused lately,
        in seconds.
    fill : float
        How full the bucket is, from 0 to 1.
    allowance_per_s : float
        Requests per second that the entry may admit for a time without the home.
    confirm_to : str
        Peer address of the home, if it withdraws the allowance and asks for a
        confirmation; otherwise empty.
    """

    id: int
    account: str
    granted: int = 0
    hold_s: float = 0.0
    room_s: float = 0.0
    fill: float = 0.0
    allowance_per_s: float = 0.0
    confirm_to: str = ""


@frozen
class GrantMessage:
    """A message to send, and the peer address of its receiver."""

    address: str
    content: GrantRequest | GrantReply
