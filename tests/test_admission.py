"""Slots, limits and queues of admission."""

import pytest

from dotterelpier.errors import OverloadedError
from dotterelpier.model.admission import Slot
from dotterelpier.model.evidence import ExchangeResult, LoadReport, Readiness
from dotterelpier.model.manifest import ZoneState
from dotterelpier.model.membership import HomeGrant
from tests.homes_fakes import (
    COLD_SLOTS,
    SERVER,
    SERVICE,
    SLOTS,
    StepEntry,
    changed,
    make_manifest,
    make_step_entry,
    make_warm_entry,
)

ANSWERED = ExchangeResult.ANSWERED


def _take_all(entry: StepEntry) -> list[Slot]:
    slots = [entry.acquire() for _ in range(2 * SLOTS)]
    return [slot for slot in slots if slot is not None]


def _cold_entry() -> StepEntry:
    entry = make_step_entry()
    entry.homes.assign(HomeGrant())
    entry.run(1.5)
    return entry


@pytest.mark.promise(2)
@pytest.mark.parametrize(
    "result",
    [ExchangeResult.SHED, ExchangeResult.RESET, ExchangeResult.CONNECT_FAILED],
)
def test_failed_exchange_turns_the_server_cold(result: ExchangeResult) -> None:
    entry = make_warm_entry()
    entry.observe(result)
    entry.run(1.5)
    assert len(_take_all(entry)) == COLD_SLOTS


@pytest.mark.promise(2)
@pytest.mark.parametrize(
    "report",
    [LoadReport(boot_id="boot-2"), LoadReport(Readiness.COLD, "boot-1")],
    ids=["boot id", "cold"],
)
def test_report_of_restart_or_cold_start_turns_the_server_cold(
    report: LoadReport,
) -> None:
    entry = make_warm_entry()
    entry.observe(ANSWERED, report)
    assert len(_take_all(entry)) == COLD_SLOTS


@pytest.mark.promise(2)
def test_decreased_uptime_turns_the_server_cold() -> None:
    entry = make_warm_entry()
    entry.observe(ANSWERED, LoadReport(uptime_s=500.0))
    entry.observe(ANSWERED, LoadReport(uptime_s=1.0))
    assert len(_take_all(entry)) == COLD_SLOTS


@pytest.mark.promise(2)
def test_slow_answers_turn_the_server_cold() -> None:
    entry = make_warm_entry()
    for _ in range(100):
        entry.observe(ANSWERED, latency_s=0.01)
    for _ in range(10):
        entry.observe(ANSWERED, latency_s=0.2)
    assert len(_take_all(entry)) == COLD_SLOTS


@pytest.mark.promise(2)
def test_idle_server_turns_cold() -> None:
    entry = make_warm_entry()
    entry.run(310)
    assert len(_take_all(entry)) == COLD_SLOTS


@pytest.mark.promise(2)
def test_server_starts_cold_when_its_zone_comes_back() -> None:
    entry = make_warm_entry()
    entry.manifest.put(make_manifest(zone=ZoneState.OUT))
    assert entry.acquire() is None
    entry.manifest.put(make_manifest())
    entry.run(0.5)
    assert len(_take_all(entry)) == COLD_SLOTS


@pytest.mark.promise(2)
def test_limit_doubles_after_answers_at_the_limit() -> None:
    entry = _cold_entry()
    for _ in range(7):
        entry.finish(entry.acquire(), ANSWERED)
    assert len(taken := _take_all(entry)) == COLD_SLOTS
    entry.finish(taken[0], ANSWERED)
    assert len(_take_all(entry)) == 2 * COLD_SLOTS


@pytest.mark.promise(2)
def test_answers_to_earlier_requests_do_not_raise_a_cold_limit() -> None:
    entry = make_warm_entry()
    old = _take_all(entry)
    entry.step()
    entry.observe(ExchangeResult.SHED)
    for slot in old:
        entry.finish(slot, ANSWERED, latency_s=0.25)
    for _ in range(20):
        entry.observe(ANSWERED, latency_s=0.25)
    assert len(_take_all(entry)) == COLD_SLOTS


@pytest.mark.promise(2)
def test_probe_uses_a_slot_of_a_cold_server() -> None:
    entry = _cold_entry()
    slot = entry.acquire()
    before = len(entry.servers[SERVER.id].probed_at)
    entry.run(10)
    assert len(entry.servers[SERVER.id].probed_at) == before
    entry.admission.release(slot)
    entry.run(1)
    assert len(entry.servers[SERVER.id].probed_at) > before


@pytest.mark.promise(2)
def test_call_waits_while_a_cold_server_is_probed() -> None:
    entry = _cold_entry()
    assert entry.admission.begin_probe(SERVER.id)
    waiting = entry.wait()
    assert not waiting.done()
    entry.admission.end_probe(SERVER.id)
    assert waiting.done()


