"""Calls, directory and commands end to end, with separate processes on loopback."""

import json
from pathlib import Path

import pytest

from tests.utils import ROOT, System, request, run_command, running_system

SMALL_MANIFEST = """
tenant = "caroni"

[[zones]]
name = "tt-north-1"
region = "tt-north"

[[zones]]
name = "tt-north-2"
region = "tt-north"

[[services]]
name = "catalogue"

[[services]]
name = "reservations"

[[services.non_idempotent]]
method = "POST"

"""

SERVER_TEMPLATE = """
[[backend_servers]]
id = "{service}-{number}"
service = "{service}"
address = "127.23.{net}.{number}:8080"
zone = "tt-north-{zone}"

"""


@pytest.fixture(scope="module")
def system(tmp_path_factory):
    folder = tmp_path_factory.mktemp("system")
    text = SMALL_MANIFEST + "".join(
        SERVER_TEMPLATE.format(
            service=service, net=net, number=number, zone=number % 2 + 1
        )
        for net, service in enumerate(("catalogue", "reservations"))
        for number in range(1, 5)
    )
    with running_system(folder, text) as running:
        running.start_standins()
        running.start_entries(3)
        applied = running.apply()
        assert applied.returncode == 0, applied.stderr
        running.wait_ready()
        yield running


def _address(system: System) -> str:
    return system.entries["entry-1"].caller_address


def test_call_is_answered(system: System) -> None:
    reply = request(_address(system), "GET", "/catalogue/tips/7?size=2")
    assert reply.status == 200
    assert reply.outcome == "answered"
    assert b" GET /tips/7?size=2 " in reply.body


def test_directory_lists_entries_in_two_zones(system: System) -> None:
    reply = request(_address(system), "GET", "/v1/entries?service=catalogue")
    answer = json.loads(reply.body)
    assert len({entry["zone"] for entry in answer["entries"]}) == 2
    assert reply.headers["Cache-Control"] == f"max-age={answer['max_age_s']}"


def test_repeated_key_gets_the_recorded_answer(system: System) -> None:
    replies = [
        request(
            entry.caller_address,
            "POST",
            "/reservations/spares",
            b"one",
            {"Idempotency-Key": "key-1"},
        )
        for entry in system.entries.values()
    ]
    assert len({reply.body for reply in replies}) == 1
    assert {reply.outcome for reply in replies} == {"answered"}


def test_key_reused_with_another_body_is_refused(system: System) -> None:
    key = {"Idempotency-Key": "key-2"}
    request(_address(system), "POST", "/reservations/spares", b"one", key)
    reply = request(_address(system), "POST", "/reservations/spares", b"two", key)
    assert reply.status == 422
    assert json.loads(reply.body)["code"] == "key_reused"


@pytest.mark.parametrize(
    ("target", "headers", "status", "code"),
    [
        ("/nothing/x", {}, 404, "unknown_service"),
        ("/catalogue/x", {"Dotterelpier-Timeout": "soon"}, 400, "invalid_call"),
        ("/catalogue/../x", {}, 400, "invalid_call"),
        ("/v1/entries", {}, 400, "invalid_call"),
    ],
)
def test_invalid_input_is_answered_with_its_error_code(
    system: System, target, headers, status, code
) -> None:
    reply = request(_address(system), "GET", target, headers=headers)
    problem = json.loads(reply.body)
    assert (reply.status, problem["code"]) == (status, code)
    assert reply.outcome == "not-run"


def test_metrics_and_health(system: System) -> None:
    operators = system.entries["entry-1"].operator_address
    assert request(operators, "GET", "/healthz").status == 200
    assert b"dotterelpier_calls_total" in request(operators, "GET", "/metrics").body


def test_manifest_show_and_audit(system: System) -> None:
    settings = str(system.entries["entry-1"].settings)
    shown = run_command("manifest", "show", "--settings", settings)
    assert "# revision 1" in shown.stdout
    trail = run_command("audit", "--json", "--settings", settings)
    entries = [json.loads(line) for line in trail.stdout.splitlines()]
    applied = [entry for entry in entries if entry["event"] == "manifest.apply"]
    assert [(entry["revision"], entry["outcome"]) for entry in applied] == [
        (1, "accepted")
    ]


def test_bad_manifest_is_refused(tmp_path: Path) -> None:
    file = tmp_path / "bad.toml"
    file.write_text("tenant = 3\n")
    checked = run_command("manifest", "check", str(file))
    assert checked.returncode == 4
    assert "tenant" in checked.stderr


def test_version_without_platform() -> None:
    assert run_command("version").stdout.strip()
    assert ROOT.exists()
