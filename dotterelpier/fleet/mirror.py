"""A copy of one table of the store that tells what changed since a version."""

from attrs import define, field

from dotterelpier.model.fleet import StoreReply, StoreRow, TableVersions

# Deleted rows that are remembered; whoever lacks older ones gets the whole table.
MAX_TOMBSTONES = 4096


@define
class TableMirror:
    """Rows of a table, and when those that are gone were deleted."""

    table: str
    _row_by_key: dict[str, StoreRow] = field(factory=dict)
    _tombstone_by_key: dict[str, StoreRow] = field(factory=dict)
    _newest_change: int = 0
    _complete_to: int = -1
    # Changes after this version are all known.
    _known_since: int = 0

    def versions(self) -> TableVersions:
        """Return how far the copy goes."""
        return TableVersions(self.table, self._newest_change, self._complete_to)

    def apply_reply(self, reply: StoreReply) -> None:
        """Take in rows read from the store, or told by another entry."""
        if reply.version < self._complete_to:
            return
        if reply.whole:
            self._delete_missing(reply)
        for row in reply.rows:
            self._apply_row(row)
        self._complete_to = reply.version

    def changes(self, after: int) -> StoreReply:
        """Return what changed after a version, or the whole table.

        Parameters
        ----------
        after : int
            Version of the store that the asker knows the table up to.
        """
        version = max(self._complete_to, 0)
        if after < self._known_since or self._complete_to < 0:
            whole = self._complete_to >= 0
            return StoreReply(tuple(self._row_by_key.values()), version, whole)
        known = (*self._row_by_key.values(), *self._tombstone_by_key.values())
        rows = tuple(row for row in known if row.version > after)
        return StoreReply(rows, version)

    def _delete_missing(self, reply: StoreReply) -> None:
        if self._complete_to < 0:
            self._known_since = reply.version
        present = {row.key for row in reply.rows}
        for key in tuple(self._row_by_key.keys() - present):
            self._apply_row(StoreRow(key, None, reply.version))

    def _apply_row(self, row: StoreRow) -> None:
        self._newest_change = max(self._newest_change, row.version)
        if row.value is not None:
            self._row_by_key[row.key] = row
            self._tombstone_by_key.pop(row.key, None)
            return
        self._row_by_key.pop(row.key, None)
        # The newest deletion stands last.
        self._tombstone_by_key.pop(row.key, None)
        self._tombstone_by_key[row.key] = row
        if len(self._tombstone_by_key) > MAX_TOMBSTONES:
            oldest = next(iter(self._tombstone_by_key))
            self._known_since = self._tombstone_by_key.pop(oldest).version
