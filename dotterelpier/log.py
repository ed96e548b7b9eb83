"""Logs as JSON lines."""

import json
import logging
import threading
import time
from typing import TYPE_CHECKING, TextIO

from attrs import define, field
from loguru import logger

if TYPE_CHECKING:
    from loguru import Message, Record

# Lines of one place in the code within one interval; the rest is only counted.
MAX_LINES_PER_PLACE = 20
INTERVAL_S = 1.0
MAX_VALUE_CHARACTERS = 500
LIBRARY_LEVEL = logging.WARNING


@define
class _Place:
    """Lines written from one place in the code since an interval began."""

    began_at: float
    written: int = 0
    suppressed: int = 0


@define
class JsonLines:
    """Writes records as JSON lines, at a bounded rate for each place in the code.

    A storm of failures repeats few messages; each of them keeps its first lines and
    the number of those left out, in ``suppressed`` of the next line written.
    """

    _stream: TextIO
    _place_by_line: dict[tuple[str, int], _Place] = field(factory=dict)
    _lock: threading.Lock = field(factory=threading.Lock)

    def write(self, message: "Message") -> None:
        """Write one record unless its place wrote too many lately."""
        record = message.record
        suppressed = self._admit(record)
        if suppressed is None:
            return
        line = _line(record)
        if suppressed:
            line["suppressed"] = suppressed
        self._stream.write(json.dumps(line, default=str) + "\n")
        self._stream.flush()

    def _admit(self, record: "Record") -> int | None:
        """Return how many lines were left out before this one, None to leave it out."""
        key = (record["name"] or "", record["line"])
        now = time.monotonic()
        with self._lock:
            place = self._place_by_line.setdefault(key, _Place(now))
            suppressed = 0
            if now - place.began_at >= INTERVAL_S:
                suppressed = place.suppressed
                place.began_at, place.written, place.suppressed = now, 0, 0
            if place.written >= MAX_LINES_PER_PLACE:
                place.suppressed += 1
                return None
            place.written += 1
            return suppressed


class LibraryHandler(logging.Handler):
    """Passes records of libraries on, so that they become JSON lines too."""

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record."""
        logger.opt(exception=record.exc_info).bind(library=record.name).log(
            record.levelname, record.getMessage()
        )


def configure_log(level: str, stream: TextIO) -> None:
    """Write records of this level and above to a stream.

    Parameters
    ----------
    level : str
        Lowest level written, such as ``"INFO"``.
    stream : text file
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
