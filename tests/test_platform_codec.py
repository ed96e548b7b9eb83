"""Tests of the platform's codecs with valid, arbitrary and malformed input."""

import json
import threading

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dotterelpier.errors import (
    AnswerLostError,
    AnswerMismatchError,
    ConfigError,
    RefusedError,
)
from dotterelpier.model.fleet import ExpectedRow
from dotterelpier.model.instance import NO_NOTICE, Instance, LoadFigures
from dotterelpier.model.request import Request
from dotterelpier.model.rollout import RolloutOrder, RolloutState
from dotterelpier.platform.codec import MAX_SLOTS, make_store_codec
from dotterelpier.platform.headers import (
    make_platform_headers,
    read_load,
    read_notice,
)
from tests.fleet_system import (
    ATTEMPT_ID_HEADER,
    SIGNATURE_HEADER,
    config,
    route,
    service,
)

CODEC = make_store_codec()
HEADERS = make_platform_headers()
INSTANCE = Instance("i-1", "svc", "127.0.0.1:80", "zone-a", 4)
REQUEST = Request("try-1", "GET", "shop.example", "/a/x", (("Host", "shop.example"),))

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner)
    ),
    max_leaves=12,
)
KEYS = ("address", "serverInfo", "status", "born", "version", "routes", "services")


def encoded(value) -> bytes:
    return json.dumps(value).encode()


def table_of(*routes):
    route_by_name = {f"r{number}": item for number, item in enumerate(routes)}
    return CODEC.route_table(encoded(config(12, route_by_name, "svc", "other")))


def test_configuration_is_decoded() -> None:
    traffic_split = [
        {"service": "svc", "weight": 90},
        {"service": "other", "weight": 10},
    ]
    table = table_of(
        route("/a/", "svc", kind="download", timeoutMs=None),
        {**route("/a/b/", "", trafficSplit=traffic_split), "service": None},
    )
    assert table.version == 12
    route_a, route_b = (
        table.match("shop.example", "/a/x"),
        table.match("shop.example", "/a/b/c/d"),
    )
    assert (route_a.prefix, route_a.idempotent, route_a.large_bodies) == (
        "/a/",
        True,
        True,
    )
    assert route_a.timeout_s is None
    assert [share.weight for share in route_b.shares] == [90, 10]
    assert (route_b.timeout_s, route_b.target_s, route_b.max_attempts) == (2.0, 0.4, 2)
    assert table.config_by_service["svc"].warmup_per_s == 5.0
    assert table.limits.idle_timeout_s == 15.0


@pytest.mark.parametrize(
    ("path", "prefix"),
    [("/a/x", "/a/"), ("/a/", "/a/"), ("/a/b/x", "/a/b/"), ("/a/bx", "/a/")],
)
def test_longest_matching_prefix_wins(path, prefix) -> None:
    table = table_of(route("/a/", "svc"), route("/a/b/", "svc"))
    assert table.match("shop.example", path).prefix == prefix


@pytest.mark.parametrize("path", ["/a", "/b/x", "", "*", "/"])
def test_path_outside_all_prefixes_has_no_route(path) -> None:
    assert table_of(route("/a/", "svc")).match("shop.example", path) is None


@pytest.mark.parametrize(
    ("change", "key"),
    [
        ({"kind": 3}, "kind"),
        ({"prefix": "/a"}, "prefix"),
        ({"prefix": "a/"}, "prefix"),
        ({"hostname": 3}, "hostname"),
        ({"timeoutMs": "soon"}, "timeoutMs"),
        ({"timeoutMs": -1}, "timeoutMs"),
        ({"maxAttempts": 0}, "maxAttempts"),
        ({"service": "nowhere"}, "nowhere"),
        ({"service": None, "trafficSplit": []}, "trafficSplit"),
    ],
)
def test_error_names_the_key_of_an_invalid_route(change, key) -> None:
    with pytest.raises(ConfigError, match=key):
        table_of({**route("/a/", "svc"), **change})


