"""What the request path sees of roll-outs where there is no order."""

from collections.abc import Callable, Mapping

from dotterelpier.errors import CallError
from dotterelpier.model.request import InstanceAnswer
from dotterelpier.model.route import Route
from dotterelpier.protocols.fleet import ReleaseSelection

NO_FIELDS: Mapping[str, str] = {}


class UntrackedAttempt:
    """An attempt for a service without an order; nothing is counted."""

    def note_sent(self, route: Route) -> None:
        """Do nothing."""

    def note_not_sent(self) -> None:
        """Do nothing."""

    def note_answer(
        self, route: Route, answer: InstanceAnswer, duration_s: float
    ) -> None:
        """Do nothing."""

    def note_error(self, route: Route, error: CallError, duration_s: float) -> None:
        """Do nothing."""

    def note_aborted(self, route: Route, duration_s: float) -> None:
        """Do nothing."""

    def log_fields(self) -> Mapping[str, str]:
        """Return no fields."""
        return NO_FIELDS


UNTRACKED = UntrackedAttempt()


class NoRollouts:
    """Roll-outs of an entry that follows no orders."""

    def note_request(self, service: str) -> None:
        """Do nothing."""

    def select(self, service: str, *, is_first: bool) -> ReleaseSelection | None:
        """Return None: an attempt may go to all releases."""
        return None

    def target(self, service: str) -> str | None:
        """Return None: there is no order."""
        return None

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Do nothing, as no order ever comes."""
