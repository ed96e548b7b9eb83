"""Which entries watch the store for the others."""

from dotterelpier.fleet.ranking import rank
from dotterelpier.model.fleet import FleetMember

# Another publisher must be known when one is lost.
MIN_PUBLISHERS = 2
# A publisher costs calls to the store, and saves traffic between zones to the entries
# of its own.
ENTRIES_PER_PUBLISHER = 32


def publisher_names(members: tuple[FleetMember, ...]) -> frozenset[str]:
    """Return the names of the entries that watch the store for the others.

    They are in different zones if there are enough.
    """
    # The ranking keys must not change, so that entries of all releases choose alike.
    zones = {member.zone for member in members}
    first_of_zones = [
        rank(f"keeper {zone}", [item for item in members if item.zone == zone])[0]
        for zone in zones
    ]
    wanted = max(MIN_PUBLISHERS, len(members) // ENTRIES_PER_PUBLISHER)
    names = {item.name for item in rank("keeper", first_of_zones)[:wanted]}
    for member in rank("keeper", members):
        if len(names) < MIN_PUBLISHERS:
            names.add(member.name)
    return frozenset(names)
