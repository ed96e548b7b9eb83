"""Follows the backend servers that registered themselves in the store."""

import threading
from collections.abc import Callable
from functools import partial

from attrs import define, field
from loguru import logger

from dotterelpier.errors import ConfigError
from dotterelpier.fleet.follower import TableFollower, apply_each, make_follower
from dotterelpier.fleet.registration_order import RegistrationOrder
from dotterelpier.kernel import Kernel
from dotterelpier.model.fleet import StoreRow
from dotterelpier.model.instance import Instance
from dotterelpier.protocols import Clock, ServiceName, Timer
from dotterelpier.protocols.fleet import Codec, Registry, StoreLink

TABLE = "servers"
# One call returns a series of changes; the pause is far below the time within which a
# leaving backend server must stop getting requests.
BATCH_PAUSE_S = 0.5
# Registrations that lapsed during an outage of the store are renewed within about two
# seconds after it.
LAPSED_GRACE_S = 2.0
# A registration with an earlier start than the last one comes from a late write, or
# from a backend server whose clock was set back before it started again. Late writes
# come within seconds, and their rows are deleted after three missed reports, so a row
# that stands for longer is not one.
OUTDATED_ROW_S = 30.0


@define
class FollowedRegistry:
    """Follows the table of registrations that backend servers write."""

    _codec: Codec
    _clock: Clock
    _link: StoreLink
    _timer: Timer
    _make_follower: Callable[..., TableFollower]
    _follower: TableFollower | None = None
    _loaded: bool = False
    _instance_by_id: dict[str, Instance] = field(factory=dict)
    _lapsed_ids: set[str] = field(factory=set)
    _order: RegistrationOrder = field(factory=RegistrationOrder)
    # Versions of the rows that stand in the store but are outdated.
    _outdated_version_by_id: dict[str, int] = field(factory=dict)
    _listeners: list[Callable[[], None]] = field(factory=list)
    _lock: threading.RLock = field(factory=threading.RLock)

    def start(self) -> None:
        """Follow the table in a task of its own."""
        self._follower = self._make_follower(self.apply_snapshot, self.apply_changes)
        self._follower.start()

    def stop(self) -> None:
        """Stop following the table."""
        if self._follower is not None:
            self._follower.stop()

    def loaded(self) -> bool:
        """Return whether the whole registry was read at least once."""
        return self._loaded

    def instances(self) -> tuple[Instance, ...]:
        """Return the registered backend servers that are not draining."""
        with self._lock:
            instances = tuple(self._instance_by_id.values())
        return tuple(item for item in instances if not item.draining)

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call a listener after each change, in the thread that applies it.

        The listener must not block.
        """
        self._listeners.append(listener)

    def apply_snapshot(self, rows: tuple[StoreRow, ...]) -> None:
        """Apply all rows; a backend server without a row counts as deleted."""
        present = {row.key for row in rows}
        with self._lock:
            known = self._instance_by_id.keys() | self._outdated_version_by_id.keys()
            gone = tuple(known - present)
        deleted = tuple(StoreRow(key, None, 0) for key in gone)
        self.apply_changes((*deleted, *rows))
        self._loaded = True

    def apply_changes(self, rows: tuple[StoreRow, ...]) -> None:
        """Apply changed rows and call the listeners."""
        with self._lock:
            apply_each(rows, self._apply_row)
        self._notify_listeners()

    def _apply_row(self, row: StoreRow) -> None:
        self._outdated_version_by_id.pop(row.key, None)
        if row.value is None:
            self._handle_deletion(row.key)
            return
        try:
            instance = self._codec.instance(row.key, row.value)
        except ConfigError as error:
            logger.warning(
                "registration is malformed; dropping the backend server",
                peer=row.key,
                error=str(error),
            )
            # Another writer replaced the row; the same report may restore it.
            self._instance_by_id.pop(row.key, None)
            return
        newer = self._order.find_newer(instance, self._instance_by_id.get(row.key))
        if newer is None:
            self._register(instance, row.version)
        else:
            self._ignore_outdated(instance, newer, row.version)

    def _register(self, instance: Instance, version: int) -> None:
        self._lapsed_ids.discard(instance.id)
        self._order.note_registered(instance)
        if self._instance_by_id.get(instance.id) != instance:
            logger.info(
                "backend server registered",
                peer=instance.id,
                service=instance.service,
                zone=instance.zone,
                draining=instance.draining,
                cold_s=instance.cold_remaining_s,
                started_at_ms=instance.started_at_ms,
                report=instance.report_number,
                version=version,
            )
        self._instance_by_id[instance.id] = instance

    def _ignore_outdated(
        self, instance: Instance, newer: Instance, version: int
    ) -> None:
        logger.info(
            "registration is outdated; ignoring it",
            peer=instance.id,
            started_at_ms=instance.started_at_ms,
            report=instance.report_number,
            newer_started_at_ms=newer.started_at_ms,
            newer_report=newer.report_number,
            version=version,
        )
        if instance.started_at_ms < newer.started_at_ms:
            self._outdated_version_by_id[instance.id] = version
            self._timer.after(
                OUTDATED_ROW_S, lambda: self._accept_standing(instance, version)
            )

    def _accept_standing(self, instance: Instance, version: int) -> None:
        """Register a backend server whose row was outdated, if the row still stands."""
        with self._lock:
            if self._outdated_version_by_id.get(instance.id) != version:
                return
            del self._outdated_version_by_id[instance.id]
            self._register(instance, version)
        self._notify_listeners()

    def _handle_deletion(self, key: str) -> None:
        instance = self._instance_by_id.get(key)
        if instance is None:
            return
        kept_s = self._link.recovered_at() + LAPSED_GRACE_S - self._clock.monotonic()
        if kept_s > 0 and self._loaded and not instance.draining:
            # The backend server may have failed to renew it only because of the outage.
            if key not in self._lapsed_ids:
                self._lapsed_ids.add(key)
                self._timer.after(kept_s, lambda: self._drop_lapsed(key))
                logger.info(
                    "registration lapsed; waiting for its renewal",
                    peer=key,
                    kept_s=kept_s,
                )
            return
        self._drop(key, "registration deleted")

    def _drop_lapsed(self, key: str) -> None:
        with self._lock:
            if key not in self._lapsed_ids:
                return
            self._lapsed_ids.discard(key)
            self._drop(key, "lapsed registration not renewed")
        self._notify_listeners()

    def _drop(self, key: str, reason: str) -> None:
        instance = self._instance_by_id.pop(key, None)
        if instance is None:
            return
        self._order.note_deleted(instance)
        logger.info(
            "backend server gone",
            peer=key,
            reason=reason,
            started_at_ms=instance.started_at_ms,
            report=instance.report_number,
        )

    def _notify_listeners(self) -> None:
        for listener in self._listeners:
            listener()


def make_registry(kernel: Kernel) -> Registry:
    """Return the registry as the store's table states it, empty until it is read."""
    return FollowedRegistry(
        kernel.find(ServiceName.CODEC, Codec),
        kernel.find(ServiceName.CLOCK, Clock),
        kernel.find(ServiceName.STORE_LINK, StoreLink),
        kernel.find(ServiceName.TIMER, Timer),
        partial(make_follower, kernel, TABLE, batch_pause_s=BATCH_PAUSE_S),
    )
