"""Deletes expired claims, one shard of the keys at a time."""

from attrs import define
from loguru import logger

from dotterelpier.errors import PlatformError
from dotterelpier.kernel import Kernel, KernelService
from dotterelpier.model.claim import Claim
from dotterelpier.model.platform import Row, Write
from dotterelpier.protocols import (
    Clock,
    Membership,
    ServiceName,
    Subscription,
    Table,
    TaskKind,
    Tasks,
    Timer,
)
from dotterelpier.wire.rows import CLAIM_SHARDS, claim_shard_prefix, decode_row

SWEEP_INTERVAL_S = 1.0
MAX_DELETES = 64
# Largest skew assumed between the wall clocks of two entries.
MAX_CLOCK_SKEW_S = 60.0


@define
class ClaimSweeper:
    """Sweeps one shard each second, on the live entry with the lowest id.

    Two entries may sweep at the same time without harm: each deletes a row only if it
    still has the version that was read.
    """

    _clock: Clock
    _timer: Timer
    _tasks: Tasks
    _table: Table
    _membership: Membership
    _shard: int = 0
    _subscription: Subscription | None = None

    def start(self) -> None:
        """Start the task that sweeps."""
        self._subscription = self._timer.every(SWEEP_INTERVAL_S)
        self._tasks.supervise(TaskKind.CONTROL, self._sweep, self._subscription)

    def stop(self) -> None:
        """End the task once the shard being swept is done."""
        if self._subscription is not None:
            self._subscription.cancel()

    def _sweep(self, subscription: Subscription) -> None:
        while subscription.wait():
            if not self._is_sweeper():
                continue
            try:
                self._sweep_shard(claim_shard_prefix(self._shard))
            except PlatformError as error:
                logger.debug(
                    "claim sweep failed; going on to the next shard",
                    shard=self._shard,
                    error=str(error),
                )
            self._shard = (self._shard + 1) % CLAIM_SHARDS

    def _is_sweeper(self) -> bool:
        own_id = self._membership.me().id
        return own_id == min(self._membership.live_by_id(), default=own_id)

    def _sweep_shard(self, prefix: str) -> None:
        expired = [row for row in self._table.scan(prefix) if self._is_expired(row)]
        for start in range(0, len(expired), MAX_DELETES):
            rows = expired[start : start + MAX_DELETES]
            self._table.commit([Write(row.key, None, row.version) for row in rows])

    def _is_expired(self, row: Row) -> bool:
        try:
            expires_at = decode_row(row, Claim).expires_at
        except PlatformError as error:
            logger.warning(
                "cannot decode claim row; keeping it", key=row.key, error=str(error)
            )
            return False
        return expires_at + MAX_CLOCK_SKEW_S < self._clock.unix()


def make_claim_sweeper(kernel: Kernel) -> KernelService:
    """Return the claim sweeper of this entry, not started."""
    return ClaimSweeper(
        kernel.find(ServiceName.CLOCK, Clock),
        kernel.find(ServiceName.TIMER, Timer),
        kernel.find(ServiceName.TASKS, Tasks),
        kernel.find(ServiceName.TABLE, Table),
        kernel.find(ServiceName.MEMBERSHIP, Membership),
    )
