"""Stand-in for many backend servers on many ports in one process.

Run with ``python -m tests.standins.backend --manifest FILE --control IP:port``. Each
backend server answers

- ``GET /healthz``: the health check;
- ``DELETE /attempts/ID``: cancels a run and answers once it has ended;
- ``GET /large/SIZE``: a body of SIZE bytes;
- any other path: an echo of the request.

The control address answers

- ``POST /faults/ID``: sets fields of one server's ``BackendState`` by name;
  ``restart_cold`` restarts the server cold;
- ``GET /journal``: every run of every request;
- ``GET /peaks``: counters of each server, among them the most requests that it had in
  flight at once, cold and warm.
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
    """Journal record of one run of a request; times are on the monotonic clock."""

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
    """State and fault switches of one backend server.

    Attributes
    ----------
    service_s, sigma, draw_seed
        Service time in seconds; see ``draw_service_time_s``.
    zone_s : float
        Network delay in seconds, slept after the slot is free again.
    queueing : bool
        Whether requests beyond the server's slots wait for a free slot.
    probe_s : float
        Delay of a health check's response in seconds.
    leaving, shedding : bool
        Whether requests are refused with 503 and the outcome "not-run"; a leaving
        server also reports that state in its load.
    failing : bool
        Whether requests get their connection closed instead of being run; health checks
        are still answered.
    silent : bool
        Whether requests run but get no response for an hour.
    lying_load : bool
        Whether load reports always state 0 requests in flight.
    break_offs : int
        Number of large responses still to be cut off halfway.
    fallen : int
        Number of requests that overloaded the cold server and got no response.
    """

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
        """Return the slots of the server, or its cold slots while it is cold."""
        return self.server.slots if self.warm else self.server.cold_slots

    def restart_cold(self) -> None:
        """Switch to the cold state with a new boot id, as after a restart."""
        self.boot_id = uuid.uuid4().hex[:8]
        self.warm = False
        self.runs_since_boot = 0

    def readiness(self) -> str:
        """Return the state that the server reports: leaving, ready or cold."""
        if self.leaving:
            return "leaving"
        return "ready" if self.warm else "cold"

    def load_header(self) -> str:
        """Return the value of the ``Dotterelpier-Load`` header."""
        in_flight = 0 if self.lying_load else self.in_flight
        return f"state={self.readiness()};boot={self.boot_id};in_flight={in_flight}"

    def begin_run(self) -> bool:
        """Count a run as in flight; return False if it overloads a cold server."""
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
        """Count a run as no longer in flight.

        A cold server is warm after ``WARM_AFTER_RUNS`` runs since its boot.
        """
        with self.condition:
            self.in_flight -= 1
            self.runs_since_boot += 1
            if self.runs_since_boot >= WARM_AFTER_RUNS:
                self.warm = True

    def acquire_slot(self) -> None:
        """Take a slot; if the server queues, block until one is free."""
        with self.condition:
            while self.queueing and self.running >= self.server.slots:
                self.condition.wait()
            self.running += 1

    def release_slot(self) -> None:
        """Release a slot and, if the server queues, wake the waiting runs."""
        with self.condition:
            self.running -= 1
            if self.queueing:
                self.condition.notify_all()

    def draw_service_time_s(self, path: str) -> float:
        """Return the service time of a request in seconds.

        It is ``service_s`` if ``sigma`` is 0, else log-normal: by ``draw_seed`` and the
        path with mean ``service_s``, or without a seed by the server's own generator
        with median ``service_s``.
        """
        if not self.sigma:
            return self.service_s
        if self.draw_seed is None:
            return self.service_s * self.generator.lognormvariate(0.0, self.sigma)
        return self.service_s * service_time_factor(path, self.draw_seed, self.sigma)

    def wait_service_time(
        self, attempt: str, deadline_unix: float, path: str = ""
    ) -> bool:
        """Block for the service time, at most until the deadline.

        Returns
        -------
        bool
            False if the attempt was cancelled before the time had passed.
        """
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
        """Cancel a run and block until it has ended."""
        with self.condition:
            self.cancelled.add(attempt)
            self.condition.notify_all()
            self.condition.wait_for(lambda: attempt not in self.active)

    def set_active(self, attempt: str, active: bool) -> None:
        """Mark a run as active or ended; its end unblocks a waiting ``cancel``."""
        with self.condition:
            if active:
                self.active.add(attempt)
            else:
                self.active.discard(attempt)
                self.condition.notify_all()


def service_time_factor(path: str, seed: int, sigma: float) -> float:
    """Return a log-normal factor of mean 1, the same whenever the arguments are."""
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
    """Return a pseudorandom body of ``size`` bytes, the same for each call."""
    return random.Random(size).randbytes(size)


def make_control_handler(state_by_id: dict[str, BackendState]) -> type[StandInHandler]:
    """Return a handler class for the control address of these servers."""

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
    """Serve one backend server on its address from the manifest, in a daemon thread."""
    host, _, port = state.server.address.rpartition(":")
    return serve_in_thread(host, int(port), make_handler(state))


def serve_in_thread(
    host: str, port: int, handler: type[StandInHandler]
) -> StandInServer:
    """Listen on an address and serve it in a daemon thread; return the server."""
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
    """Serve the backend servers of a manifest, or one part of them, until killed.

    Parameters
    ----------
    manifest : str
        File that declares the backend servers.
    control : str
        Control address as ``IP:port``.
    service_s, sigma, probe_s, draw_seed, zone_s, queueing
        Initial values of the same fields of ``BackendState``.
    cold : bool
        Whether the servers start cold.
    part, parts : int
        Serve every ``parts``-th server, starting at number ``part`` (from 0).
    """
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
