"""HTTP front end for clients whose requests are routed by host and path."""

import math
from collections.abc import Iterable, Mapping

from attrs import define
from loguru import logger

from dotterelpier.errors import (
    AnswerTimeoutError,
    DotterelpierError,
    InternalError,
    InvalidCallError,
    OverCapError,
    OverloadedError,
    StoppingError,
)
from dotterelpier.fleet_settings import FleetSettings
from dotterelpier.frontends.body_budget import BodyBudget
from dotterelpier.frontends.early_requests import HELD_REPLY, make_early_serving
from dotterelpier.frontends.early_workers import make_shared_workers
from dotterelpier.frontends.http_server import (
    ARRIVED_AT,
    MEMORY,
    ON_CLIENT_LEFT,
    Environ,
    HttpServer,
    StartResponse,
    make_http_server,
    status_line,
)
from dotterelpier.kernel import Kernel
from dotterelpier.model.request import Reply, Request
from dotterelpier.model.route import ClientLimits
from dotterelpier.protocols import ClientMemory, Clock, Metrics, ServiceName, Tasks
from dotterelpier.protocols.fleet import Forwarding, HeaderCodec, Routes
from dotterelpier.wire.backend import (
    NOT_FORWARDED,
    OUTCOME_HEADER,
    forwardable,
    request_headers,
)
from dotterelpier.wire.problem import (
    CONTENT_TYPE,
    problem_body,
    problem_outcome,
    problem_status,
)

STEP = "clients.decode"
HELD_STEP = "clients.turn"
# Concurrency limit: each request occupies a thread until its backend server answers.
THREADS = 64
# Share of the memory of the VM for bodies of requests, so that they leave room for
# answers.
BODY_MEMORY_SHARE = 0.2
STATUS_UNAUTHORIZED = 401
STATUS_TOO_MANY_REQUESTS = 429
# Share of the memory of the VM for replies to requests that were served early. At
# 200 MB, nine such requests are in progress at a time.
EARLY_MEMORY_SHARE = 0.1
# For a request without a timeout of its own; its route may set a shorter one.
DEFAULT_TIMEOUT_S = 30.0
STATUS_UNAVAILABLE = 503
# An answer with status 401 must state a scheme (RFC 9110, section 15.5.2).
CHALLENGE = "ApiKey"
# A backend server works on a request for about this long, so a slot is free by then.
RETRY_AFTER_S = 0.2
STATUSES_WITHOUT_LENGTH = frozenset({204, 304})
HOST_HEADER = "Host"
STATUS_CLASSES: Mapping[int, str] = {
    2: "success",
    3: "redirect",
    4: "client-error",
    5: "server-error",
}