def test_upload_is_never_repeated_and_has_large_bodies() -> None:
    upload = table_of(route("/a/", "svc", kind="upload")).match("shop.example", "/a/x")
    assert (upload.idempotent, upload.large_bodies) == (False, True)


def test_route_of_an_unknown_kind_is_served_and_never_repeated() -> None:
    table = table_of(route("/a/", "svc", kind="sometimes"), route("/b/", "svc"))
    unknown = table.match("shop.example", "/a/x")
    assert unknown.shares and not unknown.idempotent
    assert table.match("shop.example", "/b/x").idempotent
    assert table.faults == ("routes.r0.kind: 'sometimes' is unknown; never repeated",)


def test_requests_of_a_faulty_route_do_not_fall_to_a_shorter_prefix() -> None:
    faulty = route("/a/b/", "svc", maxAttempts=0)
    table = table_of(route("/a/", "svc"), faulty)
    assert table.match("shop.example", "/a/b/x").shares == ()
    assert table.match("shop.example", "/a/x").shares
    assert any("routes.r1.maxAttempts" in fault for fault in table.faults)


def test_faulty_service_leaves_the_others_in_force() -> None:
    configuration = config(
        12, {"r0": route("/a/", "svc"), "r1": route("/b/", "other")}, "svc", "other"
    )
    configuration["services"]["other"]["healthCheckPath"] = "no path"
    table = CODEC.route_table(encoded(configuration))
    assert table.match("shop.example", "/a/x").shares
    assert table.match("shop.example", "/b/x").shares == ()
    assert any("services.other.healthCheckPath" in fault for fault in table.faults)


def test_row_without_limits_or_version_of_another_type_is_rejected() -> None:
    configuration = config(12, {"r0": route("/a/", "svc")}, "svc")
    for change in ({"version": 12}, {"limits": []}, {"routes": []}):
        with pytest.raises(ConfigError, match=next(iter(change))):
            CODEC.route_table(encoded({**configuration, **change}))


@given(
    table=st.sampled_from(["routes", "services"]),
    key=st.sampled_from(
        [*route("/a/", "svc"), *service(), "trafficSplit", "weight", "new"]
    ),
    value=JSON,
)
def test_one_changed_field_leaves_the_other_routes_in_force(table, key, value) -> None:
    configuration = config(
        12, {"r0": route("/a/", "svc"), "r1": route("/b/", "other")}, "svc", "other"
    )
    name = "r0" if table == "routes" else "svc"
    configuration[table][name][key] = value
    decoded = CODEC.route_table(encoded(configuration))
    other = decoded.match("shop.example", "/b/x")
    assert other is not None and [item.service for item in other.shares] == ["other"]
    changed = decoded.match("shop.example", "/a/x")
    if changed is not None and not changed.shares:
        assert decoded.faults


@given(st.binary(max_size=64) | st.builds(encoded, JSON))
def test_arbitrary_content_raises_only_config_errors(content) -> None:
    for read in (CODEC.route_table, lambda item: CODEC.instance("i-1", item)):
        try:
            read(content)
        except ConfigError as error:
            assert error.faults


@given(st.fixed_dictionaries({}, optional=dict.fromkeys(KEYS, JSON)))
def test_registration_with_arbitrary_values_is_rejected_or_valid(registration) -> None:
    try:
        instance = CODEC.instance("i-1", encoded(registration))
    except ConfigError:
        return
    assert instance.slots >= 1
    assert ":" in instance.address


ORDER = {"service": "svc", "target": "v2", "durationS": 12}


def test_order_of_a_rollout_is_decoded_and_its_state_encoded() -> None:
    order = CODEC.rollout_order("rollout/svc", encoded(ORDER), 7)
    assert order == RolloutOrder("svc", "v2", 12.0, 7)
    assert CODEC.rollout_order_row(order) == ExpectedRow("op", "rollout/svc", 7)
    for state in RolloutState:
        row = CODEC.rollout_status_row(order, state)
        shown = "running" if state is RolloutState.COMPLETING else state.value
        assert (row.table, row.key) == ("status", "rollout/svc")
        assert json.loads(row.value) == {"state": shown, "target": "v2"}


