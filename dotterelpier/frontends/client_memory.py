"""Accounts of the memory, threads and connections that clients of a process take."""

import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from attrs import define, field
from loguru import logger

from dotterelpier.errors import AnswerAbandonedError
from dotterelpier.frontends.client_policy import (
    ClientPolicy,
    ClientResources,
    ClientState,
    Level,
    Load,
    Progress,
)
from dotterelpier.model.client_memory import CloseReason
from dotterelpier.protocols import Clock, Metrics, Timer
from dotterelpier.protocols.client_memory import (
    ClientConnection,
    ClientMemory,
    ThreadPool,
)
from dotterelpier.services.clock import make_clock

STEP = "client.memory"
# Counted for each connection, besides its bytes: its objects and its buffers.
CONNECTION_BYTES = 8 << 10
# Above this, the allocator is told to return what is freed. Loading what that needs
# takes half a megabyte, which an idle process does not spend.
MANY_BYTES = 4 << 20
# How often the clients that are waited for are observed.
OBSERVE_INTERVAL_S = 0.2
# Closer to the limit than this share of it, connections that are idle for longest are
# closed, some at a time; their descriptors become free a moment later.
CLOSING_MARGIN_SHARE = 1 / 16
CLOSED_AT_ONCE = 4


@define(eq=False)
class CountedConnection:
    """Account of one connection."""

    state: ClientState
    connection: ClientConnection
    _pool: ThreadPool
    _memory: "CountedClientMemory"
    _received: int = 0
    _closed: bool = False

    def refuses_requests(self) -> bool:
        """Return whether a new request must be refused for lack of memory."""
        return self._pool.refuses_when_full and self._memory.refuses_requests()

    def try_receive(self, count: int) -> bool:
        """Count bytes of a request; return False if there is no memory for them."""
        memory = self._memory
        with memory.changed:
            if memory.held_bytes + count > memory.resources.memory_bytes:
                memory.observe_soon()
                return False
            if not self._closed:
                self._received += count
                memory.hold(self.state, count)
            return True

    def drop_received(self, count: int) -> None:
        """Count bytes of a request as no longer held."""
        with self._memory.changed:
            count = min(count, self._received)
            self._received -= count
            self._memory.hold(self.state, -count)

    def set_arriving(self, arriving: bool) -> None:
        """State whether a part of a request has arrived and the rest is waited for."""
        state = self.state
        if arriving == (state.progress is not None) or state.unsent_bytes:
            return
        with self._memory.changed:
            self._set_waited_for(arriving)

    def set_unsent(self, count: int) -> None:
        """State how many bytes wait for the client to read."""
        state = self.state
        if count == state.unsent_bytes:
            return
        with self._memory.changed:
            if self._closed:
                return
            self._memory.hold(state, count - state.unsent_bytes)
            state.unsent_bytes = count
            self._set_waited_for(count > 0)

    def _set_waited_for(self, waited_for: bool) -> None:
        if not waited_for:
            self.state.progress = None
        elif self.state.progress is None:
            now = self._memory.clock.monotonic()
            self.state.progress = Progress(now, self.connection.moved_bytes())
            self._memory.observe_soon()

    @contextmanager
    def writing(self) -> Iterator[float]:
        """Count the thread as waiting for the client; yield when the wait must end."""
        self.state.writing = True
        try:
            yield self.state.deadline_at
        finally:
            self.state.writing = False

    def give_up(self) -> None:
        """Close the connection, as its client has had until its deadline."""
        with self._memory.changed:
            if self.is_closed():
                return
            self.state.closing = True
        self._memory.abandon(self.state, CloseReason.DEADLINE)

    def begin_request(self) -> "CountedRequest":
        """Return the memory of a request that begins."""
        return CountedRequest(self, self._memory)

    def end_request(self) -> None:
        """Note that a request has ended."""
        with self._memory.changed:
            self.state.served = True
            self.state.idle_since = self._memory.clock.monotonic()

    def is_closed(self) -> bool:
        """Return whether the connection was closed or is about to be."""
        return self._closed or self.state.closing

    def close(self) -> None:
        """Count everything as free, as the connection is closed."""
        with self._memory.changed:
            if self._closed:
                return
            self._closed = True
            state = self.state
            self._memory.hold(
                state, -(CONNECTION_BYTES + self._received + state.unsent_bytes)
            )
            self._received = state.unsent_bytes = 0
            state.progress = None
            self._memory.forget(self)


