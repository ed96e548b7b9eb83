"""Protocols of roll-outs: which release a request may go to, and what came of it."""

from collections.abc import Callable, Mapping
from typing import Protocol, TypeVar

from dotterelpier.errors import CallError
from dotterelpier.model.instance import Instance
from dotterelpier.model.request import InstanceAnswer
from dotterelpier.model.route import Route

# Whether a backend server may be chosen.
InstanceFilter = Callable[[Instance], bool]


class ChosenServer(Protocol):
    """What a selection reads of a choice."""

    @property
    def instance(self) -> Instance:
        """Return the chosen backend server."""
        ...

    @property
    def cold(self) -> bool:
        """Return whether it was in its cold start."""
        ...


ChoiceT = TypeVar("ChoiceT", bound=ChosenServer)


class TrackedAttempt(Protocol):
    """An attempt of a request, as the roll-out of its service counts it.

    Each attempt is reported as sent or not sent; one that was sent has exactly one
    outcome after that.
    """

    def note_sent(self, route: Route) -> None:
        """Record that it was handed to a connection."""
        ...

    def note_not_sent(self) -> None:
        """Record that no connection could take it."""
        ...

    def note_answer(
        self, route: Route, answer: InstanceAnswer, duration_s: float
    ) -> None:
        """Record its answer."""
        ...

    def note_error(self, route: Route, error: CallError, duration_s: float) -> None:
        """Record that it ended without an answer."""
        ...

    def note_aborted(self, route: Route, duration_s: float) -> None:
        """Record that this entry ended it before its answer."""
        ...

    def log_fields(self) -> Mapping[str, str]:
        """Return what its log line tells about the roll-out."""
        ...


class ReleaseSelection(Protocol):
    """The releases that one attempt may go to."""

    def choose(
        self,
        pick: Callable[[InstanceFilter], ChoiceT | None],
        track: Callable[[ChoiceT, TrackedAttempt], ChoiceT],
    ) -> ChoiceT | None:
        """Return what ``pick`` chooses among the permitted backend servers.

        ``pick`` is called for each group of releases in the order of preference until
        it returns a choice, to which ``track`` adds how its outcome is counted.
        """
        ...


class Rollouts(Protocol):
    """Roll-outs of releases, as far as this entry's requests are concerned."""

    def note_request(self, service: str) -> None:
        """Count a request of a client."""
        ...

    def select(self, service: str, *, is_first: bool) -> ReleaseSelection | None:
        """Return the releases that an attempt may go to, None if all of them.

        ``is_first`` tells whether it is the first attempt of its request.
        """
        ...

    def target(self, service: str) -> str | None:
        """Return the release that is ordered for a service, None without an order."""
        ...

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call a listener when an order comes or goes; it must not block.

        It runs in the task of the table follower.
        """
        ...
