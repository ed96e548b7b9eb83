"""Starts the entries of a small deployment as processes, and sends requests to them."""

import http.client
import itertools
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
import uuid
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "jepu9.example"
PORTS = itertools.count(20_000 + os.getpid() * 37 % 10_000)
BOUNDS = """
[bounds]
grace_s = 6
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 60
directory_age_max_s = 5
probes_per_s = 60
change_ms = 2000
cap_window_s = 5
cap_over = 0.1
cap_slack = 20
"""


class CannotRunError(Exception):
    """The case could not be set up."""


def run(main):
    """End the process with the status of a case, 2 if it could not run.

    A case that is asked to stop still ends its processes.
    """

    def stop(number, frame):
        raise CannotRunError("stopped before the end")

    signal.signal(signal.SIGTERM, stop)
    status = 2
    try:
        status = main()
    except Exception:
        traceback.print_exc()
    finally:
        # Threads of the stand-ins may still wait for a connection.
        sys.stdout.flush()
        os._exit(status)


def free_port(host):
    """Return a port on which nothing listens, for TCP and UDP.

    It is below the range from which the system assigns ports to outgoing connections,
    and each one is returned once.
    """
    while True:
        port = next(PORTS)
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as probe:
                    probe.bind((host, port))
        except OSError:
            continue
        return port


class Entry:
    """One entry; ``start`` runs it with the command of the deploy file."""

    def __init__(self, folder, name, zone, host):
        self.folder, self.name, self.zone = folder, name, zone
        self.address = {
            use: f"{host}:{free_port(host)}"
            for use in ("caller", "readiness", "directory", "peer", "metrics")
        }
        self.settings = folder / f"{name}.toml"
        self.process = None

    def write_settings(self, store_address, seeds, first_start):
        """Write what the template of the deploy file yields."""
        lines = ["[entry]", f'name = "{self.name}"', f'zone = "{self.zone}"']
        lines += [f'{use}_address = "{item}"' for use, item in self.address.items()]
        lines += ["first_start = true"] if first_start else []
        lines += ["[store]", f'address = "{store_address}"', "[peers]"]
        lines += ["seeds = [" + ", ".join(f'"{item}"' for item in seeds) + "]"]
        lines += ["[limits]", "memory_mb = 300", "descriptors = 4100", BOUNDS]
        self.settings.write_text("\n".join(lines))

    def start(self):
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = deploy["roles"]["entry"]["run"].split()
        place = words.index("--settings") + 1
        words[place] = str(self.settings)
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                words,
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                },
            )

    def restart(self, grace_s, pause_s):
        """Ask the process to stop, and start it again a while after it has ended."""
        self.process.terminate()
        try:
            self.process.wait(grace_s)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
        time.sleep(pause_s)
        self.start()

    def kill(self):
        """Kill the process."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    def ready(self):
        """Return whether it says that it is ready."""
        try:
            return get(self.address["readiness"], "/readiness")[0] == 200
        except OSError:
            return False


def get(address, target, timeout_s=1.0):
    """Return the status and the body of a page."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        connection.request("GET", target)
        answer = connection.getresponse()
        return answer.status, answer.read()
    except http.client.HTTPException as error:
        raise OSError(repr(error)) from None
    finally:
        connection.close()


class System:
    """Entries, and a folder for their settings and logs."""

    def __init__(self, store, count, zone="zone-a", prefix="front"):
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = store
        self.entries = [
            Entry(self.folder, f"{prefix}-{zone}-{number + 1}", zone, "127.0.0.1")
            for number in range(count)
        ]
        self.seeds = [item.address["peer"] for item in self.entries[:3]]

    def start(self):
        """Start all entries and wait until they know each other."""
        for entry in self.entries:
            entry.write_settings(self.store.address, self.seeds, True)
            entry.start()
        wait_for(lambda: all(entry.ready() for entry in self.entries), "readiness")
        names = {entry.name for entry in self.entries}
        wait_for(lambda: self.store.keys("entries") == names, "the rows of the entries")
        for entry in self.entries:
            entry.write_settings(self.store.address, self.seeds, False)

    def stop(self):
        """Kill all processes."""
        for entry in self.entries:
            entry.kill()
        shutil.rmtree(self.folder, ignore_errors=True)


