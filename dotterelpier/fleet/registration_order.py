"""Tells outdated registrations of backend servers from new ones.

The store may perform a write seconds after the call, so the last row of a backend
server is not always its last report, and a row may follow its own deletion.
"""

from attrs import define, field

from dotterelpier.model.instance import Instance

# Backend servers whose last registration is remembered after its deletion.
MAX_DELETED = 8192


@define
class RegistrationOrder:
    """Remembers the last registration of each backend server that has none any more.

    Not thread-safe; ``FollowedRegistry`` calls it under its lock.
    """

    _deleted_by_id: dict[str, Instance] = field(factory=dict)

    def note_deleted(self, instance: Instance) -> None:
        """Remember a registration that was deleted."""
        # The newest deletions come last.
        self._deleted_by_id.pop(instance.id, None)
        self._deleted_by_id[instance.id] = instance
        if len(self._deleted_by_id) > MAX_DELETED:
            del self._deleted_by_id[next(iter(self._deleted_by_id))]

    def note_registered(self, instance: Instance) -> None:
        """Forget the deleted registration of a backend server that has a new one."""
        self._deleted_by_id.pop(instance.id, None)

    def find_newer(self, instance: Instance, known: Instance | None) -> Instance | None:
        """Return what makes a registration outdated, None if nothing does.

        Parameters
        ----------
        instance : Instance
            Registration that a row of the store holds.
        known : Instance or None
            Registration in force of the same backend server, None if it has none.
        """
        if known is not None:
            return known if _is_older(instance, known) else None
        deleted = self._deleted_by_id.get(instance.id)
        if deleted is None:
            return None
        if _is_older(instance, deleted) or _is_same_report(instance, deleted):
            return deleted
        return None


def _is_older(first: Instance, second: Instance) -> bool:
    """Return whether a registration is certainly older than another one.

    Report numbers begin anew with each start of a backend server, so those without the
    time of the start cannot be ordered.
    """
    if not first.started_at_ms or not second.started_at_ms:
        return False
    if first.started_at_ms != second.started_at_ms:
        return first.started_at_ms < second.started_at_ms
    return 0 < first.report_number < second.report_number


def _is_same_report(first: Instance, second: Instance) -> bool:
    return (
        0 < first.started_at_ms == second.started_at_ms
        and 0 < first.report_number == second.report_number
    )
