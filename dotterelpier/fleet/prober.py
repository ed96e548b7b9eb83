"""Health checks of backend servers, one task for each."""

import threading
from collections.abc import Callable

from attrs import define, field, frozen

from dotterelpier.errors import CallError
from dotterelpier.fleet.ranking import home
from dotterelpier.kernel import Kernel
from dotterelpier.model.instance import Instance, Measurement
from dotterelpier.protocols import Clock, Metrics, ServiceName, TaskKind, Tasks
from dotterelpier.protocols.fleet import (
    Conditions,
    Fleet,
    HealthConnection,
    Instances,
    Measurements,
    Registry,
    Routes,
)

# The work time of a backend server changes several times a second.
HOME_INTERVAL_S = 0.1
SAME_ZONE_INTERVAL_S = 0.25
# Backend servers of other zones get requests only if this zone lacks room. These checks
# verify that they can be reached; their registrations show when they leave.
OTHER_ZONE_INTERVAL_S = 8.0
# An unverified backend server gets no requests until it answers a health check.
UNVERIFIED_INTERVAL_S = 1.0
# Share of the agreed health check rate that is used, so that the sum stays below it
# while entries join and leave.
PROBE_SHARE = 0.6
CHECK_TIMEOUT_S = 0.5
# Age up to which the result of another entry replaces an own health check; the home
# sends two results within it.
PEER_RESULT_FRESH_S = 0.7


@frozen
class ProbeSchedule:
    """How often an entry checks a backend server.

    Attributes
    ----------
    interval_s : float
        Time between two checks, in seconds.
    home : bool
        Whether this entry is the home and shares the results with its zone.
    """

    interval_s: float
    home: bool


@define(eq=False)
class InstanceProbe:
    """Task that checks the health of one backend server."""

    instance: Instance
    _connection: HealthConnection
    _clock: Clock
    _metrics: Metrics
    _routes: Routes
    _conditions: Conditions
    _measurements: Measurements
    _schedule_for: Callable[[Instance], ProbeSchedule]
    _stopped: threading.Event = field(factory=threading.Event)

    def stop(self) -> None:
        """End the task; a check in progress fails."""
        self._stopped.set()
        self._connection.close()

    def serve(self) -> None:
        """Check until stopped, unless recent results of another entry suffice."""
        while True:
            schedule = self._schedule_for(self.instance)
            if self._stopped.wait(self._pause_s(schedule)):
                return
            if schedule.home or self._conditions.needs_check(
                self.instance.id, PEER_RESULT_FRESH_S
            ):
                self._check(schedule)

    def _pause_s(self, schedule: ProbeSchedule) -> float:
        """Return the time until the next multiple of the interval.

        The checks of a home thus run together, and their results share datagrams.
        """
        interval_s = schedule.interval_s
        if not self._conditions.is_verified(self.instance.id):
            interval_s = min(interval_s, UNVERIFIED_INTERVAL_S)
        return interval_s - self._clock.monotonic() % interval_s

    def _check(self, schedule: ProbeSchedule) -> None:
        table = self._routes.table()
        terms = table.config_by_service.get(self.instance.service) if table else None
        if terms is None:
            return
        measurement = self._measure(terms.health_path)
        self._conditions.note_check(measurement)
        if schedule.home:
            self._measurements.publish(measurement)
        self._metrics.count(
            "probes",
            service=self.instance.service,
            result="timeout" if measurement.unreachable else "ok",
        )

    def _measure(self, path: str) -> Measurement:
        instance_id, sent_at = self.instance.id, self._clock.monotonic()
        try:
            report = self._connection.check(path, CHECK_TIMEOUT_S)
        except CallError as error:
            return Measurement(instance_id, sent_at, unreachable=str(error))
        if report.instance_id not in ("", instance_id):
            reason = f"address of {report.instance_id}"
            return Measurement(instance_id, sent_at, unreachable=reason)
        return Measurement(instance_id, sent_at, report)


