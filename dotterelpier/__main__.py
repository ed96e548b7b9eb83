"""Entry point of the command line, also as ``python -m dotterelpier``."""

import signal
import sys


def main() -> None:
    """Run the command line and exit with its status."""
    if sys.argv[1:2] == ["serve"]:
        # By default a reload that is requested before the entry runs would end it.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Loading the modules takes most of the time until the entry handles signals.
    from dotterelpier.cli.main import run

    sys.exit(run(sys.argv[1:]))


if __name__ == "__main__":
    main()
