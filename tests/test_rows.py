"""Tests of rows in the platform's table."""

import json

import pytest

from dotterelpier.errors import PlatformUnavailableError
from dotterelpier.model.membership import Member
from dotterelpier.model.platform import Row
from dotterelpier.wire.rows import decode_row, encode_row

MEMBER = Member("entry-1", "z", "", "", "", revision=3)


def _row(**changes: object) -> Row:
    content = json.loads(encode_row(MEMBER)) | changes
    return Row("member/entry-1", "1", json.dumps(content).encode())


def test_unknown_keys_of_a_newer_version_are_ignored() -> None:
    assert decode_row(_row(added_later=1), Member) == MEMBER


@pytest.mark.parametrize(
    "changes", [{"revision": "3"}, {"leaving": 1}, {"id": None}, {"lease_s": []}]
)
def test_row_with_a_value_of_another_type_is_rejected(changes) -> None:
    with pytest.raises(PlatformUnavailableError, match="member/entry-1"):
        decode_row(_row(**changes), Member)


def test_row_without_valid_json_is_rejected() -> None:
    with pytest.raises(PlatformUnavailableError, match="member/entry-1"):
        decode_row(Row("member/entry-1", "1", b"\xff"), Member)
