"""Tests of metrics."""

import re

import pytest
from prometheus_client import Counter, Gauge

from dotterelpier.services import metrics as module
from dotterelpier.services.metrics import (
    DECLARATION_BY_NAME,
    NAMESPACE,
    VALUES_BY_LABEL,
    MetricDeclaration,
    make_metrics,
)
from tests.utils import ROOT

PAGE = ROOT / "docs" / "METRICS.md"
ROW = re.compile(r"\| `(\w+)` \| (\w+) \| ([^|]*) \| ([^|]*) \|")


def _full_name(name: str, declaration: MetricDeclaration) -> str:
    suffix = "_total" if declaration.kind is Counter else ""
    return f"{NAMESPACE}_{name}{suffix}"


def test_page_and_declarations_agree() -> None:
    declared = {
        (
            _full_name(name, declaration),
            declaration.kind.__name__.lower(),
            ", ".join(declaration.labels),
            declaration.help,
        )
        for name, declaration in DECLARATION_BY_NAME.items()
    }
    assert {tuple(map(str.strip, row)) for row in ROW.findall(PAGE.read_text())} == (
        declared
    )


def test_alerts_name_declared_metrics_only() -> None:
    declared = {
        _full_name(name, declaration)
        for name, declaration in DECLARATION_BY_NAME.items()
    }
    named = set(re.findall(rf"{NAMESPACE}_\w+", PAGE.read_text()))
    assert {name.removesuffix("_bucket") for name in named} <= declared


def test_undeclared_service_names_are_counted_as_other() -> None:
    metrics = make_metrics()
    metrics.restrict_label_values("service", frozenset({"catalogue"}))
    for number in range(100):
        metrics.count("calls", service=f"made-up-{number}", outcome="answered")
    metrics.count("calls", service="catalogue", outcome="answered")
    text = metrics.render().decode()
    assert 'outcome="answered",service="catalogue"} 1.0' in text
    assert 'outcome="answered",service="other"} 100.0' in text
    assert "made-up" not in text


def test_series_of_a_removed_service_are_dropped() -> None:
    metrics = make_metrics()
    metrics.restrict_label_values("service", frozenset({"catalogue", "guides"}))
    metrics.set_gauge("slots", 4, service="guides")
    metrics.restrict_label_values("service", frozenset({"catalogue"}))
    assert "guides" not in metrics.render().decode()


def test_unbounded_label_is_rejected(monkeypatch: pytest.MonkeyPatch) -> None:
    declared = {"x": MetricDeclaration(Gauge, "X.", ("caller",))}
    monkeypatch.setattr(module, "DECLARATION_BY_NAME", declared)
    with pytest.raises(ValueError, match="caller"):
        make_metrics()


def test_fixed_label_values_are_few_and_lower_case() -> None:
    assert all(
        len(values) < 20 and all(re.fullmatch(r"[a-z_-]+", value) for value in values)
        for values in VALUES_BY_LABEL.values()
    )
