"""Commands of the command line, with their arguments and help texts.

Each command checks its arguments and returns an ``Invocation`` that ``main`` runs. Fire
shows the doc comments as help.
"""

import uuid
from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

from fire.decorators import SetParseFn

from dotterelpier.cli.arguments import Arguments
from dotterelpier.cli.invocation import Invocation, invocation
from dotterelpier.errors import UsageError

DEFAULT_SETTINGS = "dotterelpier.toml"
MAX_WAIT_S = 3600.0

Command = TypeVar("Command", bound=Callable[..., Invocation])


def _parse_arguments_as_text(command: Command) -> Command:
    # By default, Fire would parse a file named 3 as a number.
    SetParseFn(str)(command)
    return command


class Commands:
    """Load balancer for servers whose load shifts in milliseconds.

    'dotterelpier COMMAND --help' describes a command.
    """

    def __init__(self) -> None:
        self.config = ConfigCommands()
        self.manifest = ManifestCommands()
        self.settings = SettingsCommands()

    def __dir__(self) -> list[str]:
        return [
            "audit",
            "config",
            "entry",
            "explain",
            "manifest",
            "serve",
            "settings",
            "status",
            "version",
        ]

    @_parse_arguments_as_text
    def entry(self, *, settings: str = DEFAULT_SETTINGS) -> Invocation:
        """Run an entry until SIGTERM, then drain it without aborting calls.

        Logs go to standard error as JSON lines.

        Example: dotterelpier entry --settings /etc/dotterelpier.toml

        Parameters
        ----------
        settings : str
            Settings file with an [entry] table.
        """
        path = _path("entry", settings)
        return invocation("entry.run_entry_command", path)

    @_parse_arguments_as_text
    def serve(self, *, settings: str = DEFAULT_SETTINGS) -> Invocation:
        """Run a fleet entry until SIGTERM, then drain it without aborting requests.

        The platform's store provides routes and backend servers. Logs go to standard
        output as JSON lines.

        Example: dotterelpier serve --settings /etc/dotterelpier.toml

        Parameters
        ----------
        settings : str
            Settings file with [entry] and [store] tables.
        """
        return invocation("serve.run_serve_command", _path("serve", settings))

    @_parse_arguments_as_text
    def explain(self, request_id: str, *files: str, json: bool = False) -> Invocation:
        """Show what entries decided about a request, from their saved logs.

        Includes the log lines about its backend servers from that time. Times are
        relative to the first line about the request.

        Example: dotterelpier explain 9c41d07be2a35f68 entry-1.log entry-2.log

        Parameters
        ----------
        request_id : str
            Attempt id that the client sent with the request.
        files : str
            Saved log files.
        json : bool
            Write JSON lines.
        """
        arguments = Arguments("explain")
        paths = tuple(Path(arguments.text("files", file)) for file in files)
        if not paths:
            raise UsageError("explain: name at least one log", step="explain")
        checked_id = arguments.text("request_id", request_id)
        as_json = arguments.switch("json", json)
        return invocation("explain.run_explain", checked_id, paths, as_json)

    @_parse_arguments_as_text
    def status(
        self,
        *,
        settings: str = DEFAULT_SETTINGS,
        address: str = "",
        all: bool = False,  # noqa: A002
        json: bool = False,
    ) -> Invocation:
        """Show entries, homes, backend servers, evidence and revisions in force.

        Asks the entry that the settings describe, or every member with --all. An age
        of '-' means that nothing was received yet.

        Example: dotterelpier status --all --settings entry.toml

        Example: dotterelpier status --address 127.0.0.1:8003 --json

        Parameters
        ----------
        settings : str
            Settings file; not read if an address is given.
        address : str
            IP:port of the operator front end of the entry to ask.
        all : bool
            Ask every member; members that do not answer are reported on standard
            error, and the exit status is then 8.
        json : bool
            Write a JSON list with the status of each entry asked.
        """
        arguments = Arguments("status")
        entry_address = arguments.text("address", address) if address else ""
        return invocation(
            "status.run_status",
            _path("status", settings),
            entry_address,
            arguments.switch("all", all),
            arguments.switch("json", json),
        )

    @_parse_arguments_as_text
    def audit(
        self,
        *,
        settings: str = DEFAULT_SETTINGS,
        since: str = "",
        until: str = "",
        key: str = "",
        event: str = "",
        json: bool = False,
    ) -> Invocation:
        """Show the audit trail, oldest entry first.

        Example: dotterelpier audit --since 2026-05-01T12:00:00 --event manifest

        Example: dotterelpier audit --key zones --json

        Parameters
        ----------
        settings : str
            Settings file with a [platform] table.
        since : str
            Only entries from this time on, in ISO 8601; UTC without a time zone.
        until : str
            Only entries before this time.
        key : str
            Only entries with a change that contains this text.
        event : str
            Only events whose name starts with this prefix, such as manifest.
        json : bool
            Write JSON lines.
        """
        arguments = Arguments("audit")
        return invocation(
            "audit.run_audit",
            _path("audit", settings),
            arguments.time("since", since) if since else float("-inf"),
            arguments.time("until", until) if until else float("inf"),
            arguments.text("key", key) if key else "",
            arguments.text("event", event) if event else "",
            arguments.switch("json", json),
        )

    @_parse_arguments_as_text
    def version(self) -> Invocation:
        """Show the version."""
        return invocation("system.run_version")


