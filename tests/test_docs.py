"""Tests of the pages: commands parse, links lead somewhere."""

import io
import re
import shlex
from pathlib import Path

import pytest

from dotterelpier.cli.environment import Environment
from dotterelpier.cli.invocation import Invocation
from dotterelpier.cli.main import parse
from dotterelpier.exit_status import ExitStatus
from tests.fakes import ManualClock
from tests.utils import ROOT

PAGES = sorted([*ROOT.glob("*.md"), *ROOT.glob("docs/*.md")])
COMMAND = re.compile(r"^    (?:dist/)?dotterelpier (.+)$", re.M)
LINK = re.compile(r"\]\(([^)#\s]*)(?:#([^)\s]+))?\)")
MAKE = re.compile(r"^    make (\w[\w-]*)", re.M)


def _anchors(page: Path) -> set[str]:
    titles = re.findall(r"^#+ (.+)$", page.read_text(), re.M)
    return {re.sub(r"[^\w -]", "", title).lower().replace(" ", "-") for title in titles}


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_commands_parse(page: Path) -> None:
    streams = (io.StringIO(), io.StringIO(), io.StringIO())
    environment = Environment(*streams, ManualClock(), "user", "host")
    for line in COMMAND.findall(page.read_text()):
        arguments = shlex.split(line.partition(" > ")[0], comments=True)
        parsed = parse(arguments, environment)
        assert isinstance(parsed, Invocation) or parsed is ExitStatus.OK, line


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_link_targets_exist(page: Path) -> None:
    for target, anchor in LINK.findall(page.read_text()):
        if "://" in target:
            continue
        linked = page.parent / target if target else page
        assert linked.exists(), target
        assert not anchor or anchor in _anchors(linked), f"{target}#{anchor}"


def test_make_targets_exist() -> None:
    makefile = (ROOT / "Makefile").read_text()
    for page in PAGES:
        for target in MAKE.findall(page.read_text()):
            assert re.search(rf"^{target}:", makefile, re.M), target
