"""Shares the store's tables among the entries, so that few of them call the store.

A few entries, the publishers, watch the store: two in a small fleet, one in each zone
of a large one. They announce by datagram up to which version they know each table, and
the other entries fetch the missing changes from them. An entry that receives no
announcements watches the store itself.
"""

import threading
from collections.abc import Set

from attrs import define, field
from loguru import logger

from dotterelpier.errors import PeerUnavailableError
from dotterelpier.fleet.announcements import ReceivedAnnouncement, make_received
from dotterelpier.fleet.delivery_check import DeliveryCheck
from dotterelpier.fleet.freshness import Freshness
from dotterelpier.fleet.mirror import TableMirror
from dotterelpier.fleet.publishers import publisher_names
from dotterelpier.fleet.seeds import SeedQueries, make_seed_queries
from dotterelpier.fleet_settings import FleetSettings
from dotterelpier.kernel import Kernel
from dotterelpier.model.fleet import (
    Announcement,
    FleetMember,
    StoreReply,
)
from dotterelpier.protocols import Clock, ServiceName, TaskKind, Tasks
from dotterelpier.protocols.fleet import (
    DatagramKind,
    Datagrams,
    Fleet,
    FleetPeers,
    LiveSettings,
    Mirrors,
    StoreLink,
)
from dotterelpier.wire.fleet import decode_announcement, encode_announcement

STEP = "mirrors"
ANNOUNCE_INTERVAL_S = 0.25
SEED_RETRY_S = 0.2
# A publisher's tables count as current for this long after the store answered it, as a
# share of the time within which a change must be in force. It is longer than the
# publisher's shortest watch plus one lost announcement.
STALENESS_SHARE = 0.65
# Longest watch of the store probe, as a share of the same time. An outage is detected
# within it plus the timeout margin of a watch; a watch that starts during an outage
# ends within it after the recovery.
STORE_PROBE_WAIT_SHARE = 0.35
# In large fleets entries of other zones have a publisher of their own, so each hears of
# this one by every few announcements.
DISTANT_RECEIVERS = 64


