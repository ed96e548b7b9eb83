"""Steps of the planned stop, with the clock in the test's hand."""

import pytest
from attrs import define, field

from dotterelpier.kernel import make_kernel
from dotterelpier.model.membership import Assignment, Home, Member
from dotterelpier.protocols import Drain, ServiceName
from dotterelpier.services.drain import make_drain
from dotterelpier.settings import PlatformSettings, Settings
from tests.fakes import ManualClock
from tests.homes_fakes import ManualManifest, make_manifest

ME, OTHER = (
    Member(name, "north", f"{name}:1", f"{name}:2", f"{name}:3")
    for name in ("me", "other")
)


@define
class World:
    """Everything around a planned stop; each tick lets time pass."""

    clock: ManualClock = field(factory=ManualClock)
    reached: bool = True
    others: tuple[Member, ...] = (OTHER,)
    handed_over_at: float = 0.0
    ends_at: float = 0.0
    sent_at: float = 0.0
    refused_from: float | None = None
    closing: bool = False
    late_s: float = 0.0
    drain: Drain = field(init=False)

    def __attrs_post_init__(self) -> None:
        kernel = make_kernel()
        for name in (
            ServiceName.TIMER,
            ServiceName.MEMBERSHIP,
            ServiceName.HOMES,
            ServiceName.CALLS,
            ServiceName.CALLER_FRONTEND,
            ServiceName.RELAY_FRONTEND,
        ):
            kernel.register(name, self)
        kernel.register(ServiceName.CLOCK, self.clock)
        kernel.register(ServiceName.MANIFEST, ManualManifest(make_manifest()))
        self.drain = make_drain(kernel, Settings(PlatformSettings("127.0.0.1:1")))

    def every(self, interval_s: float) -> "World":
        return self

    def cancel(self) -> None:
        """Do nothing."""

    def wait(self) -> bool:
        self.clock.advance(0.1)
        if self.refused_from is None and not self.drain.takes_calls():
            self.refused_from = self.clock.now
        return True

    def me(self) -> Member:
        return ME

    def set_leaving(self) -> None:
        """Do nothing."""

    def live_by_id(self) -> dict[str, Member]:
        return {member.id: member for member in (ME, *self.others)}

    def platform_reached(self) -> bool:
        return self.reached

    def assignment(self) -> Assignment:
        owner = OTHER if self.clock.now >= self.handed_over_at else ME
        return Assignment(1, {"server-1": Home(owner.id)})

    def in_flight(self) -> int:
        return int(self.clock.now < self.ends_at)

    def close_after_answers(self) -> None:
        self.closing = True

    def stop_listening(self) -> None:
        self.sent_at = max(self.sent_at, self.clock.now + self.late_s)

    def busy(self) -> bool:
        return self.clock.now < self.sent_at


def _run(**changes: object) -> tuple[World, float]:
    """Run a stop; times in ``changes`` are seconds after it began."""
    world = World()
    began_at = world.clock.now
    for name, value in changes.items():
        is_time = name.endswith("_at")
        setattr(world, name, began_at + value if is_time else value)
    world.drain.run()
    return world, world.clock.now - began_at


@pytest.mark.promise(8)
def test_new_calls_are_served_until_no_caller_holds_the_address() -> None:
    world, _ = _run()
    assert world.closing
    # Three seconds until all entries know, five that callers keep an answer.
    assert world.refused_from - 1000.0 >= 8.0


@pytest.mark.promise(8)
def test_stop_waits_for_calls_and_unsent_answers() -> None:
    _, took_s = _run(ends_at=20.0, sent_at=25.0)
    assert 25.0 <= took_s < 26.0


@pytest.mark.promise(8)
def test_request_that_comes_in_at_the_end_is_answered() -> None:
    _, took_s = _run(ends_at=20.0, late_s=2.0)
    assert took_s >= 22.0


@pytest.mark.promise(8)
@pytest.mark.parametrize(
    ("changes", "longest_s"),
    [
        ({"handed_over_at": 1e9}, 19.0),
        ({"handed_over_at": 1e9, "reached": False}, 9.0),
        ({"handed_over_at": 1e9, "others": ()}, 9.0),
        ({"ends_at": 1e9}, 69.0),
        ({"sent_at": 1e9}, 39.0),
    ],
    ids=["no successor", "platform out", "alone", "endless call", "silent caller"],
)
def test_stop_takes_bounded_time(changes: dict[str, object], longest_s: float) -> None:
    _, took_s = _run(**changes)
    assert took_s <= longest_s
