"""HTTP front ends for callers and for calls that other entries relay."""

import re
import uuid
from collections.abc import Iterable
from urllib.parse import parse_qs, unquote

from attrs import define
from loguru import logger

from dotterelpier.errors import (
    CallError,
    DotterelpierError,
    InternalError,
    InvalidCallError,
    StoppingError,
    UnknownServiceError,
)
from dotterelpier.frontends.http_server import (
    MEMORY,
    Environ,
    HttpServer,
    StartResponse,
    make_http_server,
    status_line,
)
from dotterelpier.kernel import Kernel
from dotterelpier.model.call import Answer, Call, Outcome
from dotterelpier.protocols import (
    Admission,
    Calls,
    ClientMemory,
    Clock,
    Directory,
    Drain,
    ManifestSource,
    Metrics,
    ServiceName,
    Tasks,
)
from dotterelpier.settings import Settings
from dotterelpier.wire.backend import (
    ATTEMPT_HEADER,
    KEY_HEADER,
    LOAD_HEADER,
    ONCE,
    ONCE_HEADER,
    OUTCOME_HEADER,
    RELAY_HEADER,
    RESERVATION_HEADER,
    TIMEOUT_HEADER,
    WAITING_HEADER,
    forwardable,
    request_headers,
    service_load_text,
    wsgi_variable_of,
)
from dotterelpier.wire.problem import (
    CONTENT_TYPE,
    problem_body,
    problem_outcome,
    problem_status,
)
from dotterelpier.wire.structure import encode_json

ENTRIES_PATH = "/v1/entries"
MAX_KEY_CHARS = 255
MAX_COUNT_DIGITS = 7
MAX_TARGET_CHARS = 8192
CONTROL_CHARACTER_PATTERN = re.compile(r"[\x00-\x1f\x7f]")
STATUSES_WITHOUT_LENGTH = frozenset({204, 304})
METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"})


