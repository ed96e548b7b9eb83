"""A copy of one table of the store that returns the changes since a version."""

from attrs import define, field

from dotterelpier.model.fleet import StoreReply, StoreRow, TableVersions

# Deleted rows that are remembered; a reader that needs older ones gets all rows.
MAX_TOMBSTONES = 4096


@define
class TableMirror:
    """Rows of a table, and tombstones of the rows deleted lately."""

    table: str
    _row_by_key: dict[str, StoreRow] = field(factory=dict)
    _tombstone_by_key: dict[str, StoreRow] = field(factory=dict)
    _newest_change: int = 0
    _complete_to: int = -1
    # All changes after this version are known.
    _known_since: int = 0

    def versions(self) -> TableVersions:
        """Return the newest change, and up to which version none is missing."""
        return TableVersions(self.table, self._newest_change, self._complete_to)

    def apply_reply(self, reply: StoreReply) -> None:
        """Apply rows from the store or another entry; ignore an outdated reply."""
        if reply.version < self._complete_to:
            return
        if reply.whole:
            self._delete_missing(reply)
        for row in reply.rows:
            self._apply_row(row)
        self._complete_to = reply.version

    def changes(self, after: int) -> StoreReply:
        """Return the changes after a version, or all rows if some are unknown.

        Parameters
        ----------
        after : int
            Version of the store up to which the reader knows the table, 0 if it knows
            nothing.
        """
        version = max(self._complete_to, 0)
        if after <= 0 or after < self._known_since or self._complete_to < 0:
            whole = self._complete_to >= 0
            return StoreReply(tuple(self._row_by_key.values()), version, whole)
        known = (*self._row_by_key.values(), *self._tombstone_by_key.values())
        rows = tuple(row for row in known if row.version > after)
        return StoreReply(rows, version)

    def _delete_missing(self, reply: StoreReply) -> None:
        if self._complete_to < 0:
            # Rows may have been deleted at any version up to this one.
            self._known_since = self._newest_change = reply.version
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
        # The row is removed first, so that the newest tombstone comes last.
        self._tombstone_by_key.pop(row.key, None)
        self._tombstone_by_key[row.key] = row
        if len(self._tombstone_by_key) > MAX_TOMBSTONES:
            oldest = next(iter(self._tombstone_by_key))
            self._known_since = self._tombstone_by_key.pop(oldest).version
