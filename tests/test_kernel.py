"""Tests of the kernel."""

import pytest
from attrs import define

from dotterelpier.errors import ServiceNotRegisteredError
from dotterelpier.kernel import make_kernel


@define
class RecordingService:
    """Records starts and stops."""

    name: str
    events: list[str]

    def start(self) -> None:
        self.events.append(f"start {self.name}")

    def stop(self) -> None:
        self.events.append(f"stop {self.name}")


def test_services_start_after_their_dependencies_and_stop_in_reverse() -> None:
    events: list[str] = []
    kernel = make_kernel()
    kernel.register("a", RecordingService("a", events), ("b",))
    kernel.register("b", RecordingService("b", events))
    kernel.start()
    kernel.stop()
    assert events == ["start b", "start a", "stop a", "stop b"]


def test_error_names_the_unregistered_service() -> None:
    with pytest.raises(ServiceNotRegisteredError, match="'timer'"):
        make_kernel().find("timer", RecordingService)


def test_dependency_cycle_is_rejected() -> None:
    kernel = make_kernel()
    kernel.register("a", object(), ("b",))
    kernel.register("b", object(), ("a",))
    with pytest.raises(ValueError, match="cycle"):
        kernel.start()


def test_duplicate_name_is_rejected() -> None:
    kernel = make_kernel()
    kernel.register("a", object())
    with pytest.raises(ValueError, match="already"):
        kernel.register("a", object())
