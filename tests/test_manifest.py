"""Tests of reading and checking manifests."""

import pytest

from dotterelpier.errors import ManifestError
from dotterelpier.wire.manifest_toml import read_manifest
from tests.conftest import CARONI


def _faults(text: str) -> tuple[str, ...]:
    with pytest.raises(ManifestError) as caught:
        read_manifest(text, "test")
    return caught.value.faults


def test_example_is_valid(caroni) -> None:
    assert len(caroni.backend_servers) == 34


def test_each_fault_names_its_key() -> None:
    text = CARONI.read_text().replace('state = "in"', 'state = "off"', 1)
    text = text.replace("slots = 4", "slots = 0", 1)
    faults = _faults(text)
    assert any(fault.startswith("zones[0].state:") for fault in faults)
    assert any(fault.startswith("backend_servers[0]") for fault in faults)


def test_unknown_key_is_rejected() -> None:
    faults = _faults("tenent = 'x'\n" + CARONI.read_text())
    assert any("tenent" in fault for fault in faults)


def test_too_small_probe_budget_is_rejected() -> None:
    text = CARONI.read_text().replace("probes_per_s = 1.0", "probes_per_s = 0.1")
    assert any(fault.startswith("measuring.probes_per_s") for fault in _faults(text))


def test_unknown_zone_is_rejected() -> None:
    text = CARONI.read_text().replace('zone = "tt-north-2"', 'zone = "nowhere"', 1)
    assert any("no zone 'nowhere'" in fault for fault in _faults(text))
