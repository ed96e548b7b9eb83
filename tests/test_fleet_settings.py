"""Settings of a fleet's entry, and the template that fills them in on the platform."""

import re

import pytest

from dotterelpier.errors import SettingsError
from dotterelpier.fleet_settings import read_fleet_settings
from tests.utils import ROOT

EXAMPLE = ROOT / "examples" / "fleet.toml"
TEMPLATE = ROOT / "deploy" / "settings.toml.template"
KEY = re.compile(r"(\w+) = ")


def changed(tmp_path, old: str, new: str):
    text = EXAMPLE.read_text()
    assert old in text
    path = tmp_path / "fleet.toml"
    path.write_text(text.replace(old, new))
    return path


def test_example_is_valid() -> None:
    settings = read_fleet_settings(EXAMPLE)
    assert settings.bounds.grace_s == 6.0
    assert settings.store.address == "127.20.0.1:9102"


@pytest.mark.parametrize(
    ("old", "new", "fault"),
    [
        ('name = "entry-1"', "", "name"),
        ('zone = "tt-north-1"', "zone = 3", "entry.zone"),
        ("127.20.1.1:8081", "nowhere", "entry.caller_address"),
        ("127.20.0.1:9102", "127.20.0.1", "store.address"),
        ("grace_s = 6.0", "grace_s = 0", "bounds.grace_s"),
        ("retry_ratio = 0.2", "retry_ratio = 2", "bounds.retry_ratio"),
        ("[log]", "[logs]", "logs"),
        ('level = "INFO"', 'level = "LOUD"', "log.level"),
        ("[store]", "[store", "fleet.toml"),
    ],
)
def test_error_names_the_key_at_fault(tmp_path, old, new, fault) -> None:
    with pytest.raises(SettingsError, match=re.escape(fault)):
        read_fleet_settings(changed(tmp_path, old, new))


def test_missing_file_is_reported(tmp_path) -> None:
    with pytest.raises(SettingsError, match="No such file"):
        read_fleet_settings(tmp_path / "gone.toml")


def test_template_fills_known_keys_only() -> None:
    template = set(KEY.findall(TEMPLATE.read_text()))
    assert template <= set(KEY.findall(EXAMPLE.read_text()))
