"""Counters, gauges and latency histograms of a node, served as Prometheus text.

The number of series is bounded: organisations beyond the first ``MOST_ORGANISATIONS``
share one name.
"""

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

MOST_ORGANISATIONS = 100
OTHERS = "others"
EVERYONE = "everyone"
PREFIX = "lavenderstack"
# Seconds; from one fast statement to the longest time that a caller waits.
BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0)


class Counters:
    """What one node counts."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._organisations: set[str] = set()
        self.requests = self._counter(
            "requests", "Answers to callers by reason", ["reason"]
        )
        self.attempts = self._counter(
            "attempts", "Attempts at targets by outcome", ["outcome"]
        )
        self.refused_connections = self._counter(
            "refused_connections", "Connections of callers refused", ["reason"]
        )
        self.orders = self._counter("orders", "Promotions ordered", ["outcome"])
        self.latency = Histogram(
            "request_seconds",
            "Time from a caller's statement to the answer",
            ["organisation", "freshness"],
            namespace=PREFIX,
            buckets=BUCKETS_S,
            registry=self.registry,
        )
        self.gauges: dict[str, Gauge] = {}

    def _counter(self, name: str, meaning: str, labels: list[str]) -> Counter:
        return Counter(name, meaning, labels, namespace=PREFIX, registry=self.registry)

    def gauge(self, name: str, meaning: str, read) -> None:
        """Serve a value that is read when it is asked for."""
        gauge = Gauge(name, meaning, namespace=PREFIX, registry=self.registry)
        gauge.set_function(read)
        self.gauges[name] = gauge

    def record_answer(
        self, organisation: str, freshness: str, reason: str, took_s: float
    ) -> None:
        """Count an answer to a caller; ``reason`` is ``done`` if it succeeded."""
        self.requests.labels(reason).inc()
        name = self._named(organisation)
        self.latency.labels(name, freshness).observe(took_s)

    def _named(self, organisation: str) -> str:
        if not organisation:
            return EVERYONE
        if organisation in self._organisations:
            return organisation
        if len(self._organisations) >= MOST_ORGANISATIONS:
            return OTHERS
        self._organisations.add(organisation)
        return organisation

    def text(self) -> bytes:
        """Return everything in Prometheus' text format."""
        return generate_latest(self.registry)