@define(eq=False)
class CountedRequest:
    """Memory of one request."""

    _account: CountedConnection
    _memory: "CountedClientMemory"
    _reserved: int = 0
    _ended: bool = False

    def try_reserve(self, count: int) -> bool:
        """Reserve bytes for a long answer; return False if it has to wait."""
        with self._memory.changed:
            if self._is_over() or not self._memory.may_fetch(count):
                return False
            self._take(count)
            return True

    def reserve(
        self, count: int, deadline_at: float, is_aborted: Callable[[], bool]
    ) -> None:
        """Reserve bytes for a long answer; wait while clients hold too many.

        Raises
        ------
        AnswerAbandonedError
            If the request ended meanwhile, or there was no room by the deadline.
        """
        with self._memory.changed:
            self._wait_for_room(count, deadline_at, is_aborted)
            self._take(count)

    def _take(self, count: int) -> None:
        self._reserved += count
        self._memory.reserved_bytes += count
        self._memory.hold(self._account.state, count)

    def _wait_for_room(
        self, count: int, deadline_at: float, is_aborted: Callable[[], bool]
    ) -> None:
        memory, state = self._memory, self._account.state
        memory.wanted_bytes += count
        state.fetching_since = memory.clock.monotonic()
        try:
            while True:
                if self._is_over() or is_aborted():
                    raise _abandoned("nobody waits for the answer any more")
                if memory.may_fetch(count):
                    return
                remaining_s = deadline_at - memory.clock.monotonic()
                if remaining_s <= 0:
                    raise _abandoned("no memory for the answer before the deadline")
                memory.observe_soon()
                memory.changed.wait(remaining_s)
        finally:
            memory.wanted_bytes -= count
            state.fetching_since = None

    def _is_over(self) -> bool:
        return self._ended or self._account.is_closed()

    def release(self, count: int) -> None:
        """Return reserved bytes before the request ends."""
        memory = self._memory
        with memory.changed:
            count = min(count, self._reserved)
            self._reserved -= count
            memory.reserved_bytes -= count
            memory.hold(self._account.state, -count)

    def wake(self) -> None:
        """Make a waiting ``reserve`` ask again whether the answer is wanted."""
        with self._memory.changed:
            self._memory.changed.notify_all()

    def set_deadline(self, deadline_at: float) -> None:
        """State when the client stops waiting, in seconds on the monotonic clock."""
        self._account.state.deadline_at = deadline_at

    def hand_over(self) -> None:
        """Free what was reserved, as the answer is now counted as output."""
        self.release(self._reserved)

    def close(self) -> None:
        """End the request and free what it reserved."""
        if not self._ended:
            self._ended = True
            self.release(self._reserved)
            self._account.end_request()


def _set_up_allocator() -> None:
    # Not imported at the start, see MANY_BYTES.
    from dotterelpier.allocator import return_freed_memory

    return_freed_memory()


def _abandoned(message: str) -> AnswerAbandonedError:
    return AnswerAbandonedError(message, step=STEP)


