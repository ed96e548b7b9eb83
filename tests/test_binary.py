"""Tests of the one-file program."""

import os
import signal
import subprocess
from pathlib import Path

import pytest

from scripts.build_binary import build
from tests.utils import NET, entry_settings, request_json, wait_until

ENTRY_HOST = f"127.{NET}.5.1"


@pytest.fixture(scope="module")
def binary(tmp_path_factory) -> Path:
    file = tmp_path_factory.mktemp("dist") / "dotterelpier"
    build(file)
    return file


@pytest.fixture
def process_environment(tmp_path) -> dict[str, str]:
    return {"PATH": os.environ["PATH"], "SHIV_ROOT": str(tmp_path / "unpacked")}


def test_version_works_in_a_folder_without_the_repository(
    binary, tmp_path, process_environment
) -> None:
    completed = subprocess.run(
        [str(binary), "version"],
        cwd=tmp_path,
        env=process_environment,
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert (completed.stdout, completed.returncode) == ("0.1.0\n", 0), completed.stderr


def test_running_entry_has_no_child_process(
    binary, tmp_path, process_environment
) -> None:
    settings = tmp_path / "entry.toml"
    settings.write_text(entry_settings("entry-1", "tt-north-1", ENTRY_HOST))
    entry = subprocess.Popen(
        [str(binary), "entry", "--settings", str(settings)],
        cwd=tmp_path,
        env=process_environment,
        stderr=subprocess.DEVNULL,
    )
    try:
        address = f"{ENTRY_HOST}:8003"
        wait_until(lambda: request_json(address, "/v1/status")["id"], "status page")
        assert _children(entry.pid) == ""
        entry.send_signal(signal.SIGTERM)
        assert entry.wait(60) == 0
    finally:
        entry.kill()
        entry.wait()


def _children(process_id: int) -> str:
    tasks = Path(f"/proc/{process_id}/task").iterdir()
    return "".join((task / "children").read_text() for task in tasks)
