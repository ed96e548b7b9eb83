"""Check of a configuration before it is written to the store."""

import io
import json
from copy import deepcopy

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dotterelpier.cli.environment import Environment
from dotterelpier.cli.main import run
from dotterelpier.errors import ConfigError
from dotterelpier.exit_status import ExitStatus
from dotterelpier.platform.config_check import check_configuration
from tests.fakes import ManualClock
from tests.fleet_system import config, route, service
from tests.test_platform_codec import CODEC, JSON, encoded

VALID = config(12, {"a": route("/a/", "svc"), "b": route("/b/", "cart")}, "svc", "cart")
KEYS = [*route("/a/", "svc"), *service(), "trafficSplit", "new"]
PATHS = st.sampled_from(
    [
        *(("routes", "a", key) for key in KEYS),
        *(("services", "svc", key) for key in KEYS),
        *(("limits", key) for key in VALID["limits"]),
        *(((key,)) for key in VALID),
    ]
)


def changed(*changes) -> dict:
    """Return the valid configuration with values set at some paths."""
    result = deepcopy(VALID)
    for *parents, key, value in changes:
        item = result
        for name in parents:
            item = item[name]
        item[key] = value
    return result


def report_of(*changes):
    return check_configuration(CODEC, encoded(changed(*changes)))


def reader_objects(content: bytes) -> bool:
    try:
        return bool(CODEC.route_table(content).faults)
    except ConfigError:
        return True


@given(path=PATHS, value=JSON, other=st.binary(max_size=8) | st.builds(encoded, JSON))
def test_error_exactly_where_the_reader_objects(path, value, other) -> None:
    content = encoded(changed((*path, value)))
    assert bool(check_configuration(CODEC, content).errors) == reader_objects(content)
    for arbitrary in (other, encoded(value)):
        errors = check_configuration(CODEC, arbitrary, content).errors
        assert bool(errors) == reader_objects(arbitrary)


@pytest.mark.parametrize("depth", [13, 500, 900, 950, 970, 985, 990, 5000])
def test_deeply_nested_values_end_no_check(depth) -> None:
    """Unknown keys are ignored, so what they hold is no error of the reader."""
    nested = b"[" * depth + b"]" * depth
    content = b'{"x": %s, %s' % (nested, encoded(VALID)[1:])
    report = check_configuration(CODEC, content, encoded(VALID))
    assert bool(report.errors) == reader_objects(content)


def test_valid_configuration_has_no_findings() -> None:
    report = check_configuration(CODEC, encoded(VALID), encoded(VALID))
    assert (report.errors, report.warnings, report.changes) == ((), (), ())


SPLIT = [{"service": "cart", "weight": 0}, {"service": "svc", "weight": 1}]


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ([("routes", "b", "prefix", "/a/")], "routes.a: never matches"),
        ([("routes", "a", "hostname", "h:80")], "routes.a.hostname: never matches"),
        ([("routes", "a", "prefix", "/a?b/")], "routes.a.prefix: never matches"),
        ([("services", "new", service())], "services.new: no route uses it"),
        (
            [
                ("routes", "b", "service", None),
                ("routes", "b", "trafficSplit", SPLIT),
            ],
            "services.cart: gets no requests",
        ),
        ([("routes", "a", "targetLatencyMs", 2001)], "routes.a.targetLatencyMs: 2001"),
        ([("routes", "a", "targetLatencyMs", 0)], "routes.a.targetLatencyMs: no"),
        ([("routes", "a", "timeoutMs", 0)], "routes.a.timeoutMs: no answer"),
        ([("routes", "a", "timeoutMs", 30_001)], "routes.a.timeoutMs: 30001 ms"),
        ([("services", "svc", "warmupPerS", 0)], "services.svc.warmupPerS: with 0"),
        ([("limits", "idleTimeoutMs", 2999)], "limits.idleTimeoutMs: 2999 ms is below"),
    ],
)
def test_warning_names_the_key(changes, expected) -> None:
    report = report_of(*changes)
    assert report.errors == ()
    assert any(item.startswith(expected) for item in report.warnings), report.warnings


@pytest.mark.parametrize(
    "change",
    [
        ("routes", "a", "maxAttempts", 0),
        ("routes", "a", "service", "nowhere"),
        ("version", 12),
    ],
)
def test_what_the_reader_refuses_is_an_error(change) -> None:
    assert report_of(change).errors


def test_keys_that_appear_twice_and_differences_are_reported() -> None:
    twice = encoded(VALID).replace(b'"a": {', b'"b": {}, "a": {', 1)
    (warning,) = check_configuration(CODEC, twice).warnings
    assert warning.startswith("b: appears twice")
    tenants = {"shop": {"apiKeys": ["secret-1"]}}
    before = changed(("routes", "a", "new", 1), ("tenants", tenants))
    tenants = {"shop": {"apiKeys": ["secret-2", "secret-3"]}}
    after = changed(("routes", "a", "timeoutMs", 1500), ("tenants", tenants))
    report = check_configuration(CODEC, encoded(after), encoded(before))
    assert sorted(report.changes) == [
        "routes.a.new: removed",
        "routes.a.timeoutMs: 2000 -> 1500",
        "tenants.shop.apiKeys[0]: (hidden) -> (hidden)",
        "tenants.shop.apiKeys[1]: added (hidden)",
    ]


def run_check(tmp_path, *options: str, **content: bytes) -> tuple:
    for name, text in content.items():
        (tmp_path / name).write_bytes(text)
    streams = (io.StringIO(), io.StringIO(), io.StringIO())
    environment = Environment(*streams, ManualClock(), "user", "host")
    paths = [str(tmp_path / item) if item in content else item for item in options]
    status = run(("config", "check", *paths), environment)
    return status, streams[1].getvalue(), streams[2].getvalue()


def test_command_reports_in_text_and_json(tmp_path) -> None:
    after = encoded(changed(("routes", "a", "targetLatencyMs", 2500)))
    files = {"new": after, "old": encoded(VALID)}
    status, output, errors = run_check(tmp_path, "new", "--against", "old", **files)
    assert (status, errors) == (ExitStatus.OK, "")
    assert "warning: routes.a.targetLatencyMs" in output
    assert "change: routes.a.targetLatencyMs: 400 -> 2500" in output
    assert "errors: 0, warnings: 1, changes: 1" in output
    files["new"] = encoded(changed(("routes", "a", "maxAttempts", 0)))
    status, output, errors = run_check(tmp_path, "new", **files)
    assert status is ExitStatus.MANIFEST_INVALID
    assert "new: routes.a.maxAttempts: expected at least 1" in errors
    status, output, _ = run_check(tmp_path, "new", "--json", **files)
    assert status is ExitStatus.MANIFEST_INVALID
    assert "maxAttempts" in json.loads(output)["errors"][0]


@pytest.mark.parametrize("options", [("none",), ("new", "--against", "bad")])
def test_file_that_cannot_be_read_is_named(tmp_path, options) -> None:
    files = {"new": encoded(VALID), "bad": b"["}
    status, _, errors = run_check(tmp_path, *options, **files)
    assert status is ExitStatus.MANIFEST_INVALID
    assert options[-1] in errors and errors.count("\n") == 1
