"""Conditions of all backend servers, and the choice among them."""

import math
import threading
from collections.abc import Callable, Iterable, Mapping

from attrs import define, evolve, field
from loguru import logger

from dotterelpier.fleet.capacity import capacity_by_zone
from dotterelpier.fleet.choosing import ChosenInstance, ConditionChooser
from dotterelpier.fleet.condition import LOAD_FRESH_S, SLOW_RATIO, Condition
from dotterelpier.fleet.demand import RequestTimes
from dotterelpier.fleet.departures import Departures
from dotterelpier.fleet.full_load import FullLoadEstimate
from dotterelpier.fleet.notices import InstanceNotices, is_same_incarnation
from dotterelpier.fleet.rollouts.disabled import NoRollouts
from dotterelpier.fleet.work_time_estimates import WorkTimeEstimates
from dotterelpier.kernel import Kernel
from dotterelpier.model.instance import (
    NO_NOTICE,
    Instance,
    InstanceNotice,
    LoadFigures,
    Measurement,
)
from dotterelpier.model.route import Route
from dotterelpier.protocols import Clock, ServiceName
from dotterelpier.protocols.fleet import (
    Choice,
    Conditions,
    Fleet,
    InstanceFilter,
    Registry,
    Rollouts,
    Routes,
    Subsets,
)


