"""Backend servers of the releases of a service, as the registry states them."""

from collections.abc import Iterable

from attrs import define, field

from dotterelpier.fleet.rollouts.course import ReleaseSlots
from dotterelpier.model.instance import Instance


@define
class ReleaseServers:
    """Slots of the target and of the old releases, and the addresses of the old ones.

    Attributes
    ----------
    service : str
        Name of the service.
    target : str
        Release that was ordered.
    """

    service: str
    target: str
    _old_addresses: set[str] = field(factory=set)
    # Each server of the target with the end of its cold start as it registered it.
    _ready_at_by_id: dict[str, tuple[Instance, float]] = field(factory=dict)
    _old_releases: frozenset[str] = frozenset()
    _in_service: tuple[Instance, ...] = ()

    def update(self, instances: Iterable[Instance], now: float) -> None:
        """Apply the registered servers that are not in an evacuated zone."""
        own = [item for item in instances if item.service == self.service]
        targets = [item for item in own if item.release == self.target]
        olds = [item for item in own if item.release != self.target]
        self._old_addresses.update(item.address for item in olds)
        # A server of the target may have the address of one that ended.
        self._old_addresses.difference_update(item.address for item in targets)
        self._old_releases = frozenset(item.release for item in olds)
        before = self._ready_at_by_id
        self._ready_at_by_id = {}
        for item in targets:
            known = before.get(item.id)
            if known is None or known[0] != item:
                known = (item, now + item.cold_remaining_s)
            self._ready_at_by_id[item.id] = known
        self._in_service = tuple(olds)

    def old_addresses(self) -> frozenset[str]:
        """Return the addresses of all old servers since the order."""
        return frozenset(self._old_addresses)

    def slots(self, now: float) -> ReleaseSlots:
        """Return the slots that are registered now."""
        ready = [
            item.slots
            for item, ready_at in self._ready_at_by_id.values()
            if ready_at <= now
        ]
        return ReleaseSlots(
            sum(ready),
            sum(item.slots for item in self._in_service),
            bool(self._ready_at_by_id),
            tuple(sorted(self._old_releases)),
        )
