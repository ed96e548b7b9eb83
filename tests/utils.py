"""Tools shared by tests, the demo and the bench."""

import contextlib
import http.client
import json
import os
import re
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

from attrs import define, field, frozen

from dotterelpier.clients.http_connection import open_connection
from dotterelpier.model.manifest import Manifest
from dotterelpier.wire.manifest_toml import read_manifest

ROOT = Path(__file__).resolve().parent.parent

# Second number of all loopback addresses used, so that several runs can go on side by
# side on one machine; addresses in manifests are shifted alike.
DEFAULT_NET = 20
NET = int(os.environ.get("DOTTERELPIER_TEST_NET", DEFAULT_NET))
PLATFORM_ADDRESS = f"127.{NET}.0.1:9100"
CONTROL_ADDRESS = f"127.{NET}.0.2:9101"
START_TIMEOUT_S = 30.0


@frozen
class Reply:
    """An answer as a caller sees it."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def outcome(self) -> str:
        """Return what the entry said about the call."""
        return self.headers.get("Dotterelpier-Outcome", "")


def request(
    address: str,
    method: str,
    target: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 10.0,
) -> Reply:
    """Send one request on a connection of its own."""
    connection = open_connection(address, timeout_s)
    try:
        connection.request(method, target, body, headers or {})
        response = connection.getresponse()
        content = response.read()
        return Reply(response.status, dict(response.headers), content)
    finally:
        connection.close()


def request_json(address: str, target: str) -> Any:
    """Return the JSON of a page."""
    return json.loads(request(address, "GET", target).body)


def post_json(address: str, target: str, value: Any) -> None:
    """Send JSON."""
    request(address, "POST", target, json.dumps(value).encode())


def wait_until(
    condition: Callable[[], bool], description: str, timeout_s: float = START_TIMEOUT_S
) -> None:
    """Wait until a condition holds; fail if it does not within the time."""
    deadline = time.monotonic() + timeout_s
    while True:
        with contextlib.suppress(OSError, http.client.HTTPException, ValueError):
            if condition():
                return
        if time.monotonic() > deadline:
            raise AssertionError(f"not within {timeout_s} s: {description}")
        time.sleep(0.05)


@frozen
class EntryProcess:
    """Addresses and settings file of one entry of a test system."""

    name: str
    zone: str
    host: str
    settings: Path

    @property
    def caller_address(self) -> str:
        """Return where callers connect."""
        return f"{self.host}:8000"

    @property
    def operator_address(self) -> str:
        """Return where operators connect."""
        return f"{self.host}:8003"

    def status(self) -> Any:
        """Return the status page."""
        return request_json(self.operator_address, "/v1/status")


def entry_settings(name: str, zone: str, host: str, extra: str = "") -> str:
    """Return the settings of an entry as TOML."""
    return f"""
[platform]
address = "{PLATFORM_ADDRESS}"

[entry]
name = "{name}"
zone = "{zone}"
caller_address = "{host}:8000"
relay_address = "{host}:8001"
peer_address = "{host}:8002"
operator_address = "{host}:8003"

[log]
level = "INFO"
{extra}
"""


@define
class System:
    """A platform, backend servers and entries as separate processes."""

    folder: Path
    manifest_file: Path
    manifest: Manifest
    processes: dict[str, "subprocess.Popen[bytes]"] = field(factory=dict)
    entries: dict[str, EntryProcess] = field(factory=dict)

    def start_standins(self, *backend_options: str) -> None:
        """Start the platform and the backend servers."""
        self.spawn(
            "platform", "-m", "tests.standins.platform", "--address", PLATFORM_ADDRESS
        )
        self.spawn(
            "backends",
            "-m",
            "tests.standins.backend",
            "--manifest",
            str(self.manifest_file),
            "--control",
            CONTROL_ADDRESS,
            *backend_options,
        )
        wait_until(lambda: bool(request_json(PLATFORM_ADDRESS, "/state")), "platform")
        wait_until(lambda: bool(request_json(CONTROL_ADDRESS, "/peaks")), "backends")

    def start_entry(self, number: int, zone: str, extra: str = "") -> EntryProcess:
        """Start one entry; its number decides its address."""
        name, host = f"entry-{number}", f"127.{NET}.1.{number}"
        settings = self.folder / f"{name}.toml"
        settings.write_text(entry_settings(name, zone, host, extra))
        entry = EntryProcess(name, zone, host, settings)
        self.entries[name] = entry
        self.spawn(name, "-m", "dotterelpier", "entry", "--settings", str(settings))
        return entry

    def start_entries(self, count: int, extra: str = "") -> None:
        """Start entries spread over the zones."""
        zones = [zone.name for zone in self.manifest.zones]
        for number in range(1, count + 1):
            self.start_entry(number, zones[(number - 1) % len(zones)], extra)

    def apply(
        self, file: Path | None = None, *options: str
    ) -> "subprocess.CompletedProcess[str]":
        """Apply a manifest with the real command line."""
        settings = next(iter(self.entries.values())).settings
        return run_command(
            "manifest",
            "apply",
            str(file or self.manifest_file),
            "--settings",
            str(settings),
            *options,
        )

    def wait_ready(self, timeout_s: float = START_TIMEOUT_S) -> None:
        """Wait until every backend server in a zone that is in has a home."""
        wait_until(
            lambda: self.allowed_count() == len(self.manifest.backend_servers),
            "every backend server allowed by its home",
            timeout_s,
        )

    def allowed_count(self) -> int:
        """Return how many backend servers their homes hold fit for new work."""
        return sum(
            server["allowed"]
            for entry in self.entries.values()
            for server in entry.status()["backend_servers"]
        )

    def spawn(self, name: str, *arguments: str) -> None:
        """Start a process of this Python whose log goes to the folder."""
        log = (self.folder / f"{name}.log").open("ab")
        self.processes[name] = subprocess.Popen(
            [sys.executable, *arguments], cwd=ROOT, stdout=log, stderr=log
        )
        log.close()

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process."""
        os.kill(self.processes[name].pid, number)

    def stop(self) -> None:
        """End all processes that this system started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()


def shift_addresses(text: str) -> str:
    """Return the text of a manifest with its loopback addresses shifted."""
    shift = NET - DEFAULT_NET
    return re.sub(r'"127\.(\d+)\.', lambda m: f'"127.{int(m[1]) + shift}.', text)


@contextlib.contextmanager
def running_system(folder: Path, manifest_text: str) -> Iterator[System]:
    """Yield a system without processes and end all that it gets."""
    text = shift_addresses(manifest_text)
    file = folder / "manifest.toml"
    file.write_text(text, encoding="utf-8")
    system = System(folder, file, read_manifest(text, str(file)))
    try:
        yield system
    finally:
        system.stop()


def run_command(*arguments: str) -> "subprocess.CompletedProcess[str]":
    """Run the command line and return its output."""
    return subprocess.run(
        [sys.executable, "-m", "dotterelpier", *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
    )
