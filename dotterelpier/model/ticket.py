"""Places of requests that wait for room at a backend server."""

import math

from attrs import define, field


@define(order=True)
class Ticket:
    """Place of a request in the queue of its service; tickets sort by their turn.

    Attributes
    ----------
    turn_at : float
        Time by which requests are ordered: the arrival, later for lower priorities.
    wait_until : float
        When the request stops waiting.
    objective_at : float
        When its response time objective ends.
    deadline_at : float
        Deadline of its answer. All times are on the monotonic clock, in seconds.
    service : str
        Service that it is for.
    waits : bool
        Whether it could not be sent at once, as it was not its turn or there was no
        room.
    checked_at : float
        When it was last checked whether it waits in vain.
    """

    turn_at: float
    wait_until: float = field(order=False)
    objective_at: float = field(order=False)
    deadline_at: float = field(order=False)
    service: str = field(order=False)
    waits: bool = field(default=False, order=False)
    checked_at: float = field(default=-math.inf, order=False)
