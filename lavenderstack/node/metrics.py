"""Counts and latencies of requests, for each organisation and kind of request.

Latencies go into histograms that an operator can read from the node. Counts are sent
to statsd every few seconds, because a message for each request would cost more than
counting does.
"""

import asyncio
from collections import Counter
from dataclasses import dataclass, field

import structlog
from hdrh.histogram import HdrHistogram
from statsd import StatsClient

from lavenderstack.core.metric_names import name_part, organisation_label

MIN_LATENCY_US = 1
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_FIGURES = 2
FLUSH_INTERVAL_S = 10.0
PREFIX = "lavenderstack"
EVERYONE_LABEL = "everyone"
PERCENTILES = (50.0, 90.0, 99.0, 99.9)

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class Series:
    """The label of a histogram; ``organisation`` is ``everyone`` for open routes."""

    organisation: str
    kind: str


@dataclass(slots=True)
class Summary:
    """A summary of one histogram; latencies are in milliseconds."""

    organisation: str
    kind: str
    count: int
    percentiles_ms: dict[str, float]
    outcomes: dict[str, int]


def _prefix(series: Series | Summary) -> str:
    return f"{name_part(series.organisation)}.{series.kind}"


def _histogram() -> HdrHistogram:
    return HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_FIGURES)


@dataclass(slots=True)
class Metrics:
    """The histograms and counters of one node."""

    histograms: dict[Series, HdrHistogram] = field(default_factory=dict)
    outcomes: Counter[tuple[Series, str]] = field(default_factory=Counter)
    _sent: Counter[tuple[Series, str]] = field(default_factory=Counter)

    def observe(
        self, organisation: str, kind: str, outcome: str, elapsed_s: float
    ) -> None:
        """Count one request and its latency in seconds."""
        name = organisation_label(organisation, {EVERYONE_LABEL}) or EVERYONE_LABEL
        series = Series(name, kind)
        histogram = self.histograms.get(series)
        if histogram is None:
            histogram = self.histograms[series] = _histogram()
        histogram.record_value(int(elapsed_s * 1e6))
        self.outcomes[series, outcome] += 1

    def summaries(self) -> list[Summary]:
        """Return a summary of every histogram, by organisation and kind."""
        found = sorted(self.histograms, key=lambda s: (s.organisation, s.kind))
        return [self._summary(series) for series in found]

    def _summary(self, series: Series) -> Summary:
        histogram = self.histograms[series]
        values = histogram.get_percentile_to_value_dict(list(PERCENTILES))
        percentiles = {f"p{p:g}": value / 1000 for p, value in values.items()}
        counts = {o: n for (s, o), n in self.outcomes.items() if s == series}
        total = histogram.get_total_count()
        return Summary(series.organisation, series.kind, total, percentiles, counts)

    def flush(self, client: StatsClient) -> None:
        """Send what was counted since the last call."""
        with client.pipeline() as pipe:
            for (series, outcome), count in self.outcomes.items():
                added = count - self._sent[series, outcome]
                if added:
                    pipe.incr(f"{_prefix(series)}.{outcome}", added)
            for summary in self.summaries():
                name = f"{_prefix(summary)}.p99_ms"
                pipe.gauge(name, summary.percentiles_ms["p99"])
        self._sent = Counter(self.outcomes)


async def run_flush(metrics: Metrics, host: str, port: int) -> None:
    """Send the metrics to statsd until cancelled."""
    client = StatsClient(host, port, prefix=PREFIX)
    try:
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            metrics.flush(client)
    finally:
        client.close()
