"""Builds the one-file program from the packages of this environment.

Run with ``python -m scripts.build_binary FILE``. Nothing is fetched: the package and
the distributions that it needs are copied from where they are installed.
"""

import shutil
import sys
import tempfile
import tomllib
from collections.abc import Iterable
from importlib.metadata import Distribution, distribution
from pathlib import Path

from packaging.requirements import Requirement
from shiv.cli import main as shiv

ROOT = Path(__file__).resolve().parent.parent
PACKAGE = "dotterelpier"
ENTRY_POINT = "dotterelpier.__main__:main"
INTERPRETER = "/usr/bin/env python3.11"

# Where the program unpacks itself; the VMs keep this folder in memory.
UNPACK_FOLDER = "/tmp/dotterelpier"


def build(file: Path) -> None:
    """Write the program to a file, replacing it."""
    file.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as folder:
        site = Path(folder)
        _copy_package(site)
        for item in _required_distributions(_direct_requirements()):
            _copy_distribution(item, site)
        shiv(
            [
                "--site-packages",
                folder,
                "--entry-point",
                ENTRY_POINT,
                "--python",
                INTERPRETER,
                "--root",
                UNPACK_FOLDER,
                "--reproducible",
                "--output-file",
                str(file),
            ],
            standalone_mode=False,
        )


def _copy_package(site: Path) -> None:
    ignored = shutil.ignore_patterns("__pycache__")
    shutil.copytree(ROOT / PACKAGE, site / PACKAGE, ignore=ignored)


def _direct_requirements() -> Iterable[str]:
    project = tomllib.loads((ROOT / "pyproject.toml").read_text(encoding="utf-8"))
    return tuple(project["project"]["dependencies"])


def _required_distributions(requirements: Iterable[str]) -> Iterable[Distribution]:
    """Yield the distributions required, directly or not, each once."""
    visited: set[str] = set()
    pending = list(requirements)
    while pending:
        requirement = Requirement(pending.pop())
        marker = requirement.marker
        if marker is not None and not marker.evaluate({"extra": ""}):
            continue
        if requirement.name in visited:
            continue
        visited.add(requirement.name)
        item = distribution(requirement.name)
        pending += item.requires or ()
        yield item


def _copy_distribution(item: Distribution, site: Path) -> None:
    for file in item.files or ():
        if ".." in file.parts or "__pycache__" in file.parts:
            continue
        target = site / file
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy2(str(file.locate()), target)


if __name__ == "__main__":
    build(Path(sys.argv[1]))
