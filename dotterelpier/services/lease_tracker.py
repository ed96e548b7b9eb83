"""Lease rows as seen by the scans of one entry."""

from collections.abc import Sequence

from attrs import define, field, frozen

from dotterelpier.model.membership import Member

NEVER = float("-inf")


@frozen
class ObservedLease:
    """A lease row, and since when it was seen unchanged.

    Attributes
    ----------
    member : Member
        Content of the row.
    version : str
        Version of the row, empty if it was learned from a peer.
    first_seen_at : float
        When it was first seen like this, on the monotonic clock, in seconds.
    """

    member: Member
    version: str
    unchanged_since: float


@frozen
class _Scan:
    """Result of one scan of all lease rows."""

    started_at: float = NEVER
    observed_lease_by_id: dict[str, ObservedLease] = field(factory=dict)


@define
class LeaseTracker:
    """Judges leases by how long their rows stay unchanged.

    A lease counts as lapsed once its row was seen unchanged for the duration of the
    lease and a margin, on the monotonic clock of this process. After a gap between
    scans the observation starts anew, so that the holders can renew first, and
    whatever they may still send on the word of this entry has passed its deadline.

    Parameters
    ----------
    margin_s : float
        Longer wait before a lease counts as lapsed, in seconds.
    contact_s : float
        Gap between scans after which the observation starts anew, in seconds.
    """

    _margin_s: float
    _contact_s: float
    _scan: _Scan = field(factory=_Scan)

    def record_scan(
        self,
        rows: Sequence[tuple[Member, str]],
        started_at: float,
        ended_at: float,
    ) -> None:
        """Take in all lease rows with their versions."""
        known = self._scan.observed_lease_by_id
        after_gap = ended_at - self._scan.started_at >= self._contact_s
        unchanged = {} if after_gap else known
        observed_lease_by_id: dict[str, ObservedLease] = {}
        for member, version in rows:
            lease = unchanged.get(member.id)
            if lease is None or lease.member.renewals != member.renewals:
                lease = ObservedLease(member, version, ended_at)
            observed_lease_by_id[member.id] = lease
        self._scan = _Scan(started_at, observed_lease_by_id)

    def record_reported(self, members: Sequence[Member]) -> None:
        """Take in members told by a peer, unless rows were read already."""
        if self._scan.started_at > NEVER:
            return
        reported = {member.id: ObservedLease(member, "", NEVER) for member in members}
        self._scan = _Scan(
            observed_lease_by_id={**reported, **self._scan.observed_lease_by_id}
        )

    def known_by_id(self) -> dict[str, Member]:
        """Return all members with a lease row."""
        known = self._scan.observed_lease_by_id
        return {key: lease.member for key, lease in known.items()}

    def leased_by_id(self, now: float) -> dict[str, Member]:
        """Return the members whose leases have not lapsed."""
        known = self._scan.observed_lease_by_id
        return {
            key: lease.member
            for key, lease in known.items()
            if not self._is_lapsed(lease, now)
        }

    def lapsed_leases(self) -> tuple[ObservedLease, ...]:
        """Return the rows of the members whose leases lapsed before the last scan."""
        scan = self._scan
        return tuple(
            lease
            for lease in scan.observed_lease_by_id.values()
            if self._is_lapsed(lease, scan.started_at)
        )

    def has_lapsed(self, member_id: str, since: float) -> bool:
        """Tell whether a scan begun after ``since`` saw a lease lapsed or its row gone.

        Parameters
        ----------
        member_id : str
            Id of the member.
        since : float
            On the monotonic clock, in seconds.
        """
        scan = self._scan
        if scan.started_at <= since:
            return False
        lease = scan.observed_lease_by_id.get(member_id)
        return lease is None or self._is_lapsed(lease, scan.started_at)

    def _is_lapsed(self, lease: ObservedLease, now: float) -> bool:
        lapse_after_s = max(lease.member.lease_s, self._contact_s) + self._margin_s
        return now - lease.unchanged_since > lapse_after_s


def make_lease_tracker(margin_s: float, contact_s: float) -> LeaseTracker:
    """Return sightings before the first scan."""
    return LeaseTracker(margin_s, contact_s)
