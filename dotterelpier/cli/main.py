"""Runs commands and maps errors to exit statuses."""

import sys
from collections.abc import Sequence

import fire
from fire.core import FireExit

from dotterelpier.cli.commands import Commands
from dotterelpier.errors import (
    ConflictError,
    DotterelpierError,
    ManifestError,
    PeerUnavailableError,
    PlatformError,
    SettingsError,
)
from dotterelpier.exit_status import ExitStatus

STATUS_BY_ERROR: dict[type[DotterelpierError], ExitStatus] = {
    SettingsError: ExitStatus.SETTINGS_INVALID,
    ManifestError: ExitStatus.MANIFEST_INVALID,
    ConflictError: ExitStatus.CONFLICT,
    PlatformError: ExitStatus.PLATFORM_UNAVAILABLE,
    PeerUnavailableError: ExitStatus.ENTRY_UNAVAILABLE,
}


def run(arguments: Sequence[str]) -> ExitStatus:
    """Run one command.

    Parameters
    ----------
    arguments : sequence of str
        Arguments without the name of the program.

    Returns
    -------
    ExitStatus
        Status to exit with.
    """
    commands = Commands()
    try:
        fire.Fire(commands, list(arguments), name="dotterelpier", serialize=_silent)
    except FireExit as error:
        return ExitStatus.OK if error.code == 0 else ExitStatus.USAGE
    except ManifestError as error:
        for fault in error.faults:
            print(f"{error.peer}: {fault}", file=sys.stderr)
        return ExitStatus.MANIFEST_INVALID
    except DotterelpierError as error:
        print(f"dotterelpier: {error}", file=sys.stderr)
        return _status_of(error)
    return commands.status_


def _status_of(error: DotterelpierError) -> ExitStatus:
    for kind, status in STATUS_BY_ERROR.items():
        if isinstance(error, kind):
            return status
    return ExitStatus.FAILURE


def _silent(result: object) -> str | None:
    return None if result is None else str(result)
