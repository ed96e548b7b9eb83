"""HTTP server and request handler that the stand-ins share."""

import json
import sys
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any


class StandInServer(ThreadingHTTPServer):
    """HTTP server with one daemon thread for each connection."""

    daemon_threads = True
    request_queue_size = 1024
    allow_reuse_address = True

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignore connection errors, as tests reset connections; print other errors."""
        if not isinstance(sys.exc_info()[1], ConnectionError):
            super().handle_error(request, client_address)


class StandInHandler(BaseHTTPRequestHandler):
    """HTTP/1.1 handler with buffered responses and without an access log."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1

    def log_message(self, format: str, *args: Any) -> None:
        """Discard the message: stand-ins write no access log."""

    def read_body(self) -> bytes:
        """Read as many bytes as ``Content-Length`` states, none without this header."""
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))

    def answer(
        self, status: int, body: bytes = b"", headers: dict[str, str] | None = None
    ) -> None:
        """Send and flush a complete response; a 304 has neither length nor body."""
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
        """Send a complete response with a value as its JSON body."""
        body = json.dumps(value).encode()
        self.answer(status, body, {"Content-Type": "application/json"})
