"""Which requests are still accepted during a planned stop."""

import math

from attrs import define

from dotterelpier.errors import StoppingError
from dotterelpier.protocols.fleet import DrainWindow

STEP = "stop.admission"


@define
class StopDrainWindow:
    """Refuses requests that the drain deadline could cut off.

    Early in a planned stop all requests are accepted, as nearly all of them end long
    before the drain deadline. Later ones must end before it whatever happens.
    """

    _all_accepted_until: float = math.inf
    _ends_at: float = math.inf

    def begin(self, all_accepted_until: float, ends_at: float) -> None:
        """Begin a planned stop; both times are on the monotonic clock, in seconds."""
        self._ends_at = ends_at
        self._all_accepted_until = all_accepted_until

    def check(self, arrived_at: float, deadline_at: float) -> None:
        """Check that a request may be sent; both times are on the monotonic clock.

        Raises
        ------
        StoppingError
            If it arrived late in a planned stop and could outlast it.
        """
        if arrived_at > self._all_accepted_until and deadline_at > self._ends_at:
            message = "entry is stopping, and the request could outlast it"
            raise StoppingError(message, step=STEP)


def make_drain_window() -> DrainWindow:
    """Return a window that accepts all requests until a planned stop begins."""
    return StopDrainWindow()
