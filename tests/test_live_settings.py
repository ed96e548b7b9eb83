"""Settings that change while an entry runs."""

import os
import signal
import subprocess
import sys

import pytest

from dotterelpier.exit_status import ExitStatus
from dotterelpier.fleet import live_settings
from dotterelpier.fleet.live_settings import make_live_settings
from dotterelpier.fleet_settings import read_fleet_settings
from dotterelpier.kernel import make_kernel
from dotterelpier.protocols import ServiceName
from dotterelpier.services.tasks import make_tasks
from dotterelpier.settings import LimitSettings
from tests.utils import ROOT, wait_until

EXIT_TIMEOUT_S = 30.0

CONTENT = """
[entry]
name = "e-1"
zone = "a"
caller_address = "127.0.0.1:1"
readiness_address = "127.0.0.1:2"
directory_address = "127.0.0.1:3"
peer_address = "127.0.0.1:4"
metrics_address = "127.0.0.1:5"
first_start = true

[store]
address = "127.0.0.1:6"

[bounds]
grace_s = 6.0
probes_per_s = 60.0

[log]
level = "INFO"
"""


class RunningEntry:
    """The service under test, its file, and the log levels that were applied."""

    def __init__(self, path) -> None:
        self.path = path
        path.write_text(CONTENT)
        self.levels = []
        kernel = make_kernel()
        self.tasks = make_tasks(LimitSettings())
        kernel.register(ServiceName.TASKS, self.tasks)
        self.settings = make_live_settings(
            kernel, read_fleet_settings(path), path, self.levels.append
        )
        self.settings.start()

    def change(self, before: str, after: str) -> None:
        assert before in CONTENT
        self.path.write_text(CONTENT.replace(before, after))

    def stop(self) -> None:
        self.settings.stop()
        self.tasks.stop()


@pytest.fixture
def entry(tmp_path, monkeypatch):
    monkeypatch.setattr(live_settings, "CHECK_INTERVAL_S", 3600.0)
    running = RunningEntry(tmp_path / "entry.toml")
    yield running
    running.stop()


def test_changed_limits_and_log_level_are_applied(entry) -> None:
    entry.change("grace_s = 6.0", "grace_s = 9.0")
    entry.settings.reload_if_changed()
    assert entry.settings.bounds().grace_s == 9.0
    assert entry.levels == []
    entry.change('level = "INFO"', 'level = "DEBUG"')
    entry.settings.reload_if_changed()
    assert entry.levels == ["DEBUG"]
    assert entry.settings.bounds().grace_s == 6.0


@pytest.mark.parametrize(
    ("before", "after"),
    [
        ("grace_s = 6.0", "grace_s = -1"),
        ("grace_s = 6.0", "grace_s = 9.0\nunknown = 1"),
        ("grace_s = 6.0", "grace_s = "),
        (
            "[bounds]\ngrace_s = 6.0",
            '[bounds]\ngrace_s = 9.0\n[peers]\nseeds=["1.1.1.1:1"]',
        ),
        ('zone = "a"', 'zone = "b"'),
        (CONTENT, ""),
    ],
)
def test_settings_that_cannot_be_applied_change_nothing(entry, before, after) -> None:
    entry.change(before, after)
    entry.settings.reload_if_changed()
    assert entry.settings.bounds().grace_s == 6.0
    entry.change("grace_s = 6.0", "grace_s = 7.0")
    entry.settings.reload_if_changed()
    assert entry.settings.bounds().grace_s == 7.0


def test_end_of_the_first_start_needs_no_restart(entry) -> None:
    entry.change("first_start = true", "first_start = false")
    entry.settings.reload_if_changed()
    entry.change("first_start = true\n\n[store]", "first_start = false\n\n[store]")
    entry.path.write_text(
        entry.path.read_text().replace("probes_per_s = 60.0", "probes_per_s = 30.0")
    )
    entry.settings.reload_if_changed()
    assert entry.settings.bounds().probes_per_s == 30.0


def test_signal_makes_the_task_read_the_file(entry) -> None:
    entry.change("grace_s = 6.0", "grace_s = 8.0")
    entry.settings.request_reload()
    wait_until(lambda: entry.settings.bounds().grace_s == 8.0, "the file is read")


def test_change_without_a_signal_is_noticed(tmp_path, monkeypatch) -> None:
    monkeypatch.setattr(live_settings, "CHECK_INTERVAL_S", 0.01)
    entry = RunningEntry(tmp_path / "entry.toml")
    entry.change("grace_s = 6.0", "grace_s = 8.0")
    wait_until(lambda: entry.settings.bounds().grace_s == 8.0, "the file is read")
    entry.stop()


def test_change_before_the_start_is_noticed(tmp_path, monkeypatch) -> None:
    monkeypatch.setattr(live_settings, "CHECK_INTERVAL_S", 3600.0)
    path = tmp_path / "entry.toml"
    path.write_text(CONTENT)
    kernel = make_kernel()
    tasks = make_tasks(LimitSettings())
    kernel.register(ServiceName.TASKS, tasks)
    settings = make_live_settings(kernel, read_fleet_settings(path), path)
    path.write_text(CONTENT.replace("grace_s = 6.0", "grace_s = 9.0"))
    settings.start()
    wait_until(lambda: settings.bounds().grace_s == 9.0, "the change is applied")
    settings.stop()
    tasks.stop()


def test_reload_signal_before_the_handler_is_set_does_not_end_the_process(
    tmp_path,
) -> None:
    """The process waits for its settings, with all modules loaded but no handler."""
    path = tmp_path / "entry.toml"
    os.mkfifo(path)
    command = [sys.executable, "-m", "dotterelpier", "serve", "--settings", str(path)]
    process = subprocess.Popen(command, cwd=ROOT, stderr=subprocess.DEVNULL)
    # This returns once the process opens the file.
    with open(path, "w") as settings:
        process.send_signal(signal.SIGHUP)
        settings.write("not valid")
    assert process.wait(EXIT_TIMEOUT_S) == ExitStatus.SETTINGS_INVALID
