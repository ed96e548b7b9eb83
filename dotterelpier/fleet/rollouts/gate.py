"""Which releases the requests of one entry may go to while there is an order.

Decides from the record of the order and from the messages of its coordinator; the
clock is a parameter.
"""

import math
import random
import threading
from collections.abc import Callable
from enum import Enum
from functools import partial
from typing import TypeVar

from attrs import define, field, frozen

from dotterelpier.model.instance import Instance
from dotterelpier.model.rollout import (
    RolloutOrder,
    RolloutState,
    StoredRecord,
)

# A share older than this is not used.
SHARE_LIFETIME_S = 2.0
# An entry that heard a coordinator, and none since for this long, sends nothing to the
# old releases either: they may have been terminated. It is longer than the succession
# of coordinators takes after the loss of the first two.
LEASE_S = 3.5
# Credits that an entry without room at the target may save.
MAX_CREDIT = 2.0


T = TypeVar("T")


class Group(Enum):
    """Releases that an attempt may go to.

    ``IN_SERVICE`` are all releases that the final decision left in service.
    """

    TARGET = "target"
    OLD = "old"
    IN_SERVICE = "in_service"


@frozen
class GateStatus:
    """What the gate tells the coordinator.

    Attributes
    ----------
    requests : int
        Requests of clients since the order.
    sent, due, placed : int
        Attempts sent to the target, that were to go there, and that found room there.
    choosing_old : int
        Attempts that may still be sent to an old release.
    sealed_version : int
        Version of the record under which nothing goes to the old releases, 0 if it may.
    heard : bool
        Whether a coordinator was ever heard.
    closed : bool
        Whether nothing goes to the old releases as none was heard for long.
    """

    requests: int
    sent: int
    due: int
    placed: int
    choosing_old: int
    sealed_version: int
    heard: bool
    closed: bool


