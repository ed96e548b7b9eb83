"""Accounts in the configuration row: keys become digests, and accounts are decoded.

Keys are secret. No error message here quotes a value, as any of them may be a key in
the wrong place.
"""

import json
import re
from collections import Counter
from collections.abc import Iterator, Mapping
from typing import Any

from attrs import evolve, frozen
from loguru import logger

from dotterelpier.model.account import DIGEST_BYTES, Account, UsageCap, key_digest

STEP = "platform.accounts"
# Table and key of the row that holds the configuration.
CONFIG_TABLE = "op"
CONFIG_KEY = "config"
ACCOUNTS_KEY = "tenants"
KEYS_KEY = "apiKeys"
# Takes the place of ``apiKeys`` in rows that entries send to each other.
DIGESTS_KEY = "keyDigests"
# Number of values among the keys that cannot be keys.
ODD_KEYS_KEY = "oddKeys"
NUMBER_KEYS = ("priority", "ratePerS", "burst")
# Replaces values that are not numbers; it is not valid for any field.
ODD_VALUE = False
# The name stands in a header.
NAME = re.compile(r"[!-~]([ -~]{0,198}[!-~])?")
# Header values have no control characters, and no space at their ends.
KEY = re.compile(r"[^\x00-\x20\x7f]([^\x00-\x08\x0a-\x1f\x7f]*[^\x00-\x20\x7f])?")
# The largest range of whole numbers that JSON decoders agree on (RFC 8259, section 6).
MAX_NUMBER = (1 << 53) - 1
# Names in one line of the log.
MAX_NAMES = 5


@frozen
class DecodedAccounts:
    """Accounts by key digest, and one line for each odd account or shared key."""

    account_by_key_digest: Mapping[bytes, Account]
    faults: tuple[str, ...]


def hide_keys(content: bytes) -> bytes:
    """Return the configuration row with digests in place of the keys.

    A row without accounts is returned unchanged. One that is not understood may hold
    keys anywhere; it becomes empty, as its content is rejected by any reader.
    """
    try:
        root = json.loads(content)
        if not isinstance(root, dict):
            raise ValueError(f"expected a map, got {type(root).__name__}")
        if ACCOUNTS_KEY not in root:
            return content
        if root[ACCOUNTS_KEY] is not None:
            root[ACCOUNTS_KEY] = _hide_each(root[ACCOUNTS_KEY])
        return json.dumps(root, separators=(",", ":")).encode()
    except (ValueError, RecursionError) as error:
        logger.error(
            "configuration row not understood; dropping its content",
            step=STEP,
            # The message of a decoding error names no more than one byte.
            error=str(error),
        )
        return b""


def _check_map(accounts: Any) -> None:
    if not isinstance(accounts, dict):
        raise ValueError(f"expected a map, got {type(accounts).__name__}")


def _hide_each(accounts: Any) -> dict[str, Any]:
    _check_map(accounts)
    return {name: _hide(account) for name, account in accounts.items()}


def _hide(account: Any) -> dict[str, Any] | None:
    """Return the known fields of an account, without the keys; None if it is no map."""
    if not isinstance(account, dict):
        return None
    hidden = {
        key: account[key] if _is_number(account[key]) else ODD_VALUE
        for key in NUMBER_KEYS
        if account.get(key) is not None
    }
    keys = account.get(KEYS_KEY)
    if not isinstance(keys, list | None):
        return {**hidden, DIGESTS_KEY: [], ODD_KEYS_KEY: 1}
    digests = [_digest(key) for key in keys or ()]
    hidden[DIGESTS_KEY] = [digest for digest in digests if digest]
    odd_keys = digests.count(None)
    return {**hidden, ODD_KEYS_KEY: odd_keys} if odd_keys else hidden


def _digest(key: Any) -> str | None:
    """Return the digest of a key, None for a value that no client can send."""
    if not isinstance(key, str) or not KEY.fullmatch(key):
        return None
    try:
        return key_digest(key.encode()).hex()
    except UnicodeEncodeError:
        return None


