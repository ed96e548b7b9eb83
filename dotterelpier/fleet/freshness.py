"""Up to when a copy of a table of the store is known to be current.

Copies become outdated while the store is away, and also while the process is frozen:
it then goes on as if no time had passed, with messages that arrived before.
"""

import math
import threading

from attrs import define, field

from dotterelpier.fleet.announcements import ReceivedAnnouncement

# A task that runs every quarter of a second runs this late only if the process was
# frozen, or the machine starved it.
FREEZE_GAP_S = 1.0
# Messages that arrived during the freeze are processed within this time.
SETTLE_S = 0.1
# Longest time for which a process that was frozen is taken for outdated. It is longer
# than two intervals between announcements.
DOUBT_S = 0.6


@define
class TableFreshness:
    """Tells until when the rows applied from a table are known to be all of them.

    All times are on the monotonic clock, in seconds.

    Attributes
    ----------
    confirmed_at : float
        The last time at which no change was missing, minus infinity before the first.
    """

    confirmed_at: float = -math.inf
    _applied_version: int = -1
    # Newest change of the table that was stated but not yet applied, and as of when.
    _stated_version: int = -1
    _stated_at: float = -math.inf
    _last_turn_at: float = math.inf
    _resumed_at: float = -math.inf

    def note_applied(self, version: int) -> None:
        """Record that all changes up to a version of the store are applied."""
        self._applied_version = max(self._applied_version, version)
        if self._stated_version <= self._applied_version:
            self.confirmed_at = max(self.confirmed_at, self._stated_at)

    def note_statement(self, version: int, at: float, now: float) -> None:
        """Record that at some time the newest change of the table was this one.

        A statement that may have arrived during a freeze does not count.
        """
        self.note_turn(now)
        if now < self._resumed_at + SETTLE_S or at < self._stated_at:
            return
        self._stated_version, self._stated_at = version, at
        self.note_applied(self._applied_version)

    def note_turn(self, now: float) -> None:
        """Detect a freeze; to be called at least every quarter of a second."""
        if now - self._last_turn_at > FREEZE_GAP_S:
            self._resumed_at = now
        self._last_turn_at = now

    def is_confirmed(self) -> bool:
        """Return whether the table was current at some time after the last freeze."""
        return self.confirmed_at > self._resumed_at

    def doubt_s(self, now: float) -> float:
        """Return for how long to wait for a confirmation, as the process was frozen."""
        self.note_turn(now)
        if self.is_confirmed():
            return 0.0
        return max(0.0, self._resumed_at + DOUBT_S - now)


@define
class Freshness:
    """Freshness of each table, told by the store and by announcements. Thread-safe."""

    _table_by_name: dict[str, TableFreshness] = field(factory=dict)
    _changed: threading.Condition = field(factory=threading.Condition)

    def note_announcement(self, received: ReceivedAnnouncement, now: float) -> None:
        """Record up to when a publisher knows the newest changes of its tables."""
        with self._changed:
            for name, versions in received.versions_by_table.items():
                stated_at = received.store_answered_at
                self._table(name).note_statement(versions.changed, stated_at, now)
            self._changed.notify_all()

    def note_store_answer(self, name: str, version: int, now: float) -> None:
        """Record that the store answered a call for a table with its version."""
        with self._changed:
            self._table(name).note_statement(version, now, now)

    def note_applied(self, name: str, version: int) -> None:
        """Record that all changes of a table up to a version are applied."""
        with self._changed:
            self._table(name).note_applied(version)
            self._changed.notify_all()

    def note_turn(self, now: float) -> None:
        """Detect a freeze; to be called at least every quarter of a second."""
        with self._changed:
            for table in self._table_by_name.values():
                table.note_turn(now)

    def is_doubtful(self, now: float) -> bool:
        """Return whether the process was frozen, and a table may be outdated."""
        with self._changed:
            return any(table.doubt_s(now) for table in self._table_by_name.values())

    def confirmed_at(self, name: str) -> float:
        """Return the last time at which no change of a table was missing."""
        with self._changed:
            return self._table(name).confirmed_at

    def wait_after_freeze(self, name: str, now: float, until: float) -> None:
        """Block while a table may be outdated as the process was frozen.

        Parameters
        ----------
        name : str
            Name of the table.
        now, until : float
            The present time, and when to stop waiting, on the monotonic clock.
        """
        with self._changed:
            table = self._table(name)
            wait_s = min(table.doubt_s(now), until - now)
            if wait_s > 0:
                self._changed.wait_for(table.is_confirmed, wait_s)

    def _table(self, name: str) -> TableFreshness:
        return self._table_by_name.setdefault(name, TableFreshness())
