"""Protocols of the state that an entry keeps and shares with other entries.

It comprises the configuration, the registry, the members of the fleet, and the health
and load of backend servers.
"""

from collections.abc import Callable, Mapping
from enum import Enum
from typing import Protocol

from dotterelpier.model.fleet import Announcement, FleetMember, StoreReply
from dotterelpier.model.instance import (
    Instance,
    InstanceNotice,
    LoadFigures,
    Measurement,
)
from dotterelpier.model.rollout import RolloutOrder
from dotterelpier.model.route import Route, RouteTable
from dotterelpier.protocols.fleet.rollouts import TrackedAttempt


class Routes(Protocol):
    """The configuration in force and the evacuated zones."""

    def table(self) -> RouteTable | None:
        """Return the route table in force, None before the first one was read."""
        ...

    def is_evacuated(self, zone: str) -> bool:
        """Return whether a zone is evacuated and gets no requests."""
        ...

    def rollout_orders(self) -> Mapping[str, RolloutOrder]:
        """Return the orders of roll-outs by service."""
        ...

    def is_snapshot(self) -> bool:
        """Return whether the last rows applied were a snapshot of the table.

        The age of an order that appears in a snapshot is not known.
        """
        ...

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call a listener after each change; it must not block.

        It runs in the thread that applied the change.
        """
        ...


class Registry(Protocol):
    """Backend servers that registered themselves."""

    def loaded(self) -> bool:
        """Return whether the registry was read at least once."""
        ...

    def instances(self) -> tuple[Instance, ...]:
        """Return the registered backend servers, without the draining ones."""
        ...

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call a listener after each change; it must not block.

        It runs in the thread that applied the change.
        """
        ...


class Fleet(Protocol):
    """The entries known from the store."""

    def me(self) -> FleetMember:
        """Return this entry."""
        ...

    def members(self) -> tuple[FleetMember, ...]:
        """Return the registered entries by name, with this one until it leaves."""
        ...

    def loaded(self) -> bool:
        """Return whether the table of entries was read at least once."""
        ...

    def size(self) -> int:
        """Return the largest number of entries known within a recent time window."""
        ...

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call a listener after each change; it must not block.

        It runs in the thread that applied the change.
        """
        ...

    def leave(self) -> None:
        """Delete this entry's row from the store, so that it gets no more clients."""
        ...

    def remove(self, member: FleetMember) -> None:
        """Delete from the store the row of an entry that does not answer."""
        ...


