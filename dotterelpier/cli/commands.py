"""The commands, as the command line offers them.

Each one checks its arguments and returns an ``Invocation``; none runs anything yet.
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
    # Fire would turn a file named 3 into a number.
    SetParseFn(str)(command)
    return command


class Commands:
    """Load balancer for servers whose load shifts in milliseconds.

    'dotterelpier COMMAND --help' describes a command.
    """

    def __init__(self) -> None:
        self.manifest = ManifestCommands()
        self.settings = SettingsCommands()

    def __dir__(self) -> list[str]:
        return [
            "audit",
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
        """Run an entry until SIGTERM, then stop it without cutting a call.

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
        """Run an entry of a fleet until SIGTERM, without cutting a request then.

        Routes and backend servers come from the platform's store. Logs go to standard
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
        """Show the decisions on a request, from saved logs of entries.

        Shows with them what became known of its backend servers meanwhile. Times are
        relative to the first line about the request.

        Example: dotterelpier explain 9c41d07be2a35f68 entry-1.log entry-2.log

        Parameters
        ----------
        request_id : str
            Id that the client gave to the request.
        files : str
            Saved logs.
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

        Asks the entry that the settings describe, or with --all every member. An
        age shown as '-' means that there is nothing yet.

        Example: dotterelpier status --all --settings entry.toml

        Example: dotterelpier status --address 127.0.0.1:8003 --json

        Parameters
        ----------
        settings : str
            Settings file; not read if an address is given.
        address : str
            IP:port of the operators' front end of the entry to ask.
        all : bool
            Ask every member; members that do not answer are named on standard
            error and give exit status 8.
        json : bool
            Write JSON, a list of the entries asked.
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
        """Show the audit trail, the oldest entry first.

        Example: dotterelpier audit --since 2026-05-01T12:00:00 --event manifest

        Example: dotterelpier audit --key zones --json

        Parameters
        ----------
        settings : str
            Settings file with a [platform] table.
        since : str
            Only entries from this time on, in ISO 8601; UTC if no zone is named.
        until : str
            Only entries before this time.
        key : str
            Only entries with a change whose line contains this text.
        event : str
            Only events whose name starts with this text, such as manifest.
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
        """Check the settings file of a fleet's entry and name each fault by its key.

        Example: dotterelpier settings check examples/fleet.toml

        Parameters
        ----------
        file : str
            Settings file with [entry] and [store] tables.
        """
        path = Path(Arguments("settings check").text("file", file))
        return invocation("serve.run_settings_check", path)


class ManifestCommands:
    """Check, apply and show manifests."""

    def __dir__(self) -> list[str]:
        return ["apply", "check", "show"]

    @_parse_arguments_as_text
    def check(self, file: str) -> Invocation:
        """Check a manifest without the platform and name every fault at its key.

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
        """Apply a manifest and wait until a majority of entries acknowledged it.

        Asks nothing, so that a pipeline can run it. Progress goes to standard error.

        Example: dotterelpier manifest apply caroni.toml --apply-id build-1234

        Parameters
        ----------
        file : str
            Manifest; - for standard input.
        settings : str
            Settings file with a [platform] table.
        apply_id : str
            Unique id of this apply, kept in the audit trail; made up if not given.
        wait_s : float
            Longest wait for acknowledgements, in seconds.
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
