"""Deletes the lease rows of members that are gone for good."""

from collections.abc import Collection, Mapping, Sequence

from attrs import define, field

from dotterelpier.errors import ConflictError
from dotterelpier.model.membership import Member
from dotterelpier.model.platform import VmState, Write
from dotterelpier.protocols import Clock, Table, Vms
from dotterelpier.services.lease_tracker import ObservedLease
from dotterelpier.wire.rows import member_key


@define
class RowPruner:
    """Deletes a lapsed row once its VM is gone or its address is in use again.

    A lapsed lease alone is no reason: its holder may be cut off from the platform and
    still serve, so it stays in the count of acknowledgements.

    Parameters
    ----------
    vm_list_lag_s : float
        How long the list of VMs may lag, in seconds.
    """

    _me: Member
    _vm_list_lag_s: float
    _clock: Clock
    _table: Table
    _vms: Vms
    _missing_since_by_id: dict[str, float] = field(factory=dict)

    def prune(
        self, lapsed: Sequence[ObservedLease], leased_by_id: Mapping[str, Member]
    ) -> list[Member]:
        """Delete rows that qualify and return their members.

        Raises
        ------
        PlatformUnavailableError
            If the platform did not answer.
        """
        lapsed = [lease for lease in lapsed if lease.version]
        if not lapsed:
            self._missing_since_by_id.clear()
            return []
        in_use = {member.caller_address for member in leased_by_id.values()}
        gone_ids = self._gone_ids([lease.member for lease in lapsed])
        return [
            lease.member
            for lease in lapsed
            if lease.member.id in gone_ids or lease.member.caller_address in in_use
            if self._delete(lease)
        ]

    def _gone_ids(self, members: Collection[Member]) -> set[str]:
        state_by_address = {vm.address: vm.state for vm in self._vms.list()}
        if _host(self._me) not in state_by_address:
            # A list without the VM of this entry is wrong or incomplete.
            self._missing_since_by_id.clear()
            return set()
        now = self._clock.monotonic()
        missing_since_by_id: dict[str, float] = {}
        gone_ids = set()
        for member in members:
            state = state_by_address.get(_host(member))
            if state is VmState.LEAVING:
                gone_ids.add(member.id)
            if state is None:
                since = self._missing_since_by_id.get(member.id, now)
                missing_since_by_id[member.id] = since
                if now - since > self._vm_list_lag_s:
                    gone_ids.add(member.id)
        self._missing_since_by_id = missing_since_by_id
        return gone_ids

    def _delete(self, lease: ObservedLease) -> bool:
        key = member_key(lease.member.id)
        try:
            self._table.commit([Write(key, None, lease.version)])
        except ConflictError:
            return False
        return True


def _host(member: Member) -> str:
    return member.caller_address.rpartition(":")[0]


def make_row_pruner(
    me: Member, vm_list_lag_s: float, clock: Clock, table: Table, vms: Vms
) -> RowPruner:
    """Return a pruner that has not seen the list of VMs yet."""
    return RowPruner(me, vm_list_lag_s, clock, table, vms)
