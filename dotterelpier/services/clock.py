"""Clock service."""

import time

from attrs import frozen

from dotterelpier.protocols import Clock


@frozen
class SystemClock:
    """The clocks of this machine."""

    def monotonic(self) -> float:
        """Return seconds on a clock that never jumps, from an arbitrary origin."""
        return time.monotonic()

    def unix(self) -> float:
        """Return seconds since 1970; jumps when the clock is set."""
        return time.time()


def make_clock() -> Clock:
    """Return the system clock."""
    return SystemClock()