@define
class ReleaseGate:
    """Releases permitted for the requests of one service, and the credits of its share.

    Each entry starts with a random credit, so that the sum over all entries follows the
    share even if each serves few requests. Thread-safe. Times are on the monotonic
    clock, in seconds.

    Attributes
    ----------
    order : RolloutOrder
        The order in force.
    inherited : frozenset of str
        Releases out of service by an earlier decision, until a record of this order
        names them.
    held_until : float
        Until when nothing is sent before a record of the order is known, as it may
        have been decided already.
    """

    order: RolloutOrder
    inherited: frozenset[str] = frozenset()
    held_until: float = -math.inf
    _stored: StoredRecord = StoredRecord(None, 0)
    _out_of_service: frozenset[str] = field(init=False)
    _share: float = 0.0
    _share_until: float = -math.inf
    _heard_at: float = -math.inf
    _halted: str = ""
    _credit: float = field(factory=random.random)
    _requests: int = 0
    _sent: int = 0
    _due: int = 0
    _placed: int = 0
    _choosing_old: int = 0
    _lock: threading.Lock = field(factory=threading.Lock)

    def __attrs_post_init__(self) -> None:
        self._out_of_service = self.inherited

    def stored(self) -> StoredRecord:
        """Return the newest known record of this order, if there is one."""
        return self._stored

    def note_record(self, stored: StoredRecord) -> bool:
        """Apply a record of the order unless a newer one is known."""
        record = stored.record
        with self._lock:
            if record is None or record.order_version != self.order.version:
                return False
            if stored.version <= self._stored.version:
                return False
            self._stored = stored
            self._out_of_service = record.out_of_service()
            return True

    def note_heard(self, at: float) -> None:
        """Record that the entry was in touch with the fleet at some time.

        It was if a coordinator was heard, or if it is the coordinator itself and heard
        most of the others.
        """
        with self._lock:
            self._heard_at = max(self._heard_at, at)

    def note_share(self, share: float, now: float, age_s: float = 0.0) -> None:
        """Apply a share that the coordinator sent ``age_s`` seconds ago."""
        with self._lock:
            until = now - age_s + SHARE_LIFETIME_S
            if until > now:
                self._share, self._share_until = share, until

    def halt(self, reason: str) -> bool:
        """Send nothing to the target for good; return whether this is new."""
        with self._lock:
            is_new = not self._halted
            self._halted = self._halted or reason
            return is_new

    def halted(self) -> str:
        """Return why nothing goes to the target any more, empty if it may."""
        return self._halted

    def share(self, now: float) -> float:
        """Return the share of the requests that go to the target now."""
        with self._lock:
            record = self._stored.record
            if record is not None and record.state.is_final:
                return float(record.state is RolloutState.COMPLETED)
            return self._share_in_force(now)

    def heard_at(self) -> float:
        """Return when the coordinator was last heard, minus infinity if never."""
        return self._heard_at

    def out_of_service(self) -> frozenset[str]:
        """Return the releases that get nothing by the decisions known here."""
        return self._out_of_service

    def status(self, now: float) -> GateStatus:
        """Return what the coordinator must know."""
        with self._lock:
            record, version = self._stored.record, self._stored.version
            sealed = record is not None and record.state is RolloutState.COMPLETING
            return GateStatus(
                self._requests,
                self._sent,
                self._due,
                self._placed,
                self._choosing_old,
                version if sealed else 0,
                self._heard_at > -math.inf,
                not self._old_may_serve(now),
            )

    def note_request(self, now: float) -> None:
        """Count a request of a client, which adds to the credit of the target."""
        with self._lock:
            self._requests += 1
            share = self._share_in_force(now)
            if share < 1:
                self._credit = min(MAX_CREDIT, self._credit + share)

    def select(self, now: float, *, is_first: bool) -> "GateSelection":
        """Return the groups of releases that an attempt may go to, best first.

        The caller must report what was chosen.
        """
        with self._lock:
            groups = self._groups(now, is_first)
            if Group.OLD in groups:
                self._choosing_old += 1
            if groups[:1] == (Group.TARGET,):
                self._due += 1
                if Group.OLD in groups:
                    self._credit -= 1
            return GateSelection(self, groups)

    def _groups(self, now: float, is_first: bool) -> tuple[Group, ...]:
        record = self._stored.record
        if record is not None and record.state.is_final:
            return (Group.IN_SERVICE,)
        share = self._share_in_force(now)
        if record is not None and record.state is RolloutState.COMPLETING:
            return (Group.TARGET,) if share > 0 else ()
        if share >= 1:
            return (Group.TARGET,)
        if not self._old_may_serve(now):
            return ()
        if is_first and share > 0 and self._credit >= 1:
            return (Group.TARGET, Group.OLD)
        return (Group.OLD,)

    def _old_may_serve(self, now: float) -> bool:
        if self._stored.record is None and now < self.held_until:
            return self._heard_at > -math.inf
        return self._heard_at == -math.inf or now - self._heard_at < LEASE_S

    def _share_in_force(self, now: float) -> float:
        if self._halted or now >= self._share_until:
            return 0.0
        return self._share

    def permits(self, group: Group, instance: Instance) -> bool:
        """Return whether a backend server belongs to a group."""
        if group is Group.TARGET:
            return instance.release == self.order.target
        if instance.release in self._out_of_service:
            return False
        return group is Group.IN_SERVICE or instance.release != self.order.target

    def settle(self, groups: tuple[Group, ...], chosen: Group | None) -> None:
        """Record which group was chosen, None if no backend server had room."""
        with self._lock:
            if chosen is Group.TARGET:
                self._sent += 1
                self._placed += 1
            elif groups == (Group.TARGET, Group.OLD):
                self._credit += 1
            if Group.OLD in groups and chosen is not Group.OLD:
                self._choosing_old -= 1

    def note_old_sent(self) -> None:
        """Record that an attempt to an old release was sent, or never will be."""
        with self._lock:
            self._choosing_old -= 1


@frozen
class GateSelection:
    """Groups of releases that one attempt may go to, best first."""

    gate: ReleaseGate
    groups: tuple[Group, ...]

    def choose(
        self, pick: Callable[[Callable[[Instance], bool]], T | None]
    ) -> tuple[T, Group] | None:
        """Return the first choice of ``pick`` and its group, None without one."""
        chosen: Group | None = None
        try:
            for group in self.groups:
                choice = pick(partial(self.gate.permits, group))
                if choice is not None:
                    chosen = group
                    return choice, group
            return None
        finally:
            self.gate.settle(self.groups, chosen)
