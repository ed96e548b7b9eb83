"""P2: a backend server in cold start never gets more than it can bear."""

from contextlib import suppress
from typing import Any

import pytest
from attrs import define
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from dotterelpier.errors import OverloadedError
from dotterelpier.model.admission import Slot
from dotterelpier.model.evidence import ExchangeResult
from dotterelpier.model.manifest import ZoneState
from dotterelpier.model.membership import HomeGrant
from tests.homes_fakes import (
    COLD_SLOTS,
    SERVER,
    SERVICE,
    SLOTS,
    ModelServer,
    StepEntry,
    make_manifest,
    make_step_entry,
)


@define
class Request:
    """A request that was sent, and how the entry will learn of its end."""

    slot: Slot
    sent_at: float
    boot: int


class ColdStart(RuleBasedStateMachine):
    """Calls at one server that turns cold in every way, at one home and others.

    The oracle is the server's own count: while it is cold, from the first sign on,
    no request may start that brings it above its cold allowance.
    """

    def __init__(self) -> None:
        super().__init__()
        self.entry: StepEntry = make_step_entry()
        self.clock = self.entry.clock
        self.server: ModelServer = self.entry.servers[SERVER.id]
        self.server.turn_cold()
        self.cold_reported = True
        self.requests: list[Request] = []
        self.waiting: list[Any] = []
        self.in_flight_elsewhere = 0
        self.is_home = False
        self.zone_out = False

    def _in_flight(self) -> int:
        return len(self.server.running) + self.in_flight_elsewhere

    def _start(self, slot: Slot | None) -> None:
        if slot is None:
            return
        self.server.running.add(slot.id)
        self.requests.append(Request(slot, self.clock.now, self.server.boot))
        max_in_flight = (
            COLD_SLOTS if not self.server.warm and self.cold_reported else SLOTS
        )
        assert self._in_flight() <= max_in_flight, (
            f"{self._in_flight()} in flight, bears {max_in_flight}"
        )

    def _start_granted(self) -> None:
        for future in [item for item in self.waiting if item.done()]:
            self.waiting.remove(future)
            if not future.cancelled():
                self._start(future.result())

    def _take(self, data: Any) -> Request:
        return self.requests.pop(data.draw(st.integers(0, len(self.requests) - 1)))

    def _finish(self, request: Request, result: ExchangeResult, report: Any) -> None:
        latency_s = self.clock.now - request.sent_at
        self.entry.finish(request.slot, result, report, latency_s)
        self._start_granted()

    @rule()
    def call(self) -> None:
        self._start(self.entry.acquire())

    @rule()
    def queue(self) -> None:
        with suppress(OverloadedError):
            self.waiting.append(self.entry.wait())
        self._start_granted()

    @precondition(lambda self: self.waiting)
    @rule(data=st.data())
    def cancel_waiting(self, data: Any) -> None:
        index = data.draw(st.integers(0, len(self.waiting) - 1))
        self.waiting.pop(index).cancel()

    @rule(redeemed=st.booleans())
    def reserve(self, redeemed: bool) -> None:
        reserved = self.entry.admission.reserve(SERVICE)
        if reserved is not None and redeemed:
            token = reserved[1]
            deadline_at = self.clock.now + 5.0
            self._start(self.entry.admission.redeem(token, deadline_at))

    @precondition(lambda self: self.requests)
    @rule(data=st.data(), with_report=st.booleans(), count=st.integers(1, 12))
    def answer(self, data: Any, with_report: bool, count: int) -> None:
        for _ in range(count):
            if not self.requests:
                return
            request = self._take(data)
            if request.boot != self.server.boot:
                self._finish(request, ExchangeResult.RESET, None)
                self.cold_reported = True
                continue
            self.server.answer(request.slot.id)
            report = self.server.report() if with_report else None
            self.cold_reported |= with_report
            self._finish(request, ExchangeResult.ANSWERED, report)
            self.call()

    @precondition(lambda self: self.requests)
    @rule(data=st.data())
    def shed(self, data: Any) -> None:
        request = self._take(data)
        self.server.running.discard(request.slot.id)
        self.cold_reported = True
        self._finish(request, ExchangeResult.SHED, self.server.report())

    @rule()
    def restart(self) -> None:
        self.server.restart()
        self.cold_reported = not self.entry.homes.active_ids
        self.in_flight_elsewhere = 0

    @rule()
    def turn_cold_silently(self) -> None:
        self.server.turn_cold()
        self.cold_reported = False

    @rule(seconds=st.sampled_from([0.25, 1.0, 2.5]))
    def pass_time(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.25)):
            before = len(self.server.probed_at)
            self.clock.advance(0.25)
            below_limit = self._in_flight() < (
                COLD_SLOTS if not self.server.warm else SLOTS
            )
            cold_limit_applies = not self.server.warm and self.cold_reported
            self.entry.step(0.0)
            if len(self.server.probed_at) > before:
                assert below_limit or not cold_limit_applies, (
                    "probe above the allowance"
                )
                self.cold_reported = True
            self._start_granted()

    @precondition(lambda self: not self.is_home)
    @rule(handed_over=st.booleans(), in_flight_elsewhere=st.integers(0, 2))
    def become_home(self, handed_over: bool, in_flight_elsewhere: int) -> None:
        self.in_flight_elsewhere = min(
            in_flight_elsewhere, max(0, COLD_SLOTS - len(self.server.running))
        )
        limit = 0
        if handed_over:
            limit = SLOTS if self.server.warm else COLD_SLOTS
        self.is_home = True
        self.cold_reported = True
        self.entry.homes.assign(HomeGrant(limit, self.in_flight_elsewhere))
        self._start_granted()

    @precondition(lambda self: self.is_home and self.in_flight_elsewhere)
    @rule()
    def finish_request_elsewhere(self) -> None:
        self.in_flight_elsewhere -= 1
        self.entry.homes.assign(HomeGrant(0, self.in_flight_elsewhere))
        self._start_granted()

    @precondition(lambda self: self.is_home)
    @rule()
    def lose_home(self) -> None:
        self.is_home = False
        self.in_flight_elsewhere = 0
        self.entry.homes.revoke()

    @rule()
    def change_zone(self) -> None:
        self.zone_out = not self.zone_out
        if not self.zone_out:
            self.server.turn_cold()
            self.cold_reported = True
        state = ZoneState.OUT if self.zone_out else ZoneState.IN
        self.entry.manifest.put(make_manifest(zone=state))
        self._start_granted()


ColdStartTest = ColdStart.TestCase
ColdStartTest.settings = settings(max_examples=80, stateful_step_count=50)
ColdStartTest = pytest.mark.promise(2)(ColdStartTest)
