"""Reads recorded traces, each with its expected outcomes."""

import json
from pathlib import Path
from typing import Any

import pytest

TRACES = Path(__file__).resolve().parent / "traces"


def trace_parameters(name: str) -> list[Any]:
    """Return the traces of a file as test parameters, marked with their promises."""
    parameters = []
    for line in (TRACES / name).read_text(encoding="utf-8").splitlines():
        trace = json.loads(line)
        mark = pytest.mark.promise(trace["promise"])
        parameters.append(pytest.param(trace, marks=mark, id=trace["name"]))
    return parameters
