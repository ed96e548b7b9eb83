"""Writes what was sent, answered and run to the record of a case."""

import threading
import time


class Record:
    """Lines with the seconds since the start of the case."""

    def __init__(self, path: str) -> None:
        self._file = open(path, "w", encoding="utf-8")
        self._lock = threading.Lock()
        self._started_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._started_at

    def write(self, kind: str, **fields: object) -> float:
        """Write one line; return its time."""
        now = self.now()
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        with self._lock:
            self._file.write(f"{now:9.3f} {kind} {text}\n")
            self._file.flush()
        return now
