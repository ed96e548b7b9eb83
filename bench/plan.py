"""Seeded schedules of calls, and the service times that belong to them."""

import os
import random
from collections.abc import Sequence

from attrs import frozen

from bench.ideal import Arrival
from dotterelpier.model.manifest import Manifest
from tests.standins.backend import service_time_factor

SERVICE_S = float(os.environ.get("DOTTERELPIER_BENCH_SERVICE_S", "0.25"))
SIGMA = 1.0
DRAW_SEED = 7


@frozen
class PlannedCall:
    """One call of a schedule.

    Attributes
    ----------
    at_s : float
        Intended start after the start of the run, in seconds.
    service : str
        Name of the service.
    number : int
        Decides the service time.
    """

    at_s: float
    service: str
    number: int

    @property
    def path(self) -> str:
        """Return the path below the service."""
        return f"/items/{self.number}"


@frozen
class Phase:
    """A span of steady load.

    Attributes
    ----------
    duration_s : float
        Duration in seconds.
    load : float
        Share of the slots' capacity.
    """

    duration_s: float
    load: float


def slots_by_service(manifest: Manifest) -> dict[str, int]:
    """Return the number of slots of each service."""
    slots = {service.name: 0 for service in manifest.services}
    for server in manifest.backend_servers:
        slots[server.service] += server.slots
    return slots


def make_plan(
    manifest: Manifest, phases: Sequence[Phase], seed: int
) -> list[PlannedCall]:
    """Return Poisson arrivals at each service, ordered by time."""
    calls = []
    for service, slots in slots_by_service(manifest).items():
        rng = random.Random(f"{seed}/{service}")
        calls.extend(_arrivals(service, slots / SERVICE_S, phases, rng))
    calls.sort(key=lambda call: call.at_s)
    return calls


def _arrivals(
    service: str, capacity_per_s: float, phases: Sequence[Phase], rng: random.Random
) -> list[PlannedCall]:
    calls = []
    started_s = 0.0
    for phase in phases:
        at_s = started_s
        while True:
            at_s += rng.expovariate(capacity_per_s * phase.load)
            if at_s >= started_s + phase.duration_s:
                break
            calls.append(PlannedCall(at_s, service, rng.getrandbits(40)))
        started_s += phase.duration_s
    return calls


def arrivals_of(calls: Sequence[PlannedCall]) -> list[Arrival]:
    """Return calls with the service times that the stand-ins will draw."""
    return [
        Arrival(call.at_s, SERVICE_S * service_time_factor(call.path, DRAW_SEED, SIGMA))
        for call in calls
    ]
