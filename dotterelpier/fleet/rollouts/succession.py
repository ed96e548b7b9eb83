"""Which entry is the coordinator of a roll-out. The clock is a parameter."""

import math
from collections.abc import Iterable

from attrs import define, field

from dotterelpier.fleet.ranking import rank
from dotterelpier.fleet.rollouts.gate import SHARE_LIFETIME_S
from dotterelpier.model.fleet import FleetMember

# Entries in rank that get the reports.
REPORTED_RANKS = 2
# Entries in rank that may act as the coordinator at all.
ACTING_RANKS = 3
# Time after which each further one acts; a message of the one before it takes less.
NEXT_RANK_S = 1.0


@define
class Succession:
    """Ranks the entries for a service, and tracks which of them were heard.

    The first in rank is the coordinator. The next one acts once it has not heard it
    for the lifetime of a share, and the third a little later if it heard neither. Times
    are on the monotonic clock, in seconds.

    Attributes
    ----------
    service : str
        Name of the service.
    since : float
        When this entry began to listen.
    """

    service: str
    since: float
    _heard_by_name: dict[str, float] = field(factory=dict)

    def ranked(self, members: Iterable[FleetMember]) -> list[FleetMember]:
        """Return the members by rank."""
        return rank(f"rollout {self.service}", members)

    def note_heard(self, name: str, at: float) -> None:
        """Record that an entry acted as the coordinator."""
        self._heard_by_name[name] = at

    def position(self, me: FleetMember, members: Iterable[FleetMember]) -> int | None:
        """Return the rank of an entry, None if it never acts as the coordinator."""
        names = [item.name for item in self.ranked(members)[:ACTING_RANKS]]
        return names.index(me.name) if me.name in names else None

    def acts(self, position: int, members: Iterable[FleetMember], now: float) -> bool:
        """Return whether the entry with a rank is the coordinator."""
        before = self.ranked(members)[:position]
        heard = [self._heard_by_name.get(item.name, self.since) for item in before]
        silent_since = max(heard, default=-math.inf)
        return now - silent_since >= _succession_s(position)

    def is_outranked(
        self, name: str, members: Iterable[FleetMember], now: float
    ) -> bool:
        """Return whether one that ranks before an entry was heard lately."""
        names = [item.name for item in self.ranked(members)]
        before = names[: names.index(name)] if name in names else names
        oldest = now - SHARE_LIFETIME_S
        return any(self._heard_by_name.get(item, -math.inf) > oldest for item in before)

    def report_receivers(
        self, members: Iterable[FleetMember], heard_at: float, now: float
    ) -> list[FleetMember]:
        """Return the entries that get the reports.

        They are the first two in rank, without those that fell silent: ``heard_at`` is
        when a coordinator was last heard.
        """
        silent_s = now - max(heard_at, self.since)
        start = max(
            position
            for position in range(ACTING_RANKS)
            if silent_s >= _succession_s(position)
        )
        return self.ranked(members)[start : start + REPORTED_RANKS]


def _succession_s(position: int) -> float:
    """Return how long those before a rank must be silent until it acts."""
    if position == 0:
        return 0.0
    return SHARE_LIFETIME_S + (position - 1) * NEXT_RANK_S
