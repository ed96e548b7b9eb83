"""The decisions on a request, found in saved logs."""

import io
import json

import pytest

from dotterelpier.cli.environment import Environment
from dotterelpier.cli.main import run
from dotterelpier.exit_status import ExitStatus
from tests.fakes import ManualClock


def log_line(at: float, message: str, **fields) -> str:
    return json.dumps({"at": at, "level": "INFO", "message": message, **fields})


LOG = "\n".join(
    (
        "  1.0000 entry-1 " + log_line(101.0, "attempt sent", request="r", peer="i-1"),
        "not a line of ours",
        "  0.5000 entry-1 " + log_line(100.5, "backend server checked", peer="i-1"),
        "  0.6000 entry-1 " + log_line(100.6, "backend server checked", peer="i-2"),
        "  0.7000 entry-2 " + log_line(100.7, "backend server checked", peer="i-1"),
        "  0.1000 entry-1 " + log_line(10.0, "backend server checked", peer="i-1"),
        "  1.2000 entry-1 " + log_line(101.2, "request failed", request="r", code="x"),
        '{"at": "broken"',
    )
)


@pytest.fixture
def environment() -> Environment:
    streams = (io.StringIO(), io.StringIO(), io.StringIO())
    return Environment(*streams, ManualClock(), "user", "host")


@pytest.fixture
def log(tmp_path):
    path = tmp_path / "entry.log"
    path.write_text(LOG)
    return str(path)


def test_decisions_are_ordered_and_include_lines_about_their_servers(
    environment, log
) -> None:
    assert run(["explain", "r", log], environment) is ExitStatus.OK
    rows = environment.stdout.getvalue().splitlines()
    assert [row.split("ms")[0].strip() for row in rows] == ["-500.0", "+0.0", "+200.0"]
    assert "backend server checked: peer=i-1" in rows[0]


def test_explain_writes_json_lines(environment, log) -> None:
    assert run(["explain", "r", log, "--json"], environment) is ExitStatus.OK
    rows = [json.loads(row) for row in environment.stdout.getvalue().splitlines()]
    assert rows[1]["source"] == "entry-1"
    assert rows[2]["code"] == "x"


def test_unknown_request_and_missing_log_are_reported(environment, log) -> None:
    assert run(["explain", "other", log], environment) is ExitStatus.FAILURE
    assert run(["explain", "r", log + ".gone"], environment) is ExitStatus.USAGE
    assert run(["explain", "r"], environment) is ExitStatus.USAGE
    assert "no line about request 'other'" in environment.stderr.getvalue()
