"""Tests of settings, and of the pages that describe them and the manifest."""

import re
from enum import Enum
from pathlib import Path
from typing import Any, get_args, get_type_hints

import attrs
import pytest

from dotterelpier.errors import SettingsError
from dotterelpier.fleet_settings import FleetSettings
from dotterelpier.model.manifest import Manifest
from dotterelpier.settings import Settings, read_settings
from tests.utils import ROOT

MINIMAL = '[platform]\naddress = "127.0.0.1:9100"\n'
ROW = re.compile(
    r"^\| `([\w.\[\]]+)` \| ([^|]*) \| ([^|]*) \| ([^|]*) \| ([^|]+) \|$", re.M
)
UNIT_BY_SUFFIX = {
    "bytes_per_s": "bytes/s",
    "_per_s": "1/s",
    "_s": "s",
    "_ms": "ms",
    "_bytes": "bytes",
    "_mb": "MB",
    "_share": "share",
}


def _read(folder: Path, text: str) -> Settings:
    file = folder / "entry.toml"
    file.write_text(text)
    return read_settings(file)


def _described(page: str) -> dict[str, tuple[str, ...]]:
    text = (ROOT / "docs" / page).read_text()
    return {row[0]: tuple(map(str.strip, row[1:4])) for row in ROW.findall(text)}


def _declared(kind: type, path: str = "") -> dict[str, tuple[str, ...]]:
    rows: dict[str, tuple[str, ...]] = {}
    hints = get_type_hints(kind)
    for item in attrs.fields(kind):
        if not item.init:
            continue
        inner, many = _inner(hints[item.name])
        key = path + item.name
        if attrs.has(inner):
            rows |= _declared(inner, f"{key}[]." if many else f"{key}.")
        else:
            rows[key] = (_unit(item.name), _default(item), _limits(item, inner))
    return rows


def _inner(hint: Any) -> tuple[type, bool]:
    arguments = [item for item in get_args(hint) if item not in (type(None), Ellipsis)]
    return (arguments[0] if arguments else hint), Ellipsis in get_args(hint)


def _unit(name: str) -> str:
    units = [unit for suffix, unit in UNIT_BY_SUFFIX.items() if name.endswith(suffix)]
    return units[0] if units else ""


def _default(item: "attrs.Attribute[Any]") -> str:
    if item.default is attrs.NOTHING:
        return "required"
    value = item.default.value if isinstance(item.default, Enum) else item.default
    return f"`{_toml(value)}`"


def _toml(value: Any) -> str:
    if isinstance(value, str):
        return f'"{value}"'
    if isinstance(value, bool):
        return str(value).lower()
    return "[]" if value == () else f"{value:g}" if value < 1e6 else str(value)


def _limits(item: "attrs.Attribute[Any]", inner: type) -> str:
    if issubclass(inner, Enum):
        return ", ".join(f"`{_toml(option.value)}`" for option in inner)
    validators = getattr(item.validator, "_validators", (item.validator,))
    parts = []
    for validator in filter(None, validators):
        if hasattr(validator, "options"):
            return ", ".join(f"`{_toml(option)}`" for option in validator.options)
        parts.append(f"{validator.compare_op} {_toml(validator.bound)}")
    return ", ".join(parts)


@pytest.mark.parametrize(
    ("page", "kind"),
    [
        ("SETTINGS.md", Settings),
        ("FLEET-SETTINGS.md", FleetSettings),
        ("MANIFEST.md", Manifest),
    ],
)
def test_page_describes_every_key_with_unit_default_and_limits(page, kind) -> None:
    assert _described(page) == _declared(kind)


def test_full_example_names_every_key() -> None:
    text = (ROOT / "examples" / "entry.toml").read_text()
    read_settings(ROOT / "examples" / "entry.toml")
    table, named = "", set()
    for line in text.splitlines():
        line = line.removeprefix("# ").strip()
        if header := re.fullmatch(r"\[(\w+)\]", line):
            table = header[1]
        elif key := re.match(r"(\w+) = ", line):
            named.add(f"{table}.{key[1]}")
    assert named == set(_declared(Settings))


def test_minimal_settings_use_the_defaults(tmp_path) -> None:
    settings = _read(tmp_path, MINIMAL)
    assert settings.entry is None
    assert settings.lease.lease_s > settings.lease.renew_s


@pytest.mark.parametrize(
    ("text", "fault"),
    [
        ("[platform]\n", "platform.address: key 'address' is missing"),
        ('[platform]\naddress = "nowhere"\n', "platform.address: 'nowhere'"),
        ('[platform]\naddress = "127.0.0.1:99999"\n', "platform.address"),
        (MINIMAL + "timeout_s = 0\n", "platform.timeout_s: must be > 0"),
        (MINIMAL + 'timeout_s = "1"\n', "platform.timeout_s: expected float, got '1'"),
        (MINIMAL + "timeout_ms = 5\n", "platform: unknown keys timeout_ms"),
        (MINIMAL + "[limits]\npeers = 2.5\n", "limits.peers: expected int, got 2.5"),
        (MINIMAL + "[limits]\npeers = true\n", "limits.peers: expected int, got True"),
        (MINIMAL + '[log]\nlevel = "LOUD"\n', "log.level: must be in"),
        (MINIMAL + "[lease]\nlease_s = nan\n", "lease.lease_s"),
        (MINIMAL + "[extra]\n", "unknown keys extra"),
        (
            MINIMAL + '[tls]\ncertificate_file = "a"\n',
            "tls.key_file: key 'key_file' is missing",
        ),
        ("not toml", "entry.toml"),
        ("\x00", "entry.toml"),
    ],
)
def test_error_names_the_key_at_fault(tmp_path, text: str, fault: str) -> None:
    with pytest.raises(SettingsError, match=re.escape(fault)):
        _read(tmp_path, text)


def test_error_names_the_missing_file(tmp_path) -> None:
    with pytest.raises(SettingsError, match=r"No such file.*none\.toml"):
        read_settings(tmp_path / "none.toml")


def test_error_names_all_faults(tmp_path) -> None:
    text = (
        MINIMAL
        + 'timeout_s = 0\npoll_s = 9\n[log]\nlevel = "LOUD"\n[limits]\npeers = 0\n'
    )
    with pytest.raises(SettingsError) as caught:
        _read(tmp_path, text)
    for key in ("platform.timeout_s", "platform.poll_s", "log.level", "limits.peers"):
        assert caught.value.message.count(f"{key}: must be") == 1