@pytest.mark.parametrize(
    "change",
    [
        {"service": "other"},
        {"target": ""},
        {"target": 2},
        {"durationS": 0},
        {"durationS": True},
        {"durationS": 1e300},
        {"durationS": None},
    ],
)
def test_odd_order_of_a_rollout_is_rejected(change) -> None:
    with pytest.raises(ConfigError):
        CODEC.rollout_order("rollout/svc", encoded({**ORDER, **change}), 1)


@given(st.binary() | JSON.map(encoded))
def test_arbitrary_order_of_a_rollout_raises_only_config_error(content) -> None:
    with pytest.raises(ConfigError):
        CODEC.rollout_order("rollout/svc", content, 1)


def test_registration_is_decoded() -> None:
    registration = {
        "address": "10.0.0.1:80",
        "serverInfo": {"service": "svc", "version": "v1", "zone": "z", "slots": 4},
        "status": {"state": "draining", "sequence": 4, "coldRemainingMs": 1500},
        "born": 1_700_000_000_123,
    }
    instance = CODEC.instance("i-1", encoded(registration))
    assert instance == Instance(
        "i-1", "svc", "10.0.0.1:80", "z", 4, True, 1.5, 1_700_000_000_123, "v1"
    )
    assert instance.report_number == 4


@pytest.mark.parametrize(
    ("text", "load"),
    [
        ("3,0,8", LoadFigures(3, 0, 8, 1.0)),
        ("3,1,8,700", LoadFigures(3, 1, 8, 7.0)),
        ("3,0", None),
        ("3,0,0", None),
        ("-1,0,4", None),
        ("a,b,c", None),
        (None, None),
    ],
)
def test_load_header_is_decoded(text, load) -> None:
    assert read_load(text) == load


def decode(status, *headers):
    return HEADERS.decode_answer(status, headers, b"", REQUEST, INSTANCE)


ATTEMPT = (ATTEMPT_ID_HEADER, "try-1")
SIGNED = (SIGNATURE_HEADER, "s")


def test_answer_with_the_attempt_id_is_accepted() -> None:
    answer = decode(200, ATTEMPT, SIGNED, ("X-Dotterelpier-Server-Load", "1,0,4,700"))
    assert answer.signed
    assert answer.load == LoadFigures(1, 0, 4, 7.0)


def test_answer_with_another_attempt_id_is_a_mismatch() -> None:
    with pytest.raises(AnswerMismatchError):
        decode(200, (ATTEMPT_ID_HEADER, "try-0"), SIGNED)


@pytest.mark.parametrize("status", [400, 421, 429, 503])
def test_answer_with_the_not_executed_header_is_a_refusal(status) -> None:
    with pytest.raises(RefusedError) as caught:
        decode(status, ATTEMPT, ("X-Dotterelpier-Not-Executed", "1"))
    assert caught.value.misdirected == (status == 421)


@pytest.mark.parametrize("status", [400, 421, 429, 503])
def test_refusal_that_names_no_attempt_may_belong_to_an_earlier_request(status) -> None:
    with pytest.raises(AnswerLostError, match="no attempt id"):
        decode(status, ("X-Dotterelpier-Not-Executed", "1"))


@pytest.mark.parametrize("status", [400, 421, 429, 503])
def test_refusal_of_another_attempt_is_a_mismatch(status) -> None:
    with pytest.raises(AnswerMismatchError):
        decode(
            status,
            (ATTEMPT_ID_HEADER, "try-0"),
            ("X-Dotterelpier-Not-Executed", "1"),
        )


@pytest.mark.parametrize(
    ("status", "headers"),
    [
        (503, (ATTEMPT, SIGNED)),
        (429, (ATTEMPT,)),
        (408, (ATTEMPT,)),
        (200, (ATTEMPT,)),
        (204, ()),
        (404, ()),
        (500, ()),
        (500, (SIGNED,)),
    ],
)
def test_answer_that_cannot_be_forwarded_counts_as_lost(status, headers) -> None:
    with pytest.raises(AnswerLostError):
        decode(status, *headers)


