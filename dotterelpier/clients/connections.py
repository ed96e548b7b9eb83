"""Pools of HTTP connections, each of which has a task."""

import threading
from collections.abc import Set

from attrs import define, field

from dotterelpier.clients.exchanges import ConnectionRules, PooledExchange
from dotterelpier.clients.pooled_connection import PooledConnection
from dotterelpier.errors import ConnectFailedError
from dotterelpier.protocols import Clock, TaskKind, Tasks, Timer

OVERDUE_CHECK_INTERVAL_S = 0.5


@define(eq=False)
class ConnectionPool:
    """Connections by address; the most recently used idle one is reused first.

    Attributes
    ----------
    step : str
        Step that errors of this pool name.
    kind : TaskKind
        Kind of the connections' tasks, which bounds their number.
    idle_timeout_s : float
        Idle time after which a connection is closed, in seconds.
    """

    step: str
    kind: TaskKind
    idle_timeout_s: float
    clock: Clock
    _tasks: Tasks
    _timer: Timer
    rules: ConnectionRules = ConnectionRules()
    _idle_by_address: dict[str, list[PooledConnection]] = field(factory=dict)
    _connections: set[PooledConnection] = field(factory=set)
    _stopped: bool = False
    _lock: threading.Lock = field(factory=threading.Lock)

    def start(self) -> None:
        """Start the task that aborts overdue exchanges."""
        self._tasks.supervise(TaskKind.CONTROL, self._abort_overdue)

    def stop(self) -> None:
        """Close all connections; exchanges in flight and later ones fail."""
        with self._lock:
            self._stopped = True
            connections = tuple(self._connections)
            self._idle_by_address.clear()
        for connection in connections:
            connection.put(None)
            connection.abort()

    def send(self, address: str, exchange: PooledExchange, *, fresh: bool) -> None:
        """Hand an exchange to an idle connection, or to a new one.

        Parameters
        ----------
        address : str
            Peer as ``IP:port``.
        exchange : PooledExchange
            Fails with ``ConnectFailedError`` if the pool is stopped.
        fresh : bool
            Whether an idle connection must be fresh to be used, as the rules define it.

        Raises
        ------
        TaskPoolFullError
            If no further connection may be opened; nothing was sent.
        """
        if self._hand_to_idle(address, exchange, fresh):
            return
        connection = PooledConnection(address, self)
        if not self._register(connection):
            error = ConnectFailedError(
                "connection pool is stopped", step=self.step, peer=address
            )
            exchange.fail(error, ended=True)
            return
        try:
            self._tasks.submit(self.kind, connection.serve)
        except Exception:
            self.unregister(connection)
            raise
        connection.put(exchange)

    def drop(self, address: str) -> None:
        """Close the idle connections to an address; those in use stay open."""
        with self._lock:
            idle = self._idle_by_address.pop(address, [])
        for connection in idle:
            connection.put(None)

    def in_use(self, addresses: Set[str]) -> int:
        """Return the connections to some addresses that are not idle."""
        with self._lock:
            idle = sum(len(self._idle_by_address.get(item, ())) for item in addresses)
            return sum(item.address in addresses for item in self._connections) - idle

    def abort(self, exchange: PooledExchange) -> None:
        """Shut down the connection that performs an exchange, if one still does.

        An exchange that is still queued fails with ``OverloadedError``.
        """
        exchange.aborted = True
        with self._lock:
            connections = tuple(self._connections)
        for connection in connections:
            connection.abort_exchange(exchange)

    def give_back(self, connection: PooledConnection) -> None:
        """Make a connection available for the next exchange."""
        with self._lock:
            self._idle_by_address.setdefault(connection.address, []).append(connection)

    def remove_if_idle(self, connection: PooledConnection) -> bool:
        """Remove an idle connection; return False if it was already taken for use."""
        with self._lock:
            return self._remove_idle(connection)

    def unregister(self, connection: PooledConnection) -> None:
        """Remove a connection whose task ends, so that it gets no more exchanges."""
        with self._lock:
            self._remove_idle(connection)
            self._connections.discard(connection)

    def _register(self, connection: PooledConnection) -> bool:
        with self._lock:
            if not self._stopped:
                self._connections.add(connection)
            return not self._stopped

    def _remove_idle(self, connection: PooledConnection) -> bool:
        idle = self._idle_by_address.get(connection.address, [])
        if connection not in idle:
            return False
        idle.remove(connection)
        return True

    def _hand_to_idle(
        self, address: str, exchange: PooledExchange, fresh: bool
    ) -> bool:
        now = self.clock.monotonic()
        with self._lock:
            idle = self._idle_by_address.get(address)
            while idle and idle[-1].usable_until < now:
                idle.pop().put(None)
            fresh_since = now - self.rules.fresh_idle_s
            if not idle or (fresh and idle[-1].last_answer_at < fresh_since):
                return False
            idle.pop().put(exchange)
            return True

    def _abort_overdue(self) -> None:
        subscription = self._timer.every(OVERDUE_CHECK_INTERVAL_S)
        while subscription.wait():
            now = self.clock.monotonic()
            with self._lock:
                connections = tuple(self._connections)
            for connection in connections:
                connection.abort_overdue(now)


def make_connection_pool(
    step: str,
    kind: TaskKind,
    idle_timeout_s: float,
    clock: Clock,
    tasks: Tasks,
    timer: Timer,
    rules: ConnectionRules | None = None,
) -> ConnectionPool:
    """Return an empty pool, with strict rules unless others are given.

    Parameters
    ----------
    step : str
        Step that errors of the pool name.
    kind : TaskKind
        Kind of the connections' tasks.
    idle_timeout_s : float
        Idle time after which a connection is closed, in seconds.
    clock, tasks, timer
        Services that the pool uses.
    rules : ConnectionRules, optional
        Which connections are reused, and which answers are accepted.
    """
    rules = rules or ConnectionRules()
    return ConnectionPool(step, kind, idle_timeout_s, clock, tasks, timer, rules)
