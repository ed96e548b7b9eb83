"""Metrics with bounded label sets."""

from collections.abc import Mapping

from attrs import define, field, frozen
from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from dotterelpier.protocols import Metrics

NAMESPACE = "dotterelpier"
LATENCY_BUCKETS_S = (
    0.0005,
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
)


@frozen
class MetricDeclaration:
    """A metric's kind, help text and labels."""

    kind: type[Counter] | type[Gauge] | type[Histogram]
    help: str
    labels: tuple[str, ...] = ()


DECLARATION_BY_NAME: Mapping[str, MetricDeclaration] = {
    "calls": MetricDeclaration(
        Counter, "Calls by service and outcome.", ("service", "outcome")
    ),
    "call_seconds": MetricDeclaration(
        Histogram, "Duration of calls in seconds.", ("service",)
    ),
    "retries": MetricDeclaration(
        Counter, "Further attempts after a failed one.", ("service",)
    ),
    "hedges": MetricDeclaration(
        Counter, "Second attempts while the first one takes long.", ("service",)
    ),
    "probes": MetricDeclaration(
        Counter, "Probes of backend servers.", ("service", "result")
    ),
    "measuring_bytes": MetricDeclaration(
        Counter, "Bytes of probes and of load reports.", ("service", "kind")
    ),
    "measuring_slot_seconds": MetricDeclaration(
        Counter, "Duration of probes in seconds.", ("service",)
    ),
}


@define
class PrometheusMetrics:
    """Metrics of this process in a registry of its own."""

    _registry: CollectorRegistry
    _metric_by_name: dict[str, Counter | Gauge | Histogram] = field(factory=dict)

    def count(self, name: str, amount: float = 1.0, **labels: str) -> None:
        """Add to a counter."""
        self._labelled(name, labels).inc(amount)

    def set_gauge(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge."""
        self._labelled(name, labels).set(value)

    def observe(self, name: str, value: float, **labels: str) -> None:
        """Add a value to a histogram."""
        self._labelled(name, labels).observe(value)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def _labelled(self, name: str, labels: dict[str, str]):  # type: ignore[no-untyped-def]
        metric = self._metric_by_name[name]
        return metric.labels(**labels) if labels else metric


def make_metrics() -> Metrics:
    """Return metrics for all declarations, none counted yet."""
    registry = CollectorRegistry()
    metric_by_name: dict[str, Counter | Gauge | Histogram] = {}
    for name, item in DECLARATION_BY_NAME.items():
        options = {"buckets": LATENCY_BUCKETS_S} if item.kind is Histogram else {}
        metric_by_name[name] = item.kind(
            name,
            item.help,
            item.labels,
            namespace=NAMESPACE,
            registry=registry,
            **options,  # type: ignore[arg-type]
        )
    return PrometheusMetrics(registry, metric_by_name)
