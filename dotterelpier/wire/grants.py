"""Encodes and decodes the datagrams about usage caps."""

import math

from google.protobuf.message import DecodeError

from dotterelpier.model.account import UsageCap
from dotterelpier.model.grant import GrantReply, GrantRequest
from dotterelpier.wire import grants_pb2

MS_PER_S = 1000
PERCENT = 100
# Longest time in a message; far above any that matters.
MAX_MS = 3_600_000


def encode_grant_request(request: GrantRequest) -> bytes:
    """Return a request as the content of a datagram."""
    return grants_pb2.GrantRequest(
        reply_to=request.reply_to,
        id=request.id,
        account=request.account,
        version=request.version,
        rate_per_s=request.cap.rate_per_s,
        burst=request.cap.burst,
        wanted=request.wanted,
        alone=request.alone,
        notice=request.notice,
        returned=request.returned,
        relayed=request.relayed,
        handed_over=request.handed_over,
    ).SerializeToString()


def decode_grant_request(content: bytes) -> GrantRequest:
    """Return the request of a datagram.

    Raises
    ------
    google.protobuf.message.DecodeError
        If the content is malformed.
    """
    message = grants_pb2.GrantRequest.FromString(content)
    handed_over = message.handed_over if message.HasField("handed_over") else None
    _check(message.rate_per_s > 0 or message.notice, message.burst >= 0)
    _check(math.isfinite(message.rate_per_s + message.burst + (handed_over or 0.0)))
    return GrantRequest(
        message.reply_to,
        message.id,
        message.account,
        message.version,
        UsageCap(message.rate_per_s, message.burst),
        message.wanted,
        message.alone,
        message.notice,
        message.returned,
        message.relayed,
        handed_over,
    )


def encode_grant_reply(reply: GrantReply) -> bytes:
    """Return a reply as the content of a datagram."""
    return grants_pb2.GrantReply(
        id=reply.id,
        account=reply.account,
        granted=reply.granted,
        hold_ms=_milliseconds(reply.hold_s),
        room_ms=_milliseconds(reply.room_s),
        fill_percent=round(reply.fill * PERCENT),
        allowance_per_s=reply.allowance_per_s,
        confirm_to=reply.confirm_to,
    ).SerializeToString()


def decode_grant_reply(content: bytes) -> GrantReply:
    """Return the reply of a datagram.

    Raises
    ------
    google.protobuf.message.DecodeError
        If the content is malformed.
    """
    message = grants_pb2.GrantReply.FromString(content)
    _check(0 <= message.allowance_per_s < math.inf)
    return GrantReply(
        message.id,
        message.account,
        message.granted,
        message.hold_ms / MS_PER_S,
        message.room_ms / MS_PER_S,
        message.fill_percent / PERCENT,
        message.allowance_per_s,
        message.confirm_to,
    )


def _milliseconds(seconds: float) -> int:
    return min(MAX_MS, math.ceil(seconds * MS_PER_S))


def _check(*conditions: bool) -> None:
    if not all(conditions):
        raise DecodeError("a figure is out of range")
