"""Tests of logs."""

import io
import json
import logging
import threading
from collections.abc import Iterator

import pytest
from loguru import logger

from dotterelpier.log import (
    MAX_LINES_PER_CALL_SITE,
    MAX_QUEUED_LINES,
    MAX_VALUE_CHARACTERS,
    QueuedStream,
    configure_log,
)


@pytest.fixture
def stream() -> Iterator[io.StringIO]:
    stream = io.StringIO()
    handlers = logging.getLogger().handlers[:]
    configure_log("INFO", stream)
    yield stream
    logger.remove()
    logging.getLogger().handlers[:] = handlers


def _lines(stream: io.StringIO) -> list[dict[str, object]]:
    return [json.loads(line) for line in stream.getvalue().splitlines()]


def test_line_includes_the_bound_fields(stream) -> None:
    logger.warning("call failed", call="7", step="calls.wait", peer="p", revision=3)
    (line,) = _lines(stream)
    assert line["message"] == "call failed"
    assert (line["level"], line["call"], line["revision"]) == ("WARNING", "7", 3)
    assert (line["step"], line["peer"]) == ("calls.wait", "p")


def test_records_below_the_level_are_not_written(stream) -> None:
    logger.debug("hidden")
    assert _lines(stream) == []


def test_exception_is_written_on_one_line(stream) -> None:
    try:
        raise RuntimeError("a\nb")
    except RuntimeError:
        logger.exception("task failed")
    (line,) = _lines(stream)
    assert line["exception"] == "RuntimeError('a\\nb')"


def test_lines_per_call_site_are_rate_limited_and_counted(stream, monkeypatch) -> None:
    now = 100.0
    monkeypatch.setattr("dotterelpier.log.time.monotonic", lambda: now)
    for number in range(10_000):
        if number == 9_999:
            now += 1.0
        logger.warning("call failed", call=str(number))
    logger.warning("another place")
    lines = _lines(stream)
    assert len(lines) == MAX_LINES_PER_CALL_SITE + 2
    assert lines[-2]["suppressed"] == 9_999 - MAX_LINES_PER_CALL_SITE
    assert lines[-1]["message"] == "another place"


def test_long_values_are_truncated(stream) -> None:
    logger.warning("x" * 10_000, error="y" * 10_000)
    (line,) = _lines(stream)
    assert len(line["message"]) == len(line["error"]) == MAX_VALUE_CHARACTERS


def test_records_of_libraries_become_json_lines(stream) -> None:
    logging.getLogger("waitress").error("from a library")
    (line,) = _lines(stream)
    assert (line["message"], line["library"]) == ("from a library", "waitress")


class FullPipe(io.StringIO):
    """A pipe that nobody reads until it is opened."""

    def __init__(self) -> None:
        super().__init__()
        self.opened = threading.Event()

    def write(self, text: str) -> int:
        self.opened.wait()
        return super().write(text)


def test_full_pipe_does_not_block_writers_and_dropped_lines_are_counted() -> None:
    pipe = FullPipe()
    queued = QueuedStream(pipe)
    queued.start()
    flood = threading.Thread(
        target=lambda: [queued.write("x\n") for _ in range(MAX_QUEUED_LINES + 100)]
    )
    flood.start()
    flood.join(10.0)
    assert not flood.is_alive()
    assert queued.dropped >= 99
    pipe.opened.set()
    queued.close(10.0)
    notices = [json.loads(line) for line in pipe.getvalue().splitlines() if line != "x"]
    assert sum(line["count"] for line in notices) == queued.dropped
    assert pipe.getvalue().count("x\n") == MAX_QUEUED_LINES + 100 - queued.dropped


def test_line_to_a_closed_output_is_counted_as_dropped() -> None:
    class ClosedPipe(io.StringIO):
        def write(self, text: str) -> int:
            raise BrokenPipeError

    queued = QueuedStream(ClosedPipe())
    queued.start()
    queued.write("x\n")
    queued.close(10.0)
    assert queued.dropped == 1
