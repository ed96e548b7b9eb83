"""Tests of the audit trail."""

from dotterelpier.model.audit import AuditEntry
from dotterelpier.protocols import ServiceName
from dotterelpier.services import audit as module
from dotterelpier.services.audit import entry_write, make_audit
from dotterelpier.services.metrics import make_metrics
from dotterelpier.wire.rows import AUDIT_PREFIX
from tests.fakes import ManualClock, MemoryPlatform, StepTasks, make_step_kernel


def test_entries_with_equal_time_sort_by_revision() -> None:
    entries = [AuditEntry(7.0, "manifest.apply", "x", revision=n) for n in range(99)]
    keys = [entry_write(entry).key for entry in entries]
    assert keys == sorted(keys)
    assert entry_write(AuditEntry(6.5, "member.joined", "x")).key < keys[0]


def test_entries_beyond_the_queue_limit_are_counted_as_dropped(monkeypatch) -> None:
    monkeypatch.setattr(module, "MAX_QUEUED", 2)
    platform = MemoryPlatform(ManualClock())
    kernel = make_step_kernel(platform.clock, platform)
    metrics = make_metrics()
    kernel.register(ServiceName.METRICS, metrics)
    audit = make_audit(kernel)
    for number in range(3):
        audit.record(AuditEntry(float(number), "member.joined", "x"))
    audit.start()
    audit.stop()
    kernel.find(ServiceName.TASKS, StepTasks).step()
    assert len(platform.scan(AUDIT_PREFIX)) == 2
    text = metrics.render()
    assert b"dotterelpier_audit_written_total 2.0" in text
    assert b"dotterelpier_audit_dropped_total 1.0" in text
