"""Entry point of the command line, also as ``python -m dotterelpier``."""

import sys

from dotterelpier.cli.main import run


def main() -> None:
    """Run the command line and exit with its status."""
    sys.exit(run(sys.argv[1:]))


if __name__ == "__main__":
    main()
