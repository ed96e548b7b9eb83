"""Rows and transactions of the platform's table, and its list of VMs."""

from enum import Enum

from attrs import frozen


@frozen
class Row:
    """A row as it was read from the table.

    Attributes
    ----------
    key : str
        Key of the row.
    version : str
        Entity tag (ETag), which changes with every write.
    value : bytes
        Content.
    """

    key: str
    version: str
    value: bytes


ABSENT = ""


@frozen
class Write:
    """One conditional write of a transaction.

    Attributes
    ----------
    key : str
        Key of the row.
    value : bytes or None
        New content, or None to delete the row.
    expected : str or None
        Version that the row must have, ``ABSENT`` if it must not exist, or None to
        write unconditionally.
    """

    key: str
    value: bytes | None
    expected: str | None = None


class VmState(str, Enum):
    """State of a VM in the platform's list of VMs."""

    LIVE = "live"
    LEAVING = "leaving"


@frozen
class Vm:
    """An item of the platform's list of VMs, which lags behind their state.

    Attributes
    ----------
    address : str
        IP address.
    state : VmState
        Whether the VM is live or about to stop.
    """

    address: str
    state: VmState
