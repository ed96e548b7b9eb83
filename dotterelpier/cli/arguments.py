"""Conversion of command line arguments from text, with their checks."""

import math
from datetime import UTC, datetime

from attrs import define

from dotterelpier.errors import UsageError


@define
class Arguments:
    """Converts argument values of one command; errors name the argument at fault.

    Attributes
    ----------
    command : str
        Name of the command, the step of each error.
    """

    command: str

    def seconds(self, name: str, value: object, maximum: float) -> float:
        """Return a duration in seconds, from the number that an argument gives.

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
        """Return whether a flag without a value is set.

        Raises
        ------
        UsageError
            If it has a value, such as a file name meant as a positional argument.
        """
        if str(value) not in ("True", "False"):
            raise self._error(name, value, "a switch without a value")
        return str(value) == "True"

    def text(self, name: str, value: object) -> str:
        """Return the text of an argument that must have a value.

        Raises
        ------
        UsageError
            If it is empty, or a flag was given without its value.
        """
        text = str(value)
        if text in ("", "True"):
            raise self._error(name, value, "a value")
        return text

    def time(self, name: str, value: object) -> float:
        """Return an ISO 8601 time as seconds since 1970; without a time zone it is UTC.

        Raises
        ------
        UsageError
            If it is not an ISO 8601 time.
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
