"""Stand-in for many backend servers on many ports in one process.

Run with ``python -m tests.standins.backend --manifest FILE --control IP:port``.
``POST /faults/ID`` on the control address sets fields of ``BackendState`` by name;
``break_offs`` large answers break off half way; ``GET /large/SIZE`` is such an answer.
``GET /journal`` returns every run of every request, ``GET /peaks`` the most requests
that each backend server had in flight at once, cold and warm.
"""

import json
import random
import re
import threading
import time
import uuid
from pathlib import Path
from typing import Any
from urllib.parse import unquote

import fire
from attrs import define, field

from dotterelpier.model.manifest import BackendServer
from dotterelpier.wire.manifest_toml import read_manifest
from tests.standins.http_handler import StandInHandler, StandInServer

SERVICE_S = 0.01
WARM_AFTER_RUNS = 20
LARGE_PATH = "/large/"


@define
class Run:
    """One run of one request, as the journal keeps it."""

    backend_id: str
    attempt: str
    method: str
    path: str
    key: str
    started_at: float
    ended_at: float = 0.0
    cancelled: bool = False


@define
class BackendState:
    """State and switches of one backend server."""

    server: BackendServer
    service_s: float = SERVICE_S
    sigma: float = 0.0
    draw_seed: int | None = None
    zone_s: float = 0.0
    queueing: bool = False
    probe_s: float = 0.0
    warm: bool = True
    leaving: bool = False
    shedding: bool = False
    failing: bool = False
    silent: bool = False
    lying_load: bool = False
    break_offs: int = 0
    boot_id: str = field(factory=lambda: uuid.uuid4().hex[:8])
    in_flight: int = 0
    running: int = 0
    peak_cold: int = 0
    peak_warm: int = 0
    runs_since_boot: int = 0
    probes: int = 0
    probed_at: list[float] = field(factory=list)
    fallen: int = 0
    journal: list[Run] = field(factory=list)
    cancelled: set[str] = field(factory=set)
    active: set[str] = field(factory=set)
    generator: random.Random = field(factory=lambda: random.Random(1))
    condition: threading.Condition = field(factory=threading.Condition)

    def concurrency_limit(self) -> int:
        """Return how many requests the server bears at once."""
        return self.server.slots if self.warm else self.server.cold_slots

    def restart_cold(self) -> None:
        """Turn cold with a new boot id."""
        self.boot_id = uuid.uuid4().hex[:8]
        self.warm = False
        self.runs_since_boot = 0

    def readiness(self) -> str:
        """Return what the server reports about itself."""
        if self.leaving:
            return "leaving"
        return "ready" if self.warm else "cold"

    def load_header(self) -> str:
        """Return the load report."""
        in_flight = 0 if self.lying_load else self.in_flight
        return f"state={self.readiness()};boot={self.boot_id};in_flight={in_flight}"

    def begin_run(self) -> bool:
        """Start one run; return False if the server falls over."""
        with self.condition:
            self.in_flight += 1
            if self.warm:
                self.peak_warm = max(self.peak_warm, self.in_flight)
                return True
            self.peak_cold = max(self.peak_cold, self.in_flight)
            if self.in_flight > self.server.cold_slots:
                self.fallen += 1
                return False
            return True

    def end_run(self) -> None:
        """End one run; enough runs warm the server up."""
        with self.condition:
            self.in_flight -= 1
            self.runs_since_boot += 1
            if self.runs_since_boot >= WARM_AFTER_RUNS:
                self.warm = True

    def acquire_slot(self) -> None:
        """Wait until one of the server's slots is free, if it queues at all."""
        with self.condition:
            while self.queueing and self.running >= self.server.slots:
                self.condition.wait()
            self.running += 1

    def release_slot(self) -> None:
        """Give the slot back."""
        with self.condition:
            self.running -= 1
            if self.queueing:
                self.condition.notify_all()

    def draw_service_time_s(self, path: str) -> float:
        """Return the service time of a request in seconds."""
        if not self.sigma:
            return self.service_s
        if self.draw_seed is None:
            return self.service_s * self.generator.lognormvariate(0.0, self.sigma)
        return self.service_s * service_time_factor(path, self.draw_seed, self.sigma)

    def wait_service_time(
        self, attempt: str, deadline_unix: float, path: str = ""
    ) -> bool:
        """Spend the service time; return False if cancelled."""
        service_time_s = self.draw_service_time_s(path)
        end_at = min(time.time() + service_time_s, deadline_unix)
        with self.condition:
            while attempt not in self.cancelled:
                remaining_s = end_at - time.time()
                if remaining_s <= 0:
                    return True
                self.condition.wait(remaining_s)
            self.cancelled.discard(attempt)
            return False

    def cancel(self, attempt: str) -> None:
        """Stop a run, and return once it has ended."""
        with self.condition:
            self.cancelled.add(attempt)
            self.condition.notify_all()
            self.condition.wait_for(lambda: attempt not in self.active)

    def set_active(self, attempt: str, active: bool) -> None:
        """State whether a run goes on."""
        with self.condition:
            if active:
                self.active.add(attempt)
            else:
                self.active.discard(attempt)
                self.condition.notify_all()


