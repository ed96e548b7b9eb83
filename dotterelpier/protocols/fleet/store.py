"""Protocols of the platform's store."""

from collections.abc import Callable
from typing import Protocol

from dotterelpier.model.fleet import (
    Announcement,
    ExpectedRow,
    RowWrite,
    StoreReply,
)
from dotterelpier.model.instance import (
    Instance,
)
from dotterelpier.model.rollout import RolloutOrder, RolloutState
from dotterelpier.model.route import Route, RouteTable


class RowStore(Protocol):
    """One connection to the rows of the platform's store.

    All methods raise ``PlatformUnavailableError`` if the store does not answer; a write
    may take effect nevertheless, even later.
    """

    def read(self, table: str) -> StoreReply:
        """Return all rows of a table."""
        ...

    def watch(self, table: str, after: int, wait_s: float) -> StoreReply:
        """Return the changes of a table after a version.

        Block for up to ``wait_s`` seconds until there is one, or until this entry
        becomes a publisher; the reply is empty if nothing changed.

        Raises
        ------
        HistoryLostError
            If the store no longer knows the changes after the version.
        """
        ...

    def put(self, table: str, key: str, value: bytes) -> int:
        """Write a row, whether or not it exists, and return its new version."""
        ...

    def put_all(
        self, writes: tuple[RowWrite, ...], expected: tuple[ExpectedRow, ...]
    ) -> int:
        """Write rows in one transaction if others have the expected versions.

        Return the version of the rows that were written.

        Raises
        ------
        ConflictError
            If a row has another version than expected; nothing was written.
        """
        ...

    def delete(self, table: str, key: str, version: int) -> None:
        """Delete a row if its version is still the given one.

        Raises
        ------
        ConflictError
            If it has another version or does not exist.
        """
        ...

    def abort(self) -> None:
        """Abort the call that another thread waits for, by shutting the socket down."""
        ...

    def close(self) -> None:
        """Abort the call that another thread waits for; all later ones fail at once."""
        ...


class Stores(Protocol):
    """Opens connections to the platform's store."""

    def connect(self) -> RowStore:
        """Return a connection, opened on its first use."""
        ...


class Codec(Protocol):
    """Decodes the rows that operators and backend servers write to the store."""

    def route_table(self, content: bytes) -> RouteTable:
        """Return the configuration that a row holds.

        Raises
        ------
        ConfigError
            If the row is malformed; ``faults`` names the keys.
        """
        ...

    def declared_routes(self, content: bytes) -> tuple[Route, ...]:
        """Return all routes with a valid host and prefix that a row declares.

        Also those that another one with the same host and prefix replaces in the route
        table.

        Raises
        ------
        ConfigError
            If the row holds no table of routes or services.
        """
        ...

    def evacuated_zone(self, key: str) -> str | None:
        """Return the zone that a row with this key evacuates, None for other rows."""
        ...

    def is_configuration(self, key: str) -> bool:
        """Return whether the row with this key holds the configuration."""
        ...

    def rollout_service(self, key: str) -> str | None:
        """Return the service whose roll-out a row orders, None for other rows."""
        ...

    def rollout_order(self, key: str, content: bytes, version: int) -> RolloutOrder:
        """Return the order that a row with a version holds.

        Raises
        ------
        ConfigError
            If the row is malformed; ``faults`` names the keys.
        """
        ...

    def rollout_order_row(self, order: RolloutOrder) -> ExpectedRow:
        """Return the row that holds an order, with its version."""
        ...

    def rollout_status_row(self, order: RolloutOrder, state: RolloutState) -> RowWrite:
        """Return the row that tells operators the state of an order."""
        ...

    def instance(self, key: str, content: bytes) -> Instance:
        """Return the backend server that a registration describes.

        Raises
        ------
        ConfigError
            If the row is malformed.
        """
        ...


class StoreLink(Protocol):
    """Tracks whether the platform's store is reachable, for all tasks of an entry."""

    def record_success(self) -> None:
        """Record a reply of the store or of an entry that publishes its tables."""
        ...

    def record_failure(self, error: Exception) -> None:
        """Record that a call to the store failed."""
        ...

    def record_answer(self) -> None:
        """Record that the store answered the store probe of this entry."""
        ...

    def record_no_answer(self, error: Exception) -> None:
        """Record that the store probe of this entry failed."""
        ...

    def is_answering(self) -> bool:
        """Return whether the store answered the last store probe; True at first."""
        ...

    def is_reachable(self) -> bool:
        """Return whether the last recorded call succeeded; False at first."""
        ...

    def recovered_at(self) -> float:
        """Return when the store last became reachable, on the monotonic clock."""
        ...

    def close(self) -> None:
        """Wake up all threads that wait for the store; later waits end at once."""
        ...

    def wait_until_reachable(self, timeout_s: float) -> bool:
        """Block until the store is reachable; return whether it is."""
        ...

    def interrupt_watches(self) -> None:
        """Call the listeners, as responses to their watches may have been lost."""
        ...

    def subscribe_interruption(self, listener: Callable[[], None]) -> None:
        """Call a listener whenever a watch in progress may never be answered.

        It must not block.
        """
        ...


class Mirrors(Protocol):
    """Copies of the store's tables that the entries share."""

    def is_publisher(self) -> bool:
        """Return whether this entry watches the store for the others of its zone."""
        ...

    def store_probe_wait_s(self) -> float:
        """Return how long a watch of the store probe may last, in seconds."""
        ...

    def seed_wait_s(self) -> float:
        """Return for how much longer the seeds are asked, in seconds."""
        ...

    def wait_for_seed(self, table: str) -> bool:
        """Block while the seeds are asked; return whether one announces a table."""
        ...

    def announcement(self) -> Announcement:
        """Return the versions of the copies held here, publisher or not.

        Raises
        ------
        PeerUnavailableError
            If the copies may be outdated.
        """
        ...

    def has_other_publisher(self, table: str) -> bool:
        """Return whether a fresh announcement of a table by another entry is known."""
        ...

    def wait_for_other_publisher(self, table: str, timeout_s: float) -> bool:
        """Block until another entry announces a table; return False on timeout."""
        ...

    def apply_reply(
        self, table: str, reply: StoreReply, *, is_store_probe: bool
    ) -> None:
        """Apply a store reply; replies to the store probe mark the copies as fresh."""
        ...

    def note_unwatched(self, table: str) -> None:
        """Announce a table no more until the store answers a call for it again."""
        ...

    def note_applied(self, table: str, version: int) -> None:
        """Record that the changes of a table up to a version are in force here."""
        ...

    def confirmed_at(self, table: str) -> float:
        """Return the last time at which no change of a table was missing here.

        It is on the monotonic clock, in seconds, and minus infinity before the table
        was read.
        """
        ...

    def wait_after_freeze(self, table: str, until: float) -> None:
        """Block while a table may be outdated as this process was frozen.

        It ends within a second, and at ``until``, on the monotonic clock in seconds.
        """
        ...

    def changes(self, table: str, after: int) -> StoreReply:
        """Return the changes of a table after a version from the copy held here."""
        ...

    def watch(
        self, table: str, after: int, wait_s: float, *, until_publisher: bool = False
    ) -> StoreReply:
        """Return the changes of a table after a version from a publisher.

        Block for up to ``wait_s`` seconds until there is one; the reply is empty if
        nothing changed. With ``until_publisher``, return early once this entry is a
        publisher.

        Raises
        ------
        PeerUnavailableError
            If no other entry announces the tables, or the publisher does not answer.
        """
        ...
