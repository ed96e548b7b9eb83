"""Identifies the accounts of clients by the keys that they send."""

from attrs import define

from dotterelpier.errors import ConfigurationStaleError, UnknownKeyError
from dotterelpier.fleet.routes import TABLE
from dotterelpier.kernel import Kernel
from dotterelpier.model.account import ANONYMOUS, Account, key_digest
from dotterelpier.model.route import Route, RouteTable
from dotterelpier.protocols import Clock, Metrics, ServiceName
from dotterelpier.protocols.fleet import Accounts, LiveSettings, Mirrors, Routes

STEP = "accounts"


@define
class KeyAccounts:
    """Compares digests of keys with those of the configuration. Thread-safe."""

    _clock: Clock
    _metrics: Metrics
    _routes: Routes
    _mirrors: Mirrors
    _settings: LiveSettings

    def table(self, until: float) -> RouteTable | None:
        """Return the configuration in force, None before the first one was read.

        A process that was frozen may have missed that keys were withdrawn. It blocks
        for a moment, no longer than ``until`` on the monotonic clock, in seconds.
        """
        table = self._routes.table()
        if table is None or not table.needs_keys:
            return table
        self._mirrors.wait_after_freeze(TABLE, until)
        return self._routes.table()

    def identify(
        self, table: RouteTable, route: Route, credential: str
    ) -> Account | None:
        """Return the account of a request, None if the configuration has no accounts.

        It is ``ANONYMOUS`` on a public route without a valid key.

        Parameters
        ----------
        table : RouteTable
            The configuration in force.
        route : Route
            Route of the request.
        credential : str
            Key that the client sent, empty if it sent none.

        Raises
        ------
        UnknownKeyError
            If the request needs a key, and it is missing or belongs to no account.
        ConfigurationStaleError
            If the settings ask to refuse it, as the configuration may be outdated.
        """
        if not table.needs_keys:
            return None
        account = _find(table, credential) if credential else None
        if route.public:
            return account or ANONYMOUS
        self._check_age()
        if account is None:
            self._metrics.count("unknown_keys")
            message = "the key is unknown" if credential else "the request has no key"
            raise UnknownKeyError(message, step=STEP)
        return account

    def _check_age(self) -> None:
        bounds = self._settings.bounds()
        if not bounds.fail_closed:
            return
        age_s = self._clock.monotonic() - self._mirrors.confirmed_at(TABLE)
        if age_s > bounds.revoke_ms / 1000:
            message = f"the configuration may be {age_s:.1f} s old"
            raise ConfigurationStaleError(message, step=STEP)


def _find(table: RouteTable, credential: str) -> Account | None:
    """Return the account that holds a key, None if there is none."""
    # Header values arrive as Latin-1; the digests are those of the bytes sent.
    key = credential.encode("latin-1", "replace")
    return table.account_by_key_digest.get(key_digest(key))


def make_accounts(kernel: Kernel) -> Accounts:
    """Return the service that identifies accounts."""
    return KeyAccounts(
        kernel.find(ServiceName.CLOCK, Clock),
        kernel.find(ServiceName.METRICS, Metrics),
        kernel.find(ServiceName.ROUTES, Routes),
        kernel.find(ServiceName.MIRRORS, Mirrors),
        kernel.find(ServiceName.LIVE_SETTINGS, LiveSettings),
    )
