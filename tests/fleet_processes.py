"""Runs each entry of a fleet as a process of its own, which is ended by its id."""

import json
import os
import subprocess
import sys
from pathlib import Path

from attrs import define, field

from tests.fleet_system import HOST, free_address
from tests.utils import ROOT, request, wait_until

GRACE_S = 2.0
ADDRESSES = ("caller", "readiness", "directory", "peer", "metrics")


@define(eq=False)
class EntryProcess:
    """Process of one entry, started on construction; its log goes to a file."""

    name: str
    zone: str
    address_by_use: dict[str, str]
    settings: Path
    log: str
    process: "subprocess.Popen[bytes]" = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.restart()

    def restart(self) -> None:
        """Start the process, again if an earlier one has ended."""
        command = [sys.executable, "-m", "dotterelpier", "serve"]
        with open(self.log, "a") as log:
            self.process = subprocess.Popen(
                [*command, "--settings", str(self.settings)],
                cwd=ROOT,
                stdout=log,
                stderr=subprocess.STDOUT,
                env={**os.environ, "PYTHONPATH": str(ROOT)},
            )

    def ready(self) -> bool:
        """Return whether the entry reports that it is ready for requests."""
        try:
            page = request(self.address_by_use["readiness"], "GET", "/readiness")
        except OSError:
            return False
        return page.status == 200

    def is_listed_by(self, other: "EntryProcess") -> bool:
        """Return whether the directory of another entry lists this one."""
        target = f"/resolve?name={HOST}&region=r&zone=zone-a"
        page = request(other.address_by_use["directory"], "GET", target)
        return self.address_by_use["caller"] in json.loads(page.body)["addresses"]


@define(eq=False)
class EntryProcesses:
    """Processes of the entries of one fleet."""

    folder: Path
    entries: list[EntryProcess] = field(factory=list)

    def start(
        self, name: str, store_address: str, zone: str = "zone-a"
    ) -> EntryProcess:
        """Start an entry and wait until it is ready."""
        entry = self.launch(name, store_address, zone)
        wait_until(entry.ready, f"{name} is ready")
        return entry

    def launch(
        self, name: str, store_address: str, zone: str, extra: str = ""
    ) -> EntryProcess:
        """Write the settings of an entry and start it, without waiting.

        ``extra`` is appended to the settings.
        """
        address_by_use = {use: free_address() for use in ADDRESSES}
        lines = ["[entry]", f'name = "{name}"', f'zone = "{zone}"']
        lines += [
            f'{use}_address = "{address}"' for use, address in address_by_use.items()
        ]
        lines += ["[store]", f'address = "{store_address}"']
        lines += ["[bounds]", f"grace_s = {GRACE_S}", "retry_slack = 50", extra]
        settings = self.folder / f"{name}.toml"
        settings.write_text("\n".join(lines))
        log = str(self.folder / f"{name}.log")
        entry = EntryProcess(name, zone, address_by_use, settings, log)
        self.entries.append(entry)
        return entry

    def stop(self) -> None:
        """Kill all processes that were started here and wait for their end."""
        for entry in self.entries:
            entry.process.kill()
            entry.process.wait()