@define
class ClientApplication:
    """WSGI application that forwards requests of clients to backend servers."""

    _clock: Clock
    _forwarding: Forwarding
    _codec: HeaderCodec
    _metrics: Metrics

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one request in a worker thread, or send the reply if it was served."""
        held = environ.get(HELD_REPLY)
        reply = self._answer(environ) if held is None else self._in_turn(environ, held)
        return _encode(environ, reply, start_response)

    def _in_turn(self, environ: Environ, held: Reply) -> Reply:
        """Return what to send for a request that was served before its turn."""
        if held.deadline_at < math.inf:
            environ[MEMORY].set_deadline(held.deadline_at)
        if held.stream is None or self._clock.monotonic() <= held.deadline_at:
            return held
        # What is left of the stream is cut short.
        held.stream.close()
        error = AnswerTimeoutError(
            "the turn of the answer came after its deadline", step=HELD_STEP
        )
        return self._problem_reply(environ, error)

    def may_start_early(self, host: str, target: str) -> bool:
        """Return whether a request without a body is idempotent."""
        path = target.partition("?")[0]
        return self._forwarding.is_idempotent(_host_name(host), path)

    def may_break_off(self, host: str, target: str) -> bool:
        """Return whether the answer may be streamed, as its route has large bodies."""
        path = target.partition("?")[0]
        return self._forwarding.has_large_answers(_host_name(host), path)

    def answer_early(self, environ: Environ) -> Reply:
        """Serve a request whose answer may not be sent yet."""
        self._metrics.count("pipelined_requests")
        return self._answer(environ)

    def _answer(self, environ: Environ) -> Reply:
        """Serve a request; answer errors with problem details."""
        try:
            request = self._decode(environ)
            timeout_s = request.timeout_s or DEFAULT_TIMEOUT_S
            environ[MEMORY].set_deadline(request.arrived_at + timeout_s)
            reply = self._forwarding.serve(request)
        except DotterelpierError as error:
            reply = self._problem_reply(environ, error)
        except Exception as error:
            logger.exception(
                "request failed unexpectedly; answering with a problem", step=STEP
            )
            internal = InternalError(type(error).__name__, step=STEP)
            reply = self._problem_reply(environ, internal)
        duration_s = self._clock.monotonic() - environ[ARRIVED_AT]
        self._metrics.count(
            "answers", status=STATUS_CLASSES.get(reply.status // 100, "")
        )
        self._metrics.observe("answer_seconds", duration_s)
        return reply

    def _decode(self, environ: Environ) -> Request:
        request_id = self._codec.attempt_id(environ)
        if not request_id:
            raise InvalidCallError("the request has no attempt id", step=STEP)
        target = str(environ["REQUEST_URI"])
        if not target.startswith("/"):
            raise InvalidCallError("the path must start with '/'", step=STEP)
        host = str(environ.get("HTTP_HOST", ""))
        headers = self._codec.without_credential(request_headers(environ))
        return Request(
            request_id,
            environ["REQUEST_METHOD"],
            _host_name(host),
            target,
            ((HOST_HEADER, host), *forwardable(headers)),
            environ["wsgi.input"].read(),
            environ[ARRIVED_AT],
            self._codec.client_timeout_s(environ),
            environ[ON_CLIENT_LEFT],
            credential=self._codec.credential(environ),
            memory=environ[MEMORY],
        )

    def _problem_reply(self, environ: Environ, error: DotterelpierError) -> Reply:
        status = problem_status(error)
        logger.info(
            "request failed; answering with a problem",
            request=self._codec.attempt_id(environ),
            status=status,
            code=error.code,
            step=error.step,
            peer=error.peer,
            error=error.message,
        )
        headers = [
            ("Content-Type", CONTENT_TYPE),
            (OUTCOME_HEADER, problem_outcome(error).value),
        ]
        if status == STATUS_UNAUTHORIZED:
            headers.append(("WWW-Authenticate", CHALLENGE))
        if status in (STATUS_TOO_MANY_REQUESTS, STATUS_UNAVAILABLE):
            headers.append(("Retry-After", f"{_retry_after_s(error):.2f}"))
        return Reply(status, tuple(headers), problem_body(error))


def _host_name(host: str) -> str:
    return host.partition(":")[0].lower()


def _retry_after_s(error: DotterelpierError) -> float:
    if isinstance(error, StoppingError):
        # Other entries take the request at once.
        return 0.0
    stated_s = None
    if isinstance(error, OverloadedError | OverCapError):
        stated_s = error.retry_after_s
    return RETRY_AFTER_S if stated_s is None else stated_s


def _encode(
    environ: Environ, reply: Reply, start_response: StartResponse
) -> Iterable[bytes]:
    headers = [item for item in reply.headers if item[0].lower() not in NOT_FORWARDED]
    length = len(reply.body) if reply.stream is None else reply.length
    if length is not None and reply.status not in STATUSES_WITHOUT_LENGTH:
        headers.append(("Content-Length", str(length)))
    try:
        start_response(status_line(reply.status), headers)
    except Exception:
        if reply.stream is not None:
            reply.stream.close()
        raise
    if reply.stream is not None:
        return reply.stream
    environ[MEMORY].hand_over()
    return [] if environ["REQUEST_METHOD"] == "HEAD" else [reply.body]


@define
class ClientFrontend:
    """Front end for clients that applies the limits of the current routing table."""

    _server: HttpServer
    _routes: Routes

    def start(self) -> None:
        """Listen, and apply the limits now and on each change of the routes.

        Raises
        ------
        SettingsError
            If the address cannot be listened on.
        """
        self._server.start()
        self._routes.subscribe(self._apply_limits)
        self._apply_limits()

    def stop(self) -> None:
        """Close all connections, also those with requests in flight."""
        self._server.stop()

    def close_after_answers(self) -> None:
        """Close each connection after its next answer, and announce it there."""
        self._server.close_after_answers()

    def stop_listening(self) -> None:
        """Stop accepting connections, and close idle ones."""
        self._server.stop_listening()

    def busy(self) -> bool:
        """Return whether a request is being served or an answer is not yet sent."""
        return self._server.busy()

    def _apply_limits(self) -> None:
        table = self._routes.table()
        if table is not None:
            self._server.set_limits(table.limits)


def make_client_frontend(kernel: Kernel, settings: FleetSettings) -> ClientFrontend:
    """Return the front end for clients, which does not listen yet."""
    application = ClientApplication(
        kernel.find(ServiceName.CLOCK, Clock),
        kernel.find(ServiceName.FORWARDING, Forwarding),
        kernel.find(ServiceName.HEADER_CODEC, HeaderCodec),
        kernel.find(ServiceName.METRICS, Metrics),
    )
    limits = ClientLimits()
    memory_bytes = settings.limits.memory_mb * 1e6
    workers = make_shared_workers(
        THREADS, settings.entry.caller_address, refuses_when_full=True
    )
    early_serving = make_early_serving(
        application,
        workers,
        settings.limits.pipelined_requests,
        BodyBudget(int(memory_bytes * EARLY_MEMORY_SHARE)),
    )
    server = make_http_server(
        application,
        settings.entry.caller_address,
        THREADS,
        limits.body_bytes,
        limits.header_bytes,
        kernel.find(ServiceName.TASKS, Tasks),
        client_memory=kernel.find(ServiceName.CLIENT_MEMORY, ClientMemory),
        refuses_when_full=True,
        detects_disconnect=True,
        body_memory_bytes=int(memory_bytes * BODY_MEMORY_SHARE),
        early_serving=early_serving if settings.limits.pipelined_requests > 1 else None,
    )
    return ClientFrontend(server, kernel.find(ServiceName.ROUTES, Routes))