def test_request_headers_state_the_instance_and_the_remaining_time() -> None:
    request = Request(
        "try-1", "GET", "h", "/", (("X-Dotterelpier-Deadline-Ms", "9000"), ATTEMPT)
    )
    headers = HEADERS.request_headers(request, INSTANCE, 1.2345)
    assert headers["X-Dotterelpier-Deadline-Ms"] == "1234"
    assert headers["X-Dotterelpier-Expected-Instance"] == "i-1"
    assert headers[ATTEMPT_ID_HEADER] == "try-1"


@pytest.mark.parametrize(
    ("text", "seconds"), [("2000", 2.0), ("0", None), ("x", None), ("inf", None)]
)
def test_client_timeout_is_decoded(text, seconds) -> None:
    variable = "HTTP_X_DOTTERELPIER_DEADLINE_MS"
    assert HEADERS.client_timeout_s({variable: text}) == seconds


HUGE = 10**400

ODD_VALUES = {
    "address": ["127.0.0.1:65536", "127.0.0.1:0", "127.0.0.1:\u0661", "shop:80"]
    + ["127.0.0.1\x00:80", "127.0.0.1\n:80", "127.0.0.1:80:80", ":80", HUGE],
    "born": [HUGE, 1e300, -1, "1", 0.5],
    "serverInfo": [HUGE, "text", []],
    "serverInfo.slots": [HUGE, 1e308, 500_000_000, 0, True],
    "serverInfo.zone": ["\ud800", "zone\x00", "", HUGE],
    "serverInfo.service": ["\ud800", "a\nb", "", HUGE],
    "status.coldRemainingMs": [HUGE, 1e308, -1, "1"],
    "status.state": ["lame", HUGE, None],
}
ODD_FIELDS = [(path, value) for path, items in ODD_VALUES.items() for value in items]


def registration_with(path: str, value) -> dict:
    row = {
        "address": "127.0.0.1:80",
        "serverInfo": {"service": "svc", "zone": "zone-a", "slots": 4},
        "status": {"state": "ready", "sequence": 1, "coldRemainingMs": 0},
        "born": 1,
    }
    *parents, key = path.split(".")
    place = row
    for parent in parents:
        place = place[parent]
    place[key] = value
    return row


@pytest.mark.parametrize(("path", "value"), ODD_FIELDS)
def test_registration_with_a_value_out_of_range_is_rejected(path, value) -> None:
    with pytest.raises(ConfigError, match=path):
        CODEC.instance("i-1", encoded(registration_with(path, value)))


@pytest.mark.parametrize("key", ["", "i\n1", "i 1", "\u00e9", "\ud800", "i" * 201])
def test_registration_whose_id_fits_no_header_is_rejected(key) -> None:
    with pytest.raises(ConfigError):
        CODEC.instance(key, encoded(registration_with("born", 1)))


@given(path=st.sampled_from(sorted(ODD_VALUES)), value=JSON)
def test_any_value_in_a_registration_is_accepted_or_rejected(path, value) -> None:
    try:
        instance = CODEC.instance("i-1", encoded(registration_with(path, value)))
    except ConfigError:
        return
    assert 0 < instance.slots <= MAX_SLOTS


@pytest.mark.parametrize("depth", [100, 900, 950, 970, 980, 985, 990, 5000, 100_000])
def test_deeply_nested_rows_are_rejected(depth) -> None:
    """What can just be parsed may be too deep to be shown in an error."""
    nested = b"[" * depth + b"]" * depth
    for content in (nested, b'{"address": %s, "version": %s}' % (nested, nested)):
        for decode in (lambda row: CODEC.instance("i-1", row), CODEC.route_table):
            with pytest.raises(ConfigError):
                decode(content)


@pytest.mark.parametrize("version", ["f" * 5000, "1" * 17, "0x1", "-1", "1_0", " 1"])
def test_version_that_is_no_hexadecimal_number_is_rejected(version) -> None:
    with pytest.raises(ConfigError, match="version"):
        CODEC.route_table(encoded({**config(1, {}), "version": version}))


