"""Checks of arguments, which come from the command line as text."""

import math
from datetime import UTC, datetime

from attrs import define

from dotterelpier.errors import UsageError


@define
class Arguments:
    """Checks values and names the flag at fault."""

    command: str

    def seconds(self, name: str, value: object, maximum: float) -> float:
        """Return a duration in seconds.

        Raises
        ------
        UsageError
            If it is not a number between 0 and ``maximum``.
        """
        try:
            seconds = float(str(value))
        except ValueError:
            seconds = math.nan
        if not 0 <= seconds <= maximum:
            raise self._error(
                name, value, f"a number of seconds between 0 and {maximum:g}"
            )
        return seconds

    def switch(self, name: str, value: object) -> bool:
        """Return whether a switch is on.

        Raises
        ------
        UsageError
            If it got a value, such as a file that was meant as an argument.
        """
        if str(value) not in ("True", "False"):
            raise self._error(name, value, "a switch without a value")
        return str(value) == "True"

    def text(self, name: str, value: object) -> str:
        """Return a text that is not empty.

        Raises
        ------
        UsageError
            If it is empty, or a flag without a value.
        """
        text = str(value)
        if text in ("", "True"):
            raise self._error(name, value, "a value")
        return text

    def time(self, name: str, value: object) -> float:
        """Return a time in ISO 8601 as seconds since 1970; UTC if no zone is named.

        Raises
        ------
        UsageError
            If it is not such a time.
        """
        try:
            moment = datetime.fromisoformat(str(value))
        except ValueError:
            raise self._error(
                name, value, "a time such as 2026-05-01T12:00:00"
            ) from None
        if moment.tzinfo is None:
            moment = moment.replace(tzinfo=UTC)
        return moment.timestamp()

    def _error(self, name: str, value: object, expected: str) -> UsageError:
        return UsageError(
            f"{name}: {str(value)!r} is not {expected}", step=self.command
        )
