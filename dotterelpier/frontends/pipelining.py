"""Connections on which several requests are served side by side.

waitress serves the requests of a connection one after another: ``service`` answers the
first of ``requests``, removes it and queues the connection again. That stays so. Beside
it, requests further back are started early, and their replies wait for their turn.
"""

import select
import threading
import time
from typing import Any

from waitress.channel import ClientDisconnected
from waitress.task import WSGITask

from dotterelpier.frontends.accounted_channel import AccountedChannel
from dotterelpier.frontends.early_requests import EarlyRequest, EarlyServing
from dotterelpier.frontends.pipeline_order import QueuedRequest, startable
from dotterelpier.model.request import Reply
from dotterelpier.protocols import RequestMemory

# Heads of requests that wait on one connection; above it, reading stops. As much could
# wait when only one request was read ahead.
MAX_QUEUED_HEAD_BYTES = 32 << 10
# Bound on what is discarded of a client that goes on sending.
MAX_DISCARDED_READS = 16
DISCARDED_READ_BYTES = 64 << 10
# Interval at which a connection that is not read is checked for a disconnect.
DISCONNECT_CHECK_INTERVAL_S = 0.25


class PipelinedTask(WSGITask):
    """Answers one request; closes by choice only if nothing behind it was started."""

    channel: Any
    _writes_head = False

    def close_by_choice(self) -> None:
        """Close the connection after this answer, unless a later one is started."""
        if self.channel.begin_answer(self.request):
            super().set_close_on_finish()

    def set_close_on_finish(self) -> None:
        """Close the connection after this answer.

        While waitress builds the head, it closes if the client asked for it, which
        excludes that anything behind was started, or because the length of the answer
        is not known. The latter is not necessary in HTTP/1.1, where the end of a
        chunked answer is known.
        """
        if self._writes_head:
            self.close_by_choice()
        else:
            super().set_close_on_finish()

    def build_response_header(self) -> bytes:
        """Return the head of the answer."""
        self.channel.begin_answer(self.request)
        self._writes_head = True
        try:
            return super().build_response_header()
        finally:
            self._writes_head = False


