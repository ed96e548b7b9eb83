"""Heartbeats between entries that arrive out of order."""

import pytest

from dotterelpier.model.membership import Heartbeat, Member
from dotterelpier.services.heartbeat_tracker import make_heartbeat_tracker

PEER = Member("e-2", "a", "x:1", "x:2", "x:3")


@pytest.mark.parametrize(
    ("later", "earlier"),
    [
        (Heartbeat("e-2", 3, leaving=True), Heartbeat("e-2", 3)),
        (Heartbeat("e-2", 4, leaving=True), Heartbeat("e-2", 3)),
        (Heartbeat("e-2", 4), Heartbeat("e-2", 3)),
    ],
)
def test_late_reply_does_not_undo_a_later_heartbeat(later, earlier) -> None:
    """It listed a leaving entry again, in the directory and as a target of relays."""
    tracker = make_heartbeat_tracker(2.0)
    tracker.record_heartbeat(PEER, later, 10.0, 3)
    tracker.record_reply(PEER, earlier, 9.9, 3)
    status = tracker.status(PEER)
    assert (status.heartbeat, status.last_heartbeat_at) == (later, 10.0)


def test_next_heartbeat_replaces_the_one_before() -> None:
    tracker = make_heartbeat_tracker(2.0)
    for at, heartbeat in enumerate(
        [Heartbeat("e-2", 3), Heartbeat("e-2", 4), Heartbeat("e-2", 4, leaving=True)]
    ):
        tracker.record_heartbeat(PEER, heartbeat, float(at), 3)
        assert tracker.status(PEER).heartbeat == heartbeat
