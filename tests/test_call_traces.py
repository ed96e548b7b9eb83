"""Replays recorded failures of calls against what callers must be told."""

from typing import Any

import pytest

from tests.call_system import CallSystem, ScriptedResult
from tests.trace_files import trace_parameters


@pytest.mark.parametrize("trace", trace_parameters("calls.jsonl"))
def test_trace(trace: dict[str, Any]) -> None:
    system = CallSystem()
    outcomes = []
    for name, entry_id, *arguments in trace["steps"]:
        if name == "call":
            results, key, body = arguments
            reply = system.call(
                entry_id,
                tuple(map(ScriptedResult, results)),
                key=key,
                body=body.encode(),
            )
            outcomes.append(reply.outcome and reply.outcome.value)
        else:
            _fail(system, name, entry_id, *arguments)
    system.stop()
    assert outcomes == trace["told"]
    assert len(system.journal) == trace["runs"]


def _fail(system: CallSystem, name: str, entry_id: str, *arguments: Any) -> None:
    entry = system.entry_by_id[entry_id]
    if name == "correct":
        entry.correct()
    elif name == "land_late_writes":
        entry.platform.land_late_writes()
    elif name == "slots":
        (entry.free_slots,) = arguments
    else:
        field = {
            "platform": "down",
            "lose_replies": "lose_replies",
            "delay_write": "delay_writes",
            "fall_after_write": "fall_after_write",
        }[name]
        setattr(entry.platform, field, arguments[0] if arguments else True)
