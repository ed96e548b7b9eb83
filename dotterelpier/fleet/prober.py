"""Checks the health of backend servers, one task for each."""

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

# Work time at a backend server changes several times a second.
HOME_INTERVAL_S = 0.1
SAME_ZONE_INTERVAL_S = 0.25
# Backend servers of other zones get requests only where the own zone lacks room; these
# checks tell that they can be reached, and their registrations that they left.
OTHER_ZONE_INTERVAL_S = 8.0
# One that was not checked since there was reason for doubt cannot be used before.
UNVERIFIED_INTERVAL_S = 1.0
# Share of the agreed health checks that is used, so that entries that come and go
# together stay below them.
PROBE_SHARE = 0.6
CHECK_TIMEOUT_S = 0.5
# A result of another entry is enough for this long; the home sends two meanwhile.
PEER_RESULT_FRESH_S = 0.7


@frozen
class ProbeSchedule:
    """How often an entry checks a backend server.

    Attributes
    ----------
    interval_s : float
        Pause between two checks, in seconds.
    home : bool
        Whether it checks for the other entries of its zone too.
    """

    interval_s: float
    home: bool


@define(eq=False)
class InstanceProbe:
    """The task that checks one backend server."""

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
        """End the task."""
        self._stopped.set()
        self._connection.close()

    def serve(self) -> None:
        """Check until stopped."""
        while True:
            duty = self._schedule_for(self.instance)
            if self._stopped.wait(self._pause_s(duty)):
                return
            if duty.home or self._conditions.needs_check(
                self.instance.id, PEER_RESULT_FRESH_S
            ):
                self._check(duty)

    def _pause_s(self, duty: ProbeSchedule) -> float:
        """Wait for the next multiple, so that results of a home go out together."""
        interval_s = duty.interval_s
        if not self._conditions.is_verified(self.instance.id):
            interval_s = min(interval_s, UNVERIFIED_INTERVAL_S)
        return interval_s - self._clock.monotonic() % interval_s

    def _check(self, duty: ProbeSchedule) -> None:
        table = self._routes.table()
        terms = table.config_by_service.get(self.instance.service) if table else None
        if terms is None:
            return
        measurement = self._measure(terms.health_path)
        self._conditions.note_check(measurement)
        if duty.home:
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
    """Starts and ends the tasks as backend servers come and go."""

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
        """Check all backend servers, now and those that come."""
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
        """Start and end tasks as backend servers came and went."""
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
            self._instances.health(instance),
            self._clock,
            self._metrics,
            self._routes,
            self._conditions,
            self._measurements,
            self.duty,
        )
        self._probe_by_id[instance.id] = probe
        self._tasks.submit(TaskKind.MEASURE, probe.serve)

    def duty(self, instance: Instance) -> ProbeSchedule:
        """Return how often this entry checks a backend server."""
        members, me = self._fleet.members(), self._fleet.me()
        near = sum(member.zone == instance.zone for member in members)
        # The entries of the zone together, and all others together.
        rate = self._probes_per_s * PROBE_SHARE / 2
        if instance.zone != me.zone:
            return ProbeSchedule(
                max(OTHER_ZONE_INTERVAL_S, (len(members) - near) / rate), home=False
            )
        owner = home(instance.id, instance.zone, members)
        if owner is not None and owner.name == me.name:
            return ProbeSchedule(HOME_INTERVAL_S, home=True)
        return ProbeSchedule(max(SAME_ZONE_INTERVAL_S, near / rate), home=False)


def _moved(before: Instance, after: Instance) -> bool:
    return (before.address, before.started_at_ms) != (
        after.address,
        after.started_at_ms,
    )


def make_prober(kernel: Kernel, probes_per_s: float) -> ZoneProber:
    """Return the prober; ``probes_per_s`` bounds all entries together."""
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
