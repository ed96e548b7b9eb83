"""Offers free slots of this entry to peers whose calls wait."""

import threading
from queue import SimpleQueue

from attrs import define, field
from loguru import logger

from dotterelpier.errors import PeerUnavailableError, TaskPoolFullError
from dotterelpier.kernel import Kernel
from dotterelpier.model.membership import Member, SlotOffer
from dotterelpier.protocols import (
    Admission,
    Membership,
    Peers,
    Pulling,
    Routing,
    ServiceName,
    TaskKind,
    Tasks,
)


@define
class SlotPulling:
    """Reserves free slots for the peer with the most waiting calls.

    Each slot is reserved under a token and offered to the peer, which relays a waiting
    call with the token. One task for each peer sends the offers.
    """

    _tasks: Tasks
    _membership: Membership
    _admission: Admission
    _routing: Routing
    _peers: Peers
    _offers_by_peer_id: dict[str, "SimpleQueue[SlotOffer | None]"] = field(factory=dict)
    _lock: threading.Lock = field(factory=threading.Lock)

    def start(self) -> None:
        """Subscribe to free slots and to waiting calls of peers."""
        self._admission.subscribe_free_slots(self.offer)
        self._routing.subscribe_waiting(self.offer)

    def stop(self) -> None:
        """End the task of each peer once it has sent the offers queued before."""
        with self._lock:
            queues = tuple(self._offers_by_peer_id.values())
        for offers in queues:
            offers.put(None)

    def offer(self, service: str) -> None:
        """Offer the free slots of a service to the peers with the longest queues.

        Returns when no slot is free or no call is known to wait at a peer.
        """
        while (member := self._routing.peer_with_longest_queue(service)) is not None:
            reserved = self._admission.reserve(service)
            if reserved is None:
                return
            self._routing.note_offered(member.id, service)
            self._queue_offer(member, service, reserved[1])

    def _queue_offer(self, member: Member, service: str, reservation: str) -> None:
        offer = SlotOffer(self._membership.me().id, service, reservation)
        try:
            self._offers_for(member).put(offer)
        except TaskPoolFullError as error:
            logger.warning(
                "cannot start a task for slot offers; releasing the slot",
                peer=member.id,
                error=str(error),
            )
            self._release(reservation)

    def _offers_for(self, member: Member) -> "SimpleQueue[SlotOffer | None]":
        with self._lock:
            self._end_tasks_of_gone_peers()
            offers = self._offers_by_peer_id.get(member.id)
            if offers is None:
                offers = SimpleQueue()
                self._tasks.submit(TaskKind.OFFER, self._send_offers, member, offers)
                self._offers_by_peer_id[member.id] = offers
            return offers

    def _end_tasks_of_gone_peers(self) -> None:
        gone_ids = self._offers_by_peer_id.keys() - self._membership.known_by_id()
        for member_id in gone_ids:
            self._offers_by_peer_id.pop(member_id).put(None)

    def _send_offers(
        self, member: Member, offers: "SimpleQueue[SlotOffer | None]"
    ) -> None:
        while (offer := offers.get()) is not None:
            try:
                taken = self._peers.offer_slot(member, offer)
            except PeerUnavailableError as error:
                # The peer may have accepted, so the slot stays reserved until it is
                # redeemed or the reservation expires.
                logger.debug(
                    "peer did not answer slot offer; keeping the slot reserved",
                    peer=member.id,
                    error=str(error),
                )
                continue
            if not taken:
                self._routing.note_waiting(member.id, offer.service, 0)
                self._release(offer.reservation)

    def _release(self, reservation: str) -> None:
        slot = self._admission.redeem(reservation)
        if slot is not None:
            self._admission.release(slot)


def make_pulling(kernel: Kernel) -> Pulling:
    """Return the service that offers free slots of this entry to peers."""
    return SlotPulling(
        kernel.find(ServiceName.TASKS, Tasks),
        kernel.find(ServiceName.MEMBERSHIP, Membership),
        kernel.find(ServiceName.ADMISSION, Admission),
        kernel.find(ServiceName.ROUTING, Routing),
        kernel.find(ServiceName.PEERS, Peers),
    )
