"""Commands that run an entry of a fleet and check its settings."""

import os
from pathlib import Path

from dotterelpier.cli.environment import Environment
from dotterelpier.exit_status import ExitStatus
from dotterelpier.fleet_entry import run_fleet_entry
from dotterelpier.fleet_settings import read_fleet_settings
from dotterelpier.log import QueuedStream, configure_log

# Longest wait for the reader of the log at the end, in seconds.
LOG_FLUSH_TIMEOUT_S = 0.2


def run_serve_command(settings: Path, environment: Environment) -> ExitStatus:
    """Run an entry of a fleet until it is told to stop."""
    checked = read_fleet_settings(settings)
    log_stream = QueuedStream(environment.stdout)
    log_stream.start()
    configure_log(checked.log.level, log_stream)
    run_fleet_entry(checked)
    log_stream.close(LOG_FLUSH_TIMEOUT_S)
    # Threads that wait for a peer which is gone would hold the process at its end.
    os._exit(ExitStatus.OK)


def run_settings_check(settings: Path, environment: Environment) -> ExitStatus:
    """Check the settings of a fleet's entry."""
    checked = read_fleet_settings(settings)
    environment.show(f"{settings}: {checked.entry.name} in {checked.entry.zone}")
    return ExitStatus.OK
