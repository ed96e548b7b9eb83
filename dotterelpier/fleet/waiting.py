"""Order and duration in which requests wait for room at a backend server.

This answers overload: bursts, zones out of service and restarts, when more requests
come than the backend servers can start. A request that queues at a backend server
cannot move to a faster one any more, so requests wait here until one can start and is
expected to answer within the objective.
"""

import math
import random
import threading
from bisect import insort
from collections import deque

from attrs import define, field

from dotterelpier.errors import OverloadedError
from dotterelpier.kernel import Kernel
from dotterelpier.model.route import Route
from dotterelpier.model.ticket import Ticket
from dotterelpier.protocols import Clock, Metrics, ServiceName
from dotterelpier.protocols.fleet import Conditions, Fleet, WaitingRoom

STEP = "waiting"
# Bounds of the longest wait, as shares of the response time objective. A request that
# is refused early can still be retried within the objective.
MIN_WAIT_SHARE = 0.125
MAX_WAIT_SHARE = 0.6
# A request stops waiting when less than this multiple of the usual work time is left.
WORK_MARGIN = 1.25
# A request of the next lower priority is served as if it had arrived later by this
# share of its objective. Unlike strict priorities, this starves none.
PRIORITY_DELAY_SHARE = 0.1
# A waiting request is checked anew this often. The rate at which requests leave is kept
# for as long, as computing it goes through all backend servers.
RECHECK_S = 0.05
# Window in which the rate of requests that leave for a backend server is measured.
RATE_WINDOW_S = 2.0
# Clients honour up to a third of the time that they have left. Theirs began earlier and
# the answer travels, so less is used.
MAX_RETRY_AFTER_SHARE = 0.3
MIN_RETRY_AFTER_S = 0.1
# Clients that were refused together return spread over this multiple of the wait.
RETRY_AFTER_SPREAD = 0.5


@define
class ServiceQueue:
    """Requests that wait for one service, and when earlier ones left."""

    tickets: list[Ticket] = field(factory=list)
    sent_at: "deque[float]" = field(factory=deque)
    leave_per_s: float = 0.0
    rated_at: float = -math.inf

    def note_sent(self, now: float) -> None:
        """Count a request that left; forget those before ``RATE_WINDOW_S``."""
        self.sent_at.append(now)
        while self.sent_at[0] < now - RATE_WINDOW_S:
            self.sent_at.popleft()

    def sent_per_s(self, now: float) -> float:
        """Return the rate of requests sent within the last ``RATE_WINDOW_S``."""
        since = now - RATE_WINDOW_S
        return sum(at >= since for at in self.sent_at) / RATE_WINDOW_S

    def ahead_of(self, ticket: Ticket) -> int:
        """Return the number of requests whose turn comes earlier."""
        return sum(item is not ticket and item <= ticket for item in self.tickets)


