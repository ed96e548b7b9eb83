"""Tests of the status page and the command that shows it."""

import io

from dotterelpier.cli.environment import Environment
from dotterelpier.cli.main import run
from dotterelpier.exit_status import ExitStatus
from dotterelpier.model.manifest import MeasuringBudget
from dotterelpier.services.probe_budget import ProbeBudget
from tests.fakes import ManualClock
from tests.test_path import SERVER_TEMPLATE, SMALL_MANIFEST
from tests.utils import NET, request, running_system


def _run(*arguments: str) -> tuple[ExitStatus, str, str]:
    streams = (io.StringIO(), io.StringIO(), io.StringIO())
    environment = Environment(*streams, ManualClock(), "user", "host")
    status = run(arguments, environment)
    return status, streams[1].getvalue(), streams[2].getvalue()


def test_status_of_all_members_while_the_platform_is_down(tmp_path) -> None:
    server = SERVER_TEMPLATE.format(service="catalogue", net=0, number=1, zone=1)
    with running_system(tmp_path, SMALL_MANIFEST + server) as system:
        system.start_standins()
        system.start_entries(2)
        assert system.apply().returncode == 0
        system.wait_ready()
        settings = str(system.entries["entry-1"].settings)
        status, shown, errors = _run("status", "--all", "--settings", settings)
        assert status is ExitStatus.OK, errors
        assert {line.split(".")[0] for line in shown.splitlines()} >= {
            "entry-1",
            "entry-2",
        }
        assert "catalogue-1" in shown

        system.processes["platform"].kill()
        system.processes["entry-2"].kill()
        status, shown, errors = _run("status", "--all", "--settings", settings)
        assert status is ExitStatus.ENTRY_UNAVAILABLE
        assert "platform_unavailable" in errors
        assert f"status at 127.{NET}.1.2:8003" in errors
        assert "entry-1" in shown

        address = system.entries["entry-1"].operator_address
        pages = {
            target: request(address, "GET", target) for target in ("/metrics", "/x")
        }
        assert b"dotterelpier_revision 1.0" in pages["/metrics"].body
        assert pages["/x"].status == 404
        assert request(address, "POST", "/metrics").status == 405


def test_unreachable_entry_has_its_own_exit_status() -> None:
    status, _, errors = _run("status", "--address", f"127.{NET}.9.9:1")
    assert status is ExitStatus.ENTRY_UNAVAILABLE
    assert errors.count("\n") == 1


def test_spent_budget_is_the_largest_share_of_all_allowances() -> None:
    measuring = MeasuringBudget(probes_per_s=1.0, probe_s=0.006, slot_share=0.01)
    budget = ProbeBudget(measuring, slots=4, refilled_at=0.0)
    assert budget.spent_share(0.0) == 0.0
    assert budget.take(1.0)
    assert budget.spent_share(2.0) == 0.5
    budget.charge_excess(0, 0.086)
    assert budget.spent_share(2.0) > 1.0
