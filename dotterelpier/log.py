"""Logs as JSON lines."""

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

# Lines of one place in the code within one interval; the rest is only counted.
MAX_LINES_PER_CALL_SITE = 20
RATE_LIMIT_INTERVAL_S = 1.0
MAX_VALUE_CHARACTERS = 500
# About a megabyte of lines of usual length.
MAX_QUEUED_LINES = 4096
LIBRARY_LEVEL = logging.WARNING


class LineStream(Protocol):
    """Where lines go."""

    def write(self, line: str, /) -> object:
        """Write a line."""
        ...

    def flush(self) -> object:
        """Pass on what was written."""
        ...


@define
class _CallSite:
    """Lines written from one place in the code since an interval began."""

    interval_began_at: float
    written: int = 0
    suppressed: int = 0


@define
class JsonLines:
    """Writes records as JSON lines, at a bounded rate for each place in the code.

    A storm of failures repeats few messages; each of them keeps its first lines and
    the number of those left out, in ``suppressed`` of the next line written.
    """

    _stream: LineStream
    _call_site_by_line: dict[tuple[str, int], _CallSite] = field(factory=dict)
    _lock: threading.Lock = field(factory=threading.Lock)

    def write(self, message: "Message") -> None:
        """Write one record unless its place wrote too many lately."""
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
        """Return how many lines were left out before this one, None to leave it out."""
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
    """Writes lines in a thread of its own, so that no task waits for a full pipe.

    Lines that nobody reads in time are left out and counted in a line of their own.
    """

    _stream: TextIO
    _lines: "queue.Queue[str | None]" = field(
        factory=lambda: queue.Queue(MAX_QUEUED_LINES)
    )
    dropped: int = 0

    def start(self) -> None:
        """Start the thread; it ends with the process."""
        threading.Thread(target=self._write_queued, name="log", daemon=True).start()

    def write(self, line: str) -> None:
        """Add a line unless too many wait."""
        try:
            self._lines.put_nowait(line)
        except queue.Full:
            self.dropped += 1

    def flush(self) -> None:
        """Do nothing; the thread flushes."""

    def close(self, timeout_s: float) -> None:
        """Write what waits, for at most ``timeout_s`` seconds."""
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
                # The reader of the output went away; there is nobody to tell.
                self.dropped += 1
            finally:
                self._lines.task_done()


class LibraryHandler(logging.Handler):
    """Passes records of libraries on, so that they become JSON lines too."""

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record."""
        logger.opt(exception=record.exc_info).bind(library=record.name).log(
            record.levelname, record.getMessage()
        )


def configure_log(level: str, stream: LineStream) -> None:
    """Write records of this level and above to a stream.

    Parameters
    ----------
    level : str
        Lowest level written, such as ``"INFO"``.
    stream : LineStream
        Where lines go.
    """
    logger.remove()
    logger.add(
        JsonLines(stream).write,
        level=level,
        format="{message}",
        catch=True,
        # Lines hold no traceback, and formatting the values in one takes seconds.
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