@define
class FairWaitingRoom:
    """Queues requests by arrival and priority, a queue for each service. Thread-safe.

    Whoever enters must leave.
    """

    _clock: Clock
    _metrics: Metrics
    _fleet: Fleet
    _conditions: Conditions
    _random: random.Random = field(factory=random.Random)
    _queue_by_service: dict[str, ServiceQueue] = field(factory=dict)
    _lock: threading.Lock = field(factory=threading.Lock)

    def enter(
        self, service: str, route: Route, arrived_at: float, deadline_at: float
    ) -> Ticket:
        """Queue a request; its turn comes when no other one is ahead.

        Raises
        ------
        OverloadedError
            If its turn is expected to come too late to answer it.
        """
        work_s = self._conditions.usual_work_s(service)
        ticket = _make_ticket(service, route, arrived_at, deadline_at, work_s)
        with self._lock:
            queue = self._queue_by_service.setdefault(service, ServiceQueue())
            ahead = queue.ahead_of(ticket)
            if not ahead:
                insort(queue.tickets, ticket)
                return ticket
        wait_s = self._wait_s(service, ahead)
        if self._clock.monotonic() + wait_s > ticket.wait_until:
            reason = f"a slot is expected in {round(wait_s * 1000)} ms"
            raise self.refusal(ticket, reason)
        with self._lock:
            insort(queue.tickets, ticket)
        return ticket

    def is_next(self, ticket: Ticket) -> bool:
        """Return whether it is the turn of a request."""
        with self._lock:
            return self._queue_by_service[ticket.service].tickets[0] is ticket

    def check(self, ticket: Ticket) -> None:
        """Refuse a waiting request once its turn is expected too late.

        Raises
        ------
        OverloadedError
            If room became less, or requests with a higher priority came, since it
            entered.
        """
        now = self._clock.monotonic()
        if now < ticket.checked_at + RECHECK_S:
            return
        ticket.checked_at = now
        with self._lock:
            queue = self._queue_by_service[ticket.service]
            # Compared by identity, as tickets may have the same turn.
            ahead = next(
                number for number, item in enumerate(queue.tickets) if item is ticket
            )
        if now >= queue.rated_at + RECHECK_S:
            queue.leave_per_s = self._leave_per_s(ticket.service)
            queue.rated_at = now
        wait_s = ahead / queue.leave_per_s if queue.leave_per_s else 0.0
        if now + wait_s > ticket.wait_until:
            reason = f"a slot is expected only in {round(wait_s * 1000)} ms by now"
            raise self.refusal(ticket, reason)

    def note_waits(self, ticket: Ticket) -> None:
        """Record that a request could not be sent at once."""
        ticket.waits = True

    def is_waited_for(self, service: str) -> bool:
        """Return whether requests wait for room at a service."""
        with self._lock:
            queue = self._queue_by_service.get(service)
            return queue is not None and any(item.waits for item in queue.tickets)

    def leave(self, ticket: Ticket, *, sent: bool) -> None:
        """Remove a request, which was sent to a backend server or gave up."""
        with self._lock:
            queue = self._queue_by_service[ticket.service]
            queue.tickets = [item for item in queue.tickets if item is not ticket]
            if sent:
                queue.note_sent(self._clock.monotonic())

    def refusal(
        self, ticket: Ticket, reason: str, closed_until: float = -math.inf
    ) -> OverloadedError:
        """Return the error for a request that was not sent, with the time to retry.

        No backend server wants requests before ``closed_until``, on the monotonic clock
        in seconds; infinite if it is not known when one does.
        """
        self._metrics.count("refusals", service=ticket.service)
        error = OverloadedError(reason, step=STEP, peer=ticket.service)
        error.retry_after_s = self.retry_after_s(
            ticket.service, ticket.deadline_at, closed_until
        )
        return error

    def retry_after_s(
        self, service: str, deadline_at: float, closed_until: float = -math.inf
    ) -> float:
        """Return after which time a client should return, in seconds.

        That is when those that wait now are served, and no backend server asks for a
        pause any more.
        """
        now = self._clock.monotonic()
        with self._lock:
            queue = self._queue_by_service.setdefault(service, ServiceQueue())
            waiting = len(queue.tickets) + 1
        wait_s = max(MIN_RETRY_AFTER_S, self._wait_s(service, waiting))
        if closed_until < math.inf:
            wait_s = max(wait_s, closed_until - now)
        spread = 1 + RETRY_AFTER_SPREAD * self._random.random()
        left_s = max(0.0, deadline_at - now)
        return min(wait_s * spread, left_s * MAX_RETRY_AFTER_SHARE)

    def _wait_s(self, service: str, ahead: int) -> float:
        """Return the expected time until some requests have left, 0 if unknown."""
        rate = self._leave_per_s(service)
        return ahead / rate if rate else 0.0

    def _leave_per_s(self, service: str) -> float:
        """Return how many requests are expected to leave per second, 0 if unknown.

        It is the rate measured lately, but at least this entry's share of what the
        usable backend servers can start.
        """
        work_s = self._conditions.usual_work_s(service)
        slots = sum(self._conditions.capacity_by_zone(frozenset({service})).values())
        capacity_per_s = slots / work_s / self._fleet.size() if work_s else 0.0
        with self._lock:
            sent_per_s = self._queue_by_service[service].sent_per_s(
                self._clock.monotonic()
            )
        return max(capacity_per_s, sent_per_s)


def _make_ticket(
    service: str, route: Route, arrived_at: float, deadline_at: float, work_s: float
) -> Ticket:
    shortest_s = route.target_s * MIN_WAIT_SHARE
    longest_s = route.target_s * MAX_WAIT_SHARE if work_s else shortest_s
    wait_s = min(longest_s, max(shortest_s, route.target_s - WORK_MARGIN * work_s))
    return Ticket(
        arrived_at + route.priority * route.target_s * PRIORITY_DELAY_SHARE,
        # Later, no answer before the deadline is possible.
        min(arrived_at + wait_s, deadline_at - work_s),
        arrived_at + route.target_s,
        deadline_at,
        service,
    )


def make_waiting_room(kernel: Kernel) -> WaitingRoom:
    """Return an empty waiting room."""
    return FairWaitingRoom(
        kernel.find(ServiceName.CLOCK, Clock),
        kernel.find(ServiceName.METRICS, Metrics),
        kernel.find(ServiceName.FLEET, Fleet),
        kernel.find(ServiceName.CONDITIONS, Conditions),
    )
