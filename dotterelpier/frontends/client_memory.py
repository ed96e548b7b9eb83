"""Accounts of the memory, threads and connections that clients of a process take."""

import threading

from attrs import define, field
from loguru import logger

from dotterelpier.frontends.client_accounts import (
    CONNECTION_BYTES,
    STEP,
    CountedConnection,
)
from dotterelpier.frontends.client_policy import (
    ClientPolicy,
    ClientResources,
    ClientState,
    Level,
    Load,
)
from dotterelpier.model.client_memory import CloseReason
from dotterelpier.protocols import Clock, Metrics, Timer
from dotterelpier.protocols.client_memory import (
    ClientConnection,
    ClientMemory,
    ThreadPool,
)
from dotterelpier.services.clock import make_clock

# Above this, the allocator is told to return what is freed. Loading what that needs
# takes half a megabyte, which an idle process does not spend.
MANY_BYTES = 4 << 20
# How often the clients that are waited for are observed.
OBSERVE_INTERVAL_S = 0.2
# Closer to the limit than this share of it, connections that are idle for longest are
# closed, some at a time; their descriptors become free a moment later.
CLOSING_MARGIN_SHARE = 1 / 16
CLOSED_AT_ONCE = 4


def _set_up_allocator() -> None:
    # Not imported at the start, see MANY_BYTES.
    from dotterelpier.allocator import return_freed_memory

    return_freed_memory()


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
