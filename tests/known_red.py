"""Reader of KNOWN-RED.txt, the list of tests that are known to fail.

Each line is one entry of four fields separated by ``|``: test, command and seed, what
was observed, issue. A listed test still runs; its failure is printed but does not fail
the run.
"""

from attrs import frozen

from tests.utils import ROOT

KNOWN_RED_FILE = ROOT / "KNOWN-RED.txt"


@frozen
class KnownRed:
    """Entry of the list; ``test`` is a pytest node id."""

    test: str
    command: str
    observed: str
    issue: str


def read_known_reds(text: str) -> dict[str, KnownRed]:
    """Parse the list and return its entries by node id; blank lines are skipped.

    Raises
    ------
    TypeError
        If an entry does not have four fields.
    """
    lines = [line for line in text.splitlines() if line.strip()]
    entries = [KnownRed(*map(str.strip, line.split("|"))) for line in lines]
    return {entry.test: entry for entry in entries}
