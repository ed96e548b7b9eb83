"""Shares health checks with the entries of the own zone.

Each backend server is checked by one entry, which sends the results to the others.
"""

import threading

from attrs import define, field

from dotterelpier.kernel import Kernel
from dotterelpier.model.instance import Measurement
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


@define
class ZoneMeasurements:
    """Sends own results out, and takes in those of other entries."""

    _clock: Clock
    _timer: Timer
    _fleet: Fleet
    _conditions: Conditions
    _datagrams: Datagrams
    _gathered: list[Measurement] = field(factory=list)
    _lock: threading.Lock = field(factory=threading.Lock)

    def start(self) -> None:
        """Take in the results of others from now on."""
        self._datagrams.subscribe(DatagramKind.MEASUREMENTS, self._receive)

    def stop(self) -> None:
        """Do nothing; there is no task."""

    def publish(self, measurement: Measurement) -> None:
        """Send a result to the other entries of the zone."""
        with self._lock:
            self._gathered.append(measurement)
            first = len(self._gathered) == 1
        if first:
            self._timer.after(GATHER_S, self._send)

    def _send(self) -> None:
        with self._lock:
            gathered, self._gathered = self._gathered, []
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

    def _receive(self, content: bytes) -> None:
        for measurement in decode_measurements(content, self._clock.monotonic()):
            self._conditions.note_measurement(measurement)


def make_measurements(kernel: Kernel) -> Measurements:
    """Return the sharing of health checks."""
    return ZoneMeasurements(
        kernel.find(ServiceName.CLOCK, Clock),
        kernel.find(ServiceName.TIMER, Timer),
        kernel.find(ServiceName.FLEET, Fleet),
        kernel.find(ServiceName.CONDITIONS, Conditions),
        kernel.find(ServiceName.DATAGRAMS, Datagrams),
    )
