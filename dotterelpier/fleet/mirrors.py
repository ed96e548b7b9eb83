"""Shares the store's tables among the entries, so that few of them call the store.

In each zone one entry, the publisher, watches the store. It announces by datagram up to
which version it knows each table, and the other entries fetch the missing changes from
it. An entry that receives no announcements watches the store itself.
"""

import threading

from attrs import define, field, frozen
from loguru import logger

from dotterelpier.errors import PeerUnavailableError
from dotterelpier.fleet.mirror import TableMirror
from dotterelpier.fleet.ranking import rank
from dotterelpier.kernel import Kernel
from dotterelpier.model.fleet import (
    Announcement,
    FleetMember,
    StoreReply,
    TableVersions,
)
from dotterelpier.protocols import Clock, ServiceName, TaskKind, Tasks
from dotterelpier.protocols.fleet import (
    DatagramKind,
    Datagrams,
    Fleet,
    FleetPeers,
    Mirrors,
)
from dotterelpier.wire.fleet import decode_announcement, encode_announcement

STEP = "mirrors"
ANNOUNCE_INTERVAL_S = 0.25
# A publisher's tables count as current for this long after the store answered it. This
# is well below the time within which a change must be in force, and longer than the
# publisher's shortest watch plus one lost announcement.
MAX_STALENESS_S = 1.3
# Entries of other zones have a publisher of their own, so in large fleets each hears of
# this one by every few announcements.
DISTANT_RECEIVERS = 64
# A fleet of one zone gets a second publisher.
MIN_PUBLISHERS = 2


@frozen
class ReceivedAnnouncement:
    """The last announcement of a publisher, and when the store last answered it."""

    member: FleetMember
    versions_by_table: dict[str, TableVersions]
    store_answered_at: float


