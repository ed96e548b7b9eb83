"""Commands that check, apply and show manifests."""

import json
from pathlib import Path

from dotterelpier.cli.environment import Environment
from dotterelpier.cli.platform import open_platform
from dotterelpier.errors import ManifestError
from dotterelpier.exit_status import ExitStatus
from dotterelpier.manifest_apply import (
    AppliedManifest,
    ApplyContext,
    apply_manifest,
    current_manifest,
    wait_for_acknowledgements,
)
from dotterelpier.wire.manifest_toml import MAX_MANIFEST_BYTES, read_manifest

STANDARD_INPUT = "-"


def run_check(file: str, environment: Environment) -> ExitStatus:
    """Check a manifest offline.

    Raises
    ------
    ManifestError
        If it cannot be read or is not valid.
    """
    read_manifest(_read_text(file, environment), file)
    environment.show(f"{file}: no faults")
    return ExitStatus.OK


def run_apply(
    file: str,
    settings: Path,
    apply_id: str,
    wait_s: float,
    as_json: bool,
    environment: Environment,
) -> ExitStatus:
    """Apply a manifest and wait up to ``wait_s`` seconds for acknowledgements.

    Returns ``NOT_ACKNOWLEDGED`` if it was written, but no majority acknowledged it.

    Raises
    ------
    ManifestError
        If the manifest cannot be read or is not valid.
    PlatformError
        If the platform does not answer, or another manifest was accepted meanwhile.
    """
    platform = open_platform(settings, environment)
    text = _read_text(file, environment)
    apply_context = ApplyContext(environment.user, environment.host, apply_id, file)
    written = apply_manifest(platform, platform, environment.clock, text, apply_context)
    applied = wait_for_acknowledgements(
        platform,
        environment.clock,
        written,
        wait_s,
        lambda progress: environment.report(_describe(progress)),
    )
    if as_json:
        environment.show(_result_json(applied, apply_id))
    else:
        environment.show(_describe(applied))
    return ExitStatus.OK if applied.in_force else ExitStatus.NOT_ACKNOWLEDGED


def run_show(settings: Path, environment: Environment) -> ExitStatus:
    """Print the accepted manifest as TOML, with its revision in a comment."""
    platform = open_platform(settings, environment)
    revision = current_manifest(platform, platform)
    if revision is None:
        environment.report("no manifest has been accepted yet")
        return ExitStatus.OK
    environment.show(f"# revision {revision.number}, digest {revision.digest}")
    environment.show(revision.text.rstrip("\n"))
    return ExitStatus.OK


def _read_text(file: str, environment: Environment) -> str:
    try:
        if file == STANDARD_INPUT:
            return environment.stdin.read(MAX_MANIFEST_BYTES + 1)
        with open(file, encoding="utf-8") as stream:
            return stream.read(MAX_MANIFEST_BYTES + 1)
    except (OSError, UnicodeDecodeError, ValueError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        raise ManifestError((reason,), step="manifest.read", peer=file) from None


def _describe(applied: AppliedManifest) -> str:
    state = "in force" if applied.in_force else "written"
    return (
        f"revision {applied.number}: {state}, "
        f"{applied.acknowledged} of {applied.members} acknowledged"
    )


def _result_json(applied: AppliedManifest, apply_id: str) -> str:
    return json.dumps(
        {
            "revision": applied.number,
            "digest": applied.digest,
            "apply_id": apply_id,
            "acknowledged": applied.acknowledged,
            "members": applied.members,
            "in_force": applied.in_force,
        }
    )
