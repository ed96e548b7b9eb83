"""Tests of what the evidence about one backend server says."""

import pytest

from dotterelpier.model.evidence import ExchangeResult, Observation
from dotterelpier.services.readiness import MAX_FAILURE_HOLD_DOWN_S, ServerReadiness

STEP_S = 0.01


def _observe(
    server: ServerReadiness, result: ExchangeResult, at: float, probe: bool = False
) -> None:
    server.record(Observation("c-01", result, at, None, STEP_S, probe))


def _failures_admitted(duration_s: float) -> int:
    """Return the requests sent to a server whose health is good and that resets all."""
    server = ServerReadiness()
    failures = 0
    for step in range(int(duration_s / STEP_S)):
        now = step * STEP_S
        if step % 100 == 0:
            _observe(server, ExchangeResult.ANSWERED, now, probe=True)
        if server.is_ready(now):
            failures += 1
            _observe(server, ExchangeResult.RESET, now + STEP_S)
    return failures


@pytest.mark.parametrize(("duration_s", "most"), [(1, 3), (10, 7), (100, 19)])
def test_server_that_resets_all_requests_gets_few_requests(
    duration_s, max_failures
) -> None:
    assert 1 < _failures_admitted(duration_s) <= max_failures


def test_concurrent_failures_count_once() -> None:
    server = ServerReadiness()
    _observe(server, ExchangeResult.ANSWERED, 0.0, probe=True)
    for _ in range(4):
        _observe(server, ExchangeResult.RESET, 0.1)
    assert server.is_ready(0.2)


def test_answer_to_a_request_closes_the_circuit_breaker() -> None:
    server = ServerReadiness()
    for index in range(6):
        _observe(server, ExchangeResult.RESET, float(index))
    _observe(server, ExchangeResult.ANSWERED, 10.0, probe=True)
    assert not server.is_ready(10.0)
    _observe(server, ExchangeResult.ANSWERED, 10.1)
    assert server.is_ready(10.1)


def test_open_time_of_the_circuit_breaker_is_bounded() -> None:
    server = ServerReadiness()
    for index in range(50):
        _observe(server, ExchangeResult.RESET, float(index))
    _observe(
        server, ExchangeResult.ANSWERED, 49.0 + MAX_FAILURE_HOLD_DOWN_S, probe=True
    )
    assert server.is_ready(49.0 + MAX_FAILURE_HOLD_DOWN_S)
