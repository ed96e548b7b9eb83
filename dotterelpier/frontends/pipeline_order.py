"""Which requests of one connection may be served before their turn.

Answers go back in the order of the requests. A request whose answer cannot be sent,
because an earlier answer closes the connection, counts as unread by the entry, and the
client sends it again. So a request is started early only if no earlier answer can close
the connection by this entry's choice.
"""

from collections.abc import Sequence

from attrs import frozen

# Answers that wait for their turn on one connection; above it, nothing more is started.
MAX_HELD_BYTES = 1 << 20


@frozen
class QueuedRequest:
    """What is known of a request that is not yet answered.

    Attributes
    ----------
    may_start_early : bool
        Whether it is idempotent and has no body.
    may_close : bool
        Whether its answer closes the connection, or could break off.
    started : bool
        Whether it was started before its turn.
    held_bytes : int
        Size of its answer if that waits for its turn, in bytes.
    """

    may_start_early: bool
    may_close: bool = False
    started: bool = False
    held_bytes: int = 0


def startable(queue: Sequence[QueuedRequest], limit: int) -> tuple[int, ...]:
    """Return the positions of the requests to start now, the earliest first.

    Whoever cannot start one of them must not start a later one.

    Parameters
    ----------
    queue : sequence of QueuedRequest
        The requests of a connection in their order. The first one is in turn, and is
        served already.
    limit : int
        Largest number of requests that are served side by side, the first included.
    """
    if sum(request.held_bytes for request in queue) > MAX_HELD_BYTES:
        return ()
    positions = []
    for position, request in enumerate(queue[:limit]):
        if position > 0 and request.may_start_early and not request.started:
            positions.append(position)
        if not request.may_start_early or request.may_close:
            break
    return tuple(positions)
