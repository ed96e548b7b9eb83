"""Settings of all tests."""

from pathlib import Path

import pytest
from hypothesis import HealthCheck, settings

from dotterelpier.model.manifest import Manifest
from dotterelpier.wire.manifest_toml import read_manifest

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
    config.addinivalue_line("markers", "promise(number): proves a promise of the brief")


@pytest.fixture
def caroni() -> Manifest:
    return read_manifest(CARONI.read_text(encoding="utf-8"), str(CARONI))