def service_time_factor(path: str, seed: int, sigma: float) -> float:
    """Return a log-normal factor of mean 1 that depends on path and seed only."""
    generator = random.Random(f"{seed}{path}")
    return generator.lognormvariate(-sigma * sigma / 2, sigma)


def make_handler(state: BackendState) -> type[StandInHandler]:
    """Return a handler class bound to one backend server."""

    class Handler(StandInHandler):
        def _serve(self) -> None:
            body = self.read_body()
            attempt = self.headers.get("Dotterelpier-Attempt", "")
            deadline = float(self.headers.get("Dotterelpier-Deadline", "inf"))
            if state.failing:
                self.close_connection = True
            elif state.shedding or state.leaving:
                self._refuse(attempt, "shed")
            elif time.time() >= deadline:
                self._refuse(attempt, "deadline")
            else:
                self._run(attempt, deadline, body)

        do_POST = do_PUT = do_PATCH = _serve  # noqa: N815

        def do_GET(self) -> None:  # noqa: N802
            if self.path == "/healthz":
                state.probes += 1
                state.probed_at.append(time.monotonic())
                time.sleep(state.probe_s)
                self.answer(200, b"ok", {"Dotterelpier-Load": state.load_header()})
            else:
                self._serve()

        def do_DELETE(self) -> None:  # noqa: N802
            if self.path.startswith("/attempts/"):
                self.read_body()
                state.cancel(self.path.rpartition("/")[2])
                self.answer(204)
            else:
                self._serve()

        def _refuse(self, attempt: str, reason: str) -> None:
            headers = self._headers(attempt)
            headers["Dotterelpier-Outcome"] = "not-run"
            self.answer(503, reason.encode(), headers)

        def _headers(self, attempt: str) -> dict[str, str]:
            return {
                "Dotterelpier-Attempt": attempt,
                "Dotterelpier-Load": state.load_header(),
            }

        def _run(self, attempt: str, deadline: float, body: bytes) -> None:
            run = Run(
                state.server.id,
                attempt,
                self.command,
                self.path,
                self.headers.get("Idempotency-Key", ""),
                time.monotonic(),
            )
            state.journal.append(run)
            state.set_active(attempt, True)
            try:
                if not state.begin_run():
                    time.sleep(1.0)
                    self.close_connection = True
                    return
                state.acquire_slot()
                try:
                    run.cancelled = not state.wait_service_time(
                        attempt, deadline, self.path
                    )
                finally:
                    state.release_slot()
                time.sleep(state.zone_s)
            finally:
                state.end_run()
                run.ended_at = time.monotonic()
                state.set_active(attempt, False)
            if state.silent:
                time.sleep(3600)
            if run.cancelled:
                self.answer(499, b"cancelled", self._headers(attempt))
                return
            if self.path.startswith(LARGE_PATH):
                self._answer_large(attempt)
                return
            echo = f"{state.server.id} {self.command} {self.path} ".encode() + body
            self.answer(200, echo, self._headers(attempt))

        def _answer_large(self, attempt: str) -> None:
            body = large_body(int(self.path.removeprefix(LARGE_PATH)))
            headers = {**self._headers(attempt), "ETag": f'"{len(body)}"'}
            requested_range = re.fullmatch(
                r"bytes=(\d+)-", self.headers.get("Range", "")
            )
            status, offset = 200, 0
            if requested_range and self.headers.get("If-Range") == headers["ETag"]:
                status, offset = 206, int(requested_range[1])
                headers["Content-Range"] = f"bytes {offset}-{len(body) - 1}/{len(body)}"
            if state.break_offs <= 0:
                self.answer(status, body[offset:], headers)
                return
            state.break_offs -= 1
            headers["Content-Length"] = str(len(body) - offset)
            self.send_response_only(status)
            for name, value in headers.items():
                self.send_header(name, value)
            self.end_headers()
            self.wfile.write(body[offset : offset + (len(body) - offset) // 2])
            self.wfile.flush()
            self.close_connection = True

    return Handler


def large_body(size: int) -> bytes:
    """Return the body of a large answer."""
    return random.Random(size).randbytes(size)


def make_control_handler(state_by_id: dict[str, BackendState]) -> type[StandInHandler]:
    """Return a handler class for the control address."""

    class Control(StandInHandler):
        def do_GET(self) -> None:  # noqa: N802
            if self.path == "/journal":
                runs = [run for item in state_by_id.values() for run in item.journal]
                self.answer_json(200, [_run_as_dict(run) for run in runs])
            else:
                self.answer_json(
                    200, {key: _peaks(item) for key, item in state_by_id.items()}
                )

        def do_POST(self) -> None:  # noqa: N802
            faults = json.loads(self.read_body())
            state = state_by_id[unquote(self.path.rpartition("/")[2])]
            if faults.pop("restart_cold", False):
                state.restart_cold()
            for name, value in faults.items():
                setattr(state, name, value)
            self.answer_json(200, {})

    return Control


def _run_as_dict(run: Run) -> dict[str, Any]:
    return {name: getattr(run, name) for name in Run.__slots__ if name[0] != "_"}


def _peaks(state: BackendState) -> dict[str, Any]:
    return {
        "peak_cold": state.peak_cold,
        "peak_warm": state.peak_warm,
        "fallen": state.fallen,
        "probes": state.probes,
        "runs": len(state.journal),
        "in_flight": state.in_flight,
        "warm": state.warm,
    }


def start_backend(state: BackendState) -> StandInServer:
    """Serve one backend server in a thread."""
    host, _, port = state.server.address.rpartition(":")
    return serve_in_thread(host, int(port), make_handler(state))


def serve_in_thread(
    host: str, port: int, handler: type[StandInHandler]
) -> StandInServer:
    """Serve a handler in a thread."""
    server = StandInServer((host, port), handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


def main(
    manifest: str,
    control: str = "127.0.0.1:9101",
    service_s: float = SERVICE_S,
    sigma: float = 0.0,
    probe_s: float = 0.0,
    cold: bool = False,
    draw_seed: int | None = None,
    zone_s: float = 0.0,
    queueing: bool = False,
    part: int = 0,
    parts: int = 1,
) -> None:
    """Serve the backend servers of a manifest, or one part of them, until killed."""
    declared = read_manifest(Path(manifest).read_text(encoding="utf-8"), manifest)
    state_by_id = {
        server.id: BackendState(
            server,
            service_s=service_s,
            sigma=sigma,
            probe_s=probe_s,
            warm=not cold,
            draw_seed=draw_seed,
            zone_s=zone_s,
            queueing=queueing,
        )
        for server in declared.backend_servers[part::parts]
    }
    for state in state_by_id.values():
        start_backend(state)
    host, _, port = control.rpartition(":")
    StandInServer((host, int(port)), make_control_handler(state_by_id)).serve_forever()


if __name__ == "__main__":
    fire.Fire(main)
