"""Prometheus metrics with bounded label values."""

from collections.abc import Mapping

from attrs import define, field, frozen
from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from dotterelpier.model.call import Outcome
from dotterelpier.model.client_memory import CloseReason
from dotterelpier.model.evidence import ExchangeResult, MeasuringKind
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


# Replaces every value of a label that is not allowed.
OTHER = "other"

# Allowed values of each label; names of services and of some accounts are allowed once
# the configuration is known.
VALUES_BY_LABEL: Mapping[str, frozenset[str]] = {
    "service": frozenset(),
    "account": frozenset(),
    "outcome": frozenset(outcome.value for outcome in Outcome),
    "result": frozenset(result.value for result in ExchangeResult),
    "kind": frozenset(kind.value for kind in MeasuringKind),
    "status": frozenset({"success", "redirect", "client-error", "server-error"}),
    "reason": frozenset(reason.value for reason in CloseReason),
}


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
    "retries_denied": MetricDeclaration(
        Counter, "Further attempts that the retry budget denied.", ("service",)
    ),
    "notices": MetricDeclaration(
        Counter,
        "Answers in which a backend server leaves or asks for a pause.",
        ("service",),
    ),
    "answers": MetricDeclaration(
        Counter, "Answers to clients by class of status.", ("status",)
    ),
    "answer_seconds": MetricDeclaration(
        Histogram, "Duration of requests of clients in seconds."
    ),
    "pipelined_requests": MetricDeclaration(
        Counter, "Requests started before earlier ones of their client were answered."
    ),
    "hedges": MetricDeclaration(
        Counter, "Second attempts while the first one takes long.", ("service",)
    ),
    "hedges_won": MetricDeclaration(
        Counter, "Second attempts within the limit that gave the answer.", ("service",)
    ),
    "hedges_denied": MetricDeclaration(
        Counter, "Second attempts that the limit denied.", ("service",)
    ),
    "hedges_suppressed": MetricDeclaration(
        Counter, "Second attempts not sent as room is short.", ("service",)
    ),
    "refusals": MetricDeclaration(
        Counter, "Requests refused as no backend server has room.", ("service",)
    ),
    "over_cap": MetricDeclaration(
        Counter,
        "Requests refused as the cap of their account is used up.",
        ("account",),
    ),
    "cap_fallbacks": MetricDeclaration(
        Counter, "Requests of capped accounts decided without the account's home."
    ),
    "unknown_keys": MetricDeclaration(
        Counter, "Requests refused as their key is missing or unknown."
    ),
    "rollout_state": MetricDeclaration(
        Gauge,
        "Roll-out: 1 running, 2 completed, 3 rolled back, 0 without an order.",
        ("service",),
    ),
    "rollout_share": MetricDeclaration(
        Gauge, "Share of the requests sent to the target of a roll-out.", ("service",)
    ),
    "clients_closed": MetricDeclaration(
        Counter, "Connections of clients that were closed to make room.", ("reason",)
    ),
    "client_bytes": MetricDeclaration(Gauge, "Bytes that are held for clients."),
    "client_connections": MetricDeclaration(Gauge, "Open connections of clients."),
    "probes": MetricDeclaration(
        Counter, "Probes of backend servers.", ("service", "result")
    ),
    "measuring_bytes": MetricDeclaration(
        Counter, "Bytes of probes and of load reports.", ("service", "kind")
    ),
    "measuring_slot_seconds": MetricDeclaration(
        Counter, "Duration of probes in seconds.", ("service",)
    ),
    "audit_written": MetricDeclaration(Counter, "Audit entries written."),
    "audit_dropped": MetricDeclaration(Counter, "Audit entries dropped."),
    "revision": MetricDeclaration(Gauge, "Manifest revision in force, 0 if none."),
    "configuration_faults": MetricDeclaration(
        Gauge,
        "Faults in the configuration; their routes and keys are not served.",
    ),
    "assignment": MetricDeclaration(Gauge, "Number of the assignment in force."),
    "lease_left_seconds": MetricDeclaration(
        Gauge, "Rest of the own lease in seconds, negative once it lapsed."
    ),
    "platform_reached": MetricDeclaration(
        Gauge, "1 if the platform answered lately, else 0."
    ),
    "taking_work": MetricDeclaration(Gauge, "1 if new work is taken, else 0."),
    "stopping": MetricDeclaration(Gauge, "1 during the planned stop, else 0."),
    "calls_in_flight": MetricDeclaration(Gauge, "Calls being served."),
    "members": MetricDeclaration(Gauge, "Members with a lease row, this one included."),
    "members_heard": MetricDeclaration(Gauge, "Live members, this one included."),
    "homes": MetricDeclaration(Gauge, "Backend servers whose home this entry is."),
    "cold_servers": MetricDeclaration(
        Gauge, "Backend servers held below their slots, of those at home here."
    ),
    "refused_servers": MetricDeclaration(
        Gauge, "Backend servers without evidence for new work, of those at home here."
    ),
    "evidence_age_max_seconds": MetricDeclaration(
        Gauge, "Age in seconds of the oldest evidence at home here, -1 if none."
    ),
    "measuring_budget_spent_max": MetricDeclaration(
        Gauge, "Largest share spent of a measuring budget, of those at home here."
    ),
    "slots": MetricDeclaration(
        Gauge, "Requests that backend servers at home here bear now.", ("service",)
    ),
    "free_slots": MetricDeclaration(Gauge, "Slots free here.", ("service",)),
    "waiting_calls": MetricDeclaration(
        Gauge, "Calls waiting here for a slot.", ("service",)
    ),
}


