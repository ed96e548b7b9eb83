"""Shares health checks with the entries of the own zone.

Each backend server is checked by one entry, which streams the results to the others.
"""

import threading
from collections.abc import Iterator
from queue import Empty, Full, Queue

from attrs import define, field
from loguru import logger

from dotterelpier.errors import PeerUnavailableError
from dotterelpier.kernel import Kernel
from dotterelpier.model.fleet import FleetMember
from dotterelpier.model.instance import Measurement
from dotterelpier.protocols import ServiceName, TaskKind, Tasks
from dotterelpier.protocols.fleet import (
    Conditions,
    Fleet,
    FleetPeers,
    Measurements,
)

# Results gathered before they are sent, so that a stream costs a bounded number of
# messages a second.
GATHER_S = 0.04
# A follower that does not read for longer than this loses the oldest results.
QUEUED_MEASUREMENTS = 256
# An idle stream wakes up this often to notice that it ended.
IDLE_WAKE_S = 5.0
RECONNECT_S = 0.5


@define(eq=False)
class Follower:
    """Results on their way to one entry."""

    _queue: "Queue[Measurement]" = field(factory=lambda: Queue(QUEUED_MEASUREMENTS))

    def put(self, measurement: Measurement) -> None:
        """Add a result; the oldest one goes if there are too many."""
        try:
            self._queue.put_nowait(measurement)
        except Full:
            self._drain()
            self._queue.put_nowait(measurement)

    def gather(self, pause: threading.Event) -> tuple[Measurement, ...]:
        """Block until there are results; return them, none if it took long."""
        try:
            first = self._queue.get(timeout=IDLE_WAKE_S)
        except Empty:
            return ()
        pause.wait(GATHER_S)
        return (first, *self._drain())

    def _drain(self) -> list[Measurement]:
        drained = []
        while True:
            try:
                drained.append(self._queue.get_nowait())
            except Empty:
                return drained


@define(eq=False)
class Subscription:
    """The task that follows one entry."""

    member: FleetMember
    _peers: FleetPeers
    _conditions: Conditions
    _stopped: threading.Event = field(factory=threading.Event)

    def stop(self) -> None:
        """End the task at the next result."""
        self._stopped.set()

    def serve(self) -> None:
        """Follow until stopped, and begin anew where the stream breaks."""
        while not self._stopped.is_set():
            try:
                for measurement in self._peers.follow(self.member):
                    if self._stopped.is_set():
                        return
                    self._conditions.note_measurement(measurement)
            except PeerUnavailableError as error:
                logger.info(
                    "measurements of an entry interrupted",
                    peer=self.member.name,
                    error=error.message,
                )
            self._stopped.wait(RECONNECT_S)


@define
class ZoneMeasurements:
    """Streams own results out, and follows the other entries of the zone."""

    _fleet: Fleet
    _peers: FleetPeers
    _conditions: Conditions
    _tasks: Tasks
    _followers: list[Follower] = field(factory=list)
    _subscription_by_name: dict[str, Subscription] = field(factory=dict)
    _stopped: threading.Event = field(factory=threading.Event)
    _lock: threading.Lock = field(factory=threading.Lock)

    def start(self) -> None:
        """Follow, now and as entries come and go."""
        self._fleet.subscribe(self.refresh)
        self.refresh()

    def stop(self) -> None:
        """End all streams."""
        self._stopped.set()
        with self._lock:
            subscriptions = tuple(self._subscription_by_name.values())
            self._subscription_by_name.clear()
        for subscription in subscriptions:
            subscription.stop()

    def publish(self, measurement: Measurement) -> None:
        """Send a result to all that follow."""
        for follower in tuple(self._followers):
            follower.put(measurement)

    def stream(self) -> Iterator[tuple[Measurement, ...]]:
        """Return the results from now on, in batches that may be empty."""
        follower = Follower()
        with self._lock:
            self._followers.append(follower)
        try:
            while not self._stopped.is_set():
                yield follower.gather(self._stopped)
        finally:
            with self._lock:
                self._followers.remove(follower)

    def refresh(self) -> None:
        """Start and end subscriptions."""
        me = self._fleet.me()
        wanted = {
            member.name: member
            for member in self._fleet.members()
            if member.zone == me.zone and member.name != me.name
        }
        with self._lock:
            for name, subscription in tuple(self._subscription_by_name.items()):
                if wanted.get(name) != subscription.member:
                    del self._subscription_by_name[name]
                    subscription.stop()
            for name, member in wanted.items():
                if name not in self._subscription_by_name:
                    subscription = Subscription(member, self._peers, self._conditions)
                    self._subscription_by_name[name] = subscription
                    self._tasks.submit(TaskKind.PEER, subscription.serve)


def make_measurements(kernel: Kernel) -> Measurements:
    """Return the sharing of health checks."""
    return ZoneMeasurements(
        kernel.find(ServiceName.FLEET, Fleet),
        kernel.find(ServiceName.FLEET_PEERS, FleetPeers),
        kernel.find(ServiceName.CONDITIONS, Conditions),
        kernel.find(ServiceName.TASKS, Tasks),
    )
