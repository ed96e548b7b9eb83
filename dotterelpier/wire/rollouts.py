"""Encodes and decodes the datagrams of a roll-out."""

from collections.abc import Mapping

from google.protobuf.message import DecodeError

from dotterelpier.model.rollout import (
    ReleaseCounts,
    RolloutCounts,
    RolloutRecord,
    RolloutReport,
    RolloutShare,
    RolloutState,
    StoredRecord,
)
from dotterelpier.wire import rollouts_pb2

MS_PER_S = 1000
# The largest number of a field for durations; orders end long before.
MAX_MS = (1 << 32) - 1


def encode_report(report: RolloutReport) -> bytes:
    """Return a report as the content of a datagram."""
    counts = report.counts
    routes = sorted(counts.target_by_route.keys() | counts.old_by_route.keys())
    message = rollouts_pb2.Report(
        service=report.service,
        order_version=report.order_version,
        sender=report.sender,
        incarnation=report.incarnation,
        address=report.address,
        sequence=report.sequence,
        order_age_ms=_encode_age(report.order_age_s),
        requests=counts.requests,
        sent=counts.sent,
        due=counts.due,
        placed=counts.placed,
        in_flight_old=report.in_flight_old,
        sealed_version=report.sealed_version,
        heard=report.heard,
        closed=report.closed,
        halted=report.halted,
        leaving=report.leaving,
        routes=[
            rollouts_pb2.RouteCounts(
                route=route,
                target=_encode_counts(counts.target_by_route.get(route)),
                old=_encode_counts(counts.old_by_route.get(route)),
            )
            for route in routes
        ],
        losses=[
            rollouts_pb2.ServerLosses(instance_id=instance_id, lost=lost)
            for instance_id, lost in sorted(counts.lost_by_server.items())
        ],
    )
    return message.SerializeToString()


def decode_report(content: bytes) -> RolloutReport:
    """Return the report of a datagram.

    Raises
    ------
    google.protobuf.message.DecodeError
        If the content is malformed.
    """
    message = rollouts_pb2.Report.FromString(content)
    counts = RolloutCounts(
        message.requests,
        message.sent,
        message.due,
        message.placed,
        {
            item.route: _decode_counts(item.target)
            for item in message.routes
            if item.HasField("target")
        },
        {
            item.route: _decode_counts(item.old)
            for item in message.routes
            if item.HasField("old")
        },
        {item.instance_id: item.lost for item in message.losses},
    )
    return RolloutReport(
        message.service,
        message.order_version,
        message.sender,
        message.incarnation,
        message.address,
        message.sequence,
        _decode_age(message),
        counts,
        message.in_flight_old,
        message.sealed_version,
        message.heard,
        message.closed,
        message.halted,
        message.leaving,
    )


def encode_share(share: RolloutShare) -> bytes:
    """Return a message of the coordinator as the content of a datagram."""
    message = rollouts_pb2.Share(
        service=share.service,
        order_version=share.order_version,
        sender=share.sender,
        share=share.share,
        halted=share.halted,
        order_age_ms=_encode_age(share.order_age_s),
    )
    record = share.stored.record
    if record is not None:
        message.record.CopyFrom(
            rollouts_pb2.Record(
                version=share.stored.version,
                order_version=record.order_version,
                target=record.target,
                state=record.state.value,
                old_releases=record.old_releases,
                withdrawn=record.withdrawn,
                ends_at_store_ms=record.ends_at_store_ms,
                reason=record.reason,
            )
        )
    return message.SerializeToString()


def decode_share(content: bytes) -> RolloutShare:
    """Return the message of the coordinator that a datagram holds.

    Raises
    ------
    google.protobuf.message.DecodeError
        If the content is malformed.
    """
    message = rollouts_pb2.Share.FromString(content)
    if not 0 <= message.share <= 1:
        raise DecodeError(f"share {message.share} is out of range")
    stored = StoredRecord(None, 0)
    if message.HasField("record"):
        stored = StoredRecord(_decode_record(message.record), message.record.version)
    return RolloutShare(
        message.service,
        message.order_version,
        message.sender,
        message.share,
        message.halted,
        _decode_age(message),
        stored,
    )


def _decode_record(message: rollouts_pb2.Record) -> RolloutRecord:
    try:
        state = RolloutState(message.state)
    except ValueError as error:
        raise DecodeError(str(error)) from None
    return RolloutRecord(
        message.order_version,
        message.target,
        state,
        tuple(message.old_releases),
        tuple(message.withdrawn),
        message.ends_at_store_ms,
        message.reason,
    )


def _encode_age(age_s: float | None) -> int | None:
    if age_s is None:
        return None
    return min(MAX_MS, max(0, round(age_s * MS_PER_S)))


def _decode_age(message: rollouts_pb2.Report | rollouts_pb2.Share) -> float | None:
    if not message.HasField("order_age_ms"):
        return None
    return message.order_age_ms / MS_PER_S


def _encode_counts(counts: ReleaseCounts | None) -> rollouts_pb2.Counts | None:
    if counts is None:
        return None
    return rollouts_pb2.Counts(
        answers=counts.answers,
        errors=counts.errors,
        lost=counts.lost,
        buckets=list(counts.durations),
        bucket_counts=list(counts.durations.values()),
        raw_buckets=list(counts.raw_durations),
        raw_counts=list(counts.raw_durations.values()),
        pending_buckets=list(counts.pending),
        pending_counts=list(counts.pending.values()),
    )


def _decode_counts(message: rollouts_pb2.Counts) -> ReleaseCounts:
    return ReleaseCounts(
        message.answers,
        message.errors,
        message.lost,
        _histogram(message.buckets, message.bucket_counts),
        _histogram(message.raw_buckets, message.raw_counts),
        _histogram(message.pending_buckets, message.pending_counts),
    )


def _histogram(buckets, counts) -> Mapping[int, int]:  # type: ignore[no-untyped-def]
    if len(buckets) != len(counts):
        raise DecodeError("buckets and counts differ in number")
    return dict(zip(buckets, counts, strict=True))
