"""Tests of logs."""

import io
import json
import logging
import threading
from collections.abc import Iterator

import pytest
from loguru import logger

from dotterelpier.log import (
    MAX_LINES_PER_PLACE,
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


def test_line_carries_its_context(stream) -> None:
    logger.warning("call failed", call="7", step="calls.wait", peer="p", revision=3)
    (line,) = _lines(stream)
    assert line["message"] == "call failed"
    assert (line["level"], line["call"], line["revision"]) == ("WARNING", "7", 3)
    assert (line["step"], line["peer"]) == ("calls.wait", "p")


def test_level_is_respected(stream) -> None:
    logger.debug("hidden")
    assert _lines(stream) == []


def test_exception_is_one_line(stream) -> None:
    try:
        raise RuntimeError("a\nb")
    except RuntimeError:
        logger.exception("task failed")
    (line,) = _lines(stream)
    assert line["exception"] == "RuntimeError('a\\nb')"


def test_storm_from_one_place_is_bounded_and_counted(stream, monkeypatch) -> None:
    now = 100.0
    monkeypatch.setattr("dotterelpier.log.time.monotonic", lambda: now)
    for number in range(10_000):
        if number == 9_999:
            now += 1.0
        logger.warning("call failed", call=str(number))
    logger.warning("another place")
    lines = _lines(stream)
    assert len(lines) == MAX_LINES_PER_PLACE + 2
    assert lines[-2]["suppressed"] == 9_999 - MAX_LINES_PER_PLACE
    assert lines[-1]["message"] == "another place"


def test_long_values_are_cut(stream) -> None:
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


def test_full_pipe_blocks_nobody_and_what_is_lost_is_counted() -> None:
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
    lost = [json.loads(line) for line in pipe.getvalue().splitlines() if line != "x"]
    assert sum(line["count"] for line in lost) == queued.dropped
    assert pipe.getvalue().count("x\n") == MAX_QUEUED_LINES + 100 - queued.dropped


def test_reader_that_went_away_ends_nothing() -> None:
    class Closed(io.StringIO):
        def write(self, text: str) -> int:
            raise BrokenPipeError

    queued = QueuedStream(Closed())
    queued.start()
    queued.write("x\n")
    queued.close(10.0)
    assert queued.dropped == 1
