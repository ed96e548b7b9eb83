"""End to end: a home is frozen past its lease, and its zone goes out meanwhile."""

import signal
import threading
import time
from pathlib import Path

import pytest

from tests.test_path import SERVER_TEMPLATE, SMALL_MANIFEST
from tests.utils import (
    CONTROL_ADDRESS,
    PLATFORM_ADDRESS,
    System,
    post_json,
    request,
    request_json,
    running_system,
    wait_until,
)

SHORT_LEASE = """
[lease]
lease_s = 2.5
margin_s = 0.5
renew_s = 0.5
heartbeat_s = 0.5
contact_s = 2.0
"""
SERVERS = 4
CALLERS = 6
NEVER_WARM = -1_000_000
IN_FORCE_S = 5.0


@pytest.fixture
def system(tmp_path: Path):
    text = SMALL_MANIFEST + "".join(
        SERVER_TEMPLATE.format(
            service="catalogue", net=2, number=number, zone=number % 2 + 1
        )
        for number in range(1, SERVERS + 1)
    )
    with running_system(tmp_path, text) as running:
        running.start_standins("--cold", "--service_s", "0.1")
        for server in running.manifest.backend_servers:
            faults = {"runs_since_boot": NEVER_WARM}
            post_json(CONTROL_ADDRESS, f"/faults/{server.id}", faults)
        running.start_entries(3, SHORT_LEASE)
        applied = running.apply()
        assert applied.returncode == 0, applied.stderr
        running.wait_ready()
        yield running


class Load:
    """Callers that send to all entries in turn until told to stop."""

    def __init__(self, system: System) -> None:
        self.answered = 0
        self._addresses = [entry.caller_address for entry in system.entries.values()]
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._send, args=(number,))
            for number in range(CALLERS)
        ]

    def __enter__(self) -> "Load":
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _send(self, number: int) -> None:
        while not self._stopping.wait(0.02):
            number += 1
            address = self._addresses[number % len(self._addresses)]
            try:
                reply = request(address, "GET", "/catalogue/tips", timeout_s=2.0)
                self.answered += reply.outcome == "answered"
            except OSError:
                continue


def _home_of(system: System, backend_id: str, *, excluded: str = "") -> str:
    for name, entry in system.entries.items():
        if name == excluded:
            continue
        for server in entry.status()["backend_servers"]:
            if server["id"] == backend_id and server["allowed"]:
                return name
    return ""


def _wait_for_home(system: System, backend_id: str) -> str:
    """Return the home of a backend server; retry while a handover is in progress."""
    names = [""]

    def is_known() -> bool:
        names.append(_home_of(system, backend_id))
        return names[-1] != ""

    wait_until(is_known, f"home of {backend_id}")
    return names[-1]


def _resume_with_slow_platform(system: System, name: str) -> None:
    """Resume an entry so that it learns late from the platform what changed."""
    post_json(PLATFORM_ADDRESS, "/faults", {"slow_s": 0.8})
    system.signal(name, signal.SIGCONT)
    time.sleep(3.0)


@pytest.mark.promise(2)
def test_suspended_home_and_its_successor_keep_the_cold_limit(
    system: System, record_property
) -> None:
    server = system.manifest.backend_servers[0].id
    with Load(system) as load:
        home = _wait_for_home(system, server)
        system.signal(home, signal.SIGSTOP)
        wait_until(lambda: _home_of(system, server, excluded=home) != "", "takeover")
        _resume_with_slow_platform(system, home)
    peaks = request_json(CONTROL_ADDRESS, "/peaks")
    assert load.answered
    assert {item["peak_cold"] for item in peaks.values()} == {1}, peaks
    figure = f"frozen home: at most 1 in flight at {SERVERS} cold servers, "
    record_property("figure", figure + f"{load.answered} calls answered")


@pytest.mark.promise(3)
def test_entry_resumed_after_a_zone_went_out_sends_it_nothing(
    system: System, record_property
) -> None:
    out = system.manifest_file.with_name("out.toml")
    text = system.manifest_file.read_text(encoding="utf-8")
    first_zone = 'name = "tt-north-1"\nregion = "tt-north"\n'
    out.write_text(text.replace(first_zone, first_zone + 'state = "out"\n'))
    ids = {item.id for item in system.manifest.backend_servers}
    zone_ids = {i for i in ids if system.manifest.backend_by_id[i].zone[-1] == "1"}
    home = _wait_for_home(system, min(zone_ids))
    with Load(system):
        system.signal(home, signal.SIGSTOP)
        applied = system.apply(out)
        assert applied.returncode == 0, applied.stderr
        time.sleep(IN_FORCE_S)
        before = len(_journal(zone_ids))
        _resume_with_slow_platform(system, home)
    assert len(_journal(zone_ids)) == before
    assert _journal(ids - zone_ids)
    record_property("figure", "0 calls to the zone after an entry frozen at its leave")


def _journal(ids: set[str]) -> list[object]:
    runs = request_json(CONTROL_ADDRESS, "/journal")
    return [run for run in runs if run["backend_id"] in ids]