class Subsets(Protocol):
    """The backend servers that this entry works with."""

    def ids_by_service(self) -> Mapping[str, tuple[str, ...]]:
        """Return the ids of the backend servers to send to, by service."""
        ...

    def home_ids(self) -> frozenset[str]:
        """Return the ids of the backend servers whose home this entry is.

        The home checks a backend server, and paces it while it is cold.
        """
        ...

    def listeners(self, instance_id: str) -> tuple[FleetMember, ...]:
        """Return the entries to tell about a backend server at home here."""
        ...

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call a listener after each change of the registry, the fleet or the subset.

        It runs in the thread that applied the change and must not block.
        """
        ...


class FleetPeers(Protocol):
    """Messages to other entries."""

    def ping(self, member: FleetMember) -> None:
        """Check the liveness of an entry; blocks until it answers or a timeout.

        Raises
        ------
        PeerUnavailableError
            If it does not answer, or another incarnation answers.
        """
        ...

    def has_ended(self, member: FleetMember) -> bool:
        """Return whether an incarnation of an entry has surely ended.

        Blocks until its machine answers or a timeout; False if it does not answer.
        """
        ...

    def announcement(self, member: FleetMember) -> Announcement:
        """Return the versions of the tables that an entry holds.

        Raises
        ------
        PeerUnavailableError
            If it does not answer, or its copies may be outdated.
        """
        ...

    def changes(self, member: FleetMember, table: str, after: int) -> StoreReply:
        """Return the changes to a store table that another entry holds.

        Parameters
        ----------
        member : FleetMember
            The other entry.
        table : str
            Name of the table.
        after : int
            Version after which changes are wanted.

        Raises
        ------
        PeerUnavailableError
            If it does not answer.
        """
        ...


class Conditions(Protocol):
    """Health and load of each backend server, and the choice among them."""

    def pick(
        self,
        service: str,
        route: Route,
        excluded: frozenset[str],
        remaining_s: float,
        *,
        spare_room: bool = False,
    ) -> "Choice | None":
        """Choose the best backend server and count one more request at it.

        Parameters
        ----------
        service : str
            Name of the service.
        route : Route
            Route of the request.
        excluded : frozenset of str
            Ids of backend servers that must not be chosen.
        remaining_s : float
            Time left for the answer, in seconds.
        spare_room : bool
            Whether cold and quarantined backend servers and the last slot of each are
            left to other requests.

        Returns
        -------
        Choice or None
            None if no eligible backend server has room and is expected to answer in
            time. The caller reports the end of the request with ``note_ended``.
        """
        ...

    def closed_until(self, service: str) -> float:
        """Return until when all backend servers of a service asked for no requests.

        Minus infinity if one of them did not, or none is known. Those of evacuated
        zones do not count.
        """
        ...

    def wants_check(self, instance_id: str) -> bool:
        """Return whether a backend server did not ask for a pause that still lasts."""
        ...

    def note_notice(self, instance: Instance, notice: InstanceNotice) -> None:
        """Record what an incarnation of a backend server asked for beside an answer."""
        ...

    def note_answer(self, route: Route, choice: "Choice", duration_s: float) -> None:
        """Update the work time estimate of a route after a successful answer.

        Parameters
        ----------
        route : Route
            Route of the request.
        choice : Choice
            What ``pick`` returned for the request.
        duration_s : float
            Time from sending to the answer, in seconds.
        """
        ...

    def note_request(self, service: str) -> None:
        """Record that a client asked for a service."""
        ...

    def is_in_demand(self, service: str) -> bool:
        """Return whether a load report is likely to be used before it is outdated."""
        ...

    def lacks_room(self, service: str) -> bool:
        """Return whether no backend server of the own zone is fast and has a free slot.

        Those of evacuated zones do not count.
        """
        ...

    def wait_for_room(self, timeout_s: float) -> None:
        """Block until there may be more room, or until the timeout.

        A request that ends, a load report and a change of the registry or the routes
        each end the wait.
        """
        ...

    def note_ended(self, instance_id: str, success: bool | None) -> None:
        """Record the end of a request, which may quarantine the backend server.

        Parameters
        ----------
        instance_id : str
            Id of the backend server.
        success : bool or None
            None if the outcome says nothing about its health, such as a refusal.
        """
        ...

    def note_load(self, instance_id: str, load: LoadFigures) -> None:
        """Record the load report that came with an answer."""
        ...

    def note_check(self, measurement: Measurement) -> None:
        """Record the result of a health check of this entry."""
        ...

    def note_measurement(self, measurement: Measurement) -> None:
        """Record the result of another entry's health check."""
        ...

    def note_unreachable(self, instance_id: str, reason: str) -> None:
        """Record that this entry cannot reach a backend server, with the reason."""
        ...

    def is_verified(self, instance_id: str) -> bool:
        """Return whether a health check was answered since the last invalidation."""
        ...

    def needs_check(self, instance_id: str, fresh_s: float) -> bool:
        """Return whether this entry must check a backend server itself.

        That is the case if the last check by any entry was sent more than ``fresh_s``
        seconds ago, or if this entry failed to reach it.
        """
        ...

    def usual_work_s(self, service: str) -> float:
        """Return the usual work time of a service in seconds, 0 while it is unknown."""
        ...

    def watch_slowdown(
        self, instance_id: str, listener: Callable[[], None]
    ) -> Callable[[], None]:
        """Call a listener whenever a backend server turns slow; return an unsubscriber.

        It runs in the thread that reports the load, so it must not block.
        """
        ...

    def work_ratio(self, instance_id: str) -> float:
        """Return the expected work ratio, infinite for an unknown backend server."""
        ...

    def capacity_by_zone(self, services: frozenset[str]) -> Mapping[str, float]:
        """Return the current capacity for some services in slots, by zone."""
        ...


class Choice(Protocol):
    """A backend server chosen for a request, and the figures behind the choice."""

    @property
    def instance(self) -> Instance:
        """Return the chosen backend server."""
        ...

    @property
    def work_ratio(self) -> float:
        """Return its expected work ratio at the time of the choice."""
        ...

    @property
    def expected_time(self) -> float:
        """Return the expected time to an answer, in multiples of the usual work."""
        ...

    @property
    def load_age_s(self) -> float:
        """Return the age of its last load report in seconds, infinite without one."""
        ...

    @property
    def estimated_in_flight(self) -> int:
        """Return the requests estimated to be at it before this one."""
        ...

    @property
    def cold(self) -> bool:
        """Return whether it was in its cold start."""
        ...

    @property
    def tracked(self) -> TrackedAttempt:
        """Return how the roll-out of its service counts the attempt."""
        ...


class Measurements(Protocol):
    """Sharing of health check results with the other entries of the zone."""

    def publish(self, measurement: Measurement) -> None:
        """Send a result to the other entries of the zone, if it changed or aged."""
        ...


class DatagramKind(bytes, Enum):
    """Type of the content, sent as the first byte of a datagram."""

    MEASUREMENTS = b"m"
    ANNOUNCEMENT = b"a"
    ROLLOUT_REPORT = b"r"
    ROLLOUT_SHARE = b"s"
    GRANT_REQUEST = b"g"
    GRANT_REPLY = b"h"


class Datagrams(Protocol):
    """Datagrams between entries; any may be lost."""

    def send(self, address: str, kind: DatagramKind, content: bytes) -> None:
        """Send a datagram to ``IP:port``; a failure to send is only logged."""
        ...

    def subscribe(self, kind: DatagramKind, receiver: Callable[[bytes], None]) -> None:
        """Pass the content of each datagram of a kind to a receiver.

        The receiver runs in the task that receives datagrams and must not block.
        """
        ...
