"""Requests of one entry for a service with an order: their release and outcome."""

from collections.abc import Callable, Mapping
from typing import TypeVar

from attrs import define, field, frozen

from dotterelpier.errors import AnswerTimeoutError, CallError, ClientLeftError
from dotterelpier.fleet.rollouts.evidence import EvidenceCounters
from dotterelpier.fleet.rollouts.gate import GateSelection, Group, ReleaseGate
from dotterelpier.model.instance import Instance
from dotterelpier.model.request import InstanceAnswer
from dotterelpier.model.rollout import RolloutCounts
from dotterelpier.model.route import Route
from dotterelpier.protocols import Clock
from dotterelpier.protocols.fleet import (
    ChosenServer,
    InstanceFilter,
    ReleaseSelection,
    TrackedAttempt,
)

FIRST_SERVER_ERROR_STATUS = 500

ChoiceT = TypeVar("ChoiceT", bound=ChosenServer)


def _ignore() -> None:
    """Do nothing."""


@define(eq=False)
class RolloutTraffic:
    """Gate and counters of one order at one entry. Thread-safe.

    Attributes
    ----------
    gate : ReleaseGate
        Which releases its requests may go to.
    evidence : EvidenceCounters
        What it counted.
    on_bad_answer : Callable
        Called after each bad answer of the target; must not block.
    """

    gate: ReleaseGate
    _clock: Clock
    evidence: EvidenceCounters = field(factory=EvidenceCounters)
    on_bad_answer: Callable[[], None] = _ignore

    def note_request(self) -> None:
        """Count a request of a client."""
        self.gate.note_request(self._clock.monotonic())

    def select(self, *, is_first: bool) -> ReleaseSelection:
        """Return the releases that an attempt may go to."""
        selection = self.gate.select(self._clock.monotonic(), is_first=is_first)
        return TrafficSelection(self, selection)

    def counts(self) -> RolloutCounts:
        """Return all counts since the order."""
        now = self._clock.monotonic()
        status = self.gate.status(now)
        return RolloutCounts(
            status.requests,
            status.sent,
            status.due,
            status.placed,
            *self.evidence.snapshot(now),
        )

    def now(self) -> float:
        """Return the time on the monotonic clock, in seconds."""
        return self._clock.monotonic()


@frozen
class TrafficSelection:
    """Releases that one attempt may go to, best first."""

    _traffic: RolloutTraffic
    _selection: GateSelection

    def choose(
        self,
        pick: Callable[[InstanceFilter], ChoiceT | None],
        track: Callable[[ChoiceT, TrackedAttempt], ChoiceT],
    ) -> ChoiceT | None:
        """Return the first choice of ``pick`` with how its outcome is counted."""
        chosen = self._selection.choose(pick)
        if chosen is None:
            return None
        choice, group = chosen
        attempt = CountedAttempt(self._traffic, choice.instance, group, choice.cold)
        return track(choice, attempt)


@define(eq=False)
class CountedAttempt:
    """An attempt whose outcome counts as evidence, unless its server was cold."""

    _traffic: RolloutTraffic
    _instance: Instance
    _group: Group
    _cold: bool

    def note_sent(self, route: Route) -> None:
        """Record that it was handed to a connection."""
        self.note_not_sent()
        if self._is_target and not self._cold:
            now = self._traffic.now()
            self._traffic.evidence.note_pending(id(self), route.name, now)

    def note_not_sent(self) -> None:
        """Record that no connection could take it."""
        if self._group is Group.OLD:
            self._traffic.gate.note_old_sent()

    def note_answer(
        self, route: Route, answer: InstanceAnswer, duration_s: float
    ) -> None:
        """Count its answer."""
        if not self._ends():
            return
        if answer.status >= FIRST_SERVER_ERROR_STATUS:
            self._traffic.evidence.note_error(route.name, self._is_target)
            self._tell_if_target()
            return
        work_ratio = answer.load.work_ratio if answer.load else 1.0
        self._traffic.evidence.note_answer(
            route.name, self._is_target, duration_s, work_ratio
        )

    def note_error(self, route: Route, error: CallError, duration_s: float) -> None:
        """Count a lost answer, or one that did not come in time.

        Attempts that certainly did not run tell nothing of the release.
        """
        if not self._ends() or not error.ran or isinstance(error, ClientLeftError):
            return
        if isinstance(error, AnswerTimeoutError):
            self._note_unanswered(route, duration_s)
            return
        self._traffic.evidence.note_lost(route.name, self._is_target, self._instance.id)
        self._tell_if_target()

    def note_aborted(self, route: Route, duration_s: float) -> None:
        """Count that this entry ended it, if it had taken long."""
        if self._ends():
            self._note_unanswered(route, duration_s)

    def log_fields(self) -> Mapping[str, str]:
        """Return the release that was chosen."""
        return {"release": self._instance.release}

    @property
    def _is_target(self) -> bool:
        return self._group is Group.TARGET

    def _ends(self) -> bool:
        """Record its end; return whether it counts as evidence."""
        self._traffic.evidence.forget_pending(id(self))
        return not self._cold and self._group is not Group.IN_SERVICE

    def _note_unanswered(self, route: Route, duration_s: float) -> None:
        self._traffic.evidence.note_unanswered(
            route.name, self._is_target, duration_s, route.target_s
        )

    def _tell_if_target(self) -> None:
        if self._is_target:
            self._traffic.on_bad_answer()
