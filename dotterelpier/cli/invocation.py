"""A command with its arguments, checked but not yet run."""

from collections.abc import Callable
from importlib import import_module
from typing import Any

from attrs import frozen

from dotterelpier.cli.environment import Environment
from dotterelpier.exit_status import ExitStatus


@frozen
class Invocation:
    """What the command line asks for.

    The command runs only once the whole line was understood, so that a mistyped
    flag never runs half of what was meant.

    Attributes
    ----------
    run : callable
        Runs the command in an environment and returns its exit status.
    """

    run: Callable[[Environment], ExitStatus]

    def __dir__(self) -> list[str]:
        # Fire takes further arguments as names of members.
        return []


def invocation(function: str, *arguments: Any) -> Invocation:
    """Return an invocation of ``module.function`` of this package.

    The module is imported when the command runs: most commands need little of the
    program, and an entry that starts again has clients waiting for it.
    """

    def run(environment: Environment) -> ExitStatus:
        module, _, name = function.partition(".")
        command = getattr(import_module(f"dotterelpier.cli.{module}"), name)
        status: ExitStatus = command(*arguments, environment)
        return status

    return Invocation(run)
