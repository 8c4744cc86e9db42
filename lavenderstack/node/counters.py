"""Counters, gauges and latency histograms of a node, served as Prometheus text.

The number of time series is bounded: organisations beyond the first
``MAX_LABELLED_ORGANISATIONS`` share one label value.
"""

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from lavenderstack.core.metric_names import organisation_label

MAX_LABELLED_ORGANISATIONS = 100
OTHERS_LABEL = "others"
EVERYONE_LABEL = "everyone"
NAMESPACE = "lavenderstack"
# From the duration of a fast statement to the longest time that a caller waits.
BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0)


class Counters:
    """The Prometheus metrics of one node."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._organisations: set[str] = set()
        self.requests = self._counter(
            "requests", "Answers to callers by reason", ["reason"]
        )
        self.served = self._counter(
            "served",
            "Statements that succeeded, by freshness, read or write, and target's role",
            ["freshness", "statement", "role"],
        )
        self.served_unproved = self._counter(
            "served_unproved",
            "Statements that ran though the view wasn't proved current on arrival",
            [],
        )
        self.attempts = self._counter(
            "attempts", "Attempts at targets by outcome", ["outcome"]
        )
        self.retries = self._counter(
            "retries", "Attempts beyond the first under load control", ["outcome"]
        )
        self.refused_connections = self._counter(
            "refused_connections", "Connections of callers refused", ["reason"]
        )
        self.orders = self._counter("orders", "Promotions ordered", ["outcome"])
        self.evacuation_refusals = self._counter(
            "evacuation_refusals",
            "Statements refused because of an evacuation, by the part that refused",
            ["by"],
        )
        self.cold_refusals = self._counter(
            "cold_refusals",
            "Statements refused since their target is cold, by the cause",
            ["cause"],
        )
        self.homes_refusals = self._counter(
            "homes_refusals",
            "Statements refused since nothing in the home regions can run them",
            [],
        )
        self.latency = Histogram(
            "request_seconds",
            "Time from a caller's statement to the answer",
            ["organisation", "freshness"],
            namespace=NAMESPACE,
            buckets=BUCKETS_S,
            registry=self.registry,
        )
        self.target_choices = self._counter(
            "target_choices", "Reads under load control by reason", ["reason"]
        )
        self.gauges: dict[str, Gauge] = {}

    def _counter(self, name: str, description: str, labels: list[str]) -> Counter:
        return Counter(
            name, description, labels, namespace=NAMESPACE, registry=self.registry
        )

    def gauge(self, name: str, description: str, read) -> None:
        """Register a gauge; ``read`` returns its value and is called at each scrape."""
        gauge = Gauge(name, description, namespace=NAMESPACE, registry=self.registry)
        gauge.set_function(read)
        self.gauges[name] = gauge

    def record_answer(
        self, organisation: str, freshness: str, reason: str, took_s: float
    ) -> None:
        """Count an answer to a caller and record its latency in seconds.

        ``reason`` is ``done`` if the statement succeeded.
        """
        self.requests.labels(reason).inc()
        name = self._organisation_label(organisation)
        self.latency.labels(name, freshness).observe(took_s)

    def _organisation_label(self, organisation: str) -> str:
        if not organisation:
            return EVERYONE_LABEL
        label = organisation_label(organisation, {EVERYONE_LABEL, OTHERS_LABEL})
        if organisation in self._organisations:
            return label
        if len(self._organisations) >= MAX_LABELLED_ORGANISATIONS:
            return OTHERS_LABEL
        self._organisations.add(organisation)
        return label

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)
