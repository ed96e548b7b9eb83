"""Tables for people."""

from collections.abc import Sequence

COLUMN_SEPARATOR = "  "


def format_table(headings: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Return rows as columns of aligned text below their headings."""
    lines = [tuple(headings)]
    lines += [tuple(str(cell) for cell in row) for row in rows]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(
        COLUMN_SEPARATOR.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def format_seconds(seconds: float) -> str:
    """Return a duration in seconds, ``-`` where it is not known."""
    return "-" if seconds < 0 else f"{seconds:.1f} s"


def format_flag(value: bool) -> str:
    """Return a truth value as a word."""
    return "yes" if value else "no"
