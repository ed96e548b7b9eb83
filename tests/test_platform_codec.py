"""The platform's configuration, registry and headers, whole, foreign and broken."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dotterelpier.errors import (
    AnswerLostError,
    AnswerMismatchError,
    ConfigError,
    RefusedError,
)
from dotterelpier.model.instance import Instance, LoadFigures
from dotterelpier.model.request import Request
from dotterelpier.platform.codec import make_store_codec
from dotterelpier.platform.headers import make_platform_headers, read_load
from tests.fleet_system import ID, SIGNATURE, config, route

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
    named = {f"r{number}": item for number, item in enumerate(routes)}
    return CODEC.route_table(encoded(config(12, named, "svc", "other")))


def test_configuration_is_read() -> None:
    split = [{"service": "svc", "weight": 90}, {"service": "other", "weight": 10}]
    table = table_of(
        route("/a/", "svc", kind="download", timeoutMs=None),
        {**route("/a/b/", "", trafficSplit=split), "service": None},
    )
    assert table.version == 12
    near, far = (
        table.match("shop.example", "/a/x"),
        table.match("shop.example", "/a/b/c/d"),
    )
    assert (near.prefix, near.idempotent, near.large_answers) == ("/a/", True, True)
    assert near.timeout_s is None
    assert [share.weight for share in far.shares] == [90, 10]
    assert (far.timeout_s, far.target_s, far.max_attempts) == (2.0, 0.4, 2)
    assert table.config_by_service["svc"].warmup_per_s == 5.0
    assert table.limits.idle_timeout_s == 15.0


@pytest.mark.parametrize(
    ("path", "prefix"),
    [("/a/x", "/a/"), ("/a/", "/a/"), ("/a/b/x", "/a/b/"), ("/a/bx", "/a/")],
)
def test_longest_prefix_is_taken(path, prefix) -> None:
    table = table_of(route("/a/", "svc"), route("/a/b/", "svc"))
    assert table.match("shop.example", path).prefix == prefix


@pytest.mark.parametrize("path", ["/a", "/b/x", "", "*", "/"])
def test_path_outside_all_prefixes_has_no_route(path) -> None:
    assert table_of(route("/a/", "svc")).match("shop.example", path) is None


@pytest.mark.parametrize(
    ("change", "key"),
    [
        ({"kind": "sometimes"}, "kind"),
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
def test_faulty_route_is_refused_by_its_key(change, key) -> None:
    with pytest.raises(ConfigError, match=key):
        table_of({**route("/a/", "svc"), **change})


@given(st.binary(max_size=64) | st.builds(encoded, JSON))
def test_foreign_content_is_refused_and_never_fails_otherwise(content) -> None:
    for read in (CODEC.route_table, lambda item: CODEC.instance("i-1", item)):
        try:
            read(content)
        except ConfigError as error:
            assert error.faults


@given(st.fixed_dictionaries({}, optional=dict.fromkeys(KEYS, JSON)))
def test_entry_of_another_writer_names_nothing_or_is_whole(entry) -> None:
    try:
        instance = CODEC.instance("i-1", encoded(entry))
    except ConfigError:
        return
    assert instance.slots >= 1
    assert ":" in instance.address


def test_registration_is_read() -> None:
    entry = {
        "address": "10.0.0.1:80",
        "serverInfo": {"service": "svc", "version": "v1", "zone": "z", "slots": 4},
        "status": {"state": "draining", "sequence": 4, "coldRemainingMs": 1500},
        "born": 1_700_000_000_123,
    }
    instance = CODEC.instance("i-1", encoded(entry))
    assert instance == Instance(
        "i-1", "svc", "10.0.0.1:80", "z", 4, True, 1.5, 1_700_000_000_123
    )


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
def test_load(text, load) -> None:
    assert read_load(text) == load


def decode(status, *headers):
    return HEADERS.decode_answer(status, headers, b"", REQUEST, INSTANCE)


OWN = (ID, "try-1")
SIGNED = (SIGNATURE, "s")


def test_own_answer_is_read() -> None:
    answer = decode(200, OWN, SIGNED, ("X-Dotterelpier-Server-Load", "1,0,4,700"))
    assert answer.signed
    assert answer.load == LoadFigures(1, 0, 4, 7.0)


def test_answer_to_another_request_is_a_mismatch() -> None:
    with pytest.raises(AnswerMismatchError):
        decode(200, (ID, "try-0"), SIGNED)


@pytest.mark.parametrize("status", [400, 421, 429, 503])
def test_stated_refusal_did_not_run(status) -> None:
    with pytest.raises(RefusedError) as caught:
        decode(status, ("X-Dotterelpier-Not-Executed", "1"))
    assert caught.value.misdirected == (status == 421)


@pytest.mark.parametrize(
    ("status", "headers"),
    [(503, (OWN, SIGNED)), (429, (OWN,)), (408, (OWN,)), (200, (OWN,)), (204, ())],
)
def test_answer_that_cannot_be_passed_on_is_lost(status, headers) -> None:
    with pytest.raises(AnswerLostError):
        decode(status, *headers)


def test_request_names_the_instance_and_the_time_left() -> None:
    request = Request(
        "try-1", "GET", "h", "/", (("X-Dotterelpier-Deadline-Ms", "9000"), OWN)
    )
    headers = HEADERS.request_headers(request, INSTANCE, 1.2345)
    assert headers["X-Dotterelpier-Deadline-Ms"] == "1234"
    assert headers["X-Dotterelpier-Expected-Instance"] == "i-1"
    assert headers[ID] == "try-1"


@pytest.mark.parametrize(
    ("text", "seconds"), [("2000", 2.0), ("0", None), ("x", None), ("inf", None)]
)
def test_patience_of_a_client(text, seconds) -> None:
    variable = "HTTP_X_DOTTERELPIER_DEADLINE_MS"
    assert HEADERS.client_timeout_s({variable: text}) == seconds
