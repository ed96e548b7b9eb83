"""What the bench plays: load, faults and the policies that bear them."""

import signal
from collections.abc import Callable
from typing import TYPE_CHECKING

from attrs import frozen

from bench.plan import SERVICE_S, Phase

if TYPE_CHECKING:
    from bench.system import BenchSystem

HOMES = "homes"
POLICIES = (HOMES, "two_choices", "round_robin")
SLOWNESS = 10.0
SLOW_EVERY = 10
PAUSE_S = 0.2
PAUSES = 4

Action = Callable[["BenchSystem"], None]


@frozen
class Step:
    """Something that happens during a scenario.

    Attributes
    ----------
    at_s : float
        When, in seconds after the start of the load.
    action : callable
        What is done.
    """

    at_s: float
    action: Action


@frozen
class Scenario:
    """Load with faults.

    Attributes
    ----------
    name : str
        Name in the results.
    phases : tuple of Phase
        Load.
    steps : tuple of Step
        Faults, ordered by time.
    slow_share : bool
        Whether one in ten backend servers is slow all the time.
    settle_s : float
        Pause after it, in seconds.
    """

    name: str
    phases: tuple[Phase, ...]
    steps: tuple[Step, ...] = ()
    has_slow_servers: bool = False
    settle_s: float = 1.0


def slow_backend_ids(bench: "BenchSystem") -> list[str]:
    """Return one backend server in ten."""
    servers = bench.system.manifest.backend_servers
    return [server.id for server in servers[::SLOW_EVERY]]


def make_slow(bench: "BenchSystem") -> None:
    """Slow one backend server in ten down."""
    for backend_id in slow_backend_ids(bench):
        bench.faults(backend_id, service_s=SERVICE_S * SLOWNESS)


def make_normal(bench: "BenchSystem") -> None:
    """Undo ``make_slow``."""
    for backend_id in slow_backend_ids(bench):
        bench.faults(backend_id, service_s=SERVICE_S)


def restart_cold(bench: "BenchSystem") -> None:
    """Turn one backend server of each service cold without a signal."""
    manifest = bench.system.manifest
    for service in manifest.services:
        servers = [s for s in manifest.backend_servers if s.service == service.name]
        bench.faults(servers[0].id, restart_cold=True)


def kill_entry(bench: "BenchSystem") -> None:
    """Kill one entry."""
    bench.system.signal("entry-2", signal.SIGKILL)


def pause_entry(bench: "BenchSystem") -> None:
    """Stop one entry for a while, as a busy neighbour on its machine does."""
    bench.system.signal("entry-1", signal.SIGSTOP)


def resume_entry(bench: "BenchSystem") -> None:
    """Let the entry go on."""
    bench.system.signal("entry-1", signal.SIGCONT)


def evacuate_zone(bench: "BenchSystem") -> None:
    """Take the first zone out by the manifest."""
    bench.apply_zone_state("out")


def readmit_zone(bench: "BenchSystem") -> None:
    """Bring the first zone back."""
    bench.apply_zone_state("in")


def fail_zone(bench: "BenchSystem") -> None:
    """Let the backend servers of the first zone reset every request."""
    bench.set_zone_failing(True)


def recover_zone(bench: "BenchSystem") -> None:
    """Let them work again."""
    bench.set_zone_failing(False)


def _pauses(first_s: float) -> tuple[Step, ...]:
    steps = []
    for index in range(PAUSES):
        at_s = first_s + index
        steps += [Step(at_s, pause_entry), Step(at_s + PAUSE_S, resume_entry)]
    return tuple(steps)


def steady(load: float, duration_s: float) -> Scenario:
    """Return steady load."""
    return Scenario(f"load_{load:.0%}", (Phase(duration_s, load),))


def load_scenarios(duration_s: float) -> tuple[Scenario, ...]:
    """Return the scenarios that all policies bear."""
    return (
        *(steady(load, duration_s) for load in (0.3, 0.6, 0.8, 0.95)),
        Scenario("burst", (Phase(2.0, 0.3), Phase(0.5, 2.0), Phase(3.0, 0.3))),
        Scenario(
            "one_in_ten_slow",
            (Phase(duration_s, 0.8),),
            has_slow_servers=True,
            settle_s=4.0,
        ),
    )


def fault_scenarios() -> tuple[Scenario, ...]:
    """Return the scenarios with faults at one entry or backend server."""
    return (
        Scenario("noisy_entry", (Phase(6.0, 0.6),), _pauses(1.0)),
        Scenario("silent_cold", (Phase(6.0, 0.6),), (Step(2.0, restart_cold),)),
        Scenario(
            "zone_lost",
            (Phase(10.0, 0.6),),
            (Step(2.0, fail_zone), Step(6.0, recover_zone)),
            settle_s=3.0,
        ),
    )


ZONE_PLANNED = Scenario(
    "zone_planned",
    (Phase(14.0, 0.6),),
    (Step(2.0, evacuate_zone), Step(8.0, readmit_zone)),
    settle_s=2.0,
)
HOME_KILLED = Scenario("home_killed", (Phase(12.0, 0.6),), (Step(2.0, kill_entry),))
WARM_UP = steady(0.3, 3.0)