@define
class PrometheusMetrics:
    """All declared metrics, in a registry other than the global one.

    Methods may be called from any thread. They raise ``KeyError`` for a metric that is
    not declared.
    """

    _registry: CollectorRegistry
    _metric_by_name: dict[str, Counter | Gauge | Histogram] = field(factory=dict)
    _values_by_label: dict[str, frozenset[str]] = field(factory=dict)

    def count(self, name: str, amount: float = 1.0, **labels: str) -> None:
        """Increase a counter."""
        self._labelled(name, labels).inc(amount)

    def set_gauge(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge to a value."""
        self._labelled(name, labels).set(value)

    def observe(self, name: str, value: float, **labels: str) -> None:
        """Add a value to a histogram."""
        self._labelled(name, labels).observe(value)

    def restrict_label_values(self, label: str, values: frozenset[str]) -> None:
        """Allow only these values of a label and remove the series of all others."""
        dropped = self._values_by_label[label] - values
        self._values_by_label[label] = values
        for name, declaration in DECLARATION_BY_NAME.items():
            if label not in declaration.labels:
                continue
            for value in dropped:
                self._metric_by_name[name].remove_by_labels({label: value})

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def _labelled(self, name: str, labels: dict[str, str]):  # type: ignore[no-untyped-def]
        metric = self._metric_by_name[name]
        if not labels:
            return metric
        allowed = self._values_by_label
        return metric.labels(
            **{
                label: value if value in allowed[label] else OTHER
                for label, value in labels.items()
            }
        )


def make_metrics() -> Metrics:
    """Return all declared metrics, in a new registry.

    Raises
    ------
    ValueError
        If a declaration has a label without a set of allowed values.
    """
    registry = CollectorRegistry()
    metric_by_name = {
        name: _make_metric(name, declaration, registry)
        for name, declaration in DECLARATION_BY_NAME.items()
    }
    return PrometheusMetrics(registry, metric_by_name, dict(VALUES_BY_LABEL))


def _make_metric(
    name: str, declaration: MetricDeclaration, registry: CollectorRegistry
) -> Counter | Gauge | Histogram:
    for label in declaration.labels:
        if label not in VALUES_BY_LABEL:
            raise ValueError(
                f"metric {name!r}: label {label!r} has no set of allowed values"
            )
    options = {"buckets": LATENCY_BUCKETS_S} if declaration.kind is Histogram else {}
    return declaration.kind(
        name,
        declaration.help,
        declaration.labels,
        namespace=NAMESPACE,
        registry=registry,
        **options,  # type: ignore[arg-type]
    )
