"""Starts entries as processes, with the command of the deploy file."""

import http.client
import itertools
import json
import os
import socket
import subprocess
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "shop.example"
USES = ("caller", "readiness", "directory", "peer", "metrics")


# Below the ports that the operating system gives to outgoing connections.
_ports = itertools.count(20_000 + os.getpid() % 100 * 100)


def free_port(host: str) -> int:
    """Return a port on which nothing listens; each is returned once."""
    while True:
        port = next(_ports)
        try:
            with socket.create_server((host, port)):
                return port
        except OSError:
            continue


class Entry:
    """An entry on a loopback address of its own."""

    def __init__(
        self, folder, name, zone, host, store_address, seeds_wanted=True, bounds=None
    ):
        self.folder, self.name, self.zone, self.host = Path(folder), name, zone, host
        self.store_address = store_address
        self.address = {use: f"{host}:{free_port(host)}" for use in USES}
        self.bounds = {
            "grace_s": 6,
            "retry_ratio": 0.2,
            "retry_window_s": 10,
            "retry_slack": 60,
            "directory_age_max_s": 5,
            "probes_per_s": 60,
            "change_ms": 2000,
            **(bounds or {}),
        }
        self.process = None
        self.settings = self.folder / f"{name}.toml"

    def write_settings(self, seeds, first_start: bool) -> None:
        """Write the settings as the template of the deploy file gives them."""
        lines = ["[entry]", f'name = "{self.name}"', f'zone = "{self.zone}"']
        lines += [f'{use}_address = "{self.address[use]}"' for use in USES]
        if first_start:
            lines.append("first_start = true")
        lines += ["[store]", f'address = "{self.store_address}"']
        lines += ["[peers]", f"seeds = {json.dumps(list(seeds))}"]
        lines += ["[limits]", "memory_mb = 300"]
        lines += ["[bounds]"]
        lines += [f"{name} = {value}" for name, value in self.bounds.items()]
        self.settings.write_text("\n".join(lines) + "\n", encoding="utf-8")

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        keep = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in keep if name in os.environ}
        env["PYTHONPATH"] = "target/deps"
        env["DOTTERELPIER_CONFIG"] = str(self.settings)
        # LOGS names a folder in which the logs of the entries are kept.
        logs = Path(os.environ.get("LOGS", self.folder))
        with open(logs / f"{self.name}.log", "a") as log:
            self.process = subprocess.Popen(
                [
                    "python3",
                    "-m",
                    "dotterelpier",
                    "serve",
                    "--settings",
                    str(self.settings),
                ],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                env=env,
            )

    def get(self, use: str, target: str, timeout_s: float = 1.0):
        """Return status and body of a page of the entry."""
        host, _, port = self.address[use].rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
        try:
            connection.request("GET", target)
            response = connection.getresponse()
            return response.status, response.read()
        finally:
            connection.close()

    def ready(self) -> bool:
        """Return whether the entry says that it is ready."""
        try:
            return self.get("readiness", "/readiness")[0] == 200
        except (OSError, http.client.HTTPException):
            return False

    def resolve(self, zone: str) -> list[str]:
        """Return the addresses that the directory of this entry names."""
        target = f"/resolve?name={HOST}&region=r&zone={zone}"
        status, body = self.get("directory", target)
        return json.loads(body)["addresses"] if status == 200 else []

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)


def start_all(entries, timeout_s: float = 20.0) -> None:
    """Start a whole fleet for the first time, and wait until all are ready."""
    seeds = [entry.address["peer"] for entry in entries[:3]]
    for entry in entries:
        entry.write_settings(seeds, first_start=True)
    for entry in entries:
        entry.start()
    until = time.monotonic() + timeout_s
    for entry in entries:
        while not entry.ready():
            if time.monotonic() > until:
                raise CannotRun(f"{entry.name} is not ready")
            time.sleep(0.05)


def end_all(entries) -> None:
    """Kill the processes that were started here, and wait for their end."""
    for entry in entries:
        if entry.process is not None:
            entry.process.kill()
            entry.process.wait()


class CannotRun(Exception):
    """The case could not be played, so it shows nothing."""


def route(prefix: str, service: str, **options) -> dict:
    """Return a route as operators write it."""
    return {
        "hostname": HOST,
        "prefix": prefix,
        "kind": "idempotent",
        "timeoutMs": 2000,
        "targetLatencyMs": 400,
        "priority": 1,
        "maxAttempts": 2,
        "service": service,
        **options,
    }


def config(version: int, routes: dict, *services: str) -> dict:
    """Return a configuration as operators write it."""
    service = {
        "healthCheckPath": "/health",
        "maxConnections": 240,
        "protocol": "h1",
        "tls": False,
        "warmupS": 3.0,
        "warmupPerS": 7.3,
    }
    return {
        "version": f"{version:08x}",
        "routes": routes,
        "services": dict.fromkeys(services, service),
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 1 << 20,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


def main(play) -> None:
    """Run a case: exit with 1 if the rule was broken, 0 if it held, 2 if it can't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        broken = play(trouble)
    except CannotRun as error:
        print(f"the case could not run: {error}")
        sys.stdout.flush()
        os._exit(2)
    print("the rule was broken" if broken else "the rule held")
    sys.stdout.flush()
    os._exit(1 if broken else 0)
