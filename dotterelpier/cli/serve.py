"""Commands that run a fleet entry and check its settings."""

import os
from pathlib import Path

from dotterelpier.cli.environment import Environment
from dotterelpier.exit_status import ExitStatus
from dotterelpier.fleet_entry import run_fleet_entry
from dotterelpier.fleet_settings import read_fleet_settings
from dotterelpier.log import QueuedStream, configure_log

# Maximum wait at exit until the queued log lines are written, in seconds.
LOG_FLUSH_TIMEOUT_S = 0.2


def run_serve_command(settings: Path, environment: Environment) -> ExitStatus:
    """Run a fleet entry until SIGTERM or SIGINT; log to standard output.

    The settings are read again on SIGHUP and when their file changes.

    Ends the process instead of returning.

    Raises
    ------
    SettingsError
        If the settings are not valid or an address cannot be listened on.
    """
    checked = read_fleet_settings(settings)
    log_stream = QueuedStream(environment.stdout)
    log_stream.start()
    configure_log(checked.log.level, log_stream)
    run_fleet_entry(checked, settings, lambda level: configure_log(level, log_stream))
    log_stream.close(LOG_FLUSH_TIMEOUT_S)
    # A normal exit joins all threads; one that waits for a failed peer would delay it.
    os._exit(ExitStatus.OK)


def run_settings_check(settings: Path, environment: Environment) -> ExitStatus:
    """Check a settings file and print the entry's name and zone.

    Raises
    ------
    SettingsError
        If the settings are not valid.
    """
    checked = read_fleet_settings(settings)
    environment.show(f"{settings}: {checked.entry.name} in {checked.entry.zone}")
    return ExitStatus.OK
