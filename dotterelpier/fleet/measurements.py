"""Shares health checks with the entries of the own zone.

Each backend server is checked by one entry, which sends the results to the others.
"""

import threading

from attrs import define, field

from dotterelpier.kernel import Kernel
from dotterelpier.model.instance import LoadFigures, Measurement
from dotterelpier.protocols import Clock, ServiceName, Timer
from dotterelpier.protocols.fleet import (
    Conditions,
    DatagramKind,
    Datagrams,
    Fleet,
    Measurements,
)
from dotterelpier.wire.fleet import decode_measurements, encode_measurements

# Results gathered before they are sent together, a fraction of the time between two
# checks of a backend server.
GATHER_S = 0.02
# So that a datagram fits one packet of an Ethernet.
MEASUREMENTS_PER_DATAGRAM = 20
# A result like the one before is sent again after this time, so that one datagram may
# be lost before the others check by themselves.
REPEAT_S = 0.25
# A backend server without results for this long has left or has another home.
FORGET_S = 10.0
# Relative change of the work time that others are told at once.
RATIO_CHANGE = 0.2
# More free slots than this make no difference to a choice.
FREE_SLOTS_TOLD = 2


@define
class ZoneMeasurements:
    """Sends own results out, and takes in those of other entries."""

    _clock: Clock
    _timer: Timer
    _fleet: Fleet
    _conditions: Conditions
    _datagrams: Datagrams
    _gathered: list[Measurement] = field(factory=list)
    _told_by_id: dict[str, Measurement] = field(factory=dict)
    _lock: threading.Lock = field(factory=threading.Lock)

    def start(self) -> None:
        """Take in the results of others from now on."""
        self._datagrams.subscribe(DatagramKind.MEASUREMENTS, self._receive)

    def stop(self) -> None:
        """Do nothing; there is no task."""

    def publish(self, measurement: Measurement) -> None:
        """Send a result to the other entries of the zone, unless it is no news."""
        with self._lock:
            told = self._told_by_id.get(measurement.instance_id)
            if told is not None and not _is_news(told, measurement):
                return
            self._told_by_id[measurement.instance_id] = measurement
            self._gathered.append(measurement)
            first = len(self._gathered) == 1
        if first:
            self._timer.after(GATHER_S, self._send)

    def _send(self) -> None:
        with self._lock:
            gathered, self._gathered = self._gathered, []
            self._forget_old()
        me = self._fleet.me()
        addresses = [
            member.peer_address
            for member in self._fleet.members()
            if member.zone == me.zone and member.name != me.name
        ]
        now = self._clock.monotonic()
        for start in range(0, len(gathered), MEASUREMENTS_PER_DATAGRAM):
            part = gathered[start : start + MEASUREMENTS_PER_DATAGRAM]
            content = encode_measurements(part, now)
            for address in addresses:
                self._datagrams.send(address, DatagramKind.MEASUREMENTS, content)

    def _forget_old(self) -> None:
        oldest = self._clock.monotonic() - FORGET_S
        for instance_id, told in tuple(self._told_by_id.items()):
            if told.measured_at < oldest:
                del self._told_by_id[instance_id]

    def _receive(self, content: bytes) -> None:
        for measurement in decode_measurements(content, self._clock.monotonic()):
            self._conditions.note_measurement(measurement)


def _is_news(told: Measurement, new: Measurement) -> bool:
    """Tell whether a result differs from the one told last, or that one is old."""
    if new.measured_at - told.measured_at >= REPEAT_S:
        return True
    before, after = told.report, new.report
    if before is None or after is None:
        return told.unreachable != new.unreachable
    return (
        before.healthy != after.healthy
        or (before.cold_remaining_s > 0) != (after.cold_remaining_s > 0)
        or _is_load_news(before.load, after.load)
    )


def _is_load_news(before: LoadFigures | None, after: LoadFigures | None) -> bool:
    if before is None or after is None:
        return before is not after
    change = abs(after.work_ratio - before.work_ratio)
    if change > RATIO_CHANGE * before.work_ratio:
        return True
    return _free_slots(before) != _free_slots(after)


def _free_slots(load: LoadFigures) -> int:
    return min(FREE_SLOTS_TOLD, load.slots - load.running - load.waiting)


def make_measurements(kernel: Kernel) -> Measurements:
    """Return the sharing of health checks."""
    return ZoneMeasurements(
        kernel.find(ServiceName.CLOCK, Clock),
        kernel.find(ServiceName.TIMER, Timer),
        kernel.find(ServiceName.FLEET, Fleet),
        kernel.find(ServiceName.CONDITIONS, Conditions),
        kernel.find(ServiceName.DATAGRAMS, Datagrams),
    )
