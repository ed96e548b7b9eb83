"""Streams, clock and identity that a command runs with."""

import getpass
import socket
import sys
from typing import TextIO

from attrs import frozen

from dotterelpier.protocols import Clock
from dotterelpier.services.clock import make_clock


@frozen
class Environment:
    """What a command takes from its process, so that tests can replace it.

    Attributes
    ----------
    stdin, stdout, stderr : text file
        Streams of the process.
    clock : Clock
        Source of time.
    user, host : str
        Names of the user and the host that run the command, for the audit trail.
    """

    stdin: TextIO
    stdout: TextIO
    stderr: TextIO
    clock: Clock
    user: str
    host: str

    def show(self, text: str) -> None:
        """Write a result line to standard output."""
        print(text, file=self.stdout)

    def report(self, text: str) -> None:
        """Write a line about an error or progress to standard error, and flush it."""
        print(text, file=self.stderr, flush=True)


def make_environment() -> Environment:
    """Return the streams, clock, user and host of this process."""
    return Environment(
        sys.stdin, sys.stdout, sys.stderr, make_clock(), _user(), socket.gethostname()
    )


def _user() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"