@pytest.mark.parametrize("key", ["maxHeaderBytes", "idleTimeoutMs"])
def test_limit_out_of_range_is_rejected(key) -> None:
    row = config(1, {"r": route("/a/", "svc")}, "svc")
    row["limits"][key] = HUGE
    with pytest.raises(ConfigError, match=key):
        CODEC.route_table(encoded(row))


@pytest.mark.parametrize(
    "text", ["1,2,4," + "9" * 400, "1,2," + "9" * 400, "9" * 5000 + ",0,4"]
)
def test_load_with_a_figure_out_of_range_is_ignored(text) -> None:
    """Such a figure raised an error that the health check does not expect."""
    assert read_load(text) is None


@pytest.mark.parametrize("text", ["1e300", "9" * 400, "1" * 30])
def test_durations_of_headers_can_be_waited_for(text) -> None:
    headers = (("X-Dotterelpier-Cold-Remaining-Ms", text),)
    cold_s = HEADERS.decode_health(200, headers).cold_remaining_s
    timeout_s = HEADERS.client_timeout_s({"HTTP_X_DOTTERELPIER_DEADLINE_MS": text})
    for duration_s in (cold_s, timeout_s or 0.0):
        assert duration_s < threading.TIMEOUT_MAX


def notice_of(status: int, *headers: tuple[str, str]):
    return read_notice(status, headers)


@pytest.mark.parametrize(
    ("value", "pause_s"),
    [
        ("2", 2.0),
        ("0.25", 0.25),
        ("0", 0.0),
        ("-1", 0.0),
        ("1e3", 0.0),
        ("nan", 0.0),
        ("", 0.0),
        ("soon", 0.0),
        ("\u0661", 0.0),
        ("Sat, 05 Dec 2026 12:00:00 GMT", 0.0),
        ("9" * 400, 30 * 24 * 3600.0),
        ("9" * 5000, 0.0),
    ],
)
def test_pause_that_a_server_asks_for_is_decoded(value, pause_s) -> None:
    assert notice_of(503, ("Retry-After", value)).retry_after_s == pause_s


def test_longest_of_several_pauses_counts() -> None:
    headers = [("Retry-After", value) for value in ("1", "x", "3", "2")]
    assert notice_of(503, *headers).retry_after_s == 3.0


@pytest.mark.parametrize("status", [200, 429, 500])
def test_only_a_server_that_is_unavailable_asks_for_a_pause(status) -> None:
    assert notice_of(status, ("Retry-After", "2")) == NO_NOTICE


@pytest.mark.parametrize("status", [200, 404, 429, 500, 503])
def test_leaving_server_says_so_in_any_answer(status) -> None:
    assert notice_of(status, ("server-leaving", "1")).leaving
    assert not notice_of(status, ("Server-Leaving", "0")).leaving


def test_misdirected_request_says_nothing_of_the_server_that_was_meant() -> None:
    headers = (("Server-Leaving", "1"), ("Retry-After", "5"))
    assert notice_of(421, *headers) == NO_NOTICE


@pytest.mark.parametrize("status", [200, 500, 503, 429])
@pytest.mark.parametrize("not_executed", [True, False])
def test_notice_comes_with_every_answer_to_the_request(status, not_executed) -> None:
    headers = [(ATTEMPT_ID_HEADER, "try-1"), ("Server-Leaving", "1")]
    if not_executed:
        headers.append(("X-Dotterelpier-Not-Executed", "1"))
    try:
        notice = HEADERS.decode_answer(status, headers, b"", REQUEST, INSTANCE).notice
    except (RefusedError, AnswerLostError) as error:
        notice = error.notice
    assert notice.leaving


@pytest.mark.parametrize("echoed", [(), ((ATTEMPT_ID_HEADER, "other"),)])
def test_notice_of_an_answer_to_no_request_is_ignored(echoed) -> None:
    headers = (*echoed, ("Server-Leaving", "1"), ("Retry-After", "5"))
    with pytest.raises((AnswerLostError, AnswerMismatchError)) as raised:
        HEADERS.decode_answer(503, headers, b"", REQUEST, INSTANCE)
    assert raised.value.notice == NO_NOTICE
