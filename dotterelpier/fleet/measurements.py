"""Sharing of health check results among the entries of a zone.

The home of each backend server checks it and sends the results to the other entries
that have it in their subset.
"""

import threading

from attrs import define, field

from dotterelpier.kernel import Kernel
from dotterelpier.model.fleet import FleetMember
from dotterelpier.model.instance import LoadFigures, Measurement
from dotterelpier.protocols import Clock, ServiceName, Timer
from dotterelpier.protocols.fleet import (
    Conditions,
    DatagramKind,
    Datagrams,
    Measurements,
    Subsets,
)
from dotterelpier.wire.fleet import decode_measurements, encode_measurements

# Delay within which results are batched, a fraction of the time between two health
# checks of a backend server.
BATCH_DELAY_S = 0.02
# Keeps a datagram within one Ethernet packet.
MEASUREMENTS_PER_DATAGRAM = 20
# An unchanged result is sent again after this time, so that one datagram may be lost
# before the other entries run health checks themselves.
RESEND_S = 0.25
# A backend server without results for this long is gone or has another home.
EXPIRY_S = 10.0
# Relative change of the work ratio above which a result is sent at once.
MIN_RATIO_CHANGE = 0.2
# More free slots than this do not change which backend server is chosen.
MAX_FREE_SLOTS_COMPARED = 2


@define
class ZoneMeasurements:
    """Publishes the results of this entry, and records those of other entries.

    Datagrams may be lost; a lost result is followed by a newer one.
    """

    _clock: Clock
    _timer: Timer
    _subsets: Subsets
    _conditions: Conditions
    _datagrams: Datagrams
    _unsent: list[Measurement] = field(factory=list)
    _last_sent_by_id: dict[str, Measurement] = field(factory=dict)
    _lock: threading.Lock = field(factory=threading.Lock)

    def start(self) -> None:
        """Subscribe to the results of other entries."""
        self._datagrams.subscribe(DatagramKind.MEASUREMENTS, self._receive)

    def stop(self) -> None:
        """Do nothing; the service runs no task."""

    def publish(self, measurement: Measurement) -> None:
        """Send a result to the entries that use the backend server, in the next batch.

        A result that hardly differs from the last one sent is dropped unless that one
        is older than ``RESEND_S``.
        """
        with self._lock:
            last_sent = self._last_sent_by_id.get(measurement.instance_id)
            if last_sent is not None and not _needs_sending(last_sent, measurement):
                return
            self._last_sent_by_id[measurement.instance_id] = measurement
            self._unsent.append(measurement)
            first = len(self._unsent) == 1
        if first:
            self._timer.after(BATCH_DELAY_S, self._send)

    def _send(self) -> None:
        with self._lock:
            unsent, self._unsent = self._unsent, []
            self._expire_old()
        now = self._clock.monotonic()
        batch_by_listeners: dict[tuple[FleetMember, ...], list[Measurement]] = {}
        for measurement in unsent:
            listeners = self._subsets.listeners(measurement.instance_id)
            batch_by_listeners.setdefault(listeners, []).append(measurement)
        for listeners, measurements in batch_by_listeners.items():
            for start in range(0, len(measurements), MEASUREMENTS_PER_DATAGRAM):
                batch = measurements[start : start + MEASUREMENTS_PER_DATAGRAM]
                content = encode_measurements(batch, now)
                for member in listeners:
                    self._datagrams.send(
                        member.peer_address, DatagramKind.MEASUREMENTS, content
                    )

    def _expire_old(self) -> None:
        oldest = self._clock.monotonic() - EXPIRY_S
        for instance_id, last_sent in tuple(self._last_sent_by_id.items()):
            if last_sent.measured_at < oldest:
                del self._last_sent_by_id[instance_id]

    def _receive(self, content: bytes) -> None:
        for measurement in decode_measurements(content, self._clock.monotonic()):
            self._conditions.note_measurement(measurement)


def _needs_sending(last_sent: Measurement, new: Measurement) -> bool:
    """Return whether a result differs from the last one sent, or that one is old."""
    if new.measured_at - last_sent.measured_at >= RESEND_S:
        return True
    before, after = last_sent.report, new.report
    if before is None or after is None:
        return last_sent.unreachable != new.unreachable
    return (
        before.healthy != after.healthy
        or before.notice.leaving != after.notice.leaving
        or (before.cold_remaining_s > 0) != (after.cold_remaining_s > 0)
        or _load_changed(before.load, after.load)
    )


def _load_changed(before: LoadFigures | None, after: LoadFigures | None) -> bool:
    if before is None or after is None:
        return before is not after
    change = abs(after.work_ratio - before.work_ratio)
    if change > MIN_RATIO_CHANGE * before.work_ratio:
        return True
    return _free_slots(before) != _free_slots(after)


def _free_slots(load: LoadFigures) -> int:
    return min(MAX_FREE_SLOTS_COMPARED, load.slots - load.running - load.waiting)


def make_measurements(kernel: Kernel) -> Measurements:
    """Return the service, not yet started."""
    return ZoneMeasurements(
        kernel.find(ServiceName.CLOCK, Clock),
        kernel.find(ServiceName.TIMER, Timer),
        kernel.find(ServiceName.SUBSETS, Subsets),
        kernel.find(ServiceName.CONDITIONS, Conditions),
        kernel.find(ServiceName.DATAGRAMS, Datagrams),
    )
