"""Split of a route's requests among its services by weight."""

import random
import threading

from attrs import define, field

from dotterelpier.model.route import Route


@define
class WeightedSplit:
    """Chooses services by smooth weighted round robin.

    Each entry starts with random credits, so that the sum over all entries follows the
    weights even if each entry serves few requests. Thread-safe.
    """

    _random: random.Random = field(factory=random.Random)
    _credit_by_key: dict[tuple[str, str], float] = field(factory=dict)
    _lock: threading.Lock = field(factory=threading.Lock)

    def choose(self, route: Route) -> str:
        """Return the service with the highest credit, and charge it for one request."""
        if len(route.shares) == 1:
            return route.shares[0].service
        total = sum(share.weight for share in route.shares)
        with self._lock:
            for share in route.shares:
                key = (route.name, share.service)
                credit = self._credit_by_key.setdefault(key, self._random.random())
                self._credit_by_key[key] = credit + share.weight / total
            keys = [(route.name, share.service) for share in route.shares]
            chosen = max(keys, key=self._credit_by_key.__getitem__)
            self._credit_by_key[chosen] -= 1
            return chosen[1]
