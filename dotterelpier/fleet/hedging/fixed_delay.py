"""Hedging while operators set no limit: once, after a fixed share of the objective."""

from attrs import frozen

from dotterelpier.model.hedge import HedgeCandidate
from dotterelpier.model.route import Route

# Share of the objective after which an idempotent request is hedged even if its backend
# server is not known to be slow.
HEDGE_DELAY_SHARE = 0.6
# Share of the objective after which a hedged request could not end within it.
HEDGE_LATEST_SHARE = 0.75


@frozen
class FixedDelayHedging:
    """Hedges after a fixed share of the objective, limited by the retry budget alone.

    Keeps no state. All times are on the monotonic clock, in seconds.
    """

    limited: bool = False

    def note_request(self, service: str) -> None:
        """Do nothing; only the retry budget limits hedged requests."""

    def due_at(self, route: Route, arrived_at: float, sent_at: float) -> float:
        """Return when a hedged request is due, counted from the arrival."""
        return arrived_at + route.target_s * HEDGE_DELAY_SHARE

    def admit(self, candidate: HedgeCandidate, now: float) -> bool:
        """Return whether a hedged request can still end within the objective."""
        elapsed_s = now - candidate.arrived_at
        return elapsed_s <= candidate.route.target_s * HEDGE_LATEST_SHARE

    def note_unsent(self, service: str, *, no_room: bool) -> None:
        """Do nothing."""

    def note_attempt(self, route: Route, duration_s: float, *, ended: bool) -> None:
        """Do nothing; the delay follows from the objective alone."""

    def note_won(self, service: str) -> None:
        """Do nothing."""
