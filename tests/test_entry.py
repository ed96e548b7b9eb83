"""Tests of errors when an entry starts."""

import socket

import pytest

from dotterelpier.exit_status import ExitStatus
from tests.utils import NET, entry_settings, run_command

HOST = f"127.{NET}.8.1"


@pytest.mark.parametrize("port", [8000, 8001, 8002, 8003])
def test_entry_exits_if_an_address_is_in_use(tmp_path, port: int) -> None:
    settings = tmp_path / "entry.toml"
    settings.write_text(entry_settings("entry-1", "tt-north-1", HOST))
    with socket.create_server((HOST, port)):
        finished = run_command("entry", "--settings", str(settings))
    assert finished.returncode == ExitStatus.SETTINGS_INVALID, finished.stderr
    assert f"listen at {HOST}:{port}" in finished.stderr.splitlines()[-1]


def test_settings_without_the_entry_table_are_rejected(tmp_path) -> None:
    settings = tmp_path / "entry.toml"
    settings.write_text('[platform]\naddress = "127.0.0.1:1"\n')
    finished = run_command("entry", "--settings", str(settings))
    assert finished.returncode == ExitStatus.SETTINGS_INVALID
    assert "entry: the table is missing" in finished.stderr