@define
class PeerMirrors:
    """Copies of the store's tables, and the announcements of publishers."""

    _kernel: Kernel
    _clock: Clock
    _tasks: Tasks
    _datagrams: Datagrams
    _peers: FleetPeers
    _mirror_by_table: dict[str, TableMirror] = field(factory=dict)
    _received_by_sender: dict[str, ReceivedAnnouncement] = field(factory=dict)
    _store_answered_at: float = float("-inf")
    _is_publisher: bool = True
    _had_other_publisher: bool = False
    _next_distant: int = 0
    _announce_now: threading.Event = field(factory=threading.Event)
    _stopped: bool = False
    _changed: threading.Condition = field(factory=threading.Condition)

    def start(self) -> None:
        """Listen for announcements, and start the task that sends them."""
        self._datagrams.subscribe(DatagramKind.ANNOUNCEMENT, self._receive)
        self._fleet().subscribe(self._update_role)
        self._update_role()
        self._tasks.submit(TaskKind.CONTROL, self._serve)

    def stop(self) -> None:
        """End the task and wake up all waiting threads."""
        self._stopped = True
        self._announce_now.set()
        with self._changed:
            self._received_by_sender.clear()
            self._changed.notify_all()

    def is_publisher(self) -> bool:
        """Return whether this entry watches the store for the others of its zone."""
        return self._is_publisher

    def has_other_publisher(self) -> bool:
        """Return whether a fresh announcement of another entry is known."""
        with self._changed:
            return bool(self._fresh_announcements())

    def apply_reply(
        self, table: str, reply: StoreReply, *, is_store_probe: bool
    ) -> None:
        """Apply a store reply to the copy of a table; a publisher announces changes.

        Only replies to the store probe prove that the copies are fresh: calls for other
        tables may succeed while the connection of the store probe hangs.
        """
        with self._changed:
            if is_store_probe:
                self._store_answered_at = self._clock.monotonic()
            self._mirror(table).apply_reply(reply)
        if reply.rows:
            self._announce_now.set()

    def changes(self, table: str, after: int) -> StoreReply:
        """Return the changes of a table after a version from the copy held here."""
        with self._changed:
            return self._mirror(table).changes(after)

    def watch(self, table: str, after: int, wait_s: float) -> StoreReply:
        """Return the changes of a table after a version from a publisher.

        Block for up to ``wait_s`` seconds until there is one; the reply is empty if
        nothing changed.

        Raises
        ------
        PeerUnavailableError
            If no other entry announces the tables, or the publisher does not answer.
        """
        until = self._clock.monotonic() + wait_s
        while True:
            received = self._wait_for_newer(table, after, until)
            if received is None:
                return StoreReply((), self._complete_to(table, after))
            reply = self._fetch_changes(received, table, after)
            if reply is not None:
                return reply

    def _fetch_changes(
        self, received: ReceivedAnnouncement, table: str, after: int
    ) -> StoreReply | None:
        """Return the reply of a publisher, None if it has nothing newer."""
        try:
            reply = self._peers.changes(received.member, table, max(after, 0))
        except PeerUnavailableError:
            with self._changed:
                self._received_by_sender.pop(received.member.name, None)
            raise
        if reply.version <= after and not reply.whole:
            return None
        with self._changed:
            self._mirror(table).apply_reply(reply)
        return reply

    def _wait_for_newer(
        self, table: str, after: int, until: float
    ) -> ReceivedAnnouncement | None:
        """Return the announcement of a newer change, None if the wait times out."""
        with self._changed:
            while True:
                fresh = self._fresh_announcements()
                if not fresh:
                    raise PeerUnavailableError(
                        "no other entry announces the tables", step=STEP, peer=table
                    )
                ahead = [item for item in fresh if _newest_change(item, table) > after]
                if ahead:
                    return self._nearest(ahead)
                now = self._clock.monotonic()
                if now >= until:
                    return None
                stale_at = (
                    max(item.store_answered_at for item in fresh) + MAX_STALENESS_S
                )
                self._changed.wait(max(0.0, min(until, stale_at) - now))

    def wait_for_other_publisher(self, timeout_s: float) -> bool:
        """Block until another entry announces the tables; return False on timeout."""
        with self._changed:
            return self._changed.wait_for(
                lambda: bool(self._fresh_announcements()), timeout_s
            )

    def _complete_to(self, table: str, after: int) -> int:
        with self._changed:
            known = [
                item.versions_by_table[table].complete_to
                for item in self._fresh_announcements()
                if table in item.versions_by_table
                and _newest_change(item, table) <= after
            ]
        return max((after, *known))

    def _fresh_announcements(self) -> list[ReceivedAnnouncement]:
        oldest = self._clock.monotonic() - MAX_STALENESS_S
        received = self._received_by_sender.values()
        return [item for item in received if item.store_answered_at > oldest]

    def _nearest(self, received: list[ReceivedAnnouncement]) -> ReceivedAnnouncement:
        zone = self._fleet().me().zone
        return min(received, key=lambda item: item.member.zone != zone)

    def _mirror(self, table: str) -> TableMirror:
        return self._mirror_by_table.setdefault(table, TableMirror(table))

    def _fleet(self) -> Fleet:
        # The fleet service follows its table through this one, so it starts later.
        return self._kernel.find(ServiceName.FLEET, Fleet)

    def _update_role(self) -> None:
        fleet = self._fleet()
        chosen = fleet.me().name in publisher_names(fleet.members())
        if chosen != self._is_publisher:
            logger.info(
                "publishing the store's tables"
                if chosen
                else "no longer publishing the store's tables"
            )
        self._is_publisher = chosen

    def _receive(self, content: bytes) -> None:
        announcement = decode_announcement(content)
        members = {item.name: item for item in self._fleet().members()}
        member = members.get(announcement.sender)
        if member is None or member == self._fleet().me():
            return
        received = ReceivedAnnouncement(
            member,
            {item.table: item for item in announcement.tables},
            self._clock.monotonic() - announcement.store_age_s,
        )
        with self._changed:
            before = self._received_by_sender.get(member.name)
            self._received_by_sender[member.name] = received
            if before is None or _differs(before, received):
                self._changed.notify_all()

    def _serve(self) -> None:
        while not self._stopped:
            self._announce_now.wait(ANNOUNCE_INTERVAL_S)
            self._announce_now.clear()
            self._drop_stale_announcements()
            store_age_s = self._clock.monotonic() - self._store_answered_at
            if self._is_publisher and store_age_s < MAX_STALENESS_S:
                self._announce(store_age_s)

    def _announce(self, store_age_s: float) -> None:
        fleet = self._fleet()
        me = fleet.me()
        with self._changed:
            tables = tuple(item.versions() for item in self._mirror_by_table.values())
        content = encode_announcement(Announcement(me.name, tables, store_age_s))
        for member in self._receivers(me, fleet.members()):
            self._datagrams.send(
                member.peer_address, DatagramKind.ANNOUNCEMENT, content
            )

    def _receivers(
        self, me: FleetMember, members: tuple[FleetMember, ...]
    ) -> list[FleetMember]:
        """Return the entries of this zone, and the next part of those elsewhere."""
        near = [item for item in members if item.zone == me.zone and item != me]
        distant = [item for item in members if item.zone != me.zone]
        if len(distant) <= DISTANT_RECEIVERS:
            return near + distant
        start = self._next_distant % len(distant)
        self._next_distant = start + DISTANT_RECEIVERS
        part = (distant + distant)[start : start + DISTANT_RECEIVERS]
        return near + part

    def _drop_stale_announcements(self) -> None:
        with self._changed:
            self._received_by_sender = {
                item.member.name: item for item in self._fresh_announcements()
            }
            senders = sorted(self._received_by_sender)
        if bool(senders) != self._had_other_publisher:
            self._had_other_publisher = bool(senders)
            logger.info(
                "tables announced by other entries"
                if senders
                else "no entry announces the tables; reading from the store",
                senders=senders,
                step=STEP,
            )


def publisher_names(members: tuple[FleetMember, ...]) -> frozenset[str]:
    """Return the names of the entries that watch the store for the others."""
    # The ranking keys must not change, so that entries of all releases choose alike.
    zones = {member.zone for member in members}
    names = {
        rank(f"keeper {zone}", [item for item in members if item.zone == zone])[0].name
        for zone in zones
    }
    for member in rank("keeper", members):
        if len(names) < MIN_PUBLISHERS:
            names.add(member.name)
    return frozenset(names)


def _newest_change(received: ReceivedAnnouncement, table: str) -> int:
    versions = received.versions_by_table.get(table)
    return -1 if versions is None or versions.complete_to < 0 else versions.changed


def _differs(before: ReceivedAnnouncement, after: ReceivedAnnouncement) -> bool:
    """Return whether a table changed, or the publisher was stale in between."""
    was_stale = after.store_answered_at - before.store_answered_at > MAX_STALENESS_S
    return was_stale or any(
        _newest_change(after, table) != _newest_change(before, table)
        for table in after.versions_by_table
    )


def make_mirrors(kernel: Kernel) -> Mirrors:
    """Return the service with empty copies of the store's tables."""
    return PeerMirrors(
        kernel,
        kernel.find(ServiceName.CLOCK, Clock),
        kernel.find(ServiceName.TASKS, Tasks),
        kernel.find(ServiceName.DATAGRAMS, Datagrams),
        kernel.find(ServiceName.FLEET_PEERS, FleetPeers),
    )
