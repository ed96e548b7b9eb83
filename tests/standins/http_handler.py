"""Request handler shared by the stand-ins."""

import json
import sys
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any


class StandInServer(ThreadingHTTPServer):
    """One thread for each connection."""

    daemon_threads = True
    request_queue_size = 1024
    allow_reuse_address = True

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Pass over clients that reset their connection, as tests make them do."""
        if not isinstance(sys.exc_info()[1], ConnectionError):
            super().handle_error(request, client_address)


class StandInHandler(BaseHTTPRequestHandler):
    """HTTP/1.1 with buffered answers and no access log."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1

    def log_message(self, format: str, *args: Any) -> None:
        """Log nothing."""

    def read_body(self) -> bytes:
        """Return the whole request body."""
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))

    def answer(
        self, status: int, body: bytes = b"", headers: dict[str, str] | None = None
    ) -> None:
        """Send a whole answer."""
        self.send_response_only(status)
        for name, value in (headers or {}).items():
            self.send_header(name, value)
        if status != 304:
            self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        if status != 304:
            self.wfile.write(body)
        self.wfile.flush()

    def answer_json(self, status: int, value: Any) -> None:
        """Send a whole answer as JSON."""
        body = json.dumps(value).encode()
        self.answer(status, body, {"Content-Type": "application/json"})
