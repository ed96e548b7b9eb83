"""Tests of the list of tests known to fail."""

import pytest

from tests.known_red import FILE, KnownRed, read_known_reds


def test_list_is_well_formed_and_names_tests_that_exist() -> None:
    for test, entry in read_known_reds(FILE.read_text(encoding="utf-8")).items():
        file, _, name = test.partition("::")
        source = (FILE.parent / file).read_text(encoding="utf-8")
        assert f"def {name.partition('[')[0].rpartition('::')[2]}(" in source
        assert all((entry.command, entry.seen, entry.issue))


def test_entry_has_four_parts() -> None:
    line = "tests/test_a.py::test_b | make prove P=3, seed 7 | 2 runs | issue 4\n"
    assert read_known_reds(line) == {
        "tests/test_a.py::test_b": KnownRed(
            "tests/test_a.py::test_b", "make prove P=3, seed 7", "2 runs", "issue 4"
        )
    }
    with pytest.raises(TypeError):
        read_known_reds("tests/test_a.py::test_b | seed 7\n")
