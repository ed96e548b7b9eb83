"""Command that shows the version."""

from dotterelpier import __version__
from dotterelpier.cli.environment import Environment
from dotterelpier.exit_status import ExitStatus


def run_version(environment: Environment) -> ExitStatus:
    """Print the version of this package."""
    environment.show(__version__)
    return ExitStatus.OK
