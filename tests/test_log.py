"""Tests of logs."""

import io
import json
import logging
from collections.abc import Iterator

import pytest
from loguru import logger

from dotterelpier.log import MAX_LINES_PER_PLACE, MAX_VALUE_CHARACTERS, configure_log


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
