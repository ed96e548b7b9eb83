"""The row of an entry in the store, while the store refuses to write it."""

import pytest

from dotterelpier.errors import PlatformUnavailableError
from dotterelpier.fleet import members
from tests.fleet_system import start_fleet_system
from tests.utils import wait_until

REFUSALS = 8


class RefusingStore:
    """Connection to a store that answers reads but refuses some writes."""

    def __init__(self, store) -> None:
        self._store, self.writes = store, 0

    def put(self, table, key, value):
        self.writes += 1
        if self.writes <= REFUSALS:
            raise PlatformUnavailableError("503", step="store.commit", peer="store")
        return self._store.put(table, key, value)

    def __getattr__(self, name):
        return getattr(self._store, name)


@pytest.fixture
def pauses_s(monkeypatch):
    """Return the limits of the pauses of the entry, each of which is cut short."""
    recorded = []

    def draw(low: float, high: float) -> float:
        recorded.append((low, high))
        return 0.01

    monkeypatch.setattr(members.random, "uniform", draw, raising=False)
    return recorded


def test_refused_row_is_written_again_after_growing_pauses(
    pauses_s, monkeypatch
) -> None:
    """A restarted entry wrote its row 600 times a second while the store refused it."""
    stores = []
    follow = members.FollowedFleet.start

    def start(fleet) -> None:
        fleet._store = RefusingStore(fleet._store)
        stores.append(fleet._store)
        follow(fleet)

    monkeypatch.setattr(members.FollowedFleet, "start", start)
    system = start_fleet_system()
    wait_until(lambda: system.store.keys("entries"), "the row is written")
    system.stop()
    assert stores[0].writes == REFUSALS + 1
    assert len(pauses_s) == REFUSALS
    longest_s = [high for _, high in pauses_s]
    assert longest_s == sorted(longest_s)
    assert longest_s[-1] == members.WRITE_RETRY_MAX_S > longest_s[0]
    assert all(0 < low < high for low, high in pauses_s)
