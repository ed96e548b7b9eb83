"""Follows the orders of roll-outs and the decisions on them."""

import math
import threading
from collections.abc import Callable, Mapping
from functools import partial

from attrs import define, field
from loguru import logger

from dotterelpier.errors import TaskPoolFullError
from dotterelpier.fleet.follower import TableFollower, apply_each, make_follower
from dotterelpier.fleet.rollouts.gate import ReleaseGate
from dotterelpier.fleet.rollouts.records import NO_RECORD, TABLE, decode_record
from dotterelpier.fleet.rollouts.task import RolloutTask, make_rollout_task
from dotterelpier.fleet.rollouts.traffic import RolloutTraffic
from dotterelpier.kernel import Kernel
from dotterelpier.model.fleet import StoreRow
from dotterelpier.model.rollout import RolloutOrder, StoredRecord
from dotterelpier.protocols import Clock, ServiceName, TaskKind, Tasks
from dotterelpier.protocols.fleet import (
    DatagramKind,
    Datagrams,
    ReleaseSelection,
    Rollouts,
    Routes,
    StoreLink,
)

STEP = "rollouts"
# For this long after the store was unreachable, an order that is read may be an old one
# that was decided meanwhile.
RECOVERY_S = 3.0


@define(eq=False)
class FollowedRollouts:
    """Roll-outs of the services with an order in the store.

    Nothing runs before the first order. From then on, one task follows the records, one
    talks to the other entries, and one calls the store. ``select`` and ``note_request``
    are thread-safe.
    """

    _clock: Clock
    _tasks: Tasks
    _datagrams: Datagrams
    _routes: Routes
    _link: StoreLink
    _make_task: Callable[[], RolloutTask]
    _make_follower: Callable[..., TableFollower]
    # Replaced as a whole, as the threads of requests read it.
    _traffic_by_service: Mapping[str, RolloutTraffic] = field(factory=dict)
    _task: RolloutTask | None = None
    _follower: TableFollower | None = None
    _records_loaded: bool = False
    _stored_by_service: dict[str, StoredRecord] = field(factory=dict)
    _listeners: list[Callable[[], None]] = field(factory=list)
    _stopping: bool = False
    _lock: threading.RLock = field(factory=threading.RLock)

    def start(self) -> None:
        """Follow the orders, of which those known by now may be of any age."""
        self._routes.subscribe(self.refresh)
        self._refresh(ages_known=False)

    def stop(self) -> None:
        """Tell the coordinators that this entry ends, and end all tasks."""
        with self._lock:
            self._stopping = True
        if self._task is not None and self._follower is not None:
            self._follower.stop()
            self._task.stop()

    def note_request(self, service: str) -> None:
        """Count a request of a client."""
        traffic = self._traffic_by_service.get(service)
        if traffic is not None:
            traffic.note_request()

    def select(self, service: str, *, is_first: bool) -> ReleaseSelection | None:
        """Return the releases that an attempt may go to, None if all of them."""
        traffic = self._traffic_by_service.get(service)
        return None if traffic is None else traffic.select(is_first=is_first)

    def target(self, service: str) -> str | None:
        """Return the release that is ordered for a service, None without an order."""
        traffic = self._traffic_by_service.get(service)
        return None if traffic is None else traffic.gate.order.target

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call a listener when an order comes or goes; it must not block."""
        self._listeners.append(listener)

    def refresh(self) -> None:
        """Apply the orders that the store states now.

        Runs in the task that follows the orders, so that no request is sent by an
        outdated rule once an order was read.
        """
        self._refresh(ages_known=not self._routes.is_snapshot())

    def _refresh(self, *, ages_known: bool) -> None:
        orders = self._routes.rollout_orders()
        with self._lock:
            before = self._traffic_by_service
            current = {service: item.gate.order for service, item in before.items()}
            if self._stopping or orders == current:
                return
            task = self._begin_tasks()
            traffic_by_service = {}
            for service, order in orders.items():
                traffic = before.get(service)
                if traffic is None or traffic.gate.order != order:
                    traffic = self._begin_order(order, traffic, ages_known)
                    task.join(traffic, self._clock.monotonic() if ages_known else None)
                traffic_by_service[service] = traffic
            self._traffic_by_service = traffic_by_service
            for service in before.keys() - orders.keys():
                logger.info("order of a roll-out deleted", service=service)
                task.leave(service)
        for listener in tuple(self._listeners):
            listener()

    def _begin_tasks(self) -> RolloutTask:
        if self._task is not None:
            return self._task
        self._task = self._make_task()
        self._follower = self._make_follower(self.apply_snapshot, self.apply_changes)
        self._datagrams.subscribe(
            DatagramKind.ROLLOUT_REPORT, self._task.receive_report
        )
        self._datagrams.subscribe(DatagramKind.ROLLOUT_SHARE, self._task.receive_share)
        try:
            self._tasks.supervise(TaskKind.CONTROL, self._task.serve)
            self._tasks.supervise(TaskKind.CONTROL, self._task.keeper.serve)
            self._follower.start()
        except TaskPoolFullError as error:
            # The target gets nothing from this entry; others may lead the roll-out.
            logger.error("roll-outs not followed", step=STEP, error=error.message)
        return self._task

    def _begin_order(
        self, order: RolloutOrder, replaced: RolloutTraffic | None, age_known: bool
    ) -> RolloutTraffic:
        now = self._clock.monotonic()
        inherited = replaced.gate.out_of_service() if replaced else frozenset()
        gate = ReleaseGate(order, inherited - {order.target})
        recovering = now - self._link.recovered_at() < RECOVERY_S
        if not age_known or recovering:
            gate.held_until = now + RECOVERY_S if self._records_loaded else math.inf
        gate.note_record(self._stored_by_service.get(order.service, NO_RECORD))
        logger.info(
            "roll-out ordered",
            service=order.service,
            target=order.target,
            duration_s=order.duration_s,
            order=order.version,
            age_known=age_known,
        )
        return RolloutTraffic(gate, self._clock)

    def apply_snapshot(self, rows: tuple[StoreRow, ...]) -> None:
        """Apply all records; from then on, an order without one is not decided."""
        self.apply_changes(rows)
        with self._lock:
            self._records_loaded = True
            for traffic in self._traffic_by_service.values():
                traffic.gate.held_until = -math.inf

    def apply_changes(self, rows: tuple[StoreRow, ...]) -> None:
        """Apply changed records."""
        apply_each(rows, self._apply_row)

    def _apply_row(self, row: StoreRow) -> None:
        stored = decode_record(row)
        if stored.record is None:
            return
        with self._lock:
            self._stored_by_service[row.key] = stored
            traffic = self._traffic_by_service.get(row.key)
            task = self._task
        if traffic is not None and task is not None:
            traffic.gate.note_record(stored)
            task.note_record(row.key, stored)


def make_rollouts(kernel: Kernel) -> Rollouts:
    """Return the service, not yet started, without an order."""
    return FollowedRollouts(
        kernel.find(ServiceName.CLOCK, Clock),
        kernel.find(ServiceName.TASKS, Tasks),
        kernel.find(ServiceName.DATAGRAMS, Datagrams),
        kernel.find(ServiceName.ROUTES, Routes),
        kernel.find(ServiceName.STORE_LINK, StoreLink),
        partial(make_rollout_task, kernel),
        partial(make_follower, kernel, TABLE),
    )
