"""Tests of the commands, their help, errors and exit statuses."""

import io
import json
import os
import re
import subprocess
import sys
from pathlib import Path

import pytest

from dotterelpier.cli import manifest as manifest_commands
from dotterelpier.cli.audit import AuditFilter
from dotterelpier.cli.environment import Environment
from dotterelpier.cli.main import run
from dotterelpier.exit_status import MEANING_BY_STATUS, ExitStatus
from dotterelpier.manifest_apply import AppliedManifest
from dotterelpier.model.audit import AuditEntry
from dotterelpier.model.membership import Member
from dotterelpier.services.audit import entry_write
from dotterelpier.wire.rows import encode_row, member_key
from tests.conftest import CARONI
from tests.fakes import ManualClock, MemoryPlatform, Write
from tests.utils import ROOT

COMMANDS = ["entry", "status", "audit", "version"]
COMMANDS += ["config check", "settings check"]
COMMANDS += [f"manifest {name}" for name in ("check", "apply", "show")]


@pytest.fixture
def environment() -> Environment:
    streams = (io.StringIO(CARONI.read_text()), io.StringIO(), io.StringIO())
    return Environment(*streams, ManualClock(), "builder", "build-1")


@pytest.fixture
def settings(tmp_path: Path) -> Path:
    file = tmp_path / "ops.toml"
    file.write_text('[platform]\naddress = "127.0.0.1:1"\n')
    return file


@pytest.fixture
def platform(monkeypatch) -> MemoryPlatform:
    fake = MemoryPlatform(ManualClock())
    for module in ("manifest", "audit"):
        name = f"dotterelpier.cli.{module}.open_platform"
        monkeypatch.setattr(name, lambda settings, environment: fake)
    return fake


def _add_member(platform: MemoryPlatform, revision: int) -> None:
    member = Member(f"entry-{revision}", "z", "", "", "", revision=revision)
    platform.commit([Write(member_key(member.id), encode_row(member))])


def _run(environment: Environment, *arguments: str) -> tuple[ExitStatus, str, str]:
    status = run(arguments, environment)
    return status, environment.stdout.getvalue(), environment.stderr.getvalue()


@pytest.mark.parametrize("command", COMMANDS)
def test_help_names_every_flag_and_exit_status(environment, command) -> None:
    status, output, errors = _run(environment, *command.split(), "--help")
    assert status is ExitStatus.OK
    assert errors == ""
    assert f"dotterelpier {command} - " in output
    assert not re.search("FIRE|GROUP", output)
    described = re.findall(r"--(\w+)=\w+\n(?: +(?:Type|Default):.*\n)* +(\S+)", output)
    assert all(text not in ("Type:", "Default:") for _, text in described)
    assert all(meaning in output for meaning in MEANING_BY_STATUS.values())


@pytest.mark.parametrize(
    "line",
    [
        "",
        "manifest",
        "versoin",
        "version --loud",
        "version extra",
        "status extra",
        "status --address nowhere",
        "status --json file",
        "audit --since yesterday",
        "manifest check",
        "config check",
        "config check x --against",
        "config check x --json y",
        "manifest apply x --wait_s soon",
        "manifest apply x --wait_s nan",
        "manifest apply x --wait_s -1",
        "manifest apply x --settings",
        "version -- --interactive",
        "version run",
    ],
)
def test_invalid_command_line_is_rejected_before_anything_runs(
    environment, line
) -> None:
    status, output, errors = _run(environment, *line.split())
    assert status is ExitStatus.USAGE
    assert output == ""
    assert errors.startswith("dotterelpier: ")
    assert errors.count("\n") == 1


def test_file_name_that_looks_like_a_number_is_accepted(
    environment, tmp_path, monkeypatch
) -> None:
    monkeypatch.chdir(tmp_path)
    Path("3").write_text(CARONI.read_text())
    assert _run(environment, "manifest", "check", "3")[0] is ExitStatus.OK


def test_check_reports_all_faults_at_once(environment, tmp_path) -> None:
    file = tmp_path / "bad.toml"
    text = CARONI.read_text().replace('state = "in"', 'state = "off"', 1)
    text = text.replace("slots = 4", "slots = 0", 1)
    file.write_text(text.replace("cold_slots = 1", "cold_slots = 0", 1))
    status, _, errors = _run(environment, "manifest", "check", str(file))
    assert status is ExitStatus.MANIFEST_INVALID
    assert f"{file}: zones[0].state:" in errors
    assert f"{file}: backend_servers[0].slots: must be >= 1" in errors
    assert f"{file}: backend_servers[0].cold_slots: must be >= 1" in errors


