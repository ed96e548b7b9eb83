"""Parsed commands that run later."""

from collections.abc import Callable
from importlib import import_module
from typing import Any

from attrs import frozen

from dotterelpier.cli.environment import Environment
from dotterelpier.exit_status import ExitStatus


@frozen
class Invocation:
    """Command with checked arguments that has not run yet.

    The command runs only after the whole command line was parsed, so that a mistyped
    flag never runs part of a command.

    Attributes
    ----------
    run : callable
        Runs the command in an environment and returns its exit status.
    """

    run: Callable[[Environment], ExitStatus]

    def __dir__(self) -> list[str]:
        # Fire would accept the names of members as further arguments.
        return []


def invocation(function: str, *arguments: Any) -> Invocation:
    """Return an invocation of ``module.function`` of this package.

    The module is imported only when the command runs: most commands need few modules,
    and clients wait while an entry restarts.
    """

    def run(environment: Environment) -> ExitStatus:
        module, _, name = function.partition(".")
        command = getattr(import_module(f"dotterelpier.cli.{module}"), name)
        status: ExitStatus = command(*arguments, environment)
        return status

    return Invocation(run)
