"""Applying manifests: conflicts, lost replies, the audit trail."""

import pytest

from dotterelpier.errors import (
    ConflictError,
    ManifestError,
    PlatformUnavailableError,
)
from dotterelpier.manifest_apply import (
    AppliedManifest,
    ApplyContext,
    apply_manifest,
    count_acknowledgements,
    current_manifest,
)
from dotterelpier.manifest_changes import manifest_changes
from dotterelpier.model.audit import AuditEntry
from dotterelpier.model.membership import Member
from dotterelpier.wire.manifest_toml import read_manifest
from dotterelpier.wire.rows import AUDIT_PREFIX, decode_row
from tests.fakes import ManualClock, MemoryPlatform
from tests.members import manifest_text


@pytest.fixture
def platform() -> MemoryPlatform:
    return MemoryPlatform(ManualClock())


def _apply(
    platform: MemoryPlatform, text: str, apply_id: str = "one"
) -> AppliedManifest:
    apply_context = ApplyContext("test", "host", apply_id)
    return apply_manifest(platform, platform, platform.clock, text, apply_context)


def _trail(platform: MemoryPlatform) -> list[AuditEntry]:
    return [decode_row(row, AuditEntry) for row in platform.scan(AUDIT_PREFIX)]


def test_each_changed_key_has_one_line() -> None:
    before = read_manifest(manifest_text(), "before")
    after = read_manifest(manifest_text(out=True, declared=False), "after")
    changes = manifest_changes(before, after)
    assert changes[0] == "zones.north.state: in -> out"
    assert "backend_servers.server-1.address: removed" in changes
    assert all("server-2" not in change for change in changes)


def test_accepted_change_is_audited_in_its_transaction(platform) -> None:
    _apply(platform, manifest_text())
    _apply(platform, manifest_text(out=True), "two")
    platform.clock.advance(1.0)
    _apply(platform, manifest_text(), "three")
    trail = _trail(platform)
    applies = [entry for entry in trail if entry.event == "manifest.apply"]
    assert [entry.revision for entry in applies] == [1, 2, 3]
    assert applies[1].changes == ("zones.north.state: in -> out",)
    zones = [(entry.event, entry.peer) for entry in trail if "zone" in entry.event]
    assert zones == [("zone.out", "north"), ("zone.in", "north")]


def test_unchanged_text_writes_nothing(platform) -> None:
    first = _apply(platform, manifest_text())
    rows = dict(platform.table.row_by_key)
    assert _apply(platform, manifest_text(), "two") == first
    assert platform.table.row_by_key == rows


def test_invalid_manifest_is_rejected_and_audited(platform) -> None:
    with pytest.raises(ManifestError):
        _apply(platform, "tenant = 3")
    (entry,) = _trail(platform)
    assert (entry.outcome, entry.revision) == ("refused", 0)
    assert entry.changes
    assert current_manifest(platform, platform) is None


@pytest.mark.promise(9)
def test_conflicting_apply_is_rejected_and_audited(platform) -> None:
    _apply(platform, manifest_text())
    platform.before_commit = lambda: _apply(platform, manifest_text(out=True), "two")
    with pytest.raises(ConflictError):
        _apply(platform, manifest_text(declared=False), "three")
    assert current_manifest(platform, platform).apply_id == "two"
    assert [entry.outcome for entry in _trail(platform)].count("conflict") == 1


@pytest.mark.promise(9)
def test_retry_after_lost_reply_finds_own_commit_despite_later_apply(platform) -> None:
    _apply(platform, manifest_text())
    operator = MemoryPlatform(platform.clock, platform.table, platform.object_by_name)
    operator.lose_replies = 1
    operator.after_lost_reply = lambda: _apply(
        platform, manifest_text(declared=False), "three"
    )
    applied = _apply(operator, manifest_text(out=True), "two")
    assert applied.number == 2
    assert current_manifest(platform, platform).number == 3
    assert all(entry.outcome == "accepted" for entry in _trail(platform)[:2])


@pytest.mark.promise(9)
def test_unavailable_platform_raises(platform) -> None:
    platform.before_commit = lambda: setattr(platform, "down", True)
    platform.lose_replies = 1
    with pytest.raises(PlatformUnavailableError):
        _apply(platform, manifest_text())


def _member(name: str, revision: int, known: int) -> Member:
    address = "10.0.0.1:1"
    return Member(
        name, "north", address, address, address, revision=revision, known=known
    )


@pytest.mark.promise(9)
@pytest.mark.parametrize(
    ("rows", "in_force"),
    [
        ([], False),
        ([(2, 3), (2, 3), (1, 3)], True),
        ([(2, 3), (1, 3), (1, 3)], False),
        ([(2, 2), (1, 2)], False),
        # Three joined while two of three were cut off.
        ([(1, 3), (1, 3), (2, 5), (2, 5), (2, 5)], False),
    ],
)
def test_in_force_once_lagging_members_are_a_minority(rows, in_force) -> None:
    members = [_member(str(index), *row) for index, row in enumerate(rows)]
    counted = count_acknowledgements(members, AppliedManifest(2, "digest"))
    assert counted.in_force is in_force
