"""Replays recorded traces of failures against their stated outcomes."""

from typing import Any

import pytest

from tests.members import Cluster
from tests.trace_files import trace_parameters


@pytest.mark.parametrize("trace", trace_parameters("homes.jsonl"))
def test_trace(trace: dict[str, Any]) -> None:
    cluster = Cluster()
    for name, *arguments in trace["steps"]:
        getattr(cluster, name)(*arguments)
    for name, expected in trace["expected"].items():
        assert _outcome(cluster, name, expected) == expected, name


def _outcome(cluster: Cluster, name: str, expected: Any) -> Any:
    by_name = cluster.node_by_name
    if not isinstance(expected, dict):
        return {
            "homes": cluster.homes_of_server,
            "peak": lambda: cluster.peak,
            "rows": lambda: len(cluster.members()),
            "conflicts": lambda: cluster.conflicts,
            "in_force": lambda: cluster.newest_in_force(),
        }[name]()
    read_node = {
        "revision": lambda node: node.revision(),
        "admits": lambda node: node.admits(),
        "takes_work": lambda node: node.membership.may_take_work(),
        "live": lambda node: len(node.membership.live_by_id()),
    }[name]
    return {key: read_node(by_name[key]) for key in expected}
