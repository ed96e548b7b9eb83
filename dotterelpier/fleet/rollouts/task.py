"""Task that talks to the other entries about the orders, and leads those it must."""

import threading
from collections.abc import Callable, Mapping
from functools import partial
from queue import Empty, SimpleQueue

from attrs import define, evolve, field
from loguru import logger

from dotterelpier.errors import TaskPoolFullError
from dotterelpier.fleet.rollouts.course import CourseStep, RolloutCourse, StoreAction
from dotterelpier.fleet.rollouts.order_clock import OrderClock
from dotterelpier.fleet.rollouts.participant import (
    OrderParticipant,
    Outbox,
    Surroundings,
)
from dotterelpier.fleet.rollouts.records import RecordKeeper, StoreResult
from dotterelpier.fleet.rollouts.servers import ReleaseServers
from dotterelpier.fleet.rollouts.share_plan import SharePlan
from dotterelpier.fleet.rollouts.succession import Succession
from dotterelpier.fleet.rollouts.traffic import RolloutTraffic
from dotterelpier.kernel import Kernel
from dotterelpier.model.fleet import FleetMember
from dotterelpier.model.rollout import (
    RolloutReport,
    RolloutShare,
    RolloutState,
    StoredRecord,
)
from dotterelpier.protocols import Clock, Metrics, ServiceName, TaskKind, Tasks
from dotterelpier.protocols.fleet import (
    Codec,
    DatagramKind,
    Datagrams,
    Fleet,
    FleetPeers,
    Instances,
    LiveSettings,
    Registry,
    Routes,
    StoreLink,
    Stores,
)
from dotterelpier.wire.rollouts import (
    decode_report,
    decode_share,
    encode_report,
    encode_share,
)

TICK_S = 0.1
# Messages that are handled before the next tick, should they come without a pause.
MAX_BATCH = 1000
# Longest delay until an entry hears of an order, as a share of the time within which a
# change must be in force: when all publishers lose the store at once, the others read
# it themselves after this time.
ORDER_DELAY_SHARE = 0.7
# Time between two questions to an entry that stopped reporting, longer than one takes,
# and how many entries are asked in this time.
ASK_INTERVAL_S = 1.5
MAX_ASKED = 8
# Pause after a failed call to the store.
STORE_RETRY_S = 0.3
# Bounds of the expected duration of a call to the store.
MIN_STORE_CALL_S = 0.05
MAX_STORE_CALL_S = 1.0
# Value of the metric rollout_state for each state; 0 without an order.
GAUGE_BY_STATE: Mapping[RolloutState, int] = {
    RolloutState.RUNNING: 1,
    RolloutState.COMPLETING: 1,
    RolloutState.COMPLETED: 2,
    RolloutState.ROLLED_BACK: 3,
}


@define(eq=False)
class _Participation:
    """What the task keeps for one order."""

    participant: OrderParticipant
    servers: ReleaseServers
    call_pending: bool = False
    call_after: float = float("-inf")
    logged: CourseStep | None = None
    logged_stored: StoredRecord = StoredRecord(None, 0)
    asked_at_by_name: dict[str, float] = field(factory=dict)


