"""Accounts of the soak: keys that change with each configuration, and usage caps."""

from collections import defaultdict
from collections.abc import Iterable
from typing import Any

from attrs import define, field, frozen

CREDENTIAL_HEADER = "X-Dotterelpier-Credential"
ACCOUNT_HEADER = "X-Dotterelpier-Tenant"
MEMBERS = "members"
CAPPED = "capped"
CAP_RATE_PER_S = 4.0
CAP_BURST = 4.0
# The window and the tolerance of the entries' default settings.
CAP_WINDOW_S = 5.0
CAP_LIMIT = (CAP_RATE_PER_S * CAP_WINDOW_S + CAP_BURST) * 1.1 + 20
UNKNOWN_KEY = "never-configured"


@frozen
class UsedKey:
    """Key with which a request was sent.

    Attributes
    ----------
    account : str
        Account that holds the key, empty if none ever did.
    version : int
        Version of the configuration that added the key.
    """

    account: str
    version: int = 0

    @property
    def text(self) -> str:
        """Return the key itself."""
        return f"{self.account}-{self.version}" if self.account else UNKNOWN_KEY


@define
class KeyHistory:
    """When each version was configured; a key is valid in two versions.

    So callers can use a key that all entries know, however late they read a version.
    """

    configured_at_by_version: dict[int, float] = field(factory=dict)

    def declaration(self, version: int) -> dict[str, Any]:
        """Return the accounts that a version declares, as operators write them."""
        cap = {"ratePerS": CAP_RATE_PER_S, "burst": CAP_BURST}
        terms_by_name: dict[str, dict[str, float]] = {MEMBERS: {}, CAPPED: cap}
        return {
            name: {"apiKeys": _keys(name, version), "priority": 1, **terms}
            for name, terms in terms_by_name.items()
        }

    def withdrawn_at(self, key: UsedKey) -> float:
        """Return when the key was withdrawn, in seconds, infinite if it was not."""
        return self.configured_at_by_version.get(key.version + 2, float("inf"))


def _keys(name: str, version: int) -> list[str]:
    return [UsedKey(name, number).text for number in (version - 1, version)]


def exceeded_window(times: Iterable[float]) -> tuple[float, int] | None:
    """Return the start and the size of a window above the cap, None without one."""
    ordered = sorted(times)
    first = 0
    for last, at in enumerate(ordered):
        while ordered[first] < at - CAP_WINDOW_S:
            first += 1
        if last - first + 1 > CAP_LIMIT:
            return ordered[first], last - first + 1
    return None


def times_by_account(runs: Iterable[Any]) -> dict[str, list[float]]:
    """Return the times of the runs of each account."""
    times: dict[str, list[float]] = defaultdict(list)
    for run in runs:
        times[run.account].append(run.at)
    return times
