"""Logs as JSON lines on standard error."""

import json
import sys
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from loguru import Message


def configure_log(level: str) -> None:
    """Write log records of this level and above as JSON lines."""
    logger.remove()
    logger.add(_write_json_line, level=level, format="{message}", catch=True)


def _write_json_line(message: "Message") -> None:
    record = message.record
    line: dict[str, object] = {
        "at": record["time"].timestamp(),
        "level": record["level"].name,
        "module": record["name"],
        "message": record["message"],
    }
    line.update(record["extra"])
    if record["exception"] is not None:
        line["exception"] = repr(record["exception"].value)
    sys.stderr.write(json.dumps(line, default=str) + "\n")
