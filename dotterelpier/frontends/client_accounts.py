"""What one connection of a client, and one request on it, take."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import TYPE_CHECKING

from attrs import define

from dotterelpier.errors import AnswerAbandonedError
from dotterelpier.frontends.client_policy import ClientState, Progress
from dotterelpier.model.client_memory import CloseReason
from dotterelpier.protocols.client_memory import ClientConnection, ThreadPool

if TYPE_CHECKING:
    from dotterelpier.frontends.client_memory import CountedClientMemory

STEP = "client.memory"
# Counted for each connection, besides its bytes: its objects and its buffers.
CONNECTION_BYTES = 8 << 10


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


def _abandoned(message: str) -> AnswerAbandonedError:
    return AnswerAbandonedError(message, step=STEP)