@define
class PeerMirrors:
    """Copies of the store's tables, and the announcements of publishers."""

    _kernel: Kernel
    _clock: Clock
    _tasks: Tasks
    _datagrams: Datagrams
    _peers: FleetPeers
    _settings: LiveSettings
    _link: StoreLink
    _seeds: SeedQueries
    _mirror_by_table: dict[str, TableMirror] = field(factory=dict)
    _received_by_sender: dict[str, ReceivedAnnouncement] = field(factory=dict)
    # Tables whose changes the store tells this entry at once.
    _watched_tables: set[str] = field(factory=set)
    _store_answered_at: float = float("-inf")
    _deliveries: DeliveryCheck = field(factory=DeliveryCheck)
    _freshness: Freshness = field(factory=Freshness)
    _is_publisher: bool = True
    _had_other_publisher: bool = False
    _next_distant: int = 0
    _announce_now: threading.Event = field(factory=threading.Event)
    _stopped: bool = False
    _changed: threading.Condition = field(factory=threading.Condition)

    def start(self) -> None:
        """Listen for announcements, and start the task that sends them."""
        self._datagrams.subscribe(DatagramKind.ANNOUNCEMENT, self._receive)
        if self._seeds.begin():
            self._tasks.supervise(TaskKind.CONTROL, self._ask_seeds)
        self._fleet().subscribe(self._update_role)
        self._update_role()
        self._tasks.supervise(TaskKind.CONTROL, self._serve)

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

    def store_probe_wait_s(self) -> float:
        """Return how long a watch of the store probe may last, in seconds."""
        return self._change_s() * STORE_PROBE_WAIT_SHARE

    def seed_wait_s(self) -> float:
        """Return for how much longer the seeds are asked, in seconds."""
        return self._seeds.remaining_s()

    def wait_for_seed(self, table: str) -> bool:
        """Block while the seeds are asked; return whether one announces a table."""
        with self._changed:
            self._changed.wait_for(
                lambda: self._fresh_announcements(table) or not self.seed_wait_s(),
                self.seed_wait_s(),
            )
            return bool(self._fresh_announcements(table))

    def announcement(self) -> Announcement:
        """Return the versions of the copies held here, publisher or not.

        Raises
        ------
        PeerUnavailableError
            If the copies may be outdated.
        """
        with self._changed:
            caught_up = [
                item for item in self._fresh_announcements() if self._is_caught_up(item)
            ]
            answered_at = [item.store_answered_at for item in caught_up]
            current_at = max((self._store_answered_at, *answered_at))
            tables = self._watched_tables.union(
                *(item.versions_by_table for item in caught_up)
            )
        now = self._clock.monotonic()
        store_age_s = now - current_at
        doubtful = self._freshness.is_doubtful(now)
        if doubtful or store_age_s >= self._max_staleness_s():
            message = "copies of the tables may be outdated"
            name = self._fleet().me().name
            raise PeerUnavailableError(message, step=STEP, peer=name)
        return self._make_announcement(store_age_s, tables)

    def _is_caught_up(self, received: ReceivedAnnouncement) -> bool:
        """Return whether the copies hold all changes that were announced."""
        return all(
            self._mirror(table).versions().complete_to >= versions.changed
            for table, versions in received.versions_by_table.items()
        )

    def has_other_publisher(self, table: str) -> bool:
        """Return whether a fresh announcement of a table by another entry is known."""
        with self._changed:
            return bool(self._fresh_announcements(table))

    def apply_reply(
        self, table: str, reply: StoreReply, *, is_store_probe: bool
    ) -> None:
        """Apply a store reply to the copy of a table; a publisher announces changes.

        Only replies to the store probe prove that the copies are fresh: calls for other
        tables may succeed while the connection of the store probe hangs.
        """
        with self._changed:
            self._apply(table, reply)
            if is_store_probe:
                now = self._store_answered_at = self._clock.monotonic()
                self._deliveries.note_store_version(reply.version, now)
                self._freshness.note_store_answer(table, reply.version, now)
            self._watched_tables.add(table)
        if reply.rows:
            self._announce_now.set()

    def note_unwatched(self, table: str) -> None:
        """Announce a table no more until the store answers a call for it again."""
        with self._changed:
            self._watched_tables.discard(table)

    def note_applied(self, table: str, version: int) -> None:
        """Record that the changes of a table up to a version are in force here."""
        self._freshness.note_applied(table, version)

    def confirmed_at(self, table: str) -> float:
        """Return the last time at which no change of a table was missing here."""
        return self._freshness.confirmed_at(table)

    def wait_after_freeze(self, table: str, until: float) -> None:
        """Block while a table may be outdated as this process was frozen."""
        self._freshness.wait_after_freeze(table, self._clock.monotonic(), until)

    def changes(self, table: str, after: int) -> StoreReply:
        """Return the changes of a table after a version from the copy held here."""
        with self._changed:
            # A request must not create a copy: nothing would ever complete it.
            mirror = self._mirror_by_table.get(table) or TableMirror(table)
            return mirror.changes(after)

    def watch(
        self, table: str, after: int, wait_s: float, *, until_publisher: bool = False
    ) -> StoreReply:
        """Return the changes of a table after a version from a publisher.

        Block for up to ``wait_s`` seconds until there is one; the reply is empty if
        nothing changed. With ``until_publisher``, return early once this entry is a
        publisher. Otherwise publishers could wait for each other.

        Raises
        ------
        PeerUnavailableError
            If no other entry announces the table, or the publisher does not answer.
        """
        until = self._clock.monotonic() + wait_s
        while True:
            received = self._wait_for_newer(table, after, until, until_publisher)
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
        if after < 0 and not reply.whole:
            raise PeerUnavailableError(
                "publisher does not know the whole table",
                step=STEP,
                peer=received.member.name,
            )
        if reply.version <= after and not reply.whole:
            return None
        with self._changed:
            self._apply(table, reply)
        return reply

    def _apply(self, table: str, reply: StoreReply) -> None:
        self._mirror(table).apply_reply(reply)
        self._deliveries.note_delivery(reply)

    def _wait_for_newer(
        self, table: str, after: int, until: float, until_publisher: bool
    ) -> ReceivedAnnouncement | None:
        """Return the announcement of a newer change, None if there is none in time."""
        with self._changed:
            while True:
                fresh = self._fresh_announcements(table)
                if not fresh:
                    raise PeerUnavailableError(
                        "no other entry announces the table", step=STEP, peer=table
                    )
                ahead = [item for item in fresh if item.newest_change(table) > after]
                if ahead:
                    return self._nearest(ahead)
                now = self._clock.monotonic()
                if now >= until or (until_publisher and self._is_publisher):
                    return None
                stale_at = (
                    max(item.store_answered_at for item in fresh)
                    + self._max_staleness_s()
                )
                self._changed.wait(max(0.0, min(until, stale_at) - now))

    def wait_for_other_publisher(self, table: str, timeout_s: float) -> bool:
        """Block until another entry announces a table; return False on timeout."""
        with self._changed:
            return self._changed.wait_for(
                lambda: bool(self._fresh_announcements(table)), timeout_s
            )

    def _complete_to(self, table: str, after: int) -> int:
        with self._changed:
            known = [
                item.versions_by_table[table].complete_to
                for item in self._fresh_announcements(table)
                if item.newest_change(table) <= after
            ]
        return max((after, *known))

    def _fresh_announcements(self, table: str = "") -> list[ReceivedAnnouncement]:
        """Return the fresh announcements, only those of a table if one is given."""
        oldest = self._clock.monotonic() - self._max_staleness_s()
        return [
            item
            for item in self._received_by_sender.values()
            if item.store_answered_at > oldest
            and (not table or table in item.versions_by_table)
        ]

    def _nearest(self, received: list[ReceivedAnnouncement]) -> ReceivedAnnouncement:
        zone = self._fleet().me().zone
        return min(received, key=lambda item: item.member.zone != zone)

    def _mirror(self, table: str) -> TableMirror:
        return self._mirror_by_table.setdefault(table, TableMirror(table))

    def _fleet(self) -> Fleet:
        # The fleet service follows its table through this one, so it starts later.
        return self._kernel.find(ServiceName.FLEET, Fleet)

    def _max_staleness_s(self) -> float:
        return self._change_s() * STALENESS_SHARE

    def _change_s(self) -> float:
        return self._settings.bounds().change_ms / 1000

    def _update_role(self) -> None:
        fleet = self._fleet()
        members, name = fleet.members(), fleet.me().name
        # While only this entry is known, it leaves the store to the seeds.
        waits_for_seeds = len(members) < 2 and self.seed_wait_s() > 0
        chosen = not waits_for_seeds and name in publisher_names(members)
        if chosen != self._is_publisher:
            logger.info(
                "publishing the store's tables"
                if chosen
                else "no longer publishing the store's tables"
            )
        with self._changed:
            self._is_publisher = chosen
            self._changed.notify_all()

    def _receive(self, content: bytes) -> None:
        announcement = decode_announcement(content)
        members = {item.name: item for item in self._fleet().members()}
        member = members.get(announcement.sender)
        if member is None or member == self._fleet().me():
            return
        self._note(member, announcement)

    def _note(self, member: FleetMember, announcement: Announcement) -> None:
        now = self._clock.monotonic()
        received = make_received(member, announcement, now)
        self._freshness.note_announcement(received, now)
        with self._changed:
            before = self._received_by_sender.get(member.name)
            self._received_by_sender[member.name] = received
            max_staleness_s = self._max_staleness_s()
            if before is None or received.differs(before, max_staleness_s):
                self._changed.notify_all()

    def _serve(self) -> None:
        while not self._stopped:
            self._announce_now.wait(ANNOUNCE_INTERVAL_S)
            self._announce_now.clear()
            self._freshness.note_turn(self._clock.monotonic())
            self._drop_stale_announcements()
            self._check_deliveries()
            store_age_s = self._clock.monotonic() - self._store_answered_at
            if self._is_publisher and store_age_s < self._max_staleness_s():
                self._announce(store_age_s)

    def _check_deliveries(self) -> None:
        """Interrupt the watches of this entry if they missed a change of the store."""
        with self._changed:
            overdue = self._deliveries.is_overdue(self._clock.monotonic())
        if overdue:
            logger.warning(
                "change of the store not delivered; repeating the watches",
                step=STEP,
                store_version=self._deliveries.awaited_version(),
                delivered_version=self._deliveries.delivered_version(),
            )
            self._link.interrupt_watches()

    def _announce(self, store_age_s: float) -> None:
        fleet = self._fleet()
        with self._changed:
            tables = frozenset(self._watched_tables)
        content = encode_announcement(self._make_announcement(store_age_s, tables))
        for member in self._receivers(fleet.me(), fleet.members()):
            self._datagrams.send(
                member.peer_address, DatagramKind.ANNOUNCEMENT, content
            )

    def _make_announcement(self, store_age_s: float, tables: Set[str]) -> Announcement:
        with self._changed:
            mirrors = self._mirror_by_table.items()
            versions = [item.versions() for table, item in mirrors if table in tables]
        known = tuple(item for item in versions if item.complete_to >= 0)
        return Announcement(self._fleet().me().name, known, store_age_s)

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

    def _ask_seeds(self) -> None:
        """Ask the seeds until the publishers know this entry, or the time is over."""
        pause = threading.Event()
        while not self._stopped and self._seeds.ask_each(self._note_seed):
            pause.wait(SEED_RETRY_S)
        with self._changed:
            self._seeds.end()
            self._changed.notify_all()
        self._update_role()

    def _note_seed(self, seed: FleetMember, announcement: Announcement) -> bool:
        self._note(seed, announcement)
        return self._hears_members()

    def _hears_members(self) -> bool:
        """Return whether another entry of the fleet announces the tables itself."""
        names = {item.name for item in self._fleet().members()}
        with self._changed:
            return any(
                item.member.name in names for item in self._fresh_announcements()
            )

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


def make_mirrors(kernel: Kernel, settings: FleetSettings) -> Mirrors:
    """Return the service with empty copies of the store's tables."""
    return PeerMirrors(
        kernel,
        kernel.find(ServiceName.CLOCK, Clock),
        kernel.find(ServiceName.TASKS, Tasks),
        kernel.find(ServiceName.DATAGRAMS, Datagrams),
        kernel.find(ServiceName.FLEET_PEERS, FleetPeers),
        kernel.find(ServiceName.LIVE_SETTINGS, LiveSettings),
        kernel.find(ServiceName.STORE_LINK, StoreLink),
        make_seed_queries(kernel, settings.entry, settings.peers.seeds),
    )