@define
class SharedConditions:
    """Keeps the condition of each backend server, guarded by one lock.

    Only those of the entry's subset get requests. All methods are thread-safe.
    """

    _clock: Clock
    _routes: Routes
    _registry: Registry
    _fleet: Fleet
    _subsets: Subsets
    _rollouts: Rollouts = field(factory=NoRollouts)
    _chooser: ConditionChooser = field(factory=ConditionChooser)
    _work_time_by_route: WorkTimeEstimates = field(factory=WorkTimeEstimates)
    _work_time_by_service: WorkTimeEstimates = field(factory=WorkTimeEstimates)
    _full_load: FullLoadEstimate = field(factory=FullLoadEstimate)
    _notices: InstanceNotices = field(factory=InstanceNotices)
    _departures: Departures = field(factory=Departures)
    _request_times: RequestTimes = field(factory=RequestTimes)
    _condition_by_id: dict[str, Condition] = field(factory=dict)
    _evacuated_ids: frozenset[str] = frozenset()
    _watchers_by_id: dict[str, list[Callable[[], None]]] = field(factory=dict)
    _changed: threading.Condition = field(factory=threading.Condition)

    def start(self) -> None:
        """Read the registry and the routes, and follow their changes."""
        self._subsets.subscribe(self.refresh)
        self._routes.subscribe(self.refresh)
        self.refresh()

    def stop(self) -> None:
        """Do nothing; the service runs no task."""

    def refresh(self) -> None:
        """Apply the current registry, routes and evacuated zones.

        Runs in the thread that changed the registry or the routes.
        """
        instances = self._registry.instances()
        table = self._routes.table()
        now = self._clock.monotonic()
        with self._changed:
            routes = table.route_names() if table else frozenset()
            self._work_time_by_route.keep(routes)
            self._full_load.keep(routes)
            services = table.config_by_service if table else ()
            self._work_time_by_service.keep(services)
            self._request_times.keep(services)
            before = self._condition_by_id
            self._condition_by_id = {
                item.id: self._updated(before.get(item.id), item, now)
                for item in instances
            }
            for instance_id in before.keys() - self._condition_by_id.keys():
                self._departures.note(before[instance_id].instance)
            self._apply_evacuations(instances, now)
            self._changed.notify_all()

    def _updated(
        self, before: Condition | None, instance: Instance, now: float
    ) -> Condition:
        """Return the condition after the row of a backend server was read again.

        A new incarnation starts with a new condition, so it needs a health check.
        """
        if before is None or not is_same_incarnation(before.instance, instance):
            cold_until = now + instance.cold_remaining_s
            returned = self._departures.includes(instance)
            return Condition(
                instance,
                cold_until=cold_until,
                closed_until=self._notices.closed_until(instance),
                # Checks that began before it left do not show that it is back.
                invalidated_at=now if returned else -math.inf,
                returned=returned,
            )
        if instance.cold_remaining_s > before.instance.cold_remaining_s:
            before.cold_until = max(before.cold_until, now + instance.cold_remaining_s)
        before.instance = instance
        return before

    def _apply_evacuations(self, instances: Iterable[Instance], now: float) -> None:
        evacuated = frozenset(
            item.id for item in instances if self._routes.is_evacuated(item.zone)
        )
        for instance_id in self._evacuated_ids - evacuated:
            # Backend servers may have turned cold while their zone was evacuated.
            if instance_id in self._condition_by_id:
                self._condition_by_id[instance_id].invalidate(now)
        self._evacuated_ids = evacuated

    def pick(
        self,
        service: str,
        route: Route,
        excluded: frozenset[str],
        remaining_s: float,
        *,
        spare_room: bool = False,
    ) -> ChosenInstance | None:
        """Choose the best backend server and count one more request at it.

        Returns None if no eligible backend server has room and is expected to answer
        within ``remaining_s`` seconds. Quarantined ones are chosen only if there is
        no other. With ``spare_room``, cold and quarantined ones and the last slot of
        each are left to other requests.
        """
        selection = self._rollouts.select(service, is_first=not excluded)
        if selection is None:
            return self._pick(service, route, excluded, remaining_s, spare_room)
        return selection.choose(
            lambda permits: self._pick(
                service, route, excluded, remaining_s, spare_room, permits
            ),
            lambda chosen, tracked: evolve(chosen, tracked=tracked),
        )

    def _pick(
        self,
        service: str,
        route: Route,
        excluded: frozenset[str],
        remaining_s: float,
        spare_room: bool,
        permits: InstanceFilter | None = None,
    ) -> ChosenInstance | None:
        table = self._routes.table()
        terms = table.config_by_service.get(service) if table else None
        if terms is None:
            return None
        with self._changed:
            now = self._clock.monotonic()
            ids = self._subsets.ids_by_service().get(service, ())
            usual_work_s = self._work_time_by_route.seconds(route.name)
            spare_slots = int(self._full_load.keeps_slot_free())
            candidates = [
                self._condition_by_id[item]
                for item in ids
                if item not in excluded
                and item not in self._evacuated_ids
                and item in self._condition_by_id
            ]
            if permits is not None:
                candidates = [item for item in candidates if permits(item.instance)]
            eligible = [
                item
                for item in candidates
                if item.accepts(now)
                and item.has_room(spare_slots)
                and item.expected_time(now) * usual_work_s <= remaining_s
                and self._slow_start_allows(item, now, terms.warmup_per_s)
            ]
            not_quarantined = [
                item for item in eligible if item.quarantined_until <= now
            ]
            if spare_room:
                not_quarantined = eligible = [
                    item
                    for item in not_quarantined
                    if not item.is_cold(now) and not item.takes_last_slot(spare_slots)
                ]
            me = self._fleet.me()
            chosen = self._chooser.choose(
                not_quarantined or eligible, route, me.zone, now
            )
            if chosen is None:
                return None
            return self._reserve(chosen, now, terms.warmup_per_s)

    def _slow_start_allows(
        self, condition: Condition, now: float, per_s: float
    ) -> bool:
        """Return whether the slow start limit of a backend server allows a request.

        Only its home sends to a cold backend server, at the declared rate.
        """
        if not condition.is_cold(now):
            return True
        if condition.instance.id not in self._subsets.home_ids():
            return False
        return condition.has_cold_token(now, per_s)

    def _reserve(
        self, condition: Condition, now: float, per_s: float
    ) -> ChosenInstance:
        if condition.is_cold(now):
            condition.take_cold_token(now, per_s)
        chosen = ChosenInstance(
            condition.instance,
            condition.work_ratio(now),
            condition.expected_time(now),
            now - condition.load_at if condition.load else math.inf,
            condition.estimated_in_flight(),
            condition.is_cold(now),
        )
        condition.in_flight += 1
        condition.sent_since += 1
        # It is the turn of the next request that waits for room.
        self._changed.notify_all()
        return chosen

    def note_request(self, service: str) -> None:
        """Record that a client asked for a service."""
        with self._changed:
            self._request_times.note(service, self._clock.monotonic())

    def is_in_demand(self, service: str) -> bool:
        """Return whether a load report is likely to be used before it is outdated."""
        with self._changed:
            now = self._clock.monotonic()
            return self._request_times.is_frequent(service, LOAD_FRESH_S, now)

    def lacks_room(self, service: str) -> bool:
        """Return whether no backend server of the own zone is fast and has a free slot.

        Those of evacuated zones do not count.
        """
        zone = self._fleet.me().zone
        spare_slots = int(self._full_load.keeps_slot_free())
        with self._changed:
            now = self._clock.monotonic()
            return not any(
                item.instance.zone == zone
                and item.accepts(now)
                and item.work_ratio(now) < SLOW_RATIO
                and item.has_room(spare_slots)
                for instance_id in self._subsets.ids_by_service().get(service, ())
                if (item := self._condition_by_id.get(instance_id)) is not None
                and instance_id not in self._evacuated_ids
            )

    def closed_until(self, service: str) -> float:
        """Return until when all backend servers of a service asked for no requests.

        Minus infinity if one of them did not, or none is known. Those of evacuated
        zones do not count. A request that stops waiting earlier cannot be served.
        """
        with self._changed:
            ids = self._subsets.ids_by_service().get(service, ())
            known = [
                self._condition_by_id[item].closed_until
                for item in ids
                if item in self._condition_by_id and item not in self._evacuated_ids
            ]
            return min(known, default=-math.inf)

    def wants_check(self, instance_id: str) -> bool:
        """Return whether a backend server did not ask for a pause that still lasts."""
        with self._changed:
            condition = self._condition_by_id.get(instance_id)
            now = self._clock.monotonic()
            return condition is None or not now < condition.closed_until < math.inf

    def note_notice(self, instance: Instance, notice: InstanceNotice) -> None:
        """Record what an incarnation of a backend server asked for beside an answer."""
        if notice is NO_NOTICE:
            return
        now = self._clock.monotonic()
        with self._changed:
            if not self._notices.note(instance, notice, now):
                return
            condition = self._condition_by_id.get(instance.id)
            if condition and is_same_incarnation(condition.instance, instance):
                condition.closed_until = self._notices.closed_until(instance)
            self._changed.notify_all()
        logger.info(
            "backend server leaves" if notice.leaving else "backend server pauses",
            peer=instance.id,
            pause_s=round(notice.retry_after_s, 3),
        )

    def wait_for_room(self, timeout_s: float) -> None:
        """Block until there may be more room, or until the timeout.

        A request that ends, a load report, a change of the registry or the routes and
        the end of a pause that a backend server asked for each end the wait.
        """
        with self._changed:
            now = self._clock.monotonic()
            closed = [item.closed_until for item in self._condition_by_id.values()]
            opens_at = min((at for at in closed if at > now), default=math.inf)
            self._changed.wait(min(timeout_s, opens_at - now))

    def note_ended(self, instance_id: str, success: bool | None) -> None:
        """Record the end of a request, which may quarantine the backend server.

        Parameters
        ----------
        instance_id : str
            Id of the backend server.
        success : bool or None
            None if the outcome says nothing about its health, such as a refusal.
        """
        with self._changed:
            condition = self._condition_by_id.get(instance_id)
            if condition is None:
                return
            condition.in_flight = max(0, condition.in_flight - 1)
            condition.ended_since += 1
            held = False
            if success:
                condition.note_success()
            elif success is not None:
                held = condition.note_failure(self._clock.monotonic())
            self._changed.notify_all()
        if held:
            logger.warning(
                "backend server quarantined",
                peer=instance_id,
                failures=round(condition.failure_score, 2),
                until=round(condition.quarantined_until, 3),
            )

    def note_answer(self, route: Route, choice: Choice, duration_s: float) -> None:
        """Update the work time estimate of a route after a successful answer."""
        with self._changed:
            expected_time, service = choice.expected_time, choice.instance.service
            self._full_load.note(
                route.name,
                choice.estimated_in_flight,
                choice.instance.slots,
                choice.work_ratio,
                duration_s,
            )
            self._work_time_by_route.note(route.name, duration_s, expected_time)
            self._work_time_by_service.note(service, duration_s, expected_time)

    def usual_work_s(self, service: str) -> float:
        """Return the usual work time of a service in seconds, 0 while it is unknown."""
        with self._changed:
            return self._work_time_by_service.seconds(service)

    def note_load(self, instance_id: str, load: LoadFigures) -> None:
        """Record the load report that came with an answer."""
        self._apply_load(instance_id, load, self._clock.monotonic())

    def _apply_load(self, instance_id: str, load: LoadFigures, at: float) -> None:
        watchers: tuple[Callable[[], None], ...] = ()
        with self._changed:
            condition = self._condition_by_id.get(instance_id)
            if condition is None or condition.load_at > at:
                return
            was_slow = condition.load and condition.load.work_ratio >= SLOW_RATIO
            condition.load, condition.load_at = load, at
            condition.sent_since = condition.ended_since = 0
            if load.work_ratio >= SLOW_RATIO and not was_slow:
                watchers = tuple(self._watchers_by_id.get(instance_id, ()))
            self._changed.notify_all()
        for watcher in watchers:
            watcher()

    def note_check(self, measurement: Measurement) -> None:
        """Record the result of a health check of this entry."""
        if measurement.unreachable:
            self._apply_unreachable(measurement, own=True)
        else:
            self._apply_report(measurement, own=True)

    def note_measurement(self, measurement: Measurement) -> None:
        """Record the result of another entry's health check."""
        if measurement.unreachable:
            self._apply_unreachable(measurement, own=False)
            return
        self._apply_report(measurement, own=False)
        report = measurement.report
        if report is not None and report.notice.leaving:
            with self._changed:
                condition = self._checked_condition(measurement)
            if condition is not None:
                self.note_notice(condition.instance, report.notice)

    def note_unreachable(self, instance_id: str, reason: str) -> None:
        """Record that this entry cannot reach a backend server, with the reason."""
        now = self._clock.monotonic()
        measurement = Measurement(instance_id, now, unreachable=reason)
        self._apply_unreachable(measurement, own=True)

    def is_verified(self, instance_id: str) -> bool:
        """Return whether a health check was answered since the last invalidation."""
        with self._changed:
            condition = self._condition_by_id.get(instance_id)
            return condition is not None and condition.verified

    def needs_check(self, instance_id: str, fresh_s: float) -> bool:
        """Return whether this entry must check a backend server itself.

        That is the case if the last check by any entry was sent more than ``fresh_s``
        seconds ago, or if this entry failed to reach it.
        """
        with self._changed:
            condition = self._condition_by_id.get(instance_id)
            if condition is None or condition.own_check_needed:
                return True
            return self._clock.monotonic() - condition.checked_at > fresh_s

    def _checked_condition(self, measurement: Measurement) -> Condition | None:
        """Return the condition of the incarnation that a health check was sent to."""
        condition = self._condition_by_id.get(measurement.instance_id)
        if condition is None:
            return None
        started_at_ms = measurement.started_at_ms
        if started_at_ms not in (0, condition.instance.started_at_ms):
            return None
        return condition

    def _apply_report(self, measurement: Measurement, *, own: bool) -> None:
        report = measurement.report
        if report is None:
            return
        now = self._clock.monotonic()
        with self._changed:
            condition = self._checked_condition(measurement)
            if condition is None or measurement.measured_at < condition.invalidated_at:
                return
            condition.checked_at = max(condition.checked_at, measurement.measured_at)
            if condition.own_check_needed and not own:
                return
            before = (condition.usable(), condition.healthy, condition.is_cold(now))
            condition.apply_report(report, now)
            after = (condition.usable(), condition.healthy, condition.is_cold(now))
        if report.load is not None:
            at = measurement.measured_at
            self._apply_load(measurement.instance_id, report.load, at)
        if before != after:
            logger.info(
                "backend server checked",
                peer=measurement.instance_id,
                own=own,
                usable_before=before[0],
                usable=after[0],
                healthy=after[1],
                cold_s=round(report.cold_remaining_s, 3),
            )

    def _apply_unreachable(self, measurement: Measurement, *, own: bool) -> None:
        with self._changed:
            condition = self._checked_condition(measurement)
            if condition is None:
                return
            condition.checked_at = max(condition.checked_at, measurement.measured_at)
            condition.own_check_needed = condition.own_check_needed or own
            was_unreachable, condition.unreachable = (
                condition.unreachable,
                measurement.unreachable,
            )
            condition.invalidate(self._clock.monotonic())
        if not was_unreachable:
            logger.warning(
                "backend server unreachable",
                peer=measurement.instance_id,
                own=own,
                reason=measurement.unreachable,
            )

    def watch_slowdown(
        self, instance_id: str, listener: Callable[[], None]
    ) -> Callable[[], None]:
        """Call a listener whenever a backend server turns slow; return an unsubscriber.

        The listener runs in the thread that reports the load, without the lock held.
        """
        with self._changed:
            self._watchers_by_id.setdefault(instance_id, []).append(listener)
        return lambda: self._unwatch(instance_id, listener)

    def _unwatch(self, instance_id: str, listener: Callable[[], None]) -> None:
        with self._changed:
            watchers = self._watchers_by_id.get(instance_id, [])
            if listener in watchers:
                watchers.remove(listener)
            if not watchers:
                self._watchers_by_id.pop(instance_id, None)

    def work_ratio(self, instance_id: str) -> float:
        """Return the expected work ratio, infinite for an unknown backend server."""
        with self._changed:
            condition = self._condition_by_id.get(instance_id)
            if condition is None:
                return math.inf
            return condition.work_ratio(self._clock.monotonic())

    def capacity_by_zone(self, services: frozenset[str]) -> Mapping[str, float]:
        """Return the current capacity for some services in slots, by zone.

        Only usable backend servers count, and only those of zones not evacuated. The
        servers outside the subset are taken to be usable to the same share as those of
        their zone in it.
        """
        with self._changed:
            ids = self._subsets.ids_by_service()
            subset = {item for service in services for item in ids.get(service, ())}
            conditions = [
                item
                for item in self._condition_by_id.values()
                if item.instance.service in services
                and item.instance.id not in self._evacuated_ids
            ]
            return capacity_by_zone(conditions, subset, self._clock.monotonic())


def make_conditions(kernel: Kernel) -> Conditions:
    """Return the service, not yet started."""
    return SharedConditions(
        kernel.find(ServiceName.CLOCK, Clock),
        kernel.find(ServiceName.ROUTES, Routes),
        kernel.find(ServiceName.REGISTRY, Registry),
        kernel.find(ServiceName.FLEET, Fleet),
        kernel.find(ServiceName.SUBSETS, Subsets),
        kernel.find(ServiceName.ROLLOUTS, Rollouts),
    )
