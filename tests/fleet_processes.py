"""Entries of a fleet as processes of their own, ended by their ids."""

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
    """One entry."""

    name: str
    zone: str
    address_by_use: dict[str, str]
    settings: Path
    log: str
    process: "subprocess.Popen[bytes]" = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.restart()

    def restart(self) -> None:
        """Start the process, once more if it has ended."""
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
        """Tell whether it takes requests."""
        try:
            page = request(self.address_by_use["readiness"], "GET", "/readiness")
        except OSError:
            return False
        return page.status == 200

    def is_listed_by(self, other: "EntryProcess") -> bool:
        """Tell whether the directory of another entry names this one."""
        target = f"/resolve?name={HOST}&region=r&zone=zone-a"
        page = request(other.address_by_use["directory"], "GET", target)
        return self.address_by_use["caller"] in json.loads(page.body)["addresses"]


@define(eq=False)
class EntryProcesses:
    """The entries of one fleet."""

    folder: Path
    entries: list[EntryProcess] = field(factory=list)

    def start(
        self, name: str, store_address: str, zone: str = "zone-a"
    ) -> EntryProcess:
        """Start an entry, and wait until it takes requests."""
        entry = self.launch(name, store_address, zone)
        wait_until(entry.ready, f"{name} is ready")
        return entry

    def launch(self, name: str, store_address: str, zone: str) -> EntryProcess:
        """Start an entry."""
        address_by_use_of_entry = {use: free_address() for use in ADDRESSES}
        lines = ["[entry]", f'name = "{name}"', f'zone = "{zone}"']
        lines += [
            f'{use}_address = "{address}"'
            for use, address in address_by_use_of_entry.items()
        ]
        lines += ["[store]", f'address = "{store_address}"']
        lines += ["[bounds]", f"grace_s = {GRACE_S}", "retry_slack = 50"]
        settings = self.folder / f"{name}.toml"
        settings.write_text("\n".join(lines))
        log = str(self.folder / f"{name}.log")
        entry = EntryProcess(name, zone, address_by_use_of_entry, settings, log)
        self.entries.append(entry)
        return entry

    def stop(self) -> None:
        """Kill all processes that were started here."""
        for entry in self.entries:
            entry.process.kill()
            entry.process.wait()
