"""What the accounts of clients mean for a request: its key, and its account's cap."""

from attrs import define, evolve

from dotterelpier.errors import (
    ConfigurationStaleError,
    OverCapError,
    UnknownKeyError,
)
from dotterelpier.fleet.request_state import RequestState
from dotterelpier.kernel import Kernel
from dotterelpier.model.request import Request
from dotterelpier.model.route import Route, RouteTable
from dotterelpier.protocols import ServiceName
from dotterelpier.protocols.fleet import Accounts, UsageCaps


@define
class AccountGate:
    """Identifies the account of a request, and charges the request to it."""

    _accounts: Accounts
    _usage_caps: UsageCaps

    def table(self, until: float) -> RouteTable | None:
        """Return the configuration in force; block for a moment after a freeze."""
        return self._accounts.table(until)

    def identify(self, table: RouteTable, route: Route, request: Request) -> Request:
        """Return the request with its account.

        Raises
        ------
        UnknownKeyError, ConfigurationStaleError
            If it needs a key, and its key is not accepted.
        """
        account = self._accounts.identify(table, route, request.credential)
        return request if account is None else evolve(request, account=account)

    def admit(self, request: Request, table: RouteTable, deadline_at: float) -> None:
        """Charge a request to its account.

        Raises
        ------
        OverCapError
            If the cap of the account is used up.
        """
        self._usage_caps.admit(request.account, table.version, deadline_at)

    def check_again(self, state: RequestState) -> None:
        """Identify the account again if the configuration changed since.

        A request whose key was withdrawn while it waited must not be sent.

        Raises
        ------
        UnknownKeyError, ConfigurationStaleError
            If its key is not accepted any more.
        OverCapError
            If its key belongs to another account now, whose cap is used up.
        """
        table = self._accounts.table(state.deadline_at)
        if table is None or table is state.table:
            return
        request = self.identify(table, state.route, state.request)
        if _account_name(request) != _account_name(state.request):
            self.admit(request, table, state.deadline_at)
        state.table, state.request = table, request

    def may_send_again(self, state: RequestState) -> bool:
        """Return whether the key of a request is still accepted."""
        try:
            self.check_again(state)
        except (UnknownKeyError, ConfigurationStaleError, OverCapError):
            return False
        return True

    def charge_again(self, state: RequestState) -> bool:
        """Charge a further attempt if the request may run twice by it."""
        if not state.possibly_run_count and not state.pending:
            return True
        return self._usage_caps.try_extra(
            state.request.account,
            state.table.version,
            state.deadline_at,
            waits=not state.pending,
        )

    def give_back(self, state: RequestState) -> None:
        """Return what was charged for a request that was not sent."""
        self._usage_caps.give_back(state.request.account)


def _account_name(request: Request) -> str:
    return request.account.name if request.account is not None else ""


def make_account_gate(kernel: Kernel) -> AccountGate:
    """Return the gate with the services of the kernel."""
    return AccountGate(
        kernel.find(ServiceName.ACCOUNTS, Accounts),
        kernel.find(ServiceName.USAGE_CAPS, UsageCaps),
    )
