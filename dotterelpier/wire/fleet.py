"""Encoding of the messages between the entries of a fleet."""

from collections.abc import Iterable

from dotterelpier.model.instance import HealthReport, LoadFigures, Measurement
from dotterelpier.wire import fleet_pb2

MS_PER_S = 1000
PERCENT = 100


def encode_measurements(measurements: Iterable[Measurement], now: float) -> bytes:
    """Return measurements with their ages, as clocks of machines differ."""
    message = fleet_pb2.Measurements(
        measurements=[_encode(item, now) for item in measurements]
    )
    return message.SerializeToString()


def decode_measurements(content: bytes, now: float) -> tuple[Measurement, ...]:
    """Return measurements on the clock of this process.

    Raises
    ------
    google.protobuf.message.DecodeError
        If the content is malformed.
    """
    message = fleet_pb2.Measurements.FromString(content)
    return tuple(_decode(item, now) for item in message.measurements)


def _encode(item: Measurement, now: float) -> fleet_pb2.Measurement:
    message = fleet_pb2.Measurement(
        instance_id=item.instance_id,
        unreachable=item.unreachable,
        age_ms=max(0, round((now - item.measured_at) * MS_PER_S)),
    )
    report = item.report
    if report is None:
        return message
    message.healthy = report.healthy
    message.cold_ms = round(report.cold_remaining_s * MS_PER_S)
    if report.load is not None:
        message.running = report.load.running
        message.waiting = report.load.waiting
        message.slots = report.load.slots
        message.work_percent = round(report.load.work_ratio * PERCENT)
    return message


def _decode(message: fleet_pb2.Measurement, now: float) -> Measurement:
    measured_at = now - message.age_ms / MS_PER_S
    if message.unreachable:
        return Measurement(
            message.instance_id, measured_at, unreachable=message.unreachable
        )
    load = None
    if message.slots:
        ratio = message.work_percent / PERCENT
        load = LoadFigures(message.running, message.waiting, message.slots, ratio)
    cold_s = message.cold_ms / MS_PER_S
    report = HealthReport(message.instance_id, message.healthy, load, cold_s)
    return Measurement(message.instance_id, measured_at, report)
