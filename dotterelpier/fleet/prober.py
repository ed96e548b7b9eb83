"""Health checks of the backend servers of this entry's subset.

A backend server whose home this entry is has a task. The others are checked now and
then, by short tasks.
"""

import threading
from collections.abc import Mapping

from attrs import define, field, frozen
from loguru import logger

from dotterelpier.errors import CallError, TaskPoolFullError
from dotterelpier.fleet.ranking import weight
from dotterelpier.kernel import Kernel
from dotterelpier.model.instance import Instance, Measurement
from dotterelpier.protocols import Clock, Metrics, ServiceName, TaskKind, Tasks, Timer
from dotterelpier.protocols.fleet import (
    Conditions,
    Fleet,
    HealthConnection,
    Instances,
    LiveSettings,
    Measurements,
    Registry,
    Routes,
    Subsets,
)

# The work time of a backend server changes several times a second.
HOME_INTERVAL_S = 0.1
# Within the age up to which a result counts, a home sends two.
MAX_HOME_INTERVAL_S = 0.3
# Bounds the processor time that a home of many servers spends on its checks.
HOME_CHECKS_PER_S = 40
# A result much newer than the work takes is outdated before its request ends.
HOME_INTERVAL_WORK_SHARE = 0.5
SAME_ZONE_INTERVAL_S = 0.25
# Backend servers of other zones get requests only if this zone lacks room. These checks
# verify that they can be reached; their registrations show when they leave. A check
# between zones costs more in bytes than the new connection that it needs after so long.
OTHER_ZONE_INTERVAL_S = 30.0
# While the own zone lacks room for a service, requests go to other zones, so the load
# of their backend servers must be known.
OVERFLOW_INTERVAL_S = 0.25
# A choice among this many is nearly as good as among all, and traffic between zones is
# billed.
OVERFLOW_SERVERS = 4
# An unverified backend server gets no requests until it answers a health check.
UNVERIFIED_INTERVAL_S = 1.0
# Share of the agreed health check rate that is used, so that the sum stays below it
# while entries join and leave.
PROBE_SHARE = 0.6
CHECK_TIMEOUT_S = 0.5
# Age up to which the result of another entry replaces an own health check.
PEER_RESULT_FRESH_S = 0.7
# Backend servers close connections that are idle for longer.
KEPT_CONNECTION_INTERVAL_S = 9.0
# Entries that start together register within about this time.
FIRST_START_DELAY_S = 2.0
# Checks that each need a new connection, which takes time of the backend server.
NEW_CONNECTION_INTERVAL_S = 30.0
# Checks of other homes' backend servers that may run at once; each has a thread.
MAX_CONCURRENT_CHECKS = 12


@define
class HealthChecks:
    """Performs single health checks and records their results."""

    _clock: Clock
    _metrics: Metrics
    _routes: Routes
    _conditions: Conditions

    def check(
        self, instance: Instance, connection: HealthConnection
    ) -> Measurement | None:
        """Check a backend server and return the result.

        Returns None if its service is not configured, or it asked for a pause.
        """
        table = self._routes.table()
        terms = table.config_by_service.get(instance.service) if table else None
        if terms is None or not self._conditions.wants_check(instance.id):
            return None
        measurement = self._measure(instance, connection, terms.health_path)
        self._conditions.note_check(measurement)
        if measurement.report is not None:
            self._conditions.note_notice(instance, measurement.report.notice)
        self._metrics.count(
            "probes",
            service=instance.service,
            result="timeout" if measurement.unreachable else "ok",
        )
        return measurement

    def _measure(
        self, instance: Instance, connection: HealthConnection, path: str
    ) -> Measurement:
        sent_at = self._clock.monotonic()
        try:
            report = connection.check(path, CHECK_TIMEOUT_S)
        except CallError as error:
            unreachable = str(error)
        else:
            if report.instance_id in ("", instance.id):
                started_at_ms = instance.started_at_ms
                return Measurement(
                    instance.id, sent_at, report, started_at_ms=started_at_ms
                )
            unreachable = f"address of {report.instance_id}"
        return Measurement(
            instance.id,
            sent_at,
            unreachable=unreachable,
            started_at_ms=instance.started_at_ms,
        )


