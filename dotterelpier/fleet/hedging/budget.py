"""Limit on hedged requests as a share of the requests of a service."""

from collections.abc import Iterable

from attrs import define, field

# Hedged requests that all entries together may save up, for each service. Each entry
# may save one and a half in any case. Requests worth a second attempt come in bursts:
# in the load model, 47 entries use 3.6 of 5 allowed in 100, and 3.1 if they save one.
SAVED_BY_FLEET = 12.0
SAVED_BY_ENTRY = 1.5
# The least benefit rises with each request that finds no token and falls with each
# token that is lost as no more can be saved. So it settles where both are rare.
LEAST_BENEFIT = 0.05
LEAST_BENEFIT_RISE = 0.02
LEAST_BENEFIT_FALL = 0.002


def saved_by_entry(entries: int) -> float:
    """Return the hedged requests that one of some entries may save up."""
    return max(SAVED_BY_ENTRY, SAVED_BY_FLEET / entries)


@define
class ServiceBudget:
    """Tokens for hedged requests of a service, and the least benefit they go for."""

    tokens: float = 0.0
    least_benefit: float = LEAST_BENEFIT


@define
class HedgeBudget:
    """Token bucket by service, filled by a share of this entry's own requests.

    It starts empty. So the hedged requests of an entry are never more than the share of
    its requests, also after a restart, and this holds for the sum over all entries. In
    any window they exceed the share by at most what was saved before it, which is
    ``SAVED_BY_FLEET`` or ``SAVED_BY_ENTRY`` for each entry, whichever is more.

    While more requests could be hedged than may be, tokens go to those with the highest
    benefit. Not thread-safe.
    """

    _budget_by_service: dict[str, ServiceBudget] = field(factory=dict)

    def note_request(self, service: str, hedge_share: float, entries: int) -> None:
        """Add the share of a hedged request that one request allows."""
        budget = self._budget_by_service.setdefault(service, ServiceBudget())
        budget.tokens += hedge_share
        if budget.tokens > saved_by_entry(entries):
            budget.tokens = saved_by_entry(entries)
            lowered = budget.least_benefit - LEAST_BENEFIT_FALL
            budget.least_benefit = max(LEAST_BENEFIT, lowered)

    def try_withdraw(self, service: str, benefit: float) -> bool:
        """Withdraw a hedged request; return False if the limit is used up.

        Also if it has to be kept for requests with a higher benefit.
        """
        budget = self._budget_by_service.get(service)
        if budget is None or benefit < budget.least_benefit:
            return False
        if budget.tokens < 1.0:
            raised = budget.least_benefit + LEAST_BENEFIT_RISE
            budget.least_benefit = min(1.0, raised)
            return False
        budget.tokens -= 1.0
        return True

    def refund(self, service: str, entries: int) -> None:
        """Return a hedged request that was not sent."""
        budget = self._budget_by_service.get(service)
        if budget is not None:
            budget.tokens = min(budget.tokens + 1.0, saved_by_entry(entries))

    def keep(self, services: Iterable[str]) -> None:
        """Forget all other services."""
        for service in self._budget_by_service.keys() - set(services):
            del self._budget_by_service[service]
