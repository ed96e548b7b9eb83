"""Divides the requests of a route among its services by weight."""

import random
import threading

from attrs import define, field

from dotterelpier.model.route import Route


@define
class WeightedSplit:
    """Chooses the share that is furthest behind its weight.

    Each entry begins at random, so that entries with few requests each still keep the
    weights together.
    """

    _random: random.Random = field(factory=random.Random)
    _credit_by_key: dict[tuple[str, str], float] = field(factory=dict)
    _lock: threading.Lock = field(factory=threading.Lock)

    def choose(self, route: Route) -> str:
        """Return the service for one request."""
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
