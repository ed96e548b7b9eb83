"""Age and end of an order, as far as they are known. The clock is a parameter."""

from attrs import define

from dotterelpier.model.rollout import RolloutOrder, RolloutRecord


@define
class OrderClock:
    """Tracks when an order was written, at the latest, and when it ends.

    The store does not tell when it acknowledged an order. Entries tell each other how
    long they have known it, and the earliest of them counts. An entry that starts in
    the middle of an order learns its age from them, or its end on the clock of the
    store from the record. Times are on the monotonic clock, in seconds.

    Attributes
    ----------
    order : RolloutOrder
        The order.
    known_at : float or None
        When an entry first knew of the order, as far as is known.
    """

    order: RolloutOrder
    known_at: float | None
    # Clock of the store minus that of this entry, at least and at most, in seconds.
    _store_offset_s: tuple[float, float] | None = None

    def note_age(self, age_s: float, now: float) -> None:
        """Record for how long another entry has known the order."""
        known_at = now - age_s
        if self.known_at is None or known_at < self.known_at:
            self.known_at = known_at

    def note_store_clock(
        self, store_ms: int, asked_at: float, replied_at: float
    ) -> None:
        """Record the clock of the store that a reply told, 0 if it told none."""
        if store_ms:
            store_s = store_ms / 1000
            self._store_offset_s = (store_s - replied_at, store_s - asked_at)

    def age_s(self, now: float) -> float | None:
        """Return for how long the order is known, None if that is not known."""
        return None if self.known_at is None else max(0.0, now - self.known_at)

    def left_s(
        self, record: RolloutRecord | None, delay_s: float, now: float
    ) -> float | None:
        """Return the least time until the order ends, None if it is not known.

        Parameters
        ----------
        record : RolloutRecord or None
            Record of the order, which may tell its end.
        delay_s : float
            Longest time after which an entry hears of an order.
        now : float
            The time.
        """
        ends_at = []
        if self.known_at is not None:
            ends_at.append(self.known_at + self.order.duration_s - delay_s)
        if record and record.ends_at_store_ms and self._store_offset_s is not None:
            ends_at.append(record.ends_at_store_ms / 1000 - self._store_offset_s[1])
        return min(ends_at) - now if ends_at else None

    def ends_at_store_ms(self, delay_s: float) -> int:
        """Return the earliest end on the clock of the store, 0 if it is not known."""
        if self.known_at is None or self._store_offset_s is None:
            return 0
        ends_at = self.known_at + self.order.duration_s - delay_s
        return max(1, int((ends_at + self._store_offset_s[0]) * 1000))
