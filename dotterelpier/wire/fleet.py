"""Encodes and decodes the messages between fleet entries."""

import zlib
from collections.abc import Iterable

from google.protobuf.message import DecodeError

from dotterelpier.model.fleet import (
    Announcement,
    FleetMember,
    StoreReply,
    StoreRow,
    TableVersions,
)
from dotterelpier.model.instance import (
    NO_NOTICE,
    HealthReport,
    InstanceNotice,
    LoadFigures,
    Measurement,
)
from dotterelpier.wire import fleet_pb2

MESSAGE_TYPE = "application/x-protobuf"
PING_PATH = "/ping"
CHANGES_PATH = "/changes"
ANNOUNCEMENT_PATH = "/announcement"
# Rows of a table compress to about a fifth; small machines have slow links.
MIN_DEFLATED_BYTES = 2048
DEFLATE_LEVEL = 1
MAX_INFLATED_BYTES = 64 << 20

MS_PER_S = 1000
PERCENT = 100


def encode_measurements(measurements: Iterable[Measurement], now: float) -> bytes:
    """Return measurements as the content of a datagram.

    It states ages rather than times, because the clocks of machines differ.

    Parameters
    ----------
    measurements : iterable of Measurement
        Results of health checks.
    now : float
        Monotonic time of this process, in seconds.
    """
    message = fleet_pb2.Measurements(
        measurements=[_encode_measurement(item, now) for item in measurements]
    )
    return message.SerializeToString()


def decode_measurements(content: bytes, now: float) -> tuple[Measurement, ...]:
    """Return the measurements of a datagram, with times on the clock of this process.

    Parameters
    ----------
    content : bytes
        Content of the datagram.
    now : float
        Monotonic time of this process, in seconds.

    Raises
    ------
    google.protobuf.message.DecodeError
        If the content is malformed.
    """
    message = fleet_pb2.Measurements.FromString(content)
    return tuple(_decode_measurement(item, now) for item in message.measurements)


def encode_announcement(announcement: Announcement) -> bytes:
    """Return an announcement as the content of a datagram."""
    message = fleet_pb2.Announcement(
        sender=announcement.sender,
        tables=[
            fleet_pb2.TableVersions(
                table=item.table, changed=item.changed, complete_to=item.complete_to
            )
            for item in announcement.tables
        ],
        store_age_ms=round(announcement.store_age_s * MS_PER_S),
    )
    return message.SerializeToString()


def decode_announcement(content: bytes) -> Announcement:
    """Return the announcement of a datagram.

    Raises
    ------
    google.protobuf.message.DecodeError
        If the content is malformed.
    """
    message = fleet_pb2.Announcement.FromString(content)
    tables = tuple(
        TableVersions(item.table, item.changed, item.complete_to)
        for item in message.tables
    )
    return Announcement(message.sender, tables, message.store_age_ms / MS_PER_S)


def encode_ping_request(sender: str) -> bytes:
    """Return the body of a ping; ``sender`` is the name of this entry."""
    return fleet_pb2.PingRequest(sender=sender).SerializeToString()


def decode_ping_request(content: bytes) -> str:
    """Return the name of the entry that sent a ping.

    Raises
    ------
    google.protobuf.message.DecodeError
        If the content is malformed.
    """
    return fleet_pb2.PingRequest.FromString(content).sender


def encode_ping_reply(me: FleetMember) -> bytes:
    """Return the body of the answer of this entry to a ping."""
    reply = fleet_pb2.PingReply(name=me.name, incarnation=me.incarnation)
    return reply.SerializeToString()


def decode_ping_reply(content: bytes) -> str:
    """Return the incarnation of the entry that answered a ping.

    Raises
    ------
    google.protobuf.message.DecodeError
        If the content is malformed.
    """
    return fleet_pb2.PingReply.FromString(content).incarnation


def encode_changes_request(table: str, after: int) -> bytes:
    """Return the body of a request for the changes of a table after a version."""
    return fleet_pb2.ChangesRequest(table=table, after=after).SerializeToString()


def decode_changes_request(content: bytes) -> tuple[str, int]:
    """Return the table and the version of a request for changes.

    Raises
    ------
    google.protobuf.message.DecodeError
        If the content is malformed.
    """
    request = fleet_pb2.ChangesRequest.FromString(content)
    return request.table, request.after


def encode_changes(reply: StoreReply) -> bytes:
    """Return a reply of the store as the body of an answer."""
    rows = [
        fleet_pb2.Row(key=row.key, value=row.value, version=row.version)
        for row in reply.rows
    ]
    message = fleet_pb2.ChangesReply(
        rows=rows, version=reply.version, whole=reply.whole
    )
    content = message.SerializeToString()
    if len(content) < MIN_DEFLATED_BYTES:
        return content
    deflated = zlib.compress(content, DEFLATE_LEVEL)
    return fleet_pb2.ChangesReply(deflated=deflated).SerializeToString()


def decode_changes(content: bytes) -> StoreReply:
    """Return the reply of the store that the body of an answer holds.

    Raises
    ------
    google.protobuf.message.DecodeError
        If the content is malformed.
    """
    message = fleet_pb2.ChangesReply.FromString(content)
    if message.deflated:
        message = fleet_pb2.ChangesReply.FromString(_inflate(message.deflated))
    rows = tuple(
        StoreRow(row.key, row.value if row.HasField("value") else None, row.version)
        for row in message.rows
    )
    return StoreReply(rows, message.version, message.whole)


def _inflate(content: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        inflated = decompressor.decompress(content, MAX_INFLATED_BYTES)
    except zlib.error as error:
        raise DecodeError(str(error)) from None
    if not decompressor.eof:
        raise DecodeError("compressed reply is truncated or too large")
    return inflated


def _encode_measurement(item: Measurement, now: float) -> fleet_pb2.Measurement:
    message = fleet_pb2.Measurement(
        instance_id=item.instance_id,
        unreachable=item.unreachable,
        age_ms=max(0, round((now - item.measured_at) * MS_PER_S)),
        started_at_ms=item.started_at_ms,
    )
    report = item.report
    if report is None:
        return message
    message.healthy = report.healthy
    message.leaving = report.notice.leaving
    message.cold_ms = round(report.cold_remaining_s * MS_PER_S)
    if report.load is not None:
        message.running = report.load.running
        message.waiting = report.load.waiting
        message.slots = report.load.slots
        message.work_percent = round(report.load.work_ratio * PERCENT)
    return message


def _decode_measurement(message: fleet_pb2.Measurement, now: float) -> Measurement:
    measured_at = now - message.age_ms / MS_PER_S
    if message.unreachable:
        return Measurement(
            message.instance_id,
            measured_at,
            unreachable=message.unreachable,
            started_at_ms=message.started_at_ms,
        )
    load = None
    if message.slots:
        ratio = message.work_percent / PERCENT
        load = LoadFigures(message.running, message.waiting, message.slots, ratio)
    cold_s = message.cold_ms / MS_PER_S
    notice = InstanceNotice(leaving=True) if message.leaving else NO_NOTICE
    report = HealthReport(message.instance_id, message.healthy, load, cold_s, notice)
    return Measurement(
        message.instance_id, measured_at, report, started_at_ms=message.started_at_ms
    )
