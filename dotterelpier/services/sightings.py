"""Lease rows as seen by the scans of one entry."""

from collections.abc import Sequence

from attrs import define, field, frozen

from dotterelpier.model.membership import Member

NEVER = float("-inf")


@frozen
class Sighting:
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
    first_seen_at: float


@frozen
class _Scan:
    """Result of one scan of all lease rows."""

    started_at: float = NEVER
    sighting_by_id: dict[str, Sighting] = field(factory=dict)


@define
class Sightings:
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

    def take_in(
        self,
        rows: Sequence[tuple[Member, str]],
        started_at: float,
        ended_at: float,
    ) -> None:
        """Take in all lease rows with their versions."""
        known = self._scan.sighting_by_id
        resumed = ended_at - self._scan.started_at >= self._contact_s
        unchanged = {} if resumed else known
        sighting_by_id: dict[str, Sighting] = {}
        for member, version in rows:
            sighting = unchanged.get(member.id)
            if sighting is None or sighting.member.renewals != member.renewals:
                sighting = Sighting(member, version, ended_at)
            sighting_by_id[member.id] = sighting
        self._scan = _Scan(started_at, sighting_by_id)

    def learn(self, members: Sequence[Member]) -> None:
        """Take in members told by a peer, unless rows were read already."""
        if self._scan.started_at > NEVER:
            return
        learned = {member.id: Sighting(member, "", NEVER) for member in members}
        self._scan = _Scan(sighting_by_id={**learned, **self._scan.sighting_by_id})

    def known_by_id(self) -> dict[str, Member]:
        """Return all members with a lease row."""
        known = self._scan.sighting_by_id
        return {key: sighting.member for key, sighting in known.items()}

    def leased_by_id(self, now: float) -> dict[str, Member]:
        """Return the members whose leases have not lapsed."""
        known = self._scan.sighting_by_id
        return {
            key: sighting.member
            for key, sighting in known.items()
            if not self._is_lapsed(sighting, now)
        }

    def lapsed(self) -> tuple[Sighting, ...]:
        """Return the rows of the members whose leases lapsed before the last scan."""
        scan = self._scan
        return tuple(
            sighting
            for sighting in scan.sighting_by_id.values()
            if self._is_lapsed(sighting, scan.started_at)
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
        sighting = scan.sighting_by_id.get(member_id)
        return sighting is None or self._is_lapsed(sighting, scan.started_at)

    def _is_lapsed(self, sighting: Sighting, now: float) -> bool:
        patience_s = max(sighting.member.lease_s, self._contact_s) + self._margin_s
        return now - sighting.first_seen_at > patience_s


def make_sightings(margin_s: float, contact_s: float) -> Sightings:
    """Return sightings before the first scan."""
    return Sightings(margin_s, contact_s)
