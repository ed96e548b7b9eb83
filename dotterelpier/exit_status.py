"""Exit statuses of the command line."""

from collections.abc import Mapping
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
    INTERRUPTED = 130
    OUTPUT_CLOSED = 141


MEANING_BY_STATUS: Mapping[ExitStatus, str] = {
    ExitStatus.OK: "success; for 'manifest apply', the manifest is in force",
    ExitStatus.FAILURE: "an error without an exit status of its own",
    ExitStatus.USAGE: "the command line is invalid",
    ExitStatus.SETTINGS_INVALID: "the settings file is missing or invalid",
    ExitStatus.MANIFEST_INVALID: "the manifest or configuration is missing or invalid",
    ExitStatus.CONFLICT: "another manifest was accepted at the same time",
    ExitStatus.NOT_ACKNOWLEDGED: "written, but not yet acknowledged by a majority",
    ExitStatus.PLATFORM_UNAVAILABLE: "the platform did not answer",
    ExitStatus.ENTRY_UNAVAILABLE: "an entry did not answer",
    ExitStatus.INTERRUPTED: "interrupted from the keyboard",
    ExitStatus.OUTPUT_CLOSED: "the output was closed by its reader",
}