@define(eq=False)
class RolloutTask:
    """Part that this entry takes in all orders.

    The methods that other tasks call queue what they are told; all else runs in the
    task itself. It waits without a timeout while no order is undecided.
    """

    _clock: Clock
    _tasks: Tasks
    _metrics: Metrics
    _datagrams: Datagrams
    _peers: FleetPeers
    _fleet: Fleet
    _routes: Routes
    _registry: Registry
    _instances: Instances
    _link: StoreLink
    _settings: LiveSettings
    _codec: Codec
    _stores: Stores
    keeper: RecordKeeper = field(init=False)
    _participation_by_service: dict[str, _Participation] = field(factory=dict)
    _store_call_s: float = MIN_STORE_CALL_S
    _tick_at: float = float("-inf")
    _inbox: "SimpleQueue[Callable[[], None]]" = field(factory=SimpleQueue)
    _ended: threading.Event = field(factory=threading.Event)

    def __attrs_post_init__(self) -> None:
        self.keeper = RecordKeeper(
            self._stores, self._codec, self._clock, self._queue_result
        )

    def join(self, traffic: RolloutTraffic, seen_at: float | None) -> None:
        """Take part in an order, in place of an earlier one for the service.

        ``seen_at`` is when this entry read it, None if it may be older.
        """
        self._inbox.put(partial(self._join, traffic, seen_at))

    def leave(self, service: str) -> None:
        """Take no more part in the order for a service, which was deleted."""
        self._inbox.put(partial(self._leave, service))

    def note_record(self, service: str, stored: StoredRecord) -> None:
        """Apply a record that came by the table."""
        self._inbox.put(partial(self._apply_record, service, stored))

    def receive_report(self, content: bytes) -> None:
        """Apply a datagram with the report of an entry."""
        self._inbox.put(partial(self._apply_report, decode_report(content)))

    def receive_share(self, content: bytes) -> None:
        """Apply a datagram with a message of a coordinator."""
        self._inbox.put(partial(self._apply_share, decode_share(content)))

    def stop(self) -> None:
        """Tell the coordinators that this entry ends, and end the task."""
        self.keeper.stop()
        self._inbox.put(self._end)
        self._ended.wait(5 * TICK_S)

    def serve(self) -> None:
        """Handle what is queued, and tick while an order is undecided."""
        while not self._ended.is_set():
            self.run_once(self._wait_s())

    def run_once(self, wait_s: float | None) -> None:
        """Handle what is queued, waiting for it if nothing is, and tick if it is time.

        With None, it waits without a limit.
        """
        try:
            self._handle(self._inbox.get(timeout=wait_s))
            for _ in range(min(MAX_BATCH, self._inbox.qsize())):
                self._handle(self._inbox.get())
        except Empty:
            pass
        now = self._clock.monotonic()
        if now >= self._tick_at:
            self._tick_at = now + TICK_S
            for participation in tuple(self._participation_by_service.values()):
                self._tick(participation)

    def _wait_s(self) -> float | None:
        now = self._clock.monotonic()
        if all(
            item.participant.is_over(now)
            for item in self._participation_by_service.values()
        ):
            return None
        return max(0.0, self._tick_at - now)

    def _handle(self, handler: Callable[[], None]) -> None:
        try:
            handler()
        except Exception:
            # The messages after it must not wait for the next start of the task.
            logger.exception("event of a roll-out not handled")

    def _end(self) -> None:
        for participation in self._participation_by_service.values():
            if not participation.participant.is_over(self._clock.monotonic()):
                around = self._surroundings(participation)
                self._send(participation.participant.last_report(around))
        self._ended.set()

    def _join(self, traffic: RolloutTraffic, seen_at: float | None) -> None:
        order = traffic.gate.order
        bounds = self._settings.bounds()
        plan = SharePlan(bounds.expose_share, bounds.expose_slack)
        participant = OrderParticipant(
            order,
            traffic,
            RolloutCourse(order, plan, traffic.gate.inherited),
            OrderClock(order, seen_at),
            Succession(order.service, self._clock.monotonic()),
        )
        traffic.on_bad_answer = participant.request_report
        participant.note_record(traffic.gate.stored())
        servers = ReleaseServers(order.service, order.target)
        participation = _Participation(participant, servers)
        self._participation_by_service[order.service] = participation

    def _leave(self, service: str) -> None:
        self._participation_by_service.pop(service, None)
        self._metrics.set_gauge("rollout_state", 0, service=service)
        self._metrics.set_gauge("rollout_share", 0, service=service)

    def _find(self, service: str, order_version: int) -> _Participation | None:
        participation = self._participation_by_service.get(service)
        if participation is None:
            return None
        is_same = participation.participant.order.version == order_version
        return participation if is_same else None

    def _apply_record(self, service: str, stored: StoredRecord) -> None:
        participation = self._participation_by_service.get(service)
        if participation is not None:
            participation.participant.note_record(stored)
            self._log_state(participation)

    def _apply_report(self, report: RolloutReport) -> None:
        participation = self._find(report.service, report.order_version)
        if participation is not None:
            now = self._clock.monotonic()
            participation.participant.receive_report(report, now)

    def _apply_share(self, message: RolloutShare) -> None:
        participation = self._find(message.service, message.order_version)
        if participation is not None:
            around = self._surroundings(participation)
            participation.participant.receive_share(message, around)
            self._log_state(participation)

    def _queue_result(self, result: StoreResult) -> None:
        self._inbox.put(partial(self._apply_result, result))

    def _apply_result(self, result: StoreResult) -> None:
        call_s = result.replied_at - result.asked_at
        self._store_call_s = min(MAX_STORE_CALL_S, max(MIN_STORE_CALL_S, call_s))
        participation = self._find(result.order.service, result.order.version)
        if participation is None:
            return
        participation.call_pending = False
        participant = participation.participant
        if result.stored is None:
            participation.call_after = result.replied_at + STORE_RETRY_S
            participant.course.note_failed()
        elif result.was_read:
            participant.clock.note_store_clock(
                result.store_ms, result.asked_at, result.replied_at
            )
            participant.course.note_read(result.stored)
        else:
            participant.course.note_written(result.stored)
        participant.note_record(participant.course.known())
        self._log_state(participation)
        # What was written must be told without a delay.
        self._tick_at = float("-inf")

    def _tick(self, participation: _Participation) -> None:
        participant = participation.participant
        now = self._clock.monotonic()
        if participant.is_over(now):
            return
        around = self._surroundings(participation)
        outbox = participant.tick(around)
        self._send(outbox)
        step = outbox.step
        if step is not None:
            self._log_step(participation, step)
            self._call_store(participation, step, now)
            self._ask_silent(participation, around)
        service = participant.order.service
        share = participant.traffic.gate.share(now)
        self._metrics.set_gauge("rollout_share", share, service=service)

    def _call_store(
        self, participation: _Participation, step: CourseStep, now: float
    ) -> None:
        wanted = step.action is not StoreAction.NONE
        if not wanted or participation.call_pending or now < participation.call_after:
            return
        if not self._link.is_reachable():
            return
        participation.call_pending = True
        self.keeper.request(participation.participant.order, step)

    def _ask_silent(self, participation: _Participation, around: Surroundings) -> None:
        """Ask entries that stopped reporting whether they have ended."""
        asked_at = participation.asked_at_by_name
        recent = around.now - ASK_INTERVAL_S
        for member in participation.participant.silent_members(around):
            asking = sum(at > recent for at in asked_at.values())
            if asked_at.get(member.name, recent) > recent or asking >= MAX_ASKED:
                continue
            asked_at[member.name] = around.now
            try:
                self._tasks.submit(TaskKind.PEER, self._ask, participation, member)
            except TaskPoolFullError:
                return

    def _ask(self, participation: _Participation, member: FleetMember) -> None:
        if self._peers.has_ended(member):
            self._inbox.put(partial(participation.participant.note_ended, member))

    def _surroundings(self, participation: _Participation) -> Surroundings:
        now = self._clock.monotonic()
        servers = participation.servers
        instances = self._registry.instances()
        servers.update(
            [item for item in instances if not self._routes.is_evacuated(item.zone)],
            now,
        )
        return Surroundings(
            now,
            self._fleet.me(),
            self._fleet.members(),
            servers.slots(now),
            lambda: self._instances.in_use(servers.old_addresses()),
            self._link.is_reachable() and self._link.is_answering(),
            self._settings.bounds().change_ms / 1000 * ORDER_DELAY_SHARE,
            self._store_call_s,
        )

    def _send(self, outbox: Outbox) -> None:
        encoded: tuple[object, bytes] = (None, b"")
        for address, report in outbox.reports:
            if report is not encoded[0]:
                encoded = (report, encode_report(report))
            self._datagrams.send(address, DatagramKind.ROLLOUT_REPORT, encoded[1])
        for address, message in outbox.shares:
            if message is not encoded[0]:
                encoded = (message, encode_share(message))
            self._datagrams.send(address, DatagramKind.ROLLOUT_SHARE, encoded[1])

    def _log_step(self, participation: _Participation, step: CourseStep) -> None:
        participant = participation.participant
        told = evolve(step, action=StoreAction.NONE, record=None, expected_version=0)
        if told == participation.logged:
            return
        participation.logged = told
        judgement = participant.judgement()
        logger.info(
            "target halted" if step.halted else "share of the target planned",
            service=participant.order.service,
            order=participant.order.version,
            target=participant.order.target,
            share=round(step.share, 3),
            reason=step.halted,
            verdict=judgement.verdict.value,
            answers=judgement.answers,
            score=round(judgement.score, 2),
            test=judgement.reason,
        )

    def _log_state(self, participation: _Participation) -> None:
        participant = participation.participant
        stored = participant.course.known()
        if (
            stored.record is None
            or stored.version <= participation.logged_stored.version
        ):
            return
        participation.logged_stored = stored
        record = stored.record
        logger.info(
            "state of a roll-out",
            service=participant.order.service,
            order=participant.order.version,
            target=record.target,
            state=record.state.value,
            version=stored.version,
            reason=record.reason,
            old_releases=record.old_releases,
        )
        gauge = GAUGE_BY_STATE[record.state]
        service = participant.order.service
        self._metrics.set_gauge("rollout_state", gauge, service=service)


def make_rollout_task(kernel: Kernel) -> RolloutTask:
    """Return the task, not yet started, without an order."""
    return RolloutTask(
        kernel.find(ServiceName.CLOCK, Clock),
        kernel.find(ServiceName.TASKS, Tasks),
        kernel.find(ServiceName.METRICS, Metrics),
        kernel.find(ServiceName.DATAGRAMS, Datagrams),
        kernel.find(ServiceName.FLEET_PEERS, FleetPeers),
        kernel.find(ServiceName.FLEET, Fleet),
        kernel.find(ServiceName.ROUTES, Routes),
        kernel.find(ServiceName.REGISTRY, Registry),
        kernel.find(ServiceName.INSTANCES, Instances),
        kernel.find(ServiceName.STORE_LINK, StoreLink),
        kernel.find(ServiceName.LIVE_SETTINGS, LiveSettings),
        kernel.find(ServiceName.CODEC, Codec),
        kernel.find(ServiceName.STORES, Stores),
    )
