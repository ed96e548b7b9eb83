"""Which entry is the home of an account, now and a while ago."""

from collections import deque

from attrs import define, field, frozen

from dotterelpier.fleet.ranking import first
from dotterelpier.model.fleet import FleetMember

# Views of the fleet that are kept. A home that was one in all of them has counted for
# long enough that the bucket would be full.
MAX_VIEWS = 16
MAX_VIEW_AGE_S = 60.0


@frozen
class View:
    """Members of the fleet, and since when they are known."""

    since: float
    members: tuple[FleetMember, ...]


@define
class FleetViews:
    """The present view of the fleet, and some before it.

    Attributes
    ----------
    someone_left : bool
        Whether an entry left the fleet or started again since the first view.
    """

    _views: deque[View] = field(factory=deque)
    _home_by_account: dict[str, FleetMember | None] = field(factory=dict)
    someone_left: bool = False

    def update(self, members: tuple[FleetMember, ...], now: float) -> bool:
        """Apply the present members; return whether they changed."""
        before = self._views[-1].members if self._views else ()
        if self._views and members == before:
            return False
        self.someone_left = self.someone_left or bool(set(before) - set(members))
        self._views.append(View(now, members))
        while len(self._views) > MAX_VIEWS or (
            len(self._views) > 1 and self._views[1].since < now - MAX_VIEW_AGE_S
        ):
            self._views.popleft()
        self._home_by_account.clear()
        return True

    def home(self, account: str) -> FleetMember | None:
        """Return the home of an account, None while no entry is known."""
        if account not in self._home_by_account:
            members = self._views[-1].members if self._views else ()
            self._home_by_account[account] = _home(account, members)
        return self._home_by_account[account]

    def home_since(self, account: str) -> float:
        """Return since when the present home is that of the account, at least."""
        home = self.home(account)
        since = self._views[-1].since
        for view in reversed(self._views):
            if _home(account, view.members) != home:
                break
            since = view.since
        return since


def _home(account: str, members: tuple[FleetMember, ...]) -> FleetMember | None:
    return first(f"account {account}", members)
