"""Last heartbeats of the peers of one entry, and their times."""

import threading
from collections.abc import Collection

from attrs import define, field

from dotterelpier.model.membership import Heartbeat, Member, PeerStatus

NEVER = float("-inf")

# A peer that reports a higher revision still counts as agreeing for this long, so that
# the entry can fetch the revision before it stops taking work.
CATCH_UP_S = 1.0


@define
class HeartbeatTracker:
    """Keeps the last heartbeat of each peer, and what it implies.

    All methods are thread-safe.

    Parameters
    ----------
    contact_s : float
        Age up to which a heartbeat is fresh, in seconds.
    """

    _contact_s: float
    _status_by_id: dict[str, PeerStatus] = field(factory=dict)
    _platform_unreached_at_by_id: dict[str, float] = field(factory=dict)
    _ahead_since_by_id: dict[str, float] = field(factory=dict)
    _unknown_sender_reached_at: float = NEVER
    _lock: threading.Lock = field(factory=threading.Lock)

    def record_heartbeat(
        self, member: Member, heartbeat: Heartbeat, now: float, revision: int
    ) -> None:
        """Record a heartbeat of a known member, unless a later one was recorded.

        Parameters
        ----------
        member : Member
            The sender.
        heartbeat : Heartbeat
            The message.
        now : float
            Time of receipt, in seconds on the monotonic clock.
        revision : int
            Manifest revision in force on this entry.
        """
        with self._lock:
            before = self._status_by_id.get(member.id, PeerStatus(member))
            if before.heartbeat and _is_outdated(heartbeat, before.heartbeat):
                return
            self._status_by_id[member.id] = PeerStatus(member, heartbeat, now)
            if heartbeat.platform_reached:
                self._platform_unreached_at_by_id.pop(member.id, None)
            if heartbeat.revision > revision:
                self._ahead_since_by_id.setdefault(member.id, now)
            else:
                self._ahead_since_by_id.pop(member.id, None)

    def record_reply(
        self, member: Member, heartbeat: Heartbeat, sent_at: float, revision: int
    ) -> None:
        """Record the reply to a heartbeat that this entry sent.

        Parameters
        ----------
        member : Member
            The sender of the reply.
        heartbeat : Heartbeat
            The reply.
        sent_at : float
            When this entry sent its heartbeat, in seconds on the monotonic clock. The
            peer wrote its reply later, so the reply is no older.
        revision : int
            Manifest revision in force on this entry.
        """
        self.record_heartbeat(member, heartbeat, sent_at, revision)
        if not heartbeat.platform_reached:
            with self._lock:
                self._platform_unreached_at_by_id[member.id] = sent_at

    def record_unknown_sender(self, heartbeat: Heartbeat, now: float) -> None:
        """Record a heartbeat of an entry whose lease row has not been read yet."""
        if heartbeat.platform_reached:
            self._unknown_sender_reached_at = now

    def retain(self, member_ids: Collection[str]) -> None:
        """Drop the state of all peers but these."""
        with self._lock:
            for member_id in self._status_by_id.keys() - set(member_ids):
                del self._status_by_id[member_id]
                self._platform_unreached_at_by_id.pop(member_id, None)
                self._ahead_since_by_id.pop(member_id, None)

    def status(self, member: Member) -> PeerStatus:
        """Return the last heartbeat of a peer, if any, and its time."""
        with self._lock:
            return self._status_by_id.get(member.id, PeerStatus(member))

    def has_fresh_heartbeat(self, member_id: str, now: float) -> bool:
        """Return whether the last heartbeat of a peer is under ``contact_s`` old."""
        with self._lock:
            status = self._status_by_id.get(member_id)
        return status is not None and now - status.last_heartbeat_at < self._contact_s

    def count_agreeing(
        self, member_ids: Collection[str], now: float, revision: int
    ) -> int:
        """Return how many peers have a fresh heartbeat and no higher revision.

        A peer with a higher revision still counts for ``CATCH_UP_S`` after it first
        reported one.
        """
        return sum(
            self.has_fresh_heartbeat(member_id, now)
            and not self._is_ahead(member_id, now, revision)
            for member_id in member_ids
        )

    def no_takeover_until(self, member_ids: Collection[str], now: float) -> float:
        """Return until when no peer can take over homes, on the monotonic clock.

        Each peer must have replied that it does not reach the platform, else the value
        is ``-inf``. A peer that reaches the platform again takes over nothing for more
        than ``contact_s``, as its observation of the leases restarts.
        """
        if now - self._unknown_sender_reached_at < self._contact_s:
            return NEVER
        with self._lock:
            oldest = min(
                (
                    self._platform_unreached_at_by_id.get(key, NEVER)
                    for key in member_ids
                ),
                default=now,
            )
        return oldest + self._contact_s

    def _is_ahead(self, member_id: str, now: float, revision: int) -> bool:
        with self._lock:
            status = self._status_by_id.get(member_id)
            since = self._ahead_since_by_id.get(member_id, now)
        if status is None or status.heartbeat is None:
            return False
        return status.heartbeat.revision > revision and now - since > CATCH_UP_S


def _is_outdated(heartbeat: Heartbeat, before: Heartbeat) -> bool:
    """Return whether a heartbeat was certainly written before another of its sender.

    An entry never takes its planned stop back, and its revision never falls. A reply to
    a heartbeat may arrive after a later heartbeat of the same entry.
    """
    if heartbeat.revision != before.revision:
        return heartbeat.revision < before.revision
    return before.leaving and not heartbeat.leaving


def make_heartbeat_tracker(contact_s: float) -> HeartbeatTracker:
    """Return a tracker that has no heartbeats yet."""
    return HeartbeatTracker(contact_s)
