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
class FakeServices:
    """Everything around a planned stop; each tick lets time pass."""

    clock: ManualClock = field(factory=ManualClock)
    platform_available: bool = True
    others: tuple[Member, ...] = (OTHER,)
    handed_over_at: float = 0.0
    calls_end_at: float = 0.0
    answers_sent_at: float = 0.0
    refusing_since: float | None = None
    closes_connections: bool = False
    late_answer_s: float = 0.0
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
        if self.refusing_since is None and not self.drain.takes_calls():
            self.refusing_since = self.clock.now
        return True

    def me(self) -> Member:
        return ME

    def set_leaving(self) -> None:
        """Do nothing."""

    def live_by_id(self) -> dict[str, Member]:
        return {member.id: member for member in (ME, *self.others)}

    def platform_reached(self) -> bool:
        return self.platform_available

    def assignment(self) -> Assignment:
        owner = OTHER if self.clock.now >= self.handed_over_at else ME
        return Assignment(1, {"server-1": Home(owner.id)})

    def in_flight(self) -> int:
        return int(self.clock.now < self.calls_end_at)

    def close_after_answers(self) -> None:
        self.closes_connections = True

    def stop_listening(self) -> None:
        self.answers_sent_at = max(
            self.answers_sent_at, self.clock.now + self.late_answer_s
        )

    def busy(self) -> bool:
        return self.clock.now < self.answers_sent_at


def _run(**changes: object) -> tuple[FakeServices, float]:
    """Run a stop; times in ``changes`` are seconds after it began."""
    fakes = FakeServices()
    started_at = fakes.clock.now
    for name, value in changes.items():
        is_time = name.endswith("_at")
        setattr(fakes, name, started_at + value if is_time else value)
    fakes.drain.run()
    return fakes, fakes.clock.now - started_at


@pytest.mark.promise(8)
def test_new_calls_are_served_until_directory_answers_expire() -> None:
    fakes, _ = _run()
    assert fakes.closes_connections
    # Three seconds until all entries know, five that callers keep an answer.
    assert fakes.refusing_since - 1000.0 >= 8.0


@pytest.mark.promise(8)
def test_stop_waits_for_calls_and_unsent_answers() -> None:
    _, duration_s = _run(calls_end_at=20.0, answers_sent_at=25.0)
    assert 25.0 <= duration_s < 26.0


@pytest.mark.promise(8)
def test_request_accepted_before_the_listeners_close_is_answered() -> None:
    _, duration_s = _run(calls_end_at=20.0, late_answer_s=2.0)
    assert duration_s >= 22.0


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
def test_stop_takes_bounded_time(
    changes: dict[str, object], max_duration_s: float
) -> None:
    _, duration_s = _run(**changes)
    assert duration_s <= max_duration_s