@define
class CallerApplication:
    """WSGI application that serves calls and, for callers, the directory.

    The relay front end sets ``relayed``: the application then reads the headers that
    entries add to relayed calls, and reports the load of the service in its answers.
    """

    _clock: Clock
    _manifest: ManifestSource
    _calls: Calls
    _directory: Directory
    _admission: Admission
    _metrics: Metrics
    _drain: Drain
    _relayed: bool

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one request in a worker thread; answer errors with problem details."""
        service = ""
        call_id = self._call_id(environ)
        started_at = self._clock.monotonic()
        try:
            path, _, query = self._target(environ).partition("?")
            if path == ENTRIES_PATH and not self._relayed:
                return self._answer_directory(environ, query, start_response)
            call = self._decode(environ, call_id)
            service = call.service
            if not self._drain.takes_calls():
                raise StoppingError("entry is stopping", step="callers.serve")
            environ[MEMORY].set_deadline(call.deadline_at)
            answer = self._calls.serve(call)
        except DotterelpierError as error:
            self._log_failure(call_id, service, error)
            answer = _problem_answer(error)
        except Exception as error:
            logger.exception(
                "call failed unexpectedly; answering with a problem",
                call=call_id,
                service=service,
            )
            answer = _problem_answer(
                InternalError(type(error).__name__, step="callers.serve")
            )
        self._record_metrics(service, answer, started_at)
        return self._encode(environ, call_id, service, answer, start_response)

    def _call_id(self, environ: Environ) -> str:
        relayed_id = (
            environ.get(wsgi_variable_of(ATTEMPT_HEADER)) if self._relayed else None
        )
        return relayed_id or uuid.uuid4().hex

    def _target(self, environ: Environ) -> str:
        target = str(environ["REQUEST_URI"])
        path = target.partition("?")[0]
        segments = unquote(path).split("/")
        if not path.startswith("/") or len(target) > MAX_TARGET_CHARS:
            raise _invalid_call_error(
                "path: must start with '/' and, with its query, fit the length limit"
            )
        if ".." in segments or "." in segments or "\\" in unquote(path):
            raise _invalid_call_error("path: dot segments are not allowed")
        if "" in segments[1:-1] or CONTROL_CHARACTER_PATTERN.search(unquote(path)):
            raise _invalid_call_error(
                "path: empty segments and control characters are not allowed"
            )
        return target

    def _decode(self, environ: Environ, call_id: str) -> Call:
        method = environ["REQUEST_METHOD"]
        if method not in METHODS:
            raise _invalid_call_error(f"method: {method!r} is not supported")
        service, slash, rest = self._target(environ)[1:].partition("/")
        path = "/" + rest
        if not slash:
            service, mark, query = service.partition("?")
            path = "/" + mark + query
        headers = request_headers(environ)
        return Call(
            call_id,
            service,
            method,
            path,
            forwardable(headers),
            environ["wsgi.input"].read(),
            self._clock.monotonic() + self._timeout_s(environ, service),
            self._idempotency_key(environ),
            environ.get(wsgi_variable_of(RELAY_HEADER), "") if self._relayed else "",
            environ.get(wsgi_variable_of(RESERVATION_HEADER), "")
            if self._relayed
            else "",
            self._relayed and environ.get(wsgi_variable_of(ONCE_HEADER)) == ONCE,
            _waiting_count(environ) if self._relayed else 0,
            environ[MEMORY],
        )

    def _timeout_s(self, environ: Environ, service_name: str) -> float:
        revision = self._manifest.current()
        service = revision and revision.manifest.service_by_name.get(service_name)
        if not service:
            raise UnknownServiceError(
                f"no service {service_name!r} is declared", step="callers.decode"
            )
        text = environ.get(wsgi_variable_of(TIMEOUT_HEADER))
        if text is None:
            return service.deadline_s
        try:
            timeout_s = float(text)
        except ValueError:
            raise _invalid_call_error(
                f"{TIMEOUT_HEADER}: {text!r} is not a number"
            ) from None
        if not 0 < timeout_s <= service.max_deadline_s:
            raise _invalid_call_error(
                f"{TIMEOUT_HEADER}: {text} must be above 0 and at most "
                f"{service.max_deadline_s} seconds"
            )
        return timeout_s

    def _idempotency_key(self, environ: Environ) -> str:
        key = str(environ.get(wsgi_variable_of(KEY_HEADER), ""))
        if len(key) > MAX_KEY_CHARS or not key.isprintable():
            raise _invalid_call_error(
                f"{KEY_HEADER}: must have at most {MAX_KEY_CHARS} printable characters"
            )
        return key

    def _answer_directory(
        self, environ: Environ, query: str, start_response: StartResponse
    ) -> Iterable[bytes]:
        if environ["REQUEST_METHOD"] != "GET":
            raise _invalid_call_error(f"method: only GET is allowed on {ENTRIES_PATH}")
        service_names = parse_qs(query).get("service", [])
        if len(service_names) != 1:
            raise _invalid_call_error("service: must be given once in the query")
        answer = self._directory.entries(service_names[0])
        body = encode_json(answer)
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
            ("Cache-Control", f"max-age={answer.max_age_s}"),
            (OUTCOME_HEADER, Outcome.ANSWERED.value),
        ]
        start_response(status_line(200), headers)
        return [body]

    def _encode(
        self,
        environ: Environ,
        call_id: str,
        service: str,
        answer: Answer,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        headers = list(answer.headers)
        length = _content_length(environ["REQUEST_METHOD"], answer)
        if length is not None:
            headers.append(("Content-Length", str(length)))
        headers.append((OUTCOME_HEADER, answer.outcome.value))
        if self._relayed:
            headers.append((ATTEMPT_HEADER, call_id))
            load = self._admission.load_by_service().get(service)
            if load is not None:
                headers.append((LOAD_HEADER, service_load_text(load)))
        try:
            start_response(status_line(answer.status), headers)
        except Exception:
            if answer.stream is not None:
                answer.stream.close()
            raise
        if answer.stream is not None:
            return answer.stream
        environ[MEMORY].hand_over()
        # waitress would send this body although an answer to HEAD must have none.
        return [] if environ["REQUEST_METHOD"] == "HEAD" else [answer.body]

    def _log_failure(
        self, call_id: str, service: str, error: DotterelpierError
    ) -> None:
        revision = self._manifest.current()
        logger.warning(
            "call failed",
            call=call_id,
            service=service,
            revision=0 if revision is None else revision.number,
            code=error.code,
            step=error.step,
            peer=error.peer,
            error=error.message,
        )

    def _record_metrics(self, service: str, answer: Answer, started_at: float) -> None:
        if not service:
            return
        self._metrics.count("calls", service=service, outcome=answer.outcome.value)
        duration_s = self._clock.monotonic() - started_at
        self._metrics.observe("call_seconds", duration_s, service=service)


def _waiting_count(environ: Environ) -> int:
    text = environ.get(wsgi_variable_of(WAITING_HEADER), "0")
    return int(text) if text.isdecimal() and len(text) < MAX_COUNT_DIGITS else 0


def _invalid_call_error(message: str) -> InvalidCallError:
    return InvalidCallError(message, step="callers.decode")


def _content_length(method: str, answer: Answer) -> int | None:
    if answer.status in STATUSES_WITHOUT_LENGTH:
        return None
    if answer.stream is not None or (method == "HEAD" and not answer.body):
        return answer.length
    return len(answer.body)


def _problem_answer(error: DotterelpierError) -> Answer:
    outcome = problem_outcome(error)
    if not isinstance(error, CallError):
        outcome = Outcome.UNKNOWN
    return Answer(
        problem_status(error),
        (("Content-Type", CONTENT_TYPE),),
        problem_body(error),
        outcome=outcome,
    )


def _make_application(kernel: Kernel, relayed: bool) -> CallerApplication:
    return CallerApplication(
        kernel.find(ServiceName.CLOCK, Clock),
        kernel.find(ServiceName.MANIFEST, ManifestSource),
        kernel.find(ServiceName.CALLS, Calls),
        kernel.find(ServiceName.DIRECTORY, Directory),
        kernel.find(ServiceName.ADMISSION, Admission),
        kernel.find(ServiceName.METRICS, Metrics),
        kernel.find(ServiceName.DRAIN, Drain),
        relayed,
    )


def make_caller_frontend(
    kernel: Kernel, settings: Settings, address: str
) -> HttpServer:
    """Return the front end for callers, which does not listen yet."""
    return make_http_server(
        _make_application(kernel, relayed=False),
        address,
        settings.limits.caller_threads,
        settings.limits.max_body_bytes,
        settings.limits.max_header_bytes,
        kernel.find(ServiceName.TASKS, Tasks),
        client_memory=kernel.find(ServiceName.CLIENT_MEMORY, ClientMemory),
        refuses_when_full=True,
    )


def make_relay_frontend(kernel: Kernel, settings: Settings, address: str) -> HttpServer:
    """Return the front end for relayed calls, which does not listen yet."""
    return make_http_server(
        _make_application(kernel, relayed=True),
        address,
        settings.limits.relay_threads,
        settings.limits.max_body_bytes,
        settings.limits.max_header_bytes,
        kernel.find(ServiceName.TASKS, Tasks),
        client_memory=kernel.find(ServiceName.CLIENT_MEMORY, ClientMemory),
        refuses_when_full=True,
    )