def test_apply_reads_standard_input_and_keeps_the_apply_id(
    environment, platform, settings
) -> None:
    _add_member(platform, 1)
    line = f"manifest apply - --apply-id build-7 --json --settings {settings}"
    status, output, errors = _run(environment, *line.split())
    assert status is ExitStatus.OK, errors
    result = json.loads(output)
    assert (result["apply_id"], result["in_force"]) == ("build-7", True)
    assert "revision 1: in force, 1 of 1 acknowledged" in errors
    assert json.loads(platform.scan("audit/")[0].value)["who"] == "builder"


def test_apply_without_acknowledgements_has_its_own_exit_status(
    environment, platform, settings
) -> None:
    _add_member(platform, 0)
    line = f"manifest apply - --wait_s 0 --settings {settings}"
    status, output, _ = _run(environment, *line.split())
    assert status is ExitStatus.NOT_ACKNOWLEDGED
    assert "revision 1: written, 0 of 1 acknowledged" in output


def test_rejected_manifest_is_recorded_in_the_audit_trail(
    environment, platform, settings, tmp_path
) -> None:
    file = tmp_path / "bad.toml"
    file.write_text("tenant = 3\n")
    line = f"manifest apply {file} --settings {settings}"
    status, _, errors = _run(environment, *line.split())
    assert status is ExitStatus.MANIFEST_INVALID
    assert f"{file}: tenant: expected str, got 3" in errors
    (row,) = platform.scan("audit/")
    assert json.loads(row.value)["outcome"] == "refused"


def test_platform_outage_has_its_own_exit_status(
    environment, platform, settings
) -> None:
    platform.down = True
    line = f"manifest apply - --settings {settings}"
    assert _run(environment, *line.split())[0] is ExitStatus.PLATFORM_UNAVAILABLE


def test_interrupted_wait_prints_no_traceback(
    environment, platform, settings, monkeypatch
) -> None:
    def interrupt(*arguments: object) -> AppliedManifest:
        raise KeyboardInterrupt

    monkeypatch.setattr(manifest_commands, "wait_for_acknowledgements", interrupt)
    line = f"manifest apply - --settings {settings}"
    status, _, errors = _run(environment, *line.split())
    assert status is ExitStatus.INTERRUPTED
    assert "interrupted" in errors


def test_unexpected_error_is_reported_on_one_line(
    environment, platform, settings
) -> None:
    platform.table = None  # type: ignore[assignment]
    status, _, errors = _run(environment, "audit", "--settings", str(settings))
    assert status is ExitStatus.FAILURE
    assert errors.count("\n") == 1


def test_closed_output_prints_no_traceback() -> None:
    reader, writer = os.pipe()
    os.close(reader)
    completed = subprocess.run(
        [sys.executable, "-m", "dotterelpier", "--help"],
        cwd=ROOT,
        stdout=writer,
        stderr=subprocess.PIPE,
        timeout=60,
    )
    os.close(writer)
    assert completed.returncode == ExitStatus.OUTPUT_CLOSED
    assert completed.stderr == b""


def test_audit_trail_is_filtered_and_formatted_as_text(
    environment, platform, settings
) -> None:
    change = "zones[0].state: 'in' -> 'out'"
    for at, event in ((100.0, "manifest.apply"), (200.0, "home.moved")):
        changes = (change,) if event == "manifest.apply" else ()
        entry = AuditEntry(at, event, "builder", "build-1", changes=changes)
        platform.commit([entry_write(entry)])
    line = f"audit --until 1970-01-01T00:02:00 --settings {settings}"
    status, output, _ = _run(environment, *line.split())
    assert status is ExitStatus.OK
    assert "1970-01-01T00:01:40.000+00:00  manifest.apply  done  by builder" in output
    assert f"    {change}" in output
    assert "home.moved" not in output


def test_audit_filter_applies_every_criterion() -> None:
    entry = AuditEntry(5.0, "manifest.apply", "x", changes=("zones[0].state: a",))
    assert AuditFilter(5.0, 6.0, "zones", "manifest").matches(entry)
    assert not AuditFilter(until=5.0).matches(entry)
    assert not AuditFilter(since=5.1).matches(entry)
    assert not AuditFilter(key="services").matches(entry)
    assert not AuditFilter(event="home").matches(entry)
