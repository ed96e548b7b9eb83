"""Requests that are served before the answers ahead of them are sent."""

from collections.abc import Callable
from typing import Any, Protocol

from attrs import define

from dotterelpier.frontends.early_workers import SharedWorkers
from dotterelpier.model.request import Reply
from dotterelpier.protocols import RequestMemory

# Key of the WSGI environment under which an application finds the reply to a request
# that was served early.
HELD_REPLY = "dotterelpier.held_reply"
# Memory that an early request may take until its reply is known. A whole answer has up
# to 1 MiB, and a streamed one 1.6 MiB in its buffers.
REPLY_BYTES = 2 << 20


class EarlyApplication(Protocol):
    """Application that can serve a request before its answer may be sent."""

    def may_start_early(self, host: str, target: str) -> bool:
        """Return whether a request without a body is idempotent.

        ``host`` and ``target`` are as the client sent them. The method must not block.
        """
        ...

    def may_break_off(self, host: str, target: str) -> bool:
        """Return whether the answer may be streamed, and so break off midway.

        ``host`` and ``target`` are as the client sent them. The method must not block.
        """
        ...

    def answer_early(self, environ: dict[str, Any]) -> Reply:
        """Serve a request; its reply comes back in the environment on its turn."""
        ...


class ByteBudget(Protocol):
    """Limit on memory that several connections share. Thread-safe."""

    def try_hold(self, count: int) -> bool:
        """Count bytes; return False, without counting them, if they exceed it."""
        ...

    def release(self, count: int) -> None:
        """Count bytes that are no longer held."""
        ...


@define(eq=False)
class EarlyRequest:
    """A request that was started before its turn, as a task of a worker thread.

    The lock of its connection guards the attributes.

    Attributes
    ----------
    request : StrictParser
        The request.
    held_bytes : int
        Bytes counted for its reply, as long as that is not sent.
    reply : Reply or None
        Its reply, None before it is known.
    error : Exception or None
        Unexpected error of the application.
    done : bool
        Whether the application has ended.
    in_turn : bool
        Whether all answers before it were sent while the application still worked. The
        thread of the application then sends the answer too.
    taken : bool
        Whether its reply is being sent.
    abandoned : bool
        Whether its connection closes before its answer.
    memory : RequestMemory or None
        Memory for its answer, None before it is started.
    """

    request: Any
    _serve: Callable[["EarlyRequest"], None]
    held_bytes: int = REPLY_BYTES
    reply: Reply | None = None
    error: Exception | None = None
    done: bool = False
    in_turn: bool = False
    taken: bool = False
    abandoned: bool = False
    memory: RequestMemory | None = None

    @property
    def may_break(self) -> bool:
        """Return whether its reply could break off while it is sent."""
        return self.reply is not None and self.reply.stream is not None

    def service(self) -> None:
        """Serve the request, in a worker thread."""
        self._serve(self)

    def cancel(self) -> None:
        """Note that the server stops before the request was started."""
        self.done = True


@define
class EarlyServing:
    """What the connections of a server share to serve requests early.

    Attributes
    ----------
    application : EarlyApplication
        Serves the requests.
    workers : SharedWorkers
        Runs the requests in turn and the early ones.
    limit : int
        Requests of one connection that are served side by side, the one in turn
        included.
    """

    application: EarlyApplication
    workers: SharedWorkers
    limit: int
    _budget: ByteBudget

    def try_start(self, early: EarlyRequest) -> bool:
        """Start a request; return False if there is no thread or memory for it."""
        if not self._budget.try_hold(early.held_bytes):
            return False
        if self.workers.try_add_early(early):
            return True
        self._budget.release(early.held_bytes)
        return False

    def note_reply(self, early: EarlyRequest) -> None:
        """Count a reply with its actual size from now on."""
        reply = early.reply
        if reply is not None and reply.stream is None:
            size = min(early.held_bytes, len(reply.body))
            self._budget.release(early.held_bytes - size)
            early.held_bytes = size

    def release(self, early: EarlyRequest) -> None:
        """Count a reply as sent or dropped."""
        self._budget.release(early.held_bytes)
        early.held_bytes = 0


def make_early_serving(
    application: EarlyApplication,
    workers: SharedWorkers,
    limit: int,
    budget: ByteBudget,
) -> EarlyServing:
    """Return what the connections of a server with these workers share."""
    return EarlyServing(application, workers, limit, budget)