@define
class ZoneProber:
    """Run a health check task for each registered backend server."""

    _clock: Clock
    _metrics: Metrics
    _tasks: Tasks
    _routes: Routes
    _registry: Registry
    _fleet: Fleet
    _conditions: Conditions
    _instances: Instances
    _measurements: Measurements
    _probes_per_s: float
    _probe_by_id: dict[str, InstanceProbe] = field(factory=dict)
    _lock: threading.Lock = field(factory=threading.Lock)

    def start(self) -> None:
        """Start a task for each backend server, and subscribe to registrations."""
        self._registry.subscribe(self.refresh)
        self.refresh()

    def stop(self) -> None:
        """End all tasks."""
        with self._lock:
            probes = tuple(self._probe_by_id.values())
            self._probe_by_id.clear()
        for probe in probes:
            probe.stop()

    def refresh(self) -> None:
        """Start and stop tasks to match the registry.

        A backend server with a new address or incarnation gets a new task.
        """
        instance_by_id = {item.id: item for item in self._registry.instances()}
        with self._lock:
            for instance_id, probe in tuple(self._probe_by_id.items()):
                instance = instance_by_id.get(instance_id)
                if instance is None or _moved(probe.instance, instance):
                    del self._probe_by_id[instance_id]
                    probe.stop()
            for instance in instance_by_id.values():
                if instance.id not in self._probe_by_id:
                    self._start_probe(instance)

    def _start_probe(self, instance: Instance) -> None:
        probe = InstanceProbe(
            instance,
            self._instances.health_connection(instance),
            self._clock,
            self._metrics,
            self._routes,
            self._conditions,
            self._measurements,
            self.schedule,
        )
        self._probe_by_id[instance.id] = probe
        self._tasks.submit(TaskKind.MEASURE, probe.serve)

    def schedule(self, instance: Instance) -> ProbeSchedule:
        """Return how often this entry checks a backend server.

        The home checks at a fixed interval. The other entries share a rate that
        follows from ``probes_per_s``.
        """
        members, me = self._fleet.members(), self._fleet.me()
        zone_size = sum(member.zone == instance.zone for member in members)
        # Half for the entries of the zone together, half for all others together.
        rate = self._probes_per_s * PROBE_SHARE / 2
        if instance.zone != me.zone:
            return ProbeSchedule(
                max(OTHER_ZONE_INTERVAL_S, (len(members) - zone_size) / rate),
                home=False,
            )
        home_entry = home(instance.id, instance.zone, members)
        if home_entry is not None and home_entry.name == me.name:
            return ProbeSchedule(HOME_INTERVAL_S, home=True)
        return ProbeSchedule(max(SAME_ZONE_INTERVAL_S, zone_size / rate), home=False)


def _moved(before: Instance, after: Instance) -> bool:
    return (before.address, before.started_at_ms) != (
        after.address,
        after.started_at_ms,
    )


def make_prober(kernel: Kernel, probes_per_s: float) -> ZoneProber:
    """Return the prober, not yet started.

    Parameters
    ----------
    kernel : Kernel
        Kernel with the services that the prober uses.
    probes_per_s : float
        Limit on the health checks of one backend server per second, by all entries
        together.
    """
    return ZoneProber(
        kernel.find(ServiceName.CLOCK, Clock),
        kernel.find(ServiceName.METRICS, Metrics),
        kernel.find(ServiceName.TASKS, Tasks),
        kernel.find(ServiceName.ROUTES, Routes),
        kernel.find(ServiceName.REGISTRY, Registry),
        kernel.find(ServiceName.FLEET, Fleet),
        kernel.find(ServiceName.CONDITIONS, Conditions),
        kernel.find(ServiceName.INSTANCES, Instances),
        kernel.find(ServiceName.MEASUREMENTS, Measurements),
        probes_per_s,
    )
