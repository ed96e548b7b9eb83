"""The configuration in force and the evacuated zones, read from the store."""

from collections.abc import Callable, Mapping
from functools import partial

from attrs import define, field
from loguru import logger

from dotterelpier.errors import ConfigError
from dotterelpier.fleet.follower import TableFollower, apply_each, make_follower
from dotterelpier.kernel import Kernel
from dotterelpier.model.fleet import StoreRow
from dotterelpier.model.rollout import RolloutOrder
from dotterelpier.model.route import RouteTable
from dotterelpier.protocols import Metrics, ServiceName
from dotterelpier.protocols.fleet import Codec, Routes

TABLE = "op"
# Bounds the log lines of one configuration; the metric counts all faults.
MAX_LOGGED_FAULTS = 20


@define
class FollowedRoutes:
    """Keeps the newest valid configuration and the set of evacuated zones.

    A configuration that is invalid or not newer leaves the one in force. One with
    routes or services that cannot be read comes in force without these. Changes are
    applied in the task of the table follower; reads are safe from any thread.
    """

    _codec: Codec
    _metrics: Metrics
    _make_follower: Callable[..., TableFollower]
    _follower: TableFollower | None = None
    _table: RouteTable | None = None
    _evacuated: frozenset[str] = frozenset()
    _order_by_service: Mapping[str, RolloutOrder] = field(factory=dict)
    _is_snapshot: bool = False
    _listeners: list[Callable[[], None]] = field(factory=list)

    def start(self) -> None:
        """Start following the store table that operators write."""
        self._follower = self._make_follower(self.apply_snapshot, self.apply_changes)
        self._follower.start()

    def stop(self) -> None:
        """Stop following the table; the configuration stays in force."""
        if self._follower is not None:
            self._follower.stop()

    def table(self) -> RouteTable | None:
        """Return the route table in force, None before the first one was read."""
        return self._table

    def is_evacuated(self, zone: str) -> bool:
        """Return whether a zone is evacuated and gets no requests."""
        return zone in self._evacuated

    def rollout_orders(self) -> Mapping[str, RolloutOrder]:
        """Return the orders of roll-outs by service."""
        return self._order_by_service

    def is_snapshot(self) -> bool:
        """Return whether the last rows applied were a snapshot of the table."""
        return self._is_snapshot

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call a listener after each change; it must not block.

        It runs in the task of the table follower.
        """
        self._listeners.append(listener)

    def apply_snapshot(self, rows: tuple[StoreRow, ...]) -> None:
        """Apply all rows; a zone without an evacuation row is no longer evacuated."""
        self._set_evacuated(frozenset(filter(None, map(self._zone, rows))))
        ordered = {self._codec.rollout_service(row.key) for row in rows}
        for service in self._order_by_service.keys() - ordered:
            self._set_order(service, None)
        self._apply(rows, is_snapshot=True)

    def apply_changes(self, rows: tuple[StoreRow, ...]) -> None:
        """Apply changed rows, then call the listeners."""
        self._apply(rows, is_snapshot=False)

    def _apply(self, rows: tuple[StoreRow, ...], *, is_snapshot: bool) -> None:
        self._is_snapshot = is_snapshot
        apply_each(rows, self._apply_row)
        for listener in self._listeners:
            listener()

    def _apply_row(self, row: StoreRow) -> None:
        zone = self._zone(row)
        service = self._codec.rollout_service(row.key)
        if service:
            self._set_order(service, self._decode_order(row))
        elif zone and row.value is None:
            self._set_evacuated(self._evacuated - {zone})
        elif zone:
            self._set_evacuated(self._evacuated | {zone})
        elif self._codec.is_configuration(row.key) and row.value is not None:
            self._apply_table(row.value)

    def _decode_order(self, row: StoreRow) -> RolloutOrder | None:
        if row.value is None:
            return None
        try:
            return self._codec.rollout_order(row.key, row.value, row.version)
        except ConfigError as error:
            logger.error(
                "order of a roll-out not understood; ignoring it",
                key=row.key,
                version=row.version,
                error=str(error),
            )
            return None

    def _set_order(self, service: str, order: RolloutOrder | None) -> None:
        orders = dict(self._order_by_service)
        orders.pop(service, None)
        if order is not None:
            orders[service] = order
        # Replaced as a whole, as other threads read it.
        self._order_by_service = orders

    def _zone(self, row: StoreRow) -> str | None:
        return self._codec.evacuated_zone(row.key)

    def _set_evacuated(self, zones: frozenset[str]) -> None:
        if zones != self._evacuated:
            logger.info(
                "evacuated zones changed",
                before=sorted(self._evacuated),
                zones=sorted(zones),
            )
            self._evacuated = zones

    def _apply_table(self, content: bytes) -> None:
        before = self._table.version if self._table else 0
        try:
            table = self._codec.route_table(content)
        except ConfigError as error:
            logger.error(
                "configuration invalid; keeping the one in force",
                in_force=before,
                error=str(error),
            )
            return
        if table.version <= before:
            logger.info(
                "configuration not newer; ignored", in_force=before, got=table.version
            )
            return
        self._table = table
        services = frozenset(table.config_by_service)
        self._metrics.restrict_label_values("service", services)
        self._metrics.set_gauge("revision", table.version)
        self._metrics.set_gauge("configuration_faults", len(table.faults))
        logger.info(
            "configuration in force",
            version=table.version,
            before=before,
            services=len(services),
            faults=len(table.faults),
        )
        for fault in table.faults[:MAX_LOGGED_FAULTS]:
            logger.error(
                "part of the configuration not understood; the rest is in force",
                version=table.version,
                fault=fault,
            )


def make_routes(kernel: Kernel) -> Routes:
    """Return the service, not yet started."""
    return FollowedRoutes(
        kernel.find(ServiceName.CODEC, Codec),
        kernel.find(ServiceName.METRICS, Metrics),
        partial(make_follower, kernel, TABLE, is_store_probe=True),
    )
