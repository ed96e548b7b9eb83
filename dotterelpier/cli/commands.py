"""The commands of the command line."""

import getpass
import http.client
import json
import socket
import sys
import uuid
from pathlib import Path

from dotterelpier import __version__
from dotterelpier.clients.http_connection import open_connection
from dotterelpier.clients.platform import PlatformClient, make_platform_client
from dotterelpier.entry import run_entry
from dotterelpier.errors import PeerUnavailableError, SettingsError
from dotterelpier.exit_status import ExitStatus
from dotterelpier.log import configure_log
from dotterelpier.manifest_apply import (
    Applicant,
    AppliedManifest,
    apply_manifest,
    current_manifest,
    wait_for_acknowledgements,
)
from dotterelpier.model.audit import AuditEntry
from dotterelpier.services.clock import make_clock
from dotterelpier.settings import Settings, read_settings
from dotterelpier.wire.manifest_toml import read_manifest
from dotterelpier.wire.rows import AUDIT_PREFIX, decode_row

DEFAULT_SETTINGS = "dotterelpier.toml"
STATUS_TIMEOUT_S = 2.0


class Commands:
    """Load balancer for servers whose load shifts in milliseconds."""

    def __init__(self) -> None:
        self.status_ = ExitStatus.OK
        self.manifest = ManifestCommands(self)

    def __dir__(self) -> list[str]:
        return ["entry", "manifest", "status", "audit", "version"]

    def entry(self, settings: str = DEFAULT_SETTINGS) -> None:
        """Run an entry until SIGTERM, then stop it without cutting a call."""
        checked = read_settings(Path(str(settings)))
        configure_log(checked.log.level)
        run_entry(checked)

    def status(self, settings: str = DEFAULT_SETTINGS) -> None:
        """Show the status of the entry that the settings describe, as JSON."""
        checked = read_settings(Path(str(settings)))
        if checked.entry is None:
            raise SettingsError("entry: the table is missing", step="status")
        print(_fetch_status(checked.entry.operator_address))

    def audit(self, settings: str = DEFAULT_SETTINGS) -> None:
        """Show the audit trail as JSON lines, the oldest entry first."""
        platform = _platform(read_settings(Path(str(settings))))
        for row in platform.scan(AUDIT_PREFIX):
            decode_row(row, AuditEntry)
            print(row.value.decode())

    def version(self) -> None:
        """Show the version."""
        print(__version__)


class ManifestCommands:
    """Check, apply and show manifests."""

    def __init__(self, commands: Commands) -> None:
        self._commands = commands

    def check(self, file: str) -> None:
        """Check a manifest without the platform and name every fault."""
        read_manifest(_read_text(str(file)), str(file))
        print(f"{file}: no faults")

    def apply(
        self, file: str, settings: str = DEFAULT_SETTINGS, wait_s: float = 12.0
    ) -> None:
        """Apply a manifest and wait until a majority of entries acknowledged it."""
        checked = read_settings(Path(str(settings)))
        platform = _platform(checked)
        text = _read_text(str(file))
        read_manifest(text, str(file))
        applicant = Applicant(getpass.getuser(), socket.gethostname(), uuid.uuid4().hex)
        clock = make_clock()
        applied = apply_manifest(platform, platform, clock, text, applicant)
        applied = wait_for_acknowledgements(
            platform, clock, applied, float(wait_s), _show_progress
        )
        print(f"revision {applied.number}: {_acknowledged(applied)}")
        if not applied.in_force:
            self._commands.status_ = ExitStatus.NOT_ACKNOWLEDGED

    def show(self, settings: str = DEFAULT_SETTINGS) -> None:
        """Show the accepted manifest."""
        platform = _platform(read_settings(Path(str(settings))))
        revision = current_manifest(platform, platform)
        if revision is None:
            print("no manifest was accepted yet", file=sys.stderr)
            return
        print(f"# revision {revision.number}, digest {revision.digest}")
        print(revision.text)


def _platform(settings: Settings) -> PlatformClient:
    return make_platform_client(settings.platform, make_clock())


def _read_text(file: str) -> str:
    try:
        return Path(file).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(str(error), step="manifest.read", peer=file) from None


def _acknowledged(applied: AppliedManifest) -> str:
    state = "in force" if applied.in_force else "written"
    return f"{state}, {applied.acknowledged} of {applied.members} acknowledged"


def _show_progress(applied: AppliedManifest) -> None:
    print(f"revision {applied.number}: {_acknowledged(applied)}", file=sys.stderr)


def _fetch_status(address: str) -> str:
    try:
        connection = open_connection(address, STATUS_TIMEOUT_S)
        connection.request("GET", "/v1/status")
        content = connection.getresponse().read()
        connection.close()
        return json.dumps(json.loads(content), indent=2)
    except (OSError, ValueError, http.client.HTTPException) as error:
        raise PeerUnavailableError(repr(error), step="status", peer=address) from None