def wait_for(condition, what, timeout_s=25.0):
    """Wait until a condition holds."""
    until = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > until:
            raise CannotRunError(f"no {what} within {timeout_s} s")
        time.sleep(0.05)


def route(prefix, service, **options):
    """Return a route of the configuration."""
    return {
        "hostname": HOST,
        "prefix": prefix,
        "service": service,
        "kind": "idempotent",
        "maxAttempts": 2,
        "timeoutMs": 1000,
        "targetLatencyMs": 400,
        "priority": 2,
        **options,
    }


def config(version, routes, services, **options):
    """Return a configuration."""
    return {
        "version": f"{version:08x}",
        "routes": routes,
        "services": {
            name: {
                "healthCheckPath": "/health",
                "maxConnections": 240,
                "warmupS": 3.0,
                "warmupPerS": 7.3,
            }
            for name in services
        },
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 1 << 20,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        **options,
    }


class Client:
    """A client that keeps its connection to one entry."""

    def __init__(self, entry, deadline_ms=2000):
        self.entry, self.deadline_ms = entry, deadline_ms
        self.connection = None

    def send(self, target, method="GET", body=None, **headers):
        """Return id, status (0 if none came), headers and body of one attempt."""
        request = uuid.uuid4().hex[:16]
        sent = {
            "Host": HOST,
            "X-Dotterelpier-Attempt-Id": request,
            "X-Dotterelpier-Deadline-Ms": str(self.deadline_ms),
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        try:
            if self.connection is None:
                host, _, port = self.entry.address["caller"].rpartition(":")
                timeout_s = self.deadline_ms / 1000
                self.connection = http.client.HTTPConnection(
                    host, int(port), timeout=timeout_s
                )
            self.connection.request(method, target, body, sent)
            answer = self.connection.getresponse()
            content = answer.read()
            if answer.will_close:
                self.close()
            return request, answer.status, answer.headers, content
        except (OSError, http.client.HTTPException):
            self.close()
            return request, 0, {}, b""

    def close(self):
        """Close the connection."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None


class Caller:
    """A client that follows the directory and keeps a connection for many requests."""

    def __init__(self, system, deadline_ms=2000):
        self.system, self.deadline_ms = system, deadline_ms
        self.addresses, self.valid_until = [], float("-inf")
        self.client = None
        # Name of the entry that was used last.
        self.last = ""

    def send(self, target, method="GET", body=None, **headers):
        """Return what ``Client.send`` returns, after a look at the directory."""
        if time.monotonic() >= self.valid_until:
            self._resolve()
        if self.client and self.client.entry.address["caller"] not in self.addresses:
            self.client.close()
            self.client = None
        if self.client is None:
            if not self.addresses:
                return "", 0, {}, b""
            address = random.choice(self.addresses)
            entries = self.system.entries
            entry = next(item for item in entries if item.address["caller"] == address)
            self.client = Client(entry, self.deadline_ms)
        self.last = self.client.entry.name
        answer = self.client.send(target, method, body, **headers)
        if self.client.connection is None:
            address = self.client.entry.address["caller"]
            if answer[1] == 0 and len(self.addresses) > 1:
                # Clients leave out addresses that have failed them.
                self.addresses = [item for item in self.addresses if item != address]
            self.client = None
        return answer

    def close(self):
        """Close the connection."""
        if self.client is not None:
            self.client.close()
            self.client = None

    def _resolve(self):
        for entry in random.sample(
            self.system.entries, min(3, len(self.system.entries))
        ):
            target = f"/resolve?name={HOST}&region=r&zone={entry.zone}"
            try:
                status, body = get(entry.address["directory"], target)
            except OSError:
                continue
            if status == 200 and (answer := json.loads(body)).get("addresses"):
                self.addresses = answer["addresses"]
                self.valid_until = time.monotonic() + min(5, answer["ttlS"])
                return


class Record:
    """What was sent, answered and run, written to a file; times start with the case."""

    def __init__(self, path):
        self._file = open(path, "w")
        self._began_at = time.monotonic()
        self._lock = threading.Lock()

    def note(self, text, at=None):
        """Write a line."""
        at = time.monotonic() if at is None else at
        with self._lock:
            self._file.write(f"{at - self._began_at:8.3f} {text}\n")
            self._file.flush()
