"""Exit statuses of the command line."""

from enum import IntEnum


class ExitStatus(IntEnum):
    """Exit status of a ``dotterelpier`` command."""

    OK = 0
    FAILURE = 1
    USAGE = 2
    SETTINGS_INVALID = 3
    MANIFEST_INVALID = 4
    CONFLICT = 5
    NOT_ACKNOWLEDGED = 6
    PLATFORM_UNAVAILABLE = 7
    ENTRY_UNAVAILABLE = 8
