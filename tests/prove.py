"""Runs the proofs of the promises and prints one line for each.

Run with ``python -m tests.prove [NUMBER]``. Tests marked ``promise(n)`` prove promise
``n``; a figure recorded with ``record_property("figure", ...)`` stands in its line.
"""

import sys

import pytest
from attrs import define, field

PROMISES = range(1, 10)
SEED = "hypothesis derandomized, generators seeded in the tests"


@define
class ProofReport:
    """Collects the outcome of each promise's tests."""

    selected_promises: tuple[int, ...]
    promise_by_test: dict[str, int] = field(factory=dict)
    passed_by_promise: dict[int, int] = field(factory=dict)
    failed_by_promise: dict[int, list[str]] = field(factory=dict)
    figures_by_promise: dict[int, list[str]] = field(factory=dict)

    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        """Keep only the proofs wanted."""
        kept = []
        for item in items:
            mark = item.get_closest_marker("promise")
            if mark is not None and mark.args[0] in self.selected_promises:
                self.promise_by_test[item.nodeid] = mark.args[0]
                kept.append(item)
        items[:] = kept

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Take in the outcome of one test."""
        promise = self.promise_by_test[report.nodeid]
        if report.failed:
            self.failed_by_promise.setdefault(promise, []).append(report.nodeid)
        elif report.when == "call" and report.passed:
            passed = self.passed_by_promise.get(promise, 0)
            self.passed_by_promise[promise] = passed + 1
        if report.when == "call":
            figures = self.figures_by_promise.setdefault(promise, [])
            figures += [str(text) for name, text in report.user_properties if text]

    def line(self, promise: int) -> str:
        """Return the line of one promise."""
        failed = self.failed_by_promise.get(promise, [])
        passed = self.passed_by_promise.get(promise, 0)
        if not failed and not passed:
            return f"P{promise} red: no proof"
        state = "red" if failed else "held"
        figures = [f"{passed} proofs passed, {len(failed)} failed"]
        figures += self.figures_by_promise.get(promise, [])
        return f"P{promise} {state}: {'; '.join(figures)} (seed: {SEED})"


def main(arguments: list[str]) -> int:
    """Run the proofs and return the exit status."""
    selected_promises = tuple(int(text) for text in arguments) or tuple(PROMISES)
    report = ProofReport(selected_promises)
    pytest.main(["-q", "--no-header", "tests"], plugins=[report])
    lines = [report.line(promise) for promise in selected_promises]
    print("\n".join(lines))
    return 0 if all(" held:" in line for line in lines) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
