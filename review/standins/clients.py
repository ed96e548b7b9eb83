"""Stand-in for clients: one request a connection, or a kept connection."""

import http.client
import itertools
import threading
import time

from review.standins.fleet import HOST

_numbers = itertools.count(1)


class Answer:
    """What a client got; status 0 stands for a closed connection."""

    def __init__(self, attempt, status, headers, body, sent_at, ended_at, complete):
        self.attempt, self.status, self.headers, self.body = (
            attempt,
            status,
            headers,
            body,
        )
        self.sent_at, self.ended_at, self.complete = sent_at, ended_at, complete


def send(record, entry, target, method="GET", body=None, deadline_ms=2000, attempt=""):
    """Send one request on a connection of its own, and record its answer."""
    attempt = attempt or f"try-{next(_numbers)}"
    host, _, port = entry.address["caller"].rpartition(":")
    headers = {
        "Host": HOST,
        "X-Dotterelpier-Attempt-Id": attempt,
        "X-Dotterelpier-Deadline-Ms": str(deadline_ms),
    }
    sent_at = record.write("sent", request=attempt, entry=entry.name, method=method)
    connection = http.client.HTTPConnection(
        host, int(port), timeout=deadline_ms / 1000 + 3
    )
    status, got, content, complete = 0, {}, b"", False
    try:
        connection.request(method, target, body, headers)
        response = connection.getresponse()
        status = response.status
        got = {name.lower(): value for name, value in response.getheaders()}
        content = response.read()
        complete = True
    except http.client.IncompleteRead as error:
        content = error.partial
    except (OSError, http.client.HTTPException):
        pass
    finally:
        connection.close()
    ended_at = record.write(
        "answered",
        request=attempt,
        entry=entry.name,
        status=status,
        bytes=len(content),
        complete=int(complete),
        signed=int("x-dotterelpier-server-signature" in got),
    )
    return Answer(attempt, status, got, content, sent_at, ended_at, complete)


class Traffic:
    """Sends requests to one entry at a steady rate until stopped."""

    def __init__(
        self, record, entry, target, per_s, method="GET", body=None, deadline_ms=2000
    ):
        self.answers: list[Answer] = []
        self._stopped = threading.Event()
        self._args = (record, entry, target, method, body, deadline_ms)
        self._per_s = per_s
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        next_at = time.monotonic()
        while not self._stopped.is_set():
            threading.Thread(target=self._one, daemon=True).start()
            next_at += 1 / self._per_s
            self._stopped.wait(max(0.0, next_at - time.monotonic()))

    def _one(self) -> None:
        self.answers.append(send(*self._args))

    def stop(self) -> None:
        """Send no more requests."""
        self._stopped.set()