@define(eq=False)
class HomeProbe:
    """Task that checks a backend server whose home this entry is."""

    instance: Instance
    _connection: HealthConnection
    _clock: Clock
    _checks: HealthChecks
    _conditions: Conditions
    _subsets: Subsets
    _measurements: Measurements
    _stopped: threading.Event = field(factory=threading.Event)

    def stop(self) -> None:
        """End the task; a check in progress fails."""
        self._stopped.set()
        self._connection.close()

    def serve(self) -> None:
        """Check until stopped, and publish each result."""
        while not self._stopped.wait(self._pause_s()):
            measurement = self._checks.check(self.instance, self._connection)
            if measurement is not None and not self._stopped.is_set():
                self._measurements.publish(measurement)

    def _pause_s(self) -> float:
        """Return the time until the next multiple of the interval.

        The checks of a home thus run together, and their results share datagrams.
        """
        work_s = self._conditions.usual_work_s(self.instance.service)
        interval_s = min(
            MAX_HOME_INTERVAL_S,
            max(
                HOME_INTERVAL_S,
                work_s * HOME_INTERVAL_WORK_SHARE,
                len(self._subsets.home_ids()) / HOME_CHECKS_PER_S,
            ),
        )
        return interval_s - self._clock.monotonic() % interval_s


@frozen
class CheckPlan:
    """A backend server with another home, and how often this entry checks it.

    Attributes
    ----------
    instance : Instance
        The backend server.
    interval_s : float
        Time between two checks, in seconds.
    same_zone : bool
        Whether its home tells this entry its results.
    """

    instance: Instance
    interval_s: float
    same_zone: bool


