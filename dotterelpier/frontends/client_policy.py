"""Decides which connections of clients are closed when memory or threads run short.

It has no sockets, threads or clocks: times are parameters, in seconds of one clock.
"""

import heapq
import math
from collections.abc import Iterable, Iterator, Sequence
from enum import IntEnum

from attrs import define, field, frozen

from dotterelpier.model.client_memory import CloseReason

# Clients that were observed for a shorter time are not compared with others. It is the
# shortest time after which TCP repeats a lost segment.
OBSERVED_S = 0.2
# Shares of the memory for clients at which the levels begin.
LONG_ANSWERS_WAIT_SHARE = 0.5
SLOWEST_CLOSED_SHARE = 0.7
REQUESTS_REFUSED_SHARE = 0.85
# Clients that hold less than this share of the memory are not closed for it, as that
# would not help.
MIN_FREED_SHARE = 1 / 8000
# Share of the threads of an address that may wait for clients or for memory.
WAITING_THREADS_SHARE = 0.5


class Level(IntEnum):
    """How much of the memory for clients is in use; each includes those below it."""

    NORMAL = 0
    LONG_ANSWERS_WAIT = 1
    SLOWEST_CLOSED = 2
    REQUESTS_REFUSED = 3


@frozen
class ClientResources:
    """What all clients of a process together may take.

    Attributes
    ----------
    memory_bytes : float
        Bytes that are held for clients.
    connections : int
        Open connections of clients.
    read_bytes_per_s : float
        Slowest rate at which a client counts as reading, in bytes per second.
    stall_s : float
        Time for which a client must be slower to count as stalled, in seconds.
    stalled_max_s : float
        Time after which a stalled connection is closed in any case, in seconds.
    """

    memory_bytes: float = math.inf
    connections: int = 1 << 30
    read_bytes_per_s: float = 16_384.0
    stall_s: float = 1.0
    stalled_max_s: float = 45.0

    def level(self, held_bytes: float) -> Level:
        """Return the level at which so many bytes are held."""
        if held_bytes >= self.memory_bytes * REQUESTS_REFUSED_SHARE:
            return Level.REQUESTS_REFUSED
        if held_bytes >= self.memory_bytes * SLOWEST_CLOSED_SHARE:
            return Level.SLOWEST_CLOSED
        if held_bytes >= self.memory_bytes * LONG_ANSWERS_WAIT_SHARE:
            return Level.LONG_ANSWERS_WAIT
        return Level.NORMAL

    def may_fetch(self, count: int, held_bytes: int, reserved_bytes: int) -> bool:
        """Return whether a long answer may be fetched.

        While no other one is being fetched, one may always be, unless even short ones
        are refused. So answers of any size are served one after another.
        """
        if not reserved_bytes:
            return self.level(held_bytes) < Level.REQUESTS_REFUSED
        return held_bytes + count <= self.memory_bytes * LONG_ANSWERS_WAIT_SHARE


@define(eq=False)
class Progress:
    """How fast a client moves the bytes that it is waited for.

    The rate is that of the last ``stall_s`` or somewhat more, of a shorter time at
    the beginning.

    Attributes
    ----------
    since : float
        Since when the client is waited for.
    slow_since : float
        Since when it has not been fast enough over a whole ``stall_s``.
    """

    since: float
    moved_bytes: int = 0
    slow_since: float = field(init=False)
    _at: float = field(init=False)
    _older: tuple[float, int] = field(init=False)
    _newer: tuple[float, int] = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.slow_since = self._at = self.since
        self._older = self._newer = (self.since, self.moved_bytes)

    def note(self, now: float, moved_bytes: int, resources: ClientResources) -> None:
        """Record how many bytes the client has moved in all."""
        if now - self._newer[0] >= resources.stall_s / 2:
            self._older, self._newer = self._newer, (now, moved_bytes)
        self._at, self.moved_bytes = now, moved_bytes
        if self.rate() >= resources.read_bytes_per_s:
            self.slow_since = now

    def rate(self) -> float:
        """Return the rate in bytes per second, infinite if it is not known yet."""
        elapsed_s = self._at - self._older[0]
        if elapsed_s < OBSERVED_S:
            return math.inf
        return (self.moved_bytes - self._older[1]) / elapsed_s

    def is_observed(self, seconds: float) -> bool:
        """Return whether the client has been observed for so long."""
        return self._at - self.since >= seconds


@define(eq=False)
class ClientState:
    """What the decisions need to know of one connection.

    Attributes
    ----------
    pool : str
        Name of the address at which the client is connected, which has threads of its
        own.
    idle_since : float
        When the last request ended, or when the connection was opened.
    served : bool
        Whether a request has ended on the connection.
    busy : bool
        Whether a request is being served or output waits to be sent.
    held_bytes, unsent_bytes : int
        Bytes held for the client, and those of them that wait for the client to read.
    deadline_at : float
        When the client stops waiting for the answer that is being written.
    progress : Progress or None
        Progress of the client while it is waited for, None if it is not.
    writing : bool
        Whether a thread waits for the client to read.
    fetching_since : float or None
        Since when a thread waits for memory for an answer, None if none does.
    closing : bool
        Whether the connection is being closed.
    """

    pool: str
    idle_since: float
    served: bool = False
    busy: bool = False
    held_bytes: int = 0
    unsent_bytes: int = 0
    deadline_at: float = math.inf
    progress: Progress | None = None
    writing: bool = False
    fetching_since: float | None = None
    closing: bool = False

    def rate(self) -> float:
        """Return at which rate the client moves bytes, infinite if it need not."""
        return math.inf if self.progress is None else self.progress.rate()

    def is_slow(self, now: float, resources: ClientResources) -> bool:
        """Return whether the client reads too slowly, as far as it was observed.

        It also does where what waits for it would not be read by its deadline.
        """
        needed = resources.read_bytes_per_s
        if self.deadline_at < math.inf:
            left_s = max(self.deadline_at - now, 0.001)
            needed = max(needed, self.unsent_bytes / left_s)
        return self.rate() < needed

    def is_stalled(self, now: float, resources: ClientResources) -> bool:
        """Return whether the client has been too slow for a whole ``stall_s``."""
        return (
            self.progress is not None
            and self.progress.is_observed(resources.stall_s)
            and self.is_slow(now, resources)
        )

    def keeps_thread(self) -> bool:
        """Return whether a thread waits for the client or for memory."""
        return self.writing or self.fetching_since is not None


