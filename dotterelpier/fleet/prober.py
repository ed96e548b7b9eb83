"""Checks the health of backend servers, one task for each."""

import threading
from collections.abc import Callable

from attrs import define, field

from dotterelpier.errors import CallError, ConnectFailedError
from dotterelpier.kernel import Kernel
from dotterelpier.model.instance import Instance
from dotterelpier.protocols import Clock, Metrics, ServiceName, TaskKind, Tasks
from dotterelpier.protocols.fleet import (
    Conditions,
    Fleet,
    HealthConnection,
    Instances,
    Registry,
    Routes,
)

# Work time at a backend server changes several times a second.
NEAR_INTERVAL_S = 0.15
# Backend servers of other zones get requests only where the own zone lacks room.
FAR_INTERVAL_S = 1.0
# Share of the agreed health checks that is used, so that entries that come and go
# together stay below them.
PROBE_SHARE = 0.6
CHECK_TIMEOUT_S = 0.5


@define(eq=False)
class InstanceProbe:
    """The task that checks one backend server."""

    instance: Instance
    _connection: HealthConnection
    _clock: Clock
    _metrics: Metrics
    _routes: Routes
    _conditions: Conditions
    _interval_s: Callable[[Instance], float]
    _stopped: threading.Event = field(factory=threading.Event)

    def stop(self) -> None:
        """End the task."""
        self._stopped.set()
        self._connection.close()

    def serve(self) -> None:
        """Check until stopped."""
        while not self._stopped.wait(self._interval_s(self.instance)):
            self._check()
        self._connection.close()

    def _check(self) -> None:
        table = self._routes.table()
        terms = table.terms_by_service.get(self.instance.service) if table else None
        if terms is None:
            return
        sent_at = self._clock.monotonic()
        result = "ok"
        try:
            report = self._connection.check(terms.health_path, CHECK_TIMEOUT_S)
            self._conditions.note_health(self.instance, report, sent_at)
        except CallError as error:
            result = (
                "connect_failed"
                if isinstance(error, ConnectFailedError)
                else ("timeout")
            )
            self._conditions.note_unreachable(self.instance.id, str(error))
        self._metrics.count("probes", service=self.instance.service, result=result)


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
            self.interval_s,
        )
        self._probe_by_id[instance.id] = probe
        self._tasks.submit(TaskKind.MEASURE, probe.serve)

    def interval_s(self, instance: Instance) -> float:
        """Return the pause between two checks of a backend server."""
        members = self._fleet.members()
        near = sum(member.zone == instance.zone for member in members)
        # All entries of the zone and all others share what is agreed.
        rate = self._probes_per_s * PROBE_SHARE / 2
        if instance.zone == self._fleet.me().zone:
            return max(NEAR_INTERVAL_S, near / rate)
        return max(FAR_INTERVAL_S, (len(members) - near) / rate)


def _moved(before: Instance, after: Instance) -> bool:
    return (before.address, before.born_ms) != (after.address, after.born_ms)


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
        probes_per_s,
    )
