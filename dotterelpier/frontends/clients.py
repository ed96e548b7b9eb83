"""HTTP front end for clients whose requests are routed by host and path."""

from collections.abc import Iterable, Mapping

from attrs import define
from loguru import logger

from dotterelpier.errors import (
    DotterelpierError,
    InternalError,
    InvalidCallError,
    OverCapError,
    OverloadedError,
    StoppingError,
)
from dotterelpier.fleet_settings import FleetSettings
from dotterelpier.frontends.http_server import (
    ARRIVED_AT,
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
from dotterelpier.protocols import Clock, Metrics, ServiceName, Tasks
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
# Concurrency limit: each request occupies a thread until its backend server answers.
THREADS = 64
# Share of the memory of the VM for bodies of requests. Each is held up to three times:
# received, forwarded and written.
BODY_MEMORY_SHARE = 0.2
STATUS_UNAUTHORIZED = 401
STATUS_TOO_MANY_REQUESTS = 429
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
        """Serve one request in a worker thread; answer errors with problem details."""
        try:
            request = self._decode(environ)
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
        return _encode(environ, reply, start_response)

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
            host.partition(":")[0].lower(),
            target,
            ((HOST_HEADER, host), *forwardable(headers)),
            environ["wsgi.input"].read(),
            environ[ARRIVED_AT],
            self._codec.client_timeout_s(environ),
            environ[ON_CLIENT_LEFT],
            self._codec.credential(environ),
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
    server = make_http_server(
        application,
        settings.entry.caller_address,
        THREADS,
        limits.body_bytes,
        limits.header_bytes,
        kernel.find(ServiceName.TASKS, Tasks),
        detects_disconnect=True,
        body_memory_bytes=int(settings.limits.memory_mb * 1e6 * BODY_MEMORY_SHARE),
    )
    return ClientFrontend(server, kernel.find(ServiceName.ROUTES, Routes))
