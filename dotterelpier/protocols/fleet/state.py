"""Protocols of what an entry of a fleet knows."""

from collections.abc import Callable, Mapping
from enum import Enum
from typing import Protocol

from dotterelpier.model.fleet import FleetMember, StoreReply
from dotterelpier.model.instance import (
    Instance,
    LoadFigures,
    Measurement,
)
from dotterelpier.model.route import Route, RouteTable


class Routes(Protocol):
    """The configuration in force."""

    def table(self) -> RouteTable | None:
        """Return the table in force, None before the first one."""
        ...

    def is_evacuated(self, zone: str) -> bool:
        """Tell whether nothing may be sent to a zone."""
        ...

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call a listener after each change; it must not block."""
        ...


class Registry(Protocol):
    """Backend servers that registered themselves."""

    def loaded(self) -> bool:
        """Tell whether the registry was read once."""
        ...

    def instances(self) -> tuple[Instance, ...]:
        """Return all backend servers that may take work, draining ones left out."""
        ...

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call a listener after each change; it must not block."""
        ...


class Fleet(Protocol):
    """The entries known from the store."""

    def me(self) -> FleetMember:
        """Return this entry."""
        ...

    def members(self) -> tuple[FleetMember, ...]:
        """Return the registered entries, this one included, ordered by name."""
        ...

    def size(self) -> int:
        """Return the largest number of entries known lately."""
        ...

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call a listener after each change; it must not block."""
        ...

    def leave(self) -> None:
        """Remove the own row, so that clients are no longer sent here."""
        ...

    def remove(self, member: FleetMember) -> None:
        """Remove the row of an entry that does not answer."""
        ...


class FleetPeers(Protocol):
    """Messages to other entries."""

    def ping(self, member: FleetMember) -> None:
        """Ask whether an entry lives.

        Raises
        ------
        PeerUnavailableError
            If it does not answer, or another incarnation does.
        """
        ...

    def changes(self, member: FleetMember, table: str, after: int) -> StoreReply:
        """Return what an entry knows of a table of the store after a version.

        Raises
        ------
        PeerUnavailableError
            If it does not answer.
        """
        ...


class Conditions(Protocol):
    """What is known of each backend server at this moment."""

    def pick(
        self, service: str, route: Route, excluded: frozenset[str], remaining_s: float
    ) -> "Choice | None":
        """Reserve a place at the best backend server.

        Returns None if none has room, or none that has can answer in ``remaining_s``
        seconds.
        """
        ...

    def note_answer(self, route: Route, choice: "Choice", duration_s: float) -> None:
        """Take in how long a successful answer took."""
        ...

    def wait_for_room(self, timeout_s: float) -> None:
        """Block until something changed that may have made room."""
        ...

    def note_ended(self, instance_id: str, success: bool | None) -> None:
        """Take in that a request ended; ``success`` is None where it tells nothing."""
        ...

    def note_load(self, instance_id: str, load: LoadFigures) -> None:
        """Take in the load that came with an answer."""
        ...

    def note_check(self, measurement: Measurement) -> None:
        """Take in the result of an own health check."""
        ...

    def note_measurement(self, measurement: Measurement) -> None:
        """Take in the result of another entry's health check."""
        ...

    def note_unreachable(self, instance_id: str, reason: str) -> None:
        """Take in that this entry cannot open a connection to a backend server."""
        ...

    def is_verified(self, instance_id: str) -> bool:
        """Tell whether a health check was answered since there was reason for doubt."""
        ...

    def needs_check(self, instance_id: str, fresh_s: float) -> bool:
        """Tell whether no other entry's result within ``fresh_s`` suffices."""
        ...

    def watch_slowdown(
        self, instance_id: str, listener: Callable[[], None]
    ) -> Callable[[], None]:
        """Call a listener when a backend server turns slow; return how to stop."""
        ...

    def work_ratio(self, instance_id: str) -> float:
        """Return the last known work ratio of a backend server."""
        ...

    def capacity_by_zone(self, services: frozenset[str]) -> Mapping[str, float]:
        """Return the slots that backend servers of services can fill now, by zone."""
        ...


class Choice(Protocol):
    """A backend server chosen for a request, and what decided it."""

    @property
    def instance(self) -> Instance:
        """Return the backend server."""
        ...

    @property
    def work_ratio(self) -> float:
        """Return its work ratio at the time of the choice."""
        ...

    @property
    def expected_time(self) -> float:
        """Return the expected time to an answer, in multiples of the usual work."""
        ...

    @property
    def age_s(self) -> float:
        """Return the age of what was known of it, in seconds."""
        ...

    @property
    def estimated_in_flight(self) -> int:
        """Return the requests estimated to be at it."""
        ...


class Measurements(Protocol):
    """Shares health checks with the entries of the own zone."""

    def publish(self, measurement: Measurement) -> None:
        """Send a result to the other entries of the zone."""
        ...


class DatagramKind(bytes, Enum):
    """First byte of a datagram: what it holds."""

    MEASUREMENTS = b"m"
    ANNOUNCEMENT = b"a"


class Datagrams(Protocol):
    """Datagrams between entries; any may be lost."""

    def send(self, address: str, kind: DatagramKind, content: bytes) -> None:
        """Send a datagram."""
        ...

    def subscribe(self, kind: DatagramKind, receiver: Callable[[bytes], None]) -> None:
        """Give each datagram of a kind to a receiver, which must not block."""
        ...
