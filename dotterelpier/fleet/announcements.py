"""Announcements of publishers, as an entry received them."""

from attrs import frozen

from dotterelpier.model.fleet import Announcement, FleetMember, TableVersions


@frozen
class ReceivedAnnouncement:
    """The last announcement of a publisher, and when the store last answered it."""

    member: FleetMember
    versions_by_table: dict[str, TableVersions]
    store_answered_at: float

    def newest_change(self, table: str) -> int:
        """Return the version of the newest change of a table, -1 if none is known."""
        versions = self.versions_by_table.get(table)
        if versions is None or versions.complete_to < 0:
            return -1
        return versions.changed

    def differs(self, before: "ReceivedAnnouncement", max_staleness_s: float) -> bool:
        """Return whether a table changed, or the publisher was stale in between."""
        unheard_s = self.store_answered_at - before.store_answered_at
        return unheard_s > max_staleness_s or any(
            self.newest_change(table) != before.newest_change(table)
            for table in self.versions_by_table
        )


def make_received(
    member: FleetMember, announcement: Announcement, now: float
) -> ReceivedAnnouncement:
    """Return an announcement of a member as received now, on the monotonic clock."""
    return ReceivedAnnouncement(
        member,
        {item.table: item for item in announcement.tables},
        now - announcement.store_age_s,
    )
