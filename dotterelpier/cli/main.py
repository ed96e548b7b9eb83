"""Runs commands and maps errors to exit statuses."""

import contextlib
import io
import os
import sys
from collections.abc import Mapping, Sequence

import fire
from fire.core import FireExit

from dotterelpier.cli.commands import Commands
from dotterelpier.cli.environment import Environment, make_environment
from dotterelpier.cli.invocation import Invocation
from dotterelpier.errors import (
    ConflictError,
    DotterelpierError,
    ManifestError,
    PeerUnavailableError,
    PlatformError,
    SettingsError,
    UsageError,
)
from dotterelpier.exit_status import MEANING_BY_STATUS, ExitStatus

PROGRAM = "dotterelpier"

# Fire takes "-" as the end of a command; "-" here names standard input.
FIRE_FLAGS = ("--", "--separator", "(none)")

UNKNOWN_ARGUMENT = "Could not consume arg: "

# Fire lists its own marks on the commands as if they were a group.
REPLACEMENT_BY_FIRE_TEXT: Mapping[str, str] = {
    "\n\nGROUPS\n    GROUP is one of the following:\n\n     FIRE_METADATA": "",
    "GROUP | FILE": "FILE",
    "GROUP | <flags>": "<flags>",
    " GROUP | (none)": "",
}

STATUS_BY_ERROR: Mapping[type[DotterelpierError], ExitStatus] = {
    UsageError: ExitStatus.USAGE,
    SettingsError: ExitStatus.SETTINGS_INVALID,
    ManifestError: ExitStatus.MANIFEST_INVALID,
    ConflictError: ExitStatus.CONFLICT,
    PlatformError: ExitStatus.PLATFORM_UNAVAILABLE,
    PeerUnavailableError: ExitStatus.ENTRY_UNAVAILABLE,
}


def run(arguments: Sequence[str], environment: Environment | None = None) -> ExitStatus:
    """Run one command.

    Parameters
    ----------
    arguments : sequence of str
        Arguments without the name of the program.
    environment : Environment, default=None
        Surroundings; those of this process by default.

    Returns
    -------
    ExitStatus
        Status to exit with.
    """
    environment = environment or make_environment()
    try:
        status = _run(arguments, environment)
        environment.stdout.flush()
        return status
    except BrokenPipeError:
        _discard_output(environment)
        return ExitStatus.OUTPUT_CLOSED
    except KeyboardInterrupt:
        environment.report(f"{PROGRAM}: interrupted")
        return ExitStatus.INTERRUPTED


def _run(arguments: Sequence[str], environment: Environment) -> ExitStatus:
    try:
        invocation = parse(arguments, environment)
        if isinstance(invocation, ExitStatus):
            return invocation
        return invocation.run(environment)
    except ManifestError as error:
        for fault in error.faults:
            environment.report(f"{error.peer}: {fault}")
        return ExitStatus.MANIFEST_INVALID
    except DotterelpierError as error:
        environment.report(f"{PROGRAM}: {error}")
        return _status_of(error)
    except BrokenPipeError:
        raise
    except Exception as error:
        environment.report(f"{PROGRAM}: {type(error).__name__}: {error}")
        return ExitStatus.FAILURE


def parse(
    arguments: Sequence[str], environment: Environment
) -> Invocation | ExitStatus:
    """Return what a line asks for, or the status if it asked for help or is wrong."""
    fire_output = io.StringIO()
    line = [*arguments, *FIRE_FLAGS]
    try:
        with contextlib.redirect_stderr(fire_output):
            result = fire.Fire(Commands(), line, PROGRAM, serialize=_serialize_nothing)
    except FireExit as error:
        if error.code != 0:
            return _report_usage(_usage_message(error), environment)
        environment.show(_help_text(fire_output.getvalue()))
        return ExitStatus.OK
    if isinstance(result, Invocation):
        return result
    return _report_usage("a command is missing", environment)


def _report_usage(message: str, environment: Environment) -> ExitStatus:
    environment.report(f"{PROGRAM}: {message}; see '{PROGRAM} --help'")
    return ExitStatus.USAGE


def _usage_message(error: FireExit) -> str:
    message = str(error.trace.elements[-1].ErrorAsStr())
    if message.startswith(UNKNOWN_ARGUMENT):
        return f"{message.removeprefix(UNKNOWN_ARGUMENT)!r} is not understood here"
    return message


def _help_text(text: str) -> str:
    _, _, help_text = text.partition("NAME\n")
    help_text, _, _ = help_text.partition("\nNOTES\n")
    for fire_text, replacement in REPLACEMENT_BY_FIRE_TEXT.items():
        help_text = help_text.replace(fire_text, replacement)
    statuses = "\n".join(
        f"    {status.value:<4} {meaning}"
        for status, meaning in MEANING_BY_STATUS.items()
    )
    return f"NAME\n{help_text.rstrip()}\n\nEXIT STATUSES\n{statuses}"


def _status_of(error: DotterelpierError) -> ExitStatus:
    for kind, status in STATUS_BY_ERROR.items():
        if isinstance(error, kind):
            return status
    return ExitStatus.FAILURE


def _serialize_nothing(result: object) -> None:
    return None


def _discard_output(environment: Environment) -> None:
    # The interpreter flushes standard output once more at exit.
    if environment.stdout is sys.stdout:
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
