"""Rows of the platform's store that order roll-outs and tell their states."""

import json
import math
from typing import Any

from dotterelpier.errors import ConfigError
from dotterelpier.model.fleet import ExpectedRow, RowWrite
from dotterelpier.model.rollout import RolloutOrder, RolloutState

STEP = "platform.rollouts"
ORDER_TABLE = "op"
STATUS_TABLE = "status"
KEY_PREFIX = "rollout/"
# A day; waits of the operating system and of Python are limited.
MAX_DURATION_S = 24 * 3600


class RolloutRows:
    """Decodes orders of roll-outs, and encodes their states.

    Holds no state, so that any thread may use it.
    """

    def rollout_service(self, key: str) -> str | None:
        """Return the service whose roll-out the row orders, None for other rows."""
        if not key.startswith(KEY_PREFIX):
            return None
        return key.removeprefix(KEY_PREFIX)

    def rollout_order(self, key: str, content: bytes, version: int) -> RolloutOrder:
        """Return the order that the row with a version holds.

        Raises
        ------
        ConfigError
            If the row is not valid, or names another service than its key.
        """
        try:
            row = json.loads(content)
            if not isinstance(row, dict):
                raise ValueError(f"expected a map, got {row!r:.80}")
            service = _text(row, "service")
            if service != self.rollout_service(key):
                raise ValueError(f"service: {service!r:.80} does not fit the key")
            target, duration_s = _text(row, "target"), _duration_s(row, "durationS")
        except (ValueError, RecursionError) as error:
            raise ConfigError((f"{key:.80}: {error}",), step=STEP) from None
        return RolloutOrder(service, target, duration_s, version)

    def rollout_order_row(self, order: RolloutOrder) -> ExpectedRow:
        """Return the row that holds an order, with its version."""
        return ExpectedRow(ORDER_TABLE, KEY_PREFIX + order.service, order.version)

    def rollout_status_row(self, order: RolloutOrder, state: RolloutState) -> RowWrite:
        """Return the row that tells operators the state of an order."""
        shown = state if state.is_final else RolloutState.RUNNING
        value = json.dumps({"state": shown.value, "target": order.target})
        return RowWrite(STATUS_TABLE, KEY_PREFIX + order.service, value.encode())


def _text(row: dict[str, Any], key: str) -> str:
    value = row.get(key)
    if not isinstance(value, str) or not value or not value.isprintable():
        raise ValueError(f"{key}: expected printable text, got {value!r:.80}")
    return value


def _duration_s(row: dict[str, Any], key: str) -> float:
    value = row.get(key)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"{key}: expected a number, got {value!r:.80}")
    if not math.isfinite(value) or not 0 < value <= MAX_DURATION_S:
        raise ValueError(f"{key}: expected seconds up to {MAX_DURATION_S}")
    return float(value)