class SettingsCommands:
    """Check settings files."""

    def __dir__(self) -> list[str]:
        return ["check"]

    @_parse_arguments_as_text
    def check(self, file: str) -> Invocation:
        """Check the settings file of a fleet entry and report each fault by its key.

        Example: dotterelpier settings check examples/fleet.toml

        Parameters
        ----------
        file : str
            Settings file with [entry] and [store] tables.
        """
        path = Path(Arguments("settings check").text("file", file))
        return invocation("serve.run_settings_check", path)


class ConfigCommands:
    """Check configurations that operators write to the platform's store."""

    def __dir__(self) -> list[str]:
        return ["check"]

    @_parse_arguments_as_text
    def check(self, file: str, *, against: str = "", json: bool = False) -> Invocation:
        """Check a configuration offline, with the reader that entries use.

        Reports errors, entries that can never match, limits that contradict each other,
        and what differs from another configuration. Only errors change the exit status.

        Example: dotterelpier config check config.json --against in-force.json

        Parameters
        ----------
        file : str
            Configuration row as JSON; - for standard input.
        against : str
            Configuration to compare with, such as the one in force.
        json : bool
            Write the result as JSON.
        """
        arguments = Arguments("config check")
        return invocation(
            "config.run_config_check",
            arguments.text("file", file),
            arguments.text("against", against) if against else "",
            arguments.switch("json", json),
        )


class ManifestCommands:
    """Check, apply and show manifests."""

    def __dir__(self) -> list[str]:
        return ["apply", "check", "show"]

    @_parse_arguments_as_text
    def check(self, file: str) -> Invocation:
        """Check a manifest offline and report every fault by its key.

        Example: dotterelpier manifest check caroni.toml

        Parameters
        ----------
        file : str
            Manifest; - for standard input.
        """
        name = Arguments("manifest check").text("file", file)
        return invocation("manifest.run_check", name)

    @_parse_arguments_as_text
    def apply(
        self,
        file: str,
        *,
        settings: str = DEFAULT_SETTINGS,
        apply_id: str = "",
        wait_s: float = 12.0,
        json: bool = False,
    ) -> Invocation:
        """Apply a manifest and wait until a majority of entries acknowledges it.

        Never prompts, so that a pipeline can run it. Progress goes to standard error.

        Example: dotterelpier manifest apply caroni.toml --apply-id build-1234

        Parameters
        ----------
        file : str
            Manifest; - for standard input.
        settings : str
            Settings file with a [platform] table.
        apply_id : str
            Unique id of this apply in the audit trail; generated if not given.
        wait_s : float
            Maximum wait for acknowledgements, in seconds.
        json : bool
            Write the result as JSON.
        """
        arguments = Arguments("manifest apply")
        return invocation(
            "manifest.run_apply",
            arguments.text("file", file),
            _path("manifest apply", settings),
            arguments.text("apply_id", apply_id or uuid.uuid4().hex),
            arguments.seconds("wait_s", wait_s, MAX_WAIT_S),
            arguments.switch("json", json),
        )

    @_parse_arguments_as_text
    def show(self, *, settings: str = DEFAULT_SETTINGS) -> Invocation:
        """Show the accepted manifest as TOML.

        Example: dotterelpier manifest show --settings entry.toml

        Parameters
        ----------
        settings : str
            Settings file with a [platform] table.
        """
        return invocation("manifest.run_show", _path("manifest show", settings))


def _path(command: str, settings: object) -> Path:
    return Path(Arguments(command).text("settings", settings))
