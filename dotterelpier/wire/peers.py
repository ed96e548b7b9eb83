"""Encodes and decodes the messages between entries."""

from collections.abc import Iterable

from dotterelpier.model.manifest import Revision
from dotterelpier.model.membership import (
    HandoverState,
    Heartbeat,
    Member,
    ServiceLoad,
    SlotOffer,
)
from dotterelpier.wire import peers_pb2
from dotterelpier.wire.manifest_toml import is_address, make_revision


def encode_heartbeat(heartbeat: Heartbeat) -> peers_pb2.Heartbeat:
    """Return a heartbeat as a message."""
    return peers_pb2.Heartbeat(
        sender_id=heartbeat.sender_id,
        revision=heartbeat.revision,
        platform_reached=heartbeat.platform_reached,
        leaving=heartbeat.leaving,
        loads=[
            peers_pb2.ServiceLoad(
                service=service,
                free_slots=load.free_slots,
                slots=load.slots,
                waiting=load.waiting,
            )
            for service, load in heartbeat.load_by_service.items()
        ],
    )


def decode_heartbeat(message: peers_pb2.Heartbeat) -> Heartbeat:
    """Return a heartbeat from a message."""
    return Heartbeat(
        message.sender_id,
        message.revision,
        message.platform_reached,
        message.leaving,
        {
            load.service: ServiceLoad(load.free_slots, load.slots, load.waiting)
            for load in message.loads
        },
    )


def encode_manifest(revision: Revision | None) -> peers_pb2.ManifestReply:
    """Return a revision as a message; None gives an empty message."""
    if revision is None:
        return peers_pb2.ManifestReply()
    return peers_pb2.ManifestReply(
        number=revision.number,
        digest=revision.digest,
        apply_id=revision.apply_id,
        text=revision.text,
    )


def decode_manifest(message: peers_pb2.ManifestReply, peer: str) -> Revision | None:
    """Return a revision from a message, None if the message is empty.

    Raises
    ------
    ManifestError
        If the manifest is not valid.
    """
    if not message.number:
        return None
    return make_revision(message.number, message.apply_id, message.text, peer)


def encode_offer(offer: SlotOffer) -> peers_pb2.SlotOffer:
    """Return a slot offer as a message."""
    return peers_pb2.SlotOffer(
        sender_id=offer.sender_id,
        service=offer.service,
        reservation=offer.reservation,
    )


def decode_offer(message: peers_pb2.SlotOffer) -> SlotOffer:
    """Return a slot offer from a message."""
    return SlotOffer(message.sender_id, message.service, message.reservation)


def encode_handover(state: HandoverState) -> peers_pb2.HandoverState:
    """Return a handover state as a message."""
    return peers_pb2.HandoverState(
        limit=state.limit, in_flight=state.in_flight, longest_s=state.longest_s
    )


def decode_handover(message: peers_pb2.HandoverState) -> HandoverState:
    """Return a handover state from a message."""
    return HandoverState(message.limit, message.in_flight, message.longest_s)


def encode_members(members: Iterable[Member]) -> peers_pb2.MembersReply:
    """Return members as a message."""
    return peers_pb2.MembersReply(
        members=[
            peers_pb2.Member(
                id=member.id,
                zone=member.zone,
                caller_address=member.caller_address,
                relay_address=member.relay_address,
                peer_address=member.peer_address,
                lease_s=member.lease_s,
                revision=member.revision,
                leaving=member.leaving,
                operator_address=member.operator_address,
            )
            for member in members
        ]
    )


def decode_members(message: peers_pb2.MembersReply) -> tuple[Member, ...]:
    """Return members from a message.

    Raises
    ------
    ValueError
        If an address is malformed.
    """
    return tuple(_decode_member(member) for member in message.members)


def _decode_member(message: peers_pb2.Member) -> Member:
    addresses = (message.caller_address, message.relay_address, message.peer_address)
    for address in addresses:
        if not is_address(address):
            raise ValueError(f"member {message.id!r}: {address!r} is not IP:port")
    return Member(
        message.id,
        message.zone,
        *addresses,
        lease_s=message.lease_s,
        revision=message.revision,
        leaving=message.leaving,
        operator_address=message.operator_address,
    )