@define
class ZoneProber:
    """Checks the backend servers of the subset, each as often as this entry needs."""

    _clock: Clock
    _metrics: Metrics
    _tasks: Tasks
    _timer: Timer
    _routes: Routes
    _registry: Registry
    _fleet: Fleet
    _subsets: Subsets
    _conditions: Conditions
    _instances: Instances
    _measurements: Measurements
    _settings: LiveSettings
    _first_start: bool
    _checks: HealthChecks
    _probe_by_id: dict[str, HomeProbe] = field(factory=dict)
    _plan_by_id: Mapping[str, CheckPlan] = field(factory=dict)
    _checked_at_by_id: dict[str, float] = field(factory=dict)
    _connection_by_id: dict[str, HealthConnection] = field(factory=dict)
    _running_ids: set[str] = field(factory=set)
    _stopped: bool = False
    _lock: threading.Lock = field(factory=threading.Lock)

    def start(self) -> None:
        """Start the tasks, and follow changes of the subset.

        When the whole fleet starts for the first time, the tasks start later: until the
        other entries are known, this one would take itself for the home of all servers.
        """
        if self._first_start:
            self._timer.after(FIRST_START_DELAY_S, self._begin)
        else:
            self._begin()

    def _begin(self) -> None:
        self._subsets.subscribe(self.refresh)
        self.refresh()
        self._tasks.supervise(TaskKind.CONTROL, self._serve)

    def stop(self) -> None:
        """End all tasks; a later change of the subset starts none."""
        with self._lock:
            self._stopped = True
            probes = tuple(self._probe_by_id.values())
            self._probe_by_id.clear()
            connections = tuple(self._connection_by_id.values())
            self._connection_by_id.clear()
        for probe in probes:
            probe.stop()
        for connection in connections:
            connection.close()

    def refresh(self) -> None:
        """Start and stop tasks to match the subset.

        A backend server with a new address or incarnation gets a new task.
        """
        instance_by_id = {item.id: item for item in self._registry.instances()}
        home_ids = self._subsets.home_ids()
        with self._lock:
            if self._stopped:
                return
            for instance_id, probe in tuple(self._probe_by_id.items()):
                instance = instance_by_id.get(instance_id)
                at_home = instance_id in home_ids
                if instance is None or not at_home or _moved(probe.instance, instance):
                    del self._probe_by_id[instance_id]
                    probe.stop()
            for instance_id in home_ids - self._probe_by_id.keys():
                if instance_id in instance_by_id:
                    self._start_probe(instance_by_id[instance_id])
            before = self._plan_by_id
            self._plan_by_id = self._make_plans(instance_by_id, home_ids)
            self._forget_changed(before)

    def _forget_changed(self, before: Mapping[str, CheckPlan]) -> None:
        """Drop what is known of servers that left the plans or started again."""
        for instance_id, plan in before.items():
            after = self._plan_by_id.get(instance_id)
            if after is not None and not _moved(plan.instance, after.instance):
                continue
            self._checked_at_by_id.pop(instance_id, None)
            connection = self._connection_by_id.pop(instance_id, None)
            if connection is not None:
                connection.close()

    def _start_probe(self, instance: Instance) -> None:
        probe = HomeProbe(
            instance,
            self._instances.health_connection(instance),
            self._clock,
            self._checks,
            self._conditions,
            self._subsets,
            self._measurements,
        )
        try:
            self._tasks.supervise(TaskKind.MEASURE, probe.serve)
        except TaskPoolFullError as error:
            logger.error(
                "backend server not checked by its home",
                peer=instance.id,
                error=error.message,
            )
            return
        self._probe_by_id[instance.id] = probe

    def _make_plans(
        self, instance_by_id: Mapping[str, Instance], home_ids: frozenset[str]
    ) -> dict[str, CheckPlan]:
        """Return the plans for the subset without homes.

        The entries of a zone share a rate that follows from ``probes_per_s``, and so do
        all others together.
        """
        members, zone = self._fleet.members(), self._fleet.me().zone
        zone_size = sum(member.zone == zone for member in members)
        rate = self._settings.bounds().probes_per_s * PROBE_SHARE / 2
        same_zone_s = max(SAME_ZONE_INTERVAL_S, zone_size / rate)
        other_zone_s = max(OTHER_ZONE_INTERVAL_S, (len(members) - zone_size) / rate)
        if other_zone_s > KEPT_CONNECTION_INTERVAL_S:
            other_zone_s = max(other_zone_s, NEW_CONNECTION_INTERVAL_S)
        plan_by_id = {}
        for ids in self._subsets.ids_by_service().values():
            for instance_id in ids:
                instance = instance_by_id.get(instance_id)
                if instance is None or instance_id in home_ids:
                    continue
                same_zone = instance.zone == zone
                interval_s = same_zone_s if same_zone else other_zone_s
                plan_by_id[instance_id] = CheckPlan(instance, interval_s, same_zone)
        return plan_by_id

    def _serve(self) -> None:
        subscription = self._timer.every(SAME_ZONE_INTERVAL_S)
        while subscription.wait():
            self.start_due_checks()

    def start_due_checks(self) -> None:
        """Start the checks that are due, each in a task of its own."""
        now = self._clock.monotonic()
        plans = tuple(self._plan_by_id.values())
        overflow_ids = self._overflow_ids(plans)
        for plan in plans:
            overflows = plan.instance.id in overflow_ids
            if not self._is_due(plan, now, overflows):
                continue
            if not self._start_check(plan, now, overflows):
                return

    def _overflow_ids(self, plans: tuple[CheckPlan, ...]) -> frozenset[str]:
        """Return the servers elsewhere to send to while the own zone lacks room.

        Each entry has its own order, so that they do not all choose the same few. For
        a service that clients of this entry rarely ask for, the results would be
        outdated before the next request, and traffic between zones is billed.
        """
        distant_by_service: dict[str, list[Instance]] = {}
        for plan in plans:
            if not plan.same_zone and not self._routes.is_evacuated(plan.instance.zone):
                distant = distant_by_service.setdefault(plan.instance.service, [])
                distant.append(plan.instance)
        own_name = self._fleet.me().name
        chosen: set[str] = set()
        for service, distant in distant_by_service.items():
            if not self._conditions.is_in_demand(service):
                continue
            if self._conditions.lacks_room(service):
                distant.sort(key=lambda item: weight(own_name, item.id))
                chosen.update(item.id for item in distant[:OVERFLOW_SERVERS])
        return frozenset(chosen)

    def _is_due(self, plan: CheckPlan, now: float, overflows: bool) -> bool:
        instance_id = plan.instance.id
        checked_at = self._checked_at_by_id.get(instance_id)
        if checked_at is None and plan.same_zone:
            # Its home has checked it by the next round.
            self._checked_at_by_id[instance_id] = now - plan.interval_s
            return False
        interval_s = OVERFLOW_INTERVAL_S if overflows else plan.interval_s
        if not self._conditions.is_verified(instance_id):
            interval_s = min(interval_s, UNVERIFIED_INTERVAL_S)
        if checked_at is not None and now - checked_at < interval_s:
            return False
        fresh_s = OVERFLOW_INTERVAL_S if overflows else PEER_RESULT_FRESH_S
        return self._conditions.needs_check(instance_id, fresh_s)

    def _start_check(self, plan: CheckPlan, now: float, overflows: bool) -> bool:
        """Check a backend server in a task; return False if too many checks run."""
        kept = overflows or plan.interval_s <= KEPT_CONNECTION_INTERVAL_S
        instance_id = plan.instance.id
        with self._lock:
            if instance_id in self._running_ids:
                return True
            if len(self._running_ids) >= MAX_CONCURRENT_CHECKS:
                return False
            self._running_ids.add(instance_id)
            self._checked_at_by_id[instance_id] = now
        try:
            self._tasks.submit(TaskKind.MEASURE, self._check_once, plan, kept)
        except TaskPoolFullError:
            with self._lock:
                self._running_ids.discard(instance_id)
            return False
        return True

    def _check_once(self, plan: CheckPlan, kept: bool) -> None:
        """Check a backend server; ``kept`` is whether its connection is used again."""
        instance = plan.instance
        with self._lock:
            connection = self._connection_by_id.pop(instance.id, None)
        if connection is None:
            connection = self._instances.health_connection(instance)
        succeeded = False
        try:
            self._checks.check(instance, connection)
            succeeded = True
        finally:
            with self._lock:
                self._running_ids.discard(instance.id)
                current = self._plan_by_id.get(instance.id)
                reusable = kept and succeeded and current
                if reusable and not _moved(instance, reusable.instance):
                    self._connection_by_id[instance.id] = connection
                    connection = None
            if connection is not None:
                connection.close()


