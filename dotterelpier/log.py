"""Logs as JSON lines, rate limited and written without blocking the tasks."""

import json
import logging
import queue
import threading
import time
from typing import TYPE_CHECKING, Protocol, TextIO

from attrs import define, field
from loguru import logger

if TYPE_CHECKING:
    from loguru import Message, Record

# Further lines of one call site in an interval are counted, not written.
MAX_LINES_PER_CALL_SITE = 20
RATE_LIMIT_INTERVAL_S = 1.0
MAX_VALUE_CHARACTERS = 500
# About a megabyte at the usual line length.
MAX_QUEUED_LINES = 4096
LIBRARY_LEVEL = logging.WARNING


class LineStream(Protocol):
    """Output of log lines."""

    def write(self, line: str, /) -> object:
        """Write a line, its line break included."""
        ...

    def flush(self) -> object:
        """Flush what was written."""
        ...


@define
class _CallSite:
    """Lines counted for one call site since its current interval began."""

    interval_began_at: float
    written: int = 0
    suppressed: int = 0


@define
class JsonLines:
    """Writes records as JSON lines, rate limited per call site.

    A storm of failures repeats few messages. Each call site writes its first lines of
    an interval; ``suppressed`` of its next line holds the number of those left out.
    """

    _stream: LineStream
    _call_site_by_line: dict[tuple[str, int], _CallSite] = field(factory=dict)
    _lock: threading.Lock = field(factory=threading.Lock)

    def write(self, message: "Message") -> None:
        """Write one record unless its call site exceeds its rate limit."""
        record = message.record
        suppressed = self._apply_rate_limit(record)
        if suppressed is None:
            return
        line = _line(record)
        if suppressed:
            line["suppressed"] = suppressed
        self._stream.write(json.dumps(line, default=str) + "\n")
        self._stream.flush()

    def _apply_rate_limit(self, record: "Record") -> int | None:
        """Return how many lines of the call site were suppressed before this one.

        Return None if this one is suppressed, too.
        """
        key = (record["name"] or "", record["line"])
        now = time.monotonic()
        with self._lock:
            site = self._call_site_by_line.setdefault(key, _CallSite(now))
            suppressed = 0
            if now - site.interval_began_at >= RATE_LIMIT_INTERVAL_S:
                suppressed = site.suppressed
                site.interval_began_at, site.written, site.suppressed = now, 0, 0
            if site.written >= MAX_LINES_PER_CALL_SITE:
                site.suppressed += 1
                return None
            site.written += 1
            return suppressed


@define
class QueuedStream:
    """Writes lines in a thread of its own, so that no task blocks on a full pipe.

    Lines that arrive while the queue is full are dropped; a line of its own reports
    their number.
    """

    _stream: TextIO
    _lines: "queue.Queue[str | None]" = field(
        factory=lambda: queue.Queue(MAX_QUEUED_LINES)
    )
    dropped: int = 0

    def start(self) -> None:
        """Start the writer thread, a daemon that ends with the process."""
        threading.Thread(target=self._write_queued, name="log", daemon=True).start()

    def write(self, line: str) -> None:
        """Queue a line; drop and count it if the queue is full. Never blocks."""
        try:
            self._lines.put_nowait(line)
        except queue.Full:
            self.dropped += 1

    def flush(self) -> None:
        """Do nothing; the writer thread flushes when the queue is empty."""

    def close(self, timeout_s: float) -> None:
        """Wait until all queued lines are written, at most ``timeout_s`` seconds."""
        all_written = threading.Event()
        threading.Thread(
            target=self._wait_until_written, args=(all_written,), daemon=True
        ).start()
        all_written.wait(timeout_s)

    def _wait_until_written(self, all_written: threading.Event) -> None:
        self._lines.join()
        all_written.set()

    def _write_queued(self) -> None:
        reported = 0
        while True:
            line = self._lines.get()
            dropped = self.dropped
            try:
                if dropped > reported:
                    notice = {
                        "message": "log lines dropped",
                        "count": dropped - reported,
                    }
                    self._stream.write(json.dumps(notice) + "\n")
                    reported = dropped
                self._stream.write(line or "")
                if self._lines.empty():
                    self._stream.flush()
            except (OSError, ValueError):
                # The reader closed the output, so this error cannot be logged; the line
                # counts as dropped.
                self.dropped += 1
            finally:
                self._lines.task_done()


class LibraryHandler(logging.Handler):
    """Forwards records of ``logging``, which libraries use, to the JSON lines."""

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record, with the name of its logger as ``library``."""
        logger.opt(exception=record.exc_info).bind(library=record.name).log(
            record.levelname, record.getMessage()
        )


def configure_log(level: str, stream: LineStream) -> None:
    """Send records of this level and above to a stream as JSON lines.

    Replaces all handlers. Records of libraries are written from ``WARNING`` up.

    Parameters
    ----------
    level : str
        Lowest level written, such as ``"INFO"``.
    stream : LineStream
        Output of the lines.
    """
    logger.remove()
    logger.add(
        JsonLines(stream).write,
        level=level,
        format="{message}",
        catch=True,
        # Lines contain no traceback; formatting the values of one takes seconds.
        backtrace=False,
        diagnose=False,
    )
    logging.basicConfig(handlers=[LibraryHandler()], level=LIBRARY_LEVEL, force=True)


def _line(record: "Record") -> dict[str, object]:
    line: dict[str, object] = {
        "at": round(record["time"].timestamp(), 6),
        "level": record["level"].name,
        "module": record["name"],
        "message": record["message"][:MAX_VALUE_CHARACTERS],
    }
    for name, value in record["extra"].items():
        line[name] = value[:MAX_VALUE_CHARACTERS] if isinstance(value, str) else value
    exception = record["exception"]
    if exception is not None:
        line["exception"] = repr(exception.value)[:MAX_VALUE_CHARACTERS]
    return line
