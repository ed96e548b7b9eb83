"""HTTP front end for the other entries of a fleet."""

import threading
from collections.abc import Callable, Iterable, Mapping

from attrs import define, field
from google.protobuf.message import DecodeError
from loguru import logger

from dotterelpier.errors import PeerUnavailableError
from dotterelpier.frontends.http_server import (
    MEMORY,
    Environ,
    HttpServer,
    StartResponse,
    make_http_server,
    status_line,
)
from dotterelpier.kernel import Kernel
from dotterelpier.protocols import (
    ClientMemory,
    RequestMemory,
    ServiceName,
    Tasks,
)
from dotterelpier.protocols.fleet import Fleet, Mirrors
from dotterelpier.wire.fleet import (
    ANNOUNCEMENT_PATH,
    CHANGES_PATH,
    MESSAGE_TYPE,
    PING_PATH,
    decode_changes_request,
    decode_ping_request,
    encode_announcement,
    encode_changes,
    encode_ping_reply,
)

# Only a few other entries ping this one, each once a second; entries of its zone ask a
# publisher for changes at the same moment.
THREADS = 8
MAX_BODY_BYTES = 4096
STATUS_UNAVAILABLE = 503
MAX_HEADER_BYTES = 16 << 10
STEP = "fleet_peers.answer"
# Longer answers are refused while clients and other entries hold too much memory; the
# other entry asks elsewhere.
SHORT_BYTES = 64 << 10
# The other entry waits for little longer.
ENCODING_TIMEOUT_S = 0.5


@define
class FleetPeerApplication:
    """WSGI application that answers pings and requests for table changes."""

    _fleet: Fleet
    _mirrors: Mirrors
    # Encoding a table takes several times its size, so one is encoded at a time.
    _encoding: threading.Lock = field(factory=threading.Lock)

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one message; an unknown path gets 404, a malformed message 400."""
        status, body = self._answer(environ)
        headers = [("Content-Type", MESSAGE_TYPE), ("Content-Length", str(len(body)))]
        start_response(status_line(status), headers)
        environ[MEMORY].hand_over()
        return [b"" if environ["REQUEST_METHOD"] == "HEAD" else body]

    def _answer(self, environ: Environ) -> tuple[int, bytes]:
        handler_by_path: Mapping[str, Callable[[bytes, RequestMemory], bytes]] = {
            PING_PATH: self._ping,
            CHANGES_PATH: self._changes,
            ANNOUNCEMENT_PATH: self._announcement,
        }
        handler = handler_by_path.get(environ["PATH_INFO"])
        if handler is None:
            return 404, b""
        try:
            return 200, handler(environ["wsgi.input"].read(), environ[MEMORY])
        except PeerUnavailableError:
            return STATUS_UNAVAILABLE, b""
        except (DecodeError, ValueError) as error:
            logger.warning(
                "message of an entry is malformed; refusing it",
                path=environ["PATH_INFO"],
                peer=environ.get("REMOTE_ADDR", ""),
                error=repr(error),
            )
            return 400, b""

    def _ping(self, content: bytes, memory: RequestMemory) -> bytes:
        decode_ping_request(content)
        return encode_ping_reply(self._fleet.me())

    def _announcement(self, content: bytes, memory: RequestMemory) -> bytes:
        return encode_announcement(self._mirrors.announcement())

    def _changes(self, content: bytes, memory: RequestMemory) -> bytes:
        table, after = decode_changes_request(content)
        changes = self._mirrors.changes(table, after)
        if not self._encoding.acquire(timeout=ENCODING_TIMEOUT_S):
            raise PeerUnavailableError("too many requests for tables", step=STEP)
        try:
            body = encode_changes(changes)
        finally:
            self._encoding.release()
        if len(body) > SHORT_BYTES and not memory.try_reserve(len(body)):
            raise PeerUnavailableError("no memory for the table", step=STEP)
        return body


def make_fleet_peer_frontend(kernel: Kernel, address: str) -> HttpServer:
    """Return the front end for other entries, which does not listen yet."""
    application = FleetPeerApplication(
        kernel.find(ServiceName.FLEET, Fleet),
        kernel.find(ServiceName.MIRRORS, Mirrors),
    )
    return make_http_server(
        application,
        address,
        THREADS,
        MAX_BODY_BYTES,
        MAX_HEADER_BYTES,
        kernel.find(ServiceName.TASKS, Tasks),
        client_memory=kernel.find(ServiceName.CLIENT_MEMORY, ClientMemory),
    )
