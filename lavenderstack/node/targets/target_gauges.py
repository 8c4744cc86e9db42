"""Gauges of the targets that this node holds, one time series for each."""

from collections.abc import Iterator
from dataclasses import dataclass

from prometheus_client.core import GaugeMetricFamily
from prometheus_client.registry import Collector

from lavenderstack.node.counters import NAMESPACE
from lavenderstack.node.executors import Executors


@dataclass(eq=False, slots=True)
class TargetGauges(Collector):
    """Reads the gauges at each scrape, so none is left of a target that is gone."""

    executors: Executors

    def collect(self) -> Iterator[GaugeMetricFamily]:
        """Yield the concurrency limit and the time that it is based on."""
        limit = GaugeMetricFamily(
            f"{NAMESPACE}_concurrency_limit",
            "Statements that may run at once at a target held here",
            labels=["target"],
        )
        service = GaugeMetricFamily(
            f"{NAMESPACE}_service_seconds",
            "Mean time of a statement at a target, 0 without load control",
            labels=["target"],
        )
        for name, executor in self.executors.target_executors.items():
            limit.add_metric([name], executor.slots.slots)
            service.add_metric([name], executor.concurrency.service_s)
        yield limit
        yield service
