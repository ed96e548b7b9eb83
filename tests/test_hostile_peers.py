"""Tests of hostile control messages between entries."""

from collections.abc import Callable
from typing import Any

import pytest
from google.protobuf.message import DecodeError
from hypothesis import given
from hypothesis import strategies as st

from dotterelpier.errors import ManifestError
from dotterelpier.model.membership import Member
from dotterelpier.wire import peers as wire
from dotterelpier.wire import peers_pb2

DECODERS: list[tuple[Any, Callable[[Any], object]]] = [
    (peers_pb2.Heartbeat, wire.decode_heartbeat),
    (peers_pb2.ManifestReply, lambda reply: wire.decode_manifest(reply, "peer")),
    (peers_pb2.SlotOffer, wire.decode_offer),
    (peers_pb2.HandoverState, wire.decode_handover),
    (peers_pb2.MembersReply, wire.decode_members),
]


@pytest.mark.parametrize(("kind", "decode"), DECODERS)
@given(content=st.binary(max_size=60))
def test_arbitrary_bytes_decode_or_are_rejected(kind, decode, content: bytes) -> None:
    try:
        decode(kind.FromString(content))
    except (DecodeError, ValueError, ManifestError):
        return


def test_invalid_manifest_of_a_peer_is_rejected() -> None:
    reply = peers_pb2.ManifestReply(number=7, digest="x", text="tenant = 3")
    with pytest.raises((ManifestError, ValueError)):
        wire.decode_manifest(reply, "peer")


def test_member_without_addresses_is_rejected() -> None:
    reply = peers_pb2.MembersReply(members=[peers_pb2.Member(id="entry-9")])
    with pytest.raises(ValueError, match="entry-9"):
        wire.decode_members(reply)


def test_members_keep_their_operator_address() -> None:
    addresses = [f"127.0.0.1:{port}" for port in range(1, 5)]
    member = Member("entry-1", "z", *addresses[:3], operator_address=addresses[3])
    assert wire.decode_members(wire.encode_members([member])) == (member,)