@frozen
class Load:
    """What is in use and wanted.

    Attributes
    ----------
    held_bytes : int
        Bytes held for all clients.
    wanted_bytes : int
        Bytes of the answers whose fetch waits for memory.
    threads_by_pool : dict
        Number of threads, and of requests that wait for one, by the name of a pool.
    """

    held_bytes: int
    wanted_bytes: int
    threads_by_pool: dict[str, tuple[int, int]] = field(factory=dict)


@frozen
class ClientPolicy:
    """Chooses the connections to close, within what all clients together may take."""

    resources: ClientResources

    def choose(
        self, now: float, states: Sequence[ClientState], load: Load
    ) -> list[tuple[ClientState, CloseReason]]:
        """Return the connections to close, with the reason."""
        chosen = dict(self._overdue(now, states))
        by_rate = sorted(
            (item for item in states if not item.closing and item not in chosen),
            key=lambda item: (item.rate(), -item.held_bytes),
        )
        for state in self._for_threads(now, by_rate, load):
            chosen.setdefault(state, CloseReason.THREAD)
        for state in self._for_memory(now, by_rate, load, chosen):
            chosen.setdefault(state, CloseReason.MEMORY)
        return list(chosen.items())

    def choose_idle(
        self, states: Iterable[ClientState], count: int
    ) -> list[ClientState]:
        """Return up to so many connections that make way for new ones.

        They are those of the address with the most connections: of its idle ones,
        first those on which no request was ever served, then those idle for longest.
        """
        by_pool: dict[str, list[ClientState]] = {}
        for state in states:
            if not state.closing:
                by_pool.setdefault(state.pool, []).append(state)
        for pool in sorted(by_pool.values(), key=len, reverse=True):
            idle = [state for state in pool if not state.busy]
            if idle:
                return heapq.nsmallest(
                    count, idle, key=lambda item: (item.served, item.idle_since)
                )
        return []

    def _overdue(
        self, now: float, states: Iterable[ClientState]
    ) -> Iterator[tuple[ClientState, CloseReason]]:
        for state in states:
            if state.closing or state.progress is None:
                continue
            slow_s = now - state.progress.slow_since
            # The rest of a request has timeouts of its own.
            if state.unsent_bytes and slow_s >= self.resources.stalled_max_s:
                yield state, CloseReason.STALLED

    def _for_threads(
        self, now: float, by_rate: Sequence[ClientState], load: Load
    ) -> Iterator[ClientState]:
        """Yield clients that keep a thread which others need, the slowest first."""
        for pool, (threads, queued) in load.threads_by_pool.items():
            waiting = [
                item for item in by_rate if item.pool == pool and item.keeps_thread()
            ]
            excess = len(waiting) - int(threads * WAITING_THREADS_SHARE)
            for state in waiting:
                needed = queued and state.is_stalled(now, self.resources)
                if needed or (excess > 0 and self._may_be_dropped(now, state)):
                    excess -= 1
                    yield state

    def _may_be_dropped(self, now: float, state: ClientState) -> bool:
        if state.writing:
            return state.is_slow(now, self.resources)
        assert state.fetching_since is not None
        return now - state.fetching_since >= self.resources.stall_s

    def _for_memory(
        self,
        now: float,
        by_rate: Sequence[ClientState],
        load: Load,
        chosen: Iterable[ClientState],
    ) -> Iterator[ClientState]:
        """Yield clients whose bytes are needed, the slowest first.

        Stalled ones are closed where a long answer waits for memory; where more is
        wanted than the second level allows, already those that are slow so far, and
        beyond that level the slowest, however fast.
        """
        limit = self.resources.memory_bytes
        freed = sum(item.held_bytes for item in chosen)
        held = load.held_bytes - freed
        wanted = held + load.wanted_bytes
        for state in by_rate:
            if state in chosen or state.rate() == math.inf:
                continue
            if state.held_bytes < limit * MIN_FREED_SHARE:
                continue
            too_full = held >= limit * SLOWEST_CLOSED_SHARE
            pressed = wanted >= limit * SLOWEST_CLOSED_SHARE
            short = load.wanted_bytes and wanted >= limit * LONG_ANSWERS_WAIT_SHARE
            if (
                too_full
                or (pressed and state.is_slow(now, self.resources))
                or (short and state.is_stalled(now, self.resources))
            ):
                held -= state.held_bytes
                wanted -= state.held_bytes
                yield state
