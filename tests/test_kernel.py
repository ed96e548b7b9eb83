"""Tests of the kernel."""

import pytest
from attrs import define

from dotterelpier.errors import ServiceNotRegisteredError
from dotterelpier.kernel import make_kernel


@define
class Recorder:
    """Records starts and stops."""

    name: str
    events: list[str]

    def start(self) -> None:
        self.events.append(f"start {self.name}")

    def stop(self) -> None:
        self.events.append(f"stop {self.name}")


def test_starts_in_order_of_need_and_stops_in_reverse() -> None:
    events: list[str] = []
    kernel = make_kernel()
    kernel.register("a", Recorder("a", events), ("b",))
    kernel.register("b", Recorder("b", events))
    kernel.start()
    kernel.stop()
    assert events == ["start b", "start a", "stop a", "stop b"]


def test_unknown_service_is_named() -> None:
    with pytest.raises(ServiceNotRegisteredError, match="'timer'"):
        make_kernel().find("timer", Recorder)


def test_cycle_is_refused() -> None:
    kernel = make_kernel()
    kernel.register("a", object(), ("b",))
    kernel.register("b", object(), ("a",))
    with pytest.raises(ValueError, match="cycle"):
        kernel.start()


def test_name_is_registered_once() -> None:
    kernel = make_kernel()
    kernel.register("a", object())
    with pytest.raises(ValueError, match="already"):
        kernel.register("a", object())