@pytest.mark.promise(2)
def test_excess_slots_are_cancelled_only_once() -> None:
    entry = make_warm_entry()
    cancelled_ids: list[tuple[int, ...]] = []
    entry.admission.subscribe_cancellations(cancelled_ids.append)
    ids = sorted(slot.id for slot in _take_all(entry))
    entry.observe(ExchangeResult.RESET)
    entry.observe(ExchangeResult.RESET)
    assert cancelled_ids == [tuple(sorted(ids[COLD_SLOTS:], reverse=True))]
    assert entry.acquire() is None


@pytest.mark.promise(2)
def test_handed_over_requests_count_until_they_end() -> None:
    entry = make_step_entry()
    entry.homes.assign(HomeGrant(SLOTS, 3))
    entry.run(1.5)
    assert len(_take_all(entry)) == SLOTS - 3
    entry.homes.assign(HomeGrant(SLOTS, 1))
    assert len(_take_all(entry)) == 2


@pytest.mark.promise(2)
def test_lowered_limit_of_the_previous_home_applies() -> None:
    entry = make_step_entry()
    entry.homes.assign(HomeGrant(SLOTS, 2))
    entry.run(1.5)
    entry.homes.assign(HomeGrant(COLD_SLOTS, 0))
    assert len(_take_all(entry)) == COLD_SLOTS


@pytest.mark.promise(2)
def test_regained_home_counts_requests_still_in_flight() -> None:
    entry = make_warm_entry()
    _take_all(entry)
    entry.homes.revoke()
    assert entry.admission.handover_state(SERVER.id).in_flight == SLOTS
    entry.homes.assign(HomeGrant(SLOTS))
    entry.run(1.5)
    assert entry.acquire() is None


@pytest.mark.promise(2)
@pytest.mark.parametrize(
    ("changes", "admitted"),
    [({"slots": 2}, 2), ({"slots": 8}, 4), ({"address": "127.0.0.8:80"}, COLD_SLOTS)],
)
def test_limit_after_a_changed_declaration(
    changes: dict[str, object], admitted: int
) -> None:
    entry = make_warm_entry()
    entry.manifest.put(make_manifest(changed(SERVER, **changes)))
    entry.run(1.5)
    assert len(_take_all(entry)) == admitted


def test_waiting_calls_get_slots_in_order() -> None:
    entry = _cold_entry()
    slot = entry.acquire()
    waiting = [entry.wait() for _ in range(3)]
    waiting[0].cancel()
    entry.finish(slot, ANSWERED)
    assert [future.done() for future in waiting] == [True, True, False]
    entry.finish(waiting[1].result(), ANSWERED)
    assert waiting[2].done()


def test_waiting_call_gets_the_slot_once_an_idle_server_is_probed() -> None:
    entry = make_step_entry()
    entry.homes.assign(HomeGrant())
    future = entry.wait()
    assert not future.done()
    entry.run(1.25)
    assert future.done()


def test_call_that_would_miss_its_deadline_is_shed() -> None:
    entry = _cold_entry()
    first = entry.acquire()
    waiting = [entry.wait(60.0) for _ in range(30)]
    for future in [None, *waiting[:20]]:
        entry.clock.advance(0.5)
        entry.admission.release(first if future is None else future.result())
        entry.observe(ANSWERED, LoadReport(Readiness.COLD))
    with pytest.raises(OverloadedError, match="deadline"):
        entry.wait(0.5)


def test_free_slot_is_announced_and_reserved_once() -> None:
    entry = _cold_entry()
    notified_services: list[str] = []
    entry.admission.subscribe_free_slots(notified_services.append)
    entry.finish(entry.acquire(), ANSWERED)
    assert notified_services and set(notified_services) == {SERVICE}
    _, token = entry.admission.reserve(SERVICE)
    assert entry.admission.reserve(SERVICE) is None
    assert entry.admission.redeem(token).server == SERVER
    assert entry.admission.redeem(token) is None


def test_reservation_expires() -> None:
    entry = _cold_entry()
    _, token = entry.admission.reserve(SERVICE)
    entry.run(1.25)
    assert entry.admission.redeem(token) is None
    assert entry.acquire() is not None


def test_removed_server_is_dropped_once_nothing_is_in_flight() -> None:
    entry = make_warm_entry()
    slot = entry.acquire()
    entry.manifest.put(make_manifest(changed(SERVER, id="server-2")))
    entry.homes.revoke()
    assert entry.admission.handover_state(SERVER.id).in_flight == 1
    entry.admission.release(slot)
    assert entry.admission.handover_state(SERVER.id).limit == 0