def _moved(before: Instance, after: Instance) -> bool:
    return (before.address, before.started_at_ms) != (
        after.address,
        after.started_at_ms,
    )


def make_prober(kernel: Kernel, *, first_start: bool = False) -> ZoneProber:
    """Return the prober, not yet started; the settings limit the rate of its checks.

    ``first_start`` tells whether the whole fleet starts for the first time.
    """
    clock = kernel.find(ServiceName.CLOCK, Clock)
    metrics = kernel.find(ServiceName.METRICS, Metrics)
    routes = kernel.find(ServiceName.ROUTES, Routes)
    conditions = kernel.find(ServiceName.CONDITIONS, Conditions)
    return ZoneProber(
        clock,
        metrics,
        kernel.find(ServiceName.TASKS, Tasks),
        kernel.find(ServiceName.TIMER, Timer),
        routes,
        kernel.find(ServiceName.REGISTRY, Registry),
        kernel.find(ServiceName.FLEET, Fleet),
        kernel.find(ServiceName.SUBSETS, Subsets),
        conditions,
        kernel.find(ServiceName.INSTANCES, Instances),
        kernel.find(ServiceName.MEASUREMENTS, Measurements),
        kernel.find(ServiceName.LIVE_SETTINGS, LiveSettings),
        first_start,
        HealthChecks(clock, metrics, routes, conditions),
    )
