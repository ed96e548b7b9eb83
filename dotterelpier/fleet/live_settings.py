"""Settings in force, which follow their file without a restart."""

import threading
from collections.abc import Callable
from pathlib import Path

from attrs import asdict, define, field
from loguru import logger

from dotterelpier.errors import SettingsError
from dotterelpier.fleet_settings import (
    BoundSettings,
    FleetSettings,
    read_fleet_settings,
)
from dotterelpier.kernel import Kernel
from dotterelpier.protocols import ServiceName, TaskKind, Tasks
from dotterelpier.protocols.fleet import LiveSettings

STEP = "settings.reload"
# The file may change without a signal.
CHECK_INTERVAL_S = 2.0
# Tables of which a change needs a restart, as sockets and names depend on them.
FIXED_TABLES = ("entry", "store", "peers", "limits")
# Tells about the start only.
IGNORED_KEYS = frozenset({"entry.first_start"})


@define
class FollowedSettings:
    """Task that reads the settings file again after a signal or a change.

    Settings are applied as a whole or, if any of them is invalid or needs a restart,
    not at all.
    """

    _path: Path | None
    _settings: FleetSettings
    _tasks: Tasks
    _apply_log_level: Callable[[str], None]
    _content: bytes = b""
    _wanted: threading.Event = field(factory=threading.Event)
    _stopped: bool = False

    def start(self) -> None:
        """Start the task, which reads the file at once; without one it is not needed.

        The file may have changed since the settings to start with were read.
        """
        if self._path is not None:
            self._wanted.set()
            self._tasks.supervise(TaskKind.CONTROL, self._serve)

    def stop(self) -> None:
        """End the task."""
        self._stopped = True
        self._wanted.set()

    def bounds(self) -> BoundSettings:
        """Return the limits in force."""
        return self._settings.bounds

    def request_reload(self) -> None:
        """Read the file again, also if it is unchanged; safe in a signal handler."""
        self._content = b""
        self._wanted.set()

    def _serve(self) -> None:
        while not self._stopped:
            self._wanted.wait(CHECK_INTERVAL_S)
            self._wanted.clear()
            self.reload_if_changed()

    def reload_if_changed(self) -> None:
        """Apply the settings file if its content changed."""
        assert self._path is not None
        content = _read(self._path)
        if content == self._content or self._stopped:
            return
        self._content = content
        try:
            settings = read_fleet_settings(self._path)
        except SettingsError as error:
            logger.error(
                "settings rejected; keeping those in force",
                step=STEP,
                error=error.message,
            )
            return
        self._apply(settings)

    def _apply(self, settings: FleetSettings) -> None:
        changes = _changes(self._settings, settings)
        fixed = [key for key in changes if key.partition(".")[0] in FIXED_TABLES]
        if fixed:
            logger.error(
                "settings rejected; these keys need a restart",
                step=STEP,
                keys=fixed,
            )
            return
        self._settings = settings
        if "log.level" in changes:
            self._apply_log_level(settings.log.level)
        logger.info("settings in force", step=STEP, changes=changes)


def _read(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError:
        # Reading it as settings reports the error.
        return b""


def _changes(before: FleetSettings, after: FleetSettings) -> dict[str, str]:
    """Return the old and new value of each changed key, by the key."""
    old, new = asdict(before), asdict(after)
    return {
        f"{table}.{name}": f"{old[table][name]} to {value}"
        for table, values in new.items()
        for name, value in values.items()
        if old[table][name] != value and f"{table}.{name}" not in IGNORED_KEYS
    }


def make_live_settings(
    kernel: Kernel,
    settings: FleetSettings,
    path: Path | None = None,
    apply_log_level: Callable[[str], None] = lambda level: None,
) -> LiveSettings:
    """Return the settings in force, which follow the file at ``path`` if there is one.

    ``apply_log_level`` is called with the level of changed settings.
    """
    tasks = kernel.find(ServiceName.TASKS, Tasks)
    return FollowedSettings(path, settings, tasks, apply_log_level)
