"""Judging leases by how long their rows stay unchanged."""

from dotterelpier.model.membership import Member
from dotterelpier.services.lease_tracker import LeaseTracker, make_lease_tracker

MEMBER = Member("a", "north", "10.0.0.1:1", "10.0.0.1:2", "10.0.0.1:3", lease_s=6.0)


def _track_unchanged(*times: float) -> LeaseTracker:
    lease_tracker = make_lease_tracker(margin_s=1.0, contact_s=4.0)
    for at in times:
        lease_tracker.record_scan([(MEMBER, "1")], at, at)
    return lease_tracker


def test_lapsed_only_after_lease_and_margin() -> None:
    lease_tracker = _track_unchanged(0.0, 3.0, 6.0)
    assert not lease_tracker.has_lapsed("a", since=5.0)
    lease_tracker.record_scan([(MEMBER, "1")], 7.5, 7.5)
    assert lease_tracker.has_lapsed("a", since=5.0)


def test_scan_before_the_assignment_does_not_count() -> None:
    lease_tracker = _track_unchanged(0.0, 3.0, 6.0, 7.5)
    assert not lease_tracker.has_lapsed("a", since=7.5)
    assert not lease_tracker.has_lapsed("gone", since=7.5)
    assert lease_tracker.has_lapsed("gone", since=7.0)


def test_gap_between_scans_restarts_the_observation() -> None:
    lease_tracker = _track_unchanged(0.0, 3.0, 20.0, 23.0, 26.0)
    assert not lease_tracker.has_lapsed("a", since=25.0)
    lease_tracker.record_scan([(MEMBER, "1")], 27.5, 27.5)
    assert lease_tracker.has_lapsed("a", since=27.0)