@define(eq=False)
class CountedClientMemory:
    """Counts what all clients take, and closes the connections that the policy chooses.

    Attributes
    ----------
    changed : threading.Condition
        Guards all counts; notified when bytes became free.
    held_bytes : int
        Bytes that are held for clients.
    reserved_bytes, wanted_bytes : int
        Bytes of long answers that are being fetched, or wait for memory.
    """

    clock: Clock
    resources: ClientResources
    _policy: ClientPolicy
    _metrics: Metrics | None
    _timer: Timer | None
    held_bytes: int = 0
    reserved_bytes: int = 0
    wanted_bytes: int = 0
    _accounts: dict[ClientState, CountedConnection] = field(factory=dict)
    _pools: list[ThreadPool] = field(factory=list)
    _observing: bool = False
    _returns_memory: bool = False
    _level: Level = Level.NORMAL
    changed: threading.Condition = field(factory=threading.Condition)

    def open_pool(self, pool: ThreadPool) -> None:
        """Add an address at which clients connect, with its threads."""
        self._pools.append(pool)

    def open_connection(
        self, connection: ClientConnection, pool: ThreadPool
    ) -> CountedConnection:
        """Return the account of a connection that was accepted."""
        state = ClientState(pool.name, self.clock.monotonic())
        account = CountedConnection(state, connection, pool, self)
        with self.changed:
            self._accounts[state] = account
            self.hold(state, CONNECTION_BYTES)
        return account

    def may_accept(self) -> bool:
        """Return whether another connection may be accepted."""
        return len(self._accounts) < self.resources.connections

    def make_way(self) -> None:
        """Close connections idle for longest if nearly as many as allowed are open.

        They are closed soon, by the event loops of their addresses.
        """
        limit = self.resources.connections * (1 - CLOSING_MARGIN_SHARE)
        if len(self._accounts) < limit:
            return
        with self.changed:
            for state, account in self._accounts.items():
                state.busy = account.connection.busy()
            chosen = self._policy.choose_idle(self._accounts, CLOSED_AT_ONCE)
            for state in chosen:
                state.closing = True
            self.observe_soon()
        for state in chosen:
            self.abandon(state, CloseReason.CONNECTIONS)

    def refuses_requests(self) -> bool:
        """Return whether new requests must be refused for lack of memory."""
        return self._level is Level.REQUESTS_REFUSED

    def publish(self) -> None:
        """Set the metrics of what is in use."""
        if self._metrics is not None:
            self._metrics.set_gauge("client_bytes", self.held_bytes)
            self._metrics.set_gauge("client_connections", len(self._accounts))

    # The following methods need ``changed`` to be held.

    def hold(self, state: ClientState, count: int) -> None:
        """Count bytes as held for a client, or as free if ``count`` is negative."""
        state.held_bytes += count
        self.held_bytes += count
        if self.held_bytes > MANY_BYTES and not self._returns_memory:
            self._returns_memory = True
            if self._timer is not None:
                self._timer.after(0.0, _set_up_allocator)
        self._level = level = self.resources.level(self.held_bytes)
        if level >= Level.SLOWEST_CLOSED:
            self.observe_soon()
        if count < 0 and self.wanted_bytes:
            self.changed.notify_all()

    def may_fetch(self, count: int) -> bool:
        """Return whether a long answer may be fetched."""
        return self.resources.may_fetch(count, self.held_bytes, self.reserved_bytes)

    def forget(self, account: CountedConnection) -> None:
        """Drop the account of a closed connection."""
        del self._accounts[account.state]
        self.changed.notify_all()

    def observe_soon(self) -> None:
        """Observe the clients after an interval, unless that is planned already."""
        if not self._observing and self._timer is not None:
            self._observing = True
            self._timer.after(OBSERVE_INTERVAL_S, self.observe)

    def observe(self) -> None:
        """Observe the clients that are waited for, and close those to be closed."""
        with self.changed:
            self._observing = False
            waited_for = [
                account
                for state, account in self._accounts.items()
                if state.progress is not None
            ]
        moved = [account.connection.moved_bytes() for account in waited_for]
        with self.changed:
            now = self.clock.monotonic()
            for account, count in zip(waited_for, moved, strict=True):
                if account.state.progress is not None:
                    account.state.progress.note(now, count, self.resources)
            chosen = self._policy.choose(now, tuple(self._accounts), self._load())
            for state, _ in chosen:
                state.closing = True
            if waited_for or self.wanted_bytes:
                self.observe_soon()
        for state, reason in chosen:
            self.abandon(state, reason)

    def _load(self) -> Load:
        threads_by_pool = {
            pool.name: (pool.threads, pool.queued()) for pool in self._pools
        }
        return Load(self.held_bytes, self.wanted_bytes, threads_by_pool)

    def abandon(self, state: ClientState, reason: CloseReason) -> None:
        """Close the connection of a client; the caller has marked it as closing."""
        with self.changed:
            account = self._accounts.get(state)
            self.changed.notify_all()
        if account is None:
            return
        if self._metrics is not None:
            self._metrics.count("clients_closed", reason=reason.value)
        rate = state.rate()
        logger.warning(
            "connection of a client closed",
            step=STEP,
            peer=account.connection.peer(),
            address=state.pool,
            reason=reason.value,
            held_bytes=state.held_bytes,
            unsent_bytes=state.unsent_bytes,
            read_bytes_per_s=None if rate == float("inf") else round(rate),
            all_held_bytes=self.held_bytes,
        )
        account.connection.abandon()


def make_client_memory(
    resources: ClientResources,
    clock: Clock,
    metrics: Metrics | None = None,
    timer: Timer | None = None,
) -> ClientMemory:
    """Return accounts without connections.

    Without a timer nobody is closed; that suits only a server without limits.
    """
    policy = ClientPolicy(resources)
    return CountedClientMemory(clock, resources, policy, metrics, timer)


def make_unlimited_client_memory() -> ClientMemory:
    """Return accounts that are kept and have no limits, for a server on its own."""
    return make_client_memory(ClientResources(), make_clock())
