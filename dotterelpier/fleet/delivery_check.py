"""Detects changes of the store that no watch has delivered.

The response to a watch may be lost while its connection stays open. All tables share
one counter of versions, so a reply about one table shows that some table has changed.
"""

from attrs import define

from dotterelpier.model.fleet import StoreReply

# A change is late after this time, in seconds. It is longer than the pause after which
# a follower of registrations asks for more changes.
DELIVERY_TIME_S = 0.6


@define
class DeliveryCheck:
    """Compares the store's version with the newest change that was delivered."""

    _delivered_version: int = 0
    _awaited_version: int = 0
    _wait_s: float = DELIVERY_TIME_S
    _overdue_at: float = float("inf")

    def note_delivery(self, reply: StoreReply) -> None:
        """Record the changes of a reply, from the store or from another entry."""
        newest = max((row.version for row in reply.rows), default=0)
        if reply.whole:
            newest = max(newest, reply.version)
        self._delivered_version = max(self._delivered_version, newest)

    def note_store_version(self, version: int, now: float) -> None:
        """Record the version in a reply of the store; ``now`` is in seconds."""
        if self._is_awaiting() or version <= self._delivered_version:
            return
        self._awaited_version = version
        self._wait_s = DELIVERY_TIME_S
        self._overdue_at = now + self._wait_s

    def is_overdue(self, now: float) -> bool:
        """Return whether a change should have been delivered by now.

        Each time it is, the wait doubles: the change may be one of a table that no task
        follows.
        """
        if not self._is_awaiting() or now < self._overdue_at:
            return False
        self._wait_s *= 2
        self._overdue_at = now + self._wait_s
        return True

    def awaited_version(self) -> int:
        """Return the version of the store that is awaited, or was last."""
        return self._awaited_version

    def delivered_version(self) -> int:
        """Return the version of the newest change that was delivered."""
        return self._delivered_version

    def _is_awaiting(self) -> bool:
        return self._awaited_version > self._delivered_version
