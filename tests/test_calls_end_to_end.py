"""Calls through separate processes: broken downloads and repeated idempotency keys."""

import http.client
import signal
from concurrent.futures import ThreadPoolExecutor

import pytest

from tests.standins.backend import large_body
from tests.test_path import SERVER_TEMPLATE, SMALL_MANIFEST
from tests.utils import (
    CONTROL_ADDRESS,
    PLATFORM_ADDRESS,
    Reply,
    System,
    post_json,
    request,
    request_json,
    running_system,
)

LARGE_BYTES = 2 << 20
SERVERS = 4


@pytest.fixture(scope="module")
def system(tmp_path_factory):
    text = SMALL_MANIFEST + "".join(
        SERVER_TEMPLATE.format(
            service=service, net=net, number=number, zone=number % 2 + 1
        )
        for net, service in enumerate(("catalogue", "reservations"))
        for number in range(1, SERVERS + 1)
    )
    with running_system(tmp_path_factory.mktemp("system"), text) as running:
        running.start_standins()
        running.start_entries(3)
        applied = running.apply()
        assert applied.returncode == 0, applied.stderr
        running.wait_ready()
        yield running


def set_faults(service: str, **faults: object) -> None:
    for number in range(1, SERVERS + 1):
        post_json(CONTROL_ADDRESS, f"/faults/{service}-{number}", faults)


def call(system: System, entry: str, target: str, key: str = "") -> Reply | None:
    """Return the answer, or None if the connection to the entry failed."""
    address = system.entries[entry].caller_address
    try:
        if not key:
            return request(address, "GET", target)
        headers = {"Idempotency-Key": key}
        return request(address, "POST", target, b"item", headers)
    except (OSError, http.client.HTTPException):
        return None


def runs_by_key() -> dict[str, int]:
    counted: dict[str, int] = {}
    for run in request_json(CONTROL_ADDRESS, "/journal"):
        counted[run["key"]] = counted.get(run["key"], 0) + 1
    return counted


@pytest.mark.promise(4)
def test_large_answers_are_complete_when_servers_break_off(system) -> None:
    body = large_body(LARGE_BYTES)
    for entry in system.entries:
        set_faults("catalogue", break_offs=1)
        reply = call(system, entry, f"/catalogue/large/{LARGE_BYTES}")
        assert reply is not None and reply.body == body
    runs = request_json(CONTROL_ADDRESS, "/journal")
    assert len(runs) > len(system.entries)


@pytest.mark.promise(4)
def test_large_answer_that_cannot_resume_is_truncated(system) -> None:
    set_faults("catalogue", break_offs=100)
    address = system.entries["entry-1"].caller_address
    with pytest.raises(http.client.IncompleteRead):
        request(address, "GET", f"/catalogue/large/{LARGE_BYTES}")
    set_faults("catalogue", break_offs=0)


@pytest.mark.promise(6)
def test_keys_run_once_while_replies_are_lost_and_an_entry_dies(
    system, record_property
) -> None:
    keys = [f"key-{number}" for number in range(30)]

    def repeat(key: str) -> list[Reply | None]:
        if key == keys[15]:
            system.signal("entry-3", signal.SIGKILL)
        replies = []
        for entry in system.entries:
            post_json(PLATFORM_ADDRESS, "/faults", {"lose_replies": 1})
            replies.append(call(system, entry, "/reservations/spares", key))
        return replies

    with ThreadPoolExecutor(6) as executor:
        replies_by_key = dict(zip(keys, executor.map(repeat, keys), strict=True))
    runs = runs_by_key()
    assert all(runs.get(key, 0) <= 1 for key in keys)
    for key, replies in replies_by_key.items():
        bodies = {reply.body for reply in replies if reply and reply.status == 200}
        assert len(bodies) <= runs.get(key, 0)
    outcomes = [
        reply.outcome for all_ in replies_by_key.values() for reply in all_ if reply
    ]
    counts = ", ".join(
        f"{outcomes.count(name)} {name}" for name in sorted(set(outcomes))
    )
    record_property("figure", f"of {len(keys)} keys sent three times: {counts}")
