"""Tests of the list of tests known to fail."""

import pytest

from tests.known_red import KNOWN_RED_FILE, KnownRed, read_known_reds


def test_entries_are_complete_and_name_existing_tests() -> None:
    for test, entry in read_known_reds(
        KNOWN_RED_FILE.read_text(encoding="utf-8")
    ).items():
        file, _, name = test.partition("::")
        source = (KNOWN_RED_FILE.parent / file).read_text(encoding="utf-8")
        assert f"def {name.partition('[')[0].rpartition('::')[2]}(" in source
        assert all((entry.command, entry.observed, entry.issue))


def test_entry_has_four_fields() -> None:
    line = "tests/test_a.py::test_b | make prove P=3, seed 7 | 2 runs | issue 4\n"
    assert read_known_reds(line) == {
        "tests/test_a.py::test_b": KnownRed(
            "tests/test_a.py::test_b", "make prove P=3, seed 7", "2 runs", "issue 4"
        )
    }
    with pytest.raises(TypeError):
        read_known_reds("tests/test_a.py::test_b | seed 7\n")