def decode_accounts(accounts: Any) -> DecodedAccounts:
    """Return the accounts of a configuration, whether or not its keys are hidden.

    An account that is odd leaves the others in force. A key that several accounts hold
    belongs to none of them.

    Raises
    ------
    ValueError
        If it is not a map of accounts.
    """
    _check_map(accounts)
    decoded = [_decode(name, accounts[name]) for name in sorted(accounts)]
    holders = Counter(digest for item in decoded for digest in item.key_digests)
    shared = frozenset(digest for digest, count in holders.items() if count > 1)
    account_by_digest: dict[bytes, Account] = {}
    for item in decoded:
        if item.account is not None:
            own = item.key_digests - shared
            account = evolve(item.account, key_digests=own)
            account_by_digest.update(dict.fromkeys(own, account))
    faults = [
        f"{ACCOUNTS_KEY}.{item.name!r:.80}: {'; '.join(item.problems)}"
        for item in decoded
        if item.problems
    ]
    if shared:
        sharing = [item.name for item in decoded if item.key_digests & shared]
        faults.append(_sharing_fault(len(shared), sharing))
    return DecodedAccounts(account_by_digest, tuple(faults))


@frozen
class _Decoded:
    """An account with the digests of all keys that it lists, and what is odd in it.

    ``account`` is None if its keys must be refused.
    """

    name: str
    key_digests: frozenset[bytes]
    account: Account | None
    problems: tuple[str, ...]


def _decode(name: str, fields: Any) -> _Decoded:
    if not isinstance(fields, dict):
        return _Decoded(name, frozenset(), None, ("not a map; it has no keys",))
    # Rows of the store, or from entries of an earlier release, still hold the keys.
    hidden = fields if DIGESTS_KEY in fields else _hide(fields) or {}
    digests = tuple(_read_digests(hidden.get(DIGESTS_KEY)))
    problems = list(_key_problems(digests, hidden.get(ODD_KEYS_KEY)))
    priority, cap, served = None, None, True
    try:
        priority = _priority(hidden.get("priority"))
    except ValueError:
        problems.append("its priority is not understood; that of the route holds")
    try:
        cap = _cap(hidden.get("ratePerS"), hidden.get("burst"))
    except ValueError:
        problems.append("its cap is not understood; its keys are refused")
        served = False
    if not NAME.fullmatch(name):
        problems.append("its name cannot stand in a header; its keys are refused")
        served = False
    account = Account(name, frozenset(), priority, cap) if served else None
    return _Decoded(name, frozenset(digests), account, tuple(problems))


def _read_digests(texts: Any) -> Iterator[bytes]:
    for text in texts if isinstance(texts, list) else ():
        try:
            digest = bytes.fromhex(text)
        except (TypeError, ValueError):
            continue
        if len(digest) == DIGEST_BYTES:
            yield digest


def _key_problems(digests: tuple[bytes, ...], odd_keys: Any) -> Iterator[str]:
    if odd_keys:
        yield "values that cannot be keys are ignored"
    if not digests:
        yield "it has no keys"
    elif len(set(digests)) < len(digests):
        yield "it lists a key twice"


def _priority(value: Any) -> int | None:
    if value is None:
        return None
    number = _number(value)
    if number != int(number):
        raise ValueError
    return int(number)


def _cap(rate: Any, burst: Any) -> UsageCap | None:
    """Return the cap; a rate that is missing or 0 means that there is none."""
    rate_per_s, at_once = (
        0.0 if item is None else _number(item) for item in (rate, burst)
    )
    return UsageCap(rate_per_s, at_once) if rate_per_s else None


def _number(value: Any) -> float:
    if not _is_number(value) or not 0 <= value <= MAX_NUMBER:
        raise ValueError
    return float(value)


def _is_number(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)


def _sharing_fault(shared: int, names: list[str]) -> str:
    listed = ", ".join(repr(name)[:80] for name in names[:MAX_NAMES])
    more = " and others" if len(names) > MAX_NAMES else ""
    return (
        f"{ACCOUNTS_KEY}: {shared} keys are held by several accounts and belong to"
        f" none: {listed}{more}"
    )
