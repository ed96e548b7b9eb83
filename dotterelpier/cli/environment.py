"""Surroundings of a command, passed to it as one object."""

import getpass
import socket
import sys
from typing import TextIO

from attrs import frozen

from dotterelpier.protocols import Clock
from dotterelpier.services.clock import make_clock


@frozen
class Environment:
    """Streams, time and identity.

    Attributes
    ----------
    stdin, stdout, stderr : text file
        Streams of the process.
    clock : Clock
        Source of time.
    user, host : str
        Who runs the command, and where.
    """

    stdin: TextIO
    stdout: TextIO
    stderr: TextIO
    clock: Clock
    user: str
    host: str

    def show(self, text: str) -> None:
        """Write one line of output."""
        print(text, file=self.stdout)

    def report(self, text: str) -> None:
        """Write one line about an error or progress."""
        print(text, file=self.stderr, flush=True)


def make_environment() -> Environment:
    """Return the surroundings of this process."""
    return Environment(
        sys.stdin, sys.stdout, sys.stderr, make_clock(), _user(), socket.gethostname()
    )


def _user() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"