class PipelinedChannel(AccountedChannel):
    """Connection that serves idempotent requests before the answers ahead are sent.

    Does what waitress does if the server has no ``early_serving``.
    """

    requests: list[Any]
    requests_lock: threading.Lock
    server: Any
    socket: Any
    _early_by_request: dict[Any, EarlyRequest]
    # Guards what is known of early requests. waitress may close the connection while
    # it holds ``requests_lock``, so that one is never taken while this one is held.
    _early_lock: threading.Lock
    # The request that was served last in its turn, and the one whose answer was begun.
    _in_turn: Any = None
    _answered: Any = None
    _next_check_at = 0.0

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        self._early_by_request = {}
        self._early_lock = threading.Lock()
        super().__init__(*args, **kwargs)

    @property
    def _serving(self) -> EarlyServing | None:
        serving: EarlyServing | None = getattr(self.server, "early_serving", None)
        return serving

    def readable(self) -> bool:
        """Return whether to read; check for a disconnect if requests wait meanwhile."""
        readable = bool(super().readable())
        if self._serving is None or len(self.requests) < 2:
            return readable
        waiting = tuple(self.requests)
        head_bytes = sum(request.header_bytes_received for request in waiting)
        if readable and head_bytes <= MAX_QUEUED_HEAD_BYTES:
            return True
        self._check_disconnected()
        return False

    def _check_disconnected(self) -> None:
        now = time.monotonic()
        if now < self._next_check_at:
            return
        self._next_check_at = now + DISCONNECT_CHECK_INTERVAL_S
        poller = select.poll()
        poller.register(self.socket, select.POLLRDHUP)
        if poller.poll(0):
            self.will_close = True

    def received(self, data: bytes) -> bool:
        """Process data, and start requests that are now complete."""
        processed = super().received(data)
        self._start_early()
        return processed

    def service(self) -> None:
        """Answer the request in turn, unless the thread that serves it will do so."""
        serving = self._serving
        if serving is None:
            super().service()
            return
        with self.requests_lock, self._early_lock:
            early = self._early_by_request.get(next(iter(self.requests), None))
            in_progress = early is not None and not early.done
            if early is not None and in_progress:
                early.in_turn = True
        if in_progress:
            serving.workers.end_early()
        else:
            self._answer_in_turn(serving)

    def handle_close(self) -> None:
        """Close the connection and drop all replies that wait for their turn."""
        if self.will_close and self._serving is not None and self.socket is not None:
            _discard_unread(self.socket)
        super().handle_close()
        self._abandon()

    def request_memory(self, request: Any) -> RequestMemory:
        """Return the memory of a request, which an early one has since its start."""
        with self._early_lock:
            early = self._early_by_request.get(request)
            if early is not None and early.memory is not None:
                return early.memory
        return self.account.begin_request()

    def held_reply(self, request: Any) -> Reply | None:
        """Return the reply to send if a request was served early, else None.

        Raises
        ------
        ClientDisconnected
            If the reply was dropped because the client left.
        Exception
            The one that ended the application.
        """
        with self._early_lock:
            early = self._early_by_request.get(request)
            if early is None or not early.done:
                return None
            if early.abandoned:
                raise ClientDisconnected
            early.taken = True
        if early.error is not None:
            raise early.error
        return early.reply

    def begin_answer(self, request: Any) -> bool:
        """Start nothing more until an answer is complete, as it may break off.

        Return whether it may close the connection, as nothing behind it was started.
        """
        with self.requests_lock, self._early_lock:
            self._answered = request
            return not any(
                later in self._early_by_request for later in self.requests[1:]
            )

    def _answer_in_turn(self, serving: EarlyServing) -> None:
        with self.requests_lock:
            if not self.requests:
                return
            request = self._in_turn = self.requests[0]
        try:
            super().service()
        finally:
            self._end_answer(serving, request)

    def _end_answer(self, serving: EarlyServing, request: Any) -> None:
        with self.requests_lock, self._early_lock:
            early = self._early_by_request.pop(request, None)
            if early is not None:
                serving.release(early)
            closes = not self._is_open()
            if closes and self._in_turn is request:
                # waitress queues the next request only on an open connection.
                for later in self.requests:
                    later.close()
                self.requests = []
        if not closes:
            self._start_early()

    def _is_open(self) -> bool:
        return self.connected and not (self.will_close or self.close_when_flushed)

    def _start_early(self) -> None:
        serving = self._serving
        if serving is None or len(self.requests) < 2:
            return
        with self.requests_lock, self._early_lock:
            if not self._is_open():
                return
            for position in startable(self._queue(serving), serving.limit):
                request = self.requests[position]
                early = EarlyRequest(request, self._serve_early)
                self._early_by_request[request] = early
                if not serving.try_start(early):
                    del self._early_by_request[request]
                    return

    def _queue(self, serving: EarlyServing) -> list[QueuedRequest]:
        stopping = getattr(self.server, "closes_after_answers", False)
        return [
            self._describe(request, serving, stopping)
            for request in self.requests[: serving.limit]
        ]

    def _describe(
        self, request: Any, serving: EarlyServing, stopping: bool
    ) -> QueuedRequest:
        early = self._early_by_request.get(request)
        may_close = stopping or request is self._answered or _asks_to_close(request)
        if early is None:
            may_start_early = _may_start_early(request, serving)
            may_close = may_close or _may_break_off(request, serving)
            return QueuedRequest(may_start_early, may_close)
        if not early.done:
            may_close = may_close or _may_break_off(request, serving)
            return QueuedRequest(True, may_close, started=True)
        return QueuedRequest(True, may_close or early.may_break, True, early.held_bytes)

    def _serve_early(self, early: EarlyRequest) -> None:
        """Serve a request in a worker thread; answer it if its turn has come."""
        serving = self._serving
        assert serving is not None
        if not early.abandoned:
            self._run(serving, early)
        with self._early_lock:
            early.done = True
            in_turn, abandoned = early.in_turn, early.abandoned
            serving.note_reply(early)
        if abandoned:
            self._drop(serving, early)
        if in_turn:
            self._answer_in_turn(serving)
            return
        serving.workers.end_early()
        self._start_early()

    def _run(self, serving: EarlyServing, early: EarlyRequest) -> None:
        try:
            task: Any = self.task_class(self, early.request)
            task.memory = early.memory = self.account.begin_request()
            early.reply = serving.application.answer_early(task.get_environment())
        except Exception as error:
            early.error = error

    def _abandon(self) -> None:
        """Drop the replies that wait for their turn, and those still to come."""
        serving = self._serving
        if serving is None:
            return
        with self._early_lock:
            dropped = [
                early
                for early in self._early_by_request.values()
                if not early.taken and not early.abandoned
            ]
            for early in dropped:
                early.abandoned = True
            complete = [early for early in dropped if early.done]
        for early in complete:
            self._drop(serving, early)

    def _drop(self, serving: EarlyServing, early: EarlyRequest) -> None:
        with self._early_lock:
            serving.release(early)
        if early.reply is not None and early.reply.stream is not None:
            early.reply.stream.close()
        if early.memory is not None:
            early.memory.close()


def _discard_unread(connection: Any) -> None:
    """Read what the client sent and the entry will not serve.

    If unread bytes are left when a socket is closed, the system resets the connection
    and drops the part of the last answer that it has not sent yet.
    """
    try:
        for _ in range(MAX_DISCARDED_READS):
            if not connection.recv(DISCARDED_READ_BYTES):
                return
    except OSError:
        return


def _asks_to_close(request: Any) -> bool:
    """Return whether the answer to a request may close the connection."""
    if request.error or request.version != "1.1":
        return True
    options = request.headers.get("CONNECTION", "").lower().split(",")
    return "close" in (option.strip() for option in options)


def _may_break_off(request: Any, serving: EarlyServing) -> bool:
    """Return whether the answer, not yet known, may break off while it is sent."""
    host = request.headers.get("HOST", "")
    return serving.application.may_break_off(host, request.request_uri)


def _may_start_early(request: Any, serving: EarlyServing) -> bool:
    if request.error or request.body_rcv is not None or request.expect_continue:
        return False
    host = request.headers.get("HOST", "")
    return serving.application.may_start_early(host, request.request_uri)
