"""Command that runs an entry."""

from pathlib import Path

from dotterelpier.cli.environment import Environment
from dotterelpier.entry import run_entry
from dotterelpier.exit_status import ExitStatus
from dotterelpier.log import configure_log
from dotterelpier.settings import read_settings


def run_entry_command(settings: Path, environment: Environment) -> ExitStatus:
    """Run an entry in this thread until SIGTERM or SIGINT; log to standard error.

    Raises
    ------
    SettingsError
        If the settings are not valid or an address cannot be listened on.
    """
    checked = read_settings(settings)
    configure_log(checked.log.level, environment.stderr)
    run_entry(checked)
    return ExitStatus.OK
