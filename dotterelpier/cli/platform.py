"""Platform client of the commands."""

from pathlib import Path

from dotterelpier.cli.environment import Environment
from dotterelpier.clients.platform import PlatformClient, make_platform_client
from dotterelpier.settings import read_settings


def open_platform(settings: Path, environment: Environment) -> PlatformClient:
    """Return a client for the platform address of a settings file.

    Raises
    ------
    SettingsError
        If the settings file is not valid.
    """
    return make_platform_client(read_settings(settings).platform, environment.clock)
