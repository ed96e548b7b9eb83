"""Counts of one entry since an order: answers and durations by route and release."""

import threading
from collections import Counter
from collections.abc import Mapping

from attrs import define, field

from dotterelpier.fleet.rollouts.durations import bucket_of
from dotterelpier.model.rollout import ReleaseCounts

# Servers with lost answers that are told apart; a bad release loses them at many.
MAX_SERVERS = 32
# Work ratios below this are not plausible.
MIN_WORK_RATIO = 0.25
# An attempt that this entry aborted after this share of the objective was slow; one
# that it aborted sooner tells nothing, as its client left.
ABORTED_SLOW_SHARE = 0.5


@define
class _Tally:
    """Counts of one release on one route."""

    answers: int = 0
    errors: int = 0
    lost: int = 0
    durations: Counter[int] = field(factory=Counter)
    raw_durations: Counter[int] = field(factory=Counter)


@define(eq=False)
class EvidenceCounters:
    """Cumulative counts, kept apart by route and by target or old release.

    Thread-safe. Durations are in seconds.
    """

    _tally_by_key: dict[tuple[str, bool], _Tally] = field(factory=dict)
    _lost_by_server: Counter[str] = field(factory=Counter)
    # Route and start of each attempt at the target that has no outcome yet.
    _pending: dict[int, tuple[str, float]] = field(factory=dict)
    _lock: threading.Lock = field(factory=threading.Lock)

    def note_pending(self, attempt: int, route: str, sent_at: float) -> None:
        """Record that an attempt with an id was sent to the target."""
        with self._lock:
            self._pending[attempt] = (route, sent_at)

    def forget_pending(self, attempt: int) -> None:
        """Record that an attempt with an id has an outcome."""
        with self._lock:
            self._pending.pop(attempt, None)

    def note_answer(
        self,
        route: str,
        is_target: bool,
        duration_s: float,
        work_ratio: float,
    ) -> None:
        """Count an answer; the work ratio is the one that the server reported."""
        usual_s = duration_s / max(MIN_WORK_RATIO, work_ratio)
        with self._lock:
            tally = self._tally(route, is_target)
            tally.answers += 1
            tally.durations[bucket_of(usual_s)] += 1
            tally.raw_durations[bucket_of(duration_s)] += 1

    def note_error(self, route: str, is_target: bool) -> None:
        """Count an answer with a server error status."""
        with self._lock:
            self._tally(route, is_target).errors += 1

    def note_lost(self, route: str, is_target: bool, instance_id: str) -> None:
        """Count a lost answer of a backend server."""
        with self._lock:
            self._tally(route, is_target).lost += 1
            known = self._lost_by_server
            if is_target and (instance_id in known or len(known) < MAX_SERVERS):
                known[instance_id] += 1

    def note_unanswered(
        self, route: str, is_target: bool, duration_s: float, target_s: float
    ) -> None:
        """Count an attempt without an answer after some time, if that was slow.

        ``target_s`` is the response time objective of the route.
        """
        if duration_s < target_s * ABORTED_SLOW_SHARE:
            return
        with self._lock:
            tally = self._tally(route, is_target)
            tally.raw_durations[bucket_of(duration_s)] += 1

    def snapshot(
        self, now: float
    ) -> tuple[
        Mapping[str, ReleaseCounts], Mapping[str, ReleaseCounts], Mapping[str, int]
    ]:
        """Return the counts of the target and of the others by route, and the losses.

        The losses are those of the target, by the id of the backend server.
        """
        with self._lock:
            pending_by_route: dict[str, Counter[int]] = {}
            for route, sent_at in self._pending.values():
                self._tally(route, True)
                pending = pending_by_route.setdefault(route, Counter())
                pending[bucket_of(now - sent_at)] += 1
            counts: tuple[dict[str, ReleaseCounts], ...] = ({}, {})
            for (route, is_target), tally in self._tally_by_key.items():
                pending = pending_by_route.get(route, Counter())
                counts[not is_target][route] = ReleaseCounts(
                    tally.answers,
                    tally.errors,
                    tally.lost,
                    dict(tally.durations),
                    dict(tally.raw_durations),
                    dict(pending) if is_target else {},
                )
            return counts[0], counts[1], dict(self._lost_by_server)

    def _tally(self, route: str, is_target: bool) -> _Tally:
        return self._tally_by_key.setdefault((route, is_target), _Tally())
