"""Command that checks a configuration of the platform's store."""

import json
from pathlib import Path

from attrs import asdict

from dotterelpier.cli.environment import Environment
from dotterelpier.errors import ConfigError
from dotterelpier.exit_status import ExitStatus
from dotterelpier.platform.codec import make_store_codec
from dotterelpier.platform.config_check import ConfigReport, check_configuration

STANDARD_INPUT = "-"


def run_config_check(
    file: str, against: str, as_json: bool, environment: Environment
) -> ExitStatus:
    """Check a configuration, and compare it with another one if that is named.

    Returns ``MANIFEST_INVALID`` if entries would reject it, or leave out a part of it.

    Raises
    ------
    ConfigError
        If a file cannot be read, or the one to compare with is not a JSON object.
    """
    content = _read(file, environment)
    other = _read(against, environment) if against else None
    try:
        report = check_configuration(make_store_codec(), content, other)
    except ConfigError as error:
        error.peer = against
        raise
    if as_json:
        environment.show(json.dumps({"file": file, **asdict(report)}))
    else:
        _show(file, report, compared=bool(against), environment=environment)
    return ExitStatus.MANIFEST_INVALID if report.errors else ExitStatus.OK


def _show(
    file: str, report: ConfigReport, *, compared: bool, environment: Environment
) -> None:
    for error in report.errors:
        environment.report(f"{file}: {error}")
    for warning in report.warnings:
        environment.show(f"{file}: warning: {warning}")
    for change in report.changes:
        environment.show(f"{file}: change: {change}")
    counts = [f"errors: {len(report.errors)}", f"warnings: {len(report.warnings)}"]
    if compared:
        counts.append(f"changes: {len(report.changes)}")
    environment.show(f"{file}: {', '.join(counts)}")


def _read(file: str, environment: Environment) -> bytes:
    try:
        if file == STANDARD_INPUT:
            return environment.stdin.read().encode()
        return Path(file).read_bytes()
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        raise ConfigError((reason,), step="config.read", peer=file) from None
