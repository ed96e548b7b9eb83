"""Hypothesis profile, markers and fixtures that all tests share."""

import sys
from pathlib import Path

import pytest
from hypothesis import HealthCheck, settings
from loguru import logger

from dotterelpier.model.manifest import Manifest
from dotterelpier.wire.manifest_toml import read_manifest
from tests.known_red import KNOWN_RED_FILE, read_known_reds

settings.register_profile(
    "fixed",
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=40,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
)
settings.load_profile("fixed")

CARONI = Path(__file__).resolve().parent.parent / "examples" / "caroni.toml"


def pytest_configure(config: pytest.Config) -> None:
    # As in the program, a logged error does not show the values of variables: the repr
    # of a service follows its references to all others, which takes minutes.
    logger.remove()
    logger.add(lambda text: sys.stderr.write(text), backtrace=False, diagnose=False)
    config.addinivalue_line(
        "markers", "promise(number): verifies the promise of this number"
    )


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    known_reds = read_known_reds(KNOWN_RED_FILE.read_text(encoding="utf-8"))
    for item in items:
        entry = known_reds.get(item.nodeid)
        if entry is not None:
            reason = f"known red: {entry.observed} ({entry.issue})"
            item.add_marker(pytest.mark.xfail(reason=reason, strict=False))


@pytest.fixture
def caroni() -> Manifest:
    return read_manifest(CARONI.read_text(encoding="utf-8"), str(CARONI))
