"""Protocols of the platform's store."""

from collections.abc import Callable
from typing import Protocol

from dotterelpier.model.fleet import StoreReply
from dotterelpier.model.instance import (
    Instance,
)
from dotterelpier.model.route import RouteTable


class RowStore(Protocol):
    """One connection to the rows of the platform's store.

    All methods raise ``PlatformUnavailableError`` if no answer came; a write may
    then have taken effect, now or later.
    """

    def read(self, table: str) -> StoreReply:
        """Return all rows of a table."""
        ...

    def watch(self, table: str, after: int, wait_s: float) -> StoreReply:
        """Return the changes of a table after a version, waiting for the first.

        Raises
        ------
        HistoryLostError
            If the store no longer knows the changes since then.
        """
        ...

    def put(self, table: str, key: str, value: bytes) -> int:
        """Write a row; return its version."""
        ...

    def delete(self, table: str, key: str, version: int) -> None:
        """Delete a row that still has a version.

        Raises
        ------
        ConflictError
            If it has another version or does not exist.
        """
        ...

    def abort(self) -> None:
        """Break off the call that another thread waits for."""
        ...


class Stores(Protocol):
    """Opens connections to the platform's store."""

    def connect(self) -> RowStore:
        """Return a connection, opened on its first use."""
        ...


class Codec(Protocol):
    """Reads what operators and backend servers write to the store."""

    def route_table(self, content: bytes) -> RouteTable:
        """Return the configuration of a row.

        Raises
        ------
        ConfigError
            If it cannot be read; ``faults`` name the keys.
        """
        ...

    def evacuated_zone(self, key: str) -> str | None:
        """Return the zone that a row evacuates, None if it is another row."""
        ...

    def is_configuration(self, key: str) -> bool:
        """Tell whether a row holds the configuration."""
        ...

    def instance(self, key: str, content: bytes) -> Instance:
        """Return the backend server of a registry row.

        Raises
        ------
        ConfigError
            If the row does not describe one.
        """
        ...


class StoreLink(Protocol):
    """Whether the platform's store is reached."""

    def record_success(self) -> None:
        """Take in an answer of the store."""
        ...

    def record_failure(self, error: Exception) -> None:
        """Take in that the store did not answer."""
        ...

    def is_reachable(self) -> bool:
        """Tell whether the last call was answered."""
        ...

    def recovered_at(self) -> float:
        """Return when the store came back last, on the monotonic clock."""
        ...

    def close(self) -> None:
        """Let all that wait for the store go on; it counts as lost from now on."""
        ...

    def wait_until_reachable(self, timeout_s: float) -> bool:
        """Block until the store is reached; return False if it took too long."""
        ...

    def subscribe_recovery(self, listener: Callable[[], None]) -> None:
        """Call a listener each time the store comes back; it must not block."""
        ...


class Mirrors(Protocol):
    """Copies of the store's tables that the entries share."""

    def is_publisher(self) -> bool:
        """Tell whether this entry asks the store for the others of its zone."""
        ...

    def has_other_publisher(self) -> bool:
        """Tell whether another entry announces the tables."""
        ...

    def wait_for_other_publisher(self, timeout_s: float) -> bool:
        """Block until another entry announces the tables; False if none does."""
        ...

    def apply_reply(
        self, table: str, reply: StoreReply, *, is_store_probe: bool
    ) -> None:
        """Take in an answer of the store; the sentinel's tell how fresh it is."""
        ...

    def changes(self, table: str, after: int) -> StoreReply:
        """Return what is known here of a table after a version."""
        ...

    def watch(self, table: str, after: int, wait_s: float) -> StoreReply:
        """Return the changes of a table after a version, waiting for the first.

        Raises
        ------
        PeerUnavailableError
            If no other entry keeps the table, or the one that does is silent.
        """
        ...
