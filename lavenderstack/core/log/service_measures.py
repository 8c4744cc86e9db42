"""What callers got, from the log lines of many nodes: the four measures of the brief.

The lines of served requests are a sample, since each node limits how many it writes; so
the shares are estimates. The counter ``served`` of each node has exact numbers.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from lavenderstack.core.log.explanation import LogLine

DONE, FAILED = "callers: request done", "callers: request failed"
FAILOVERS = ("replacer: primary lost", "replacer: primary leaves")
# Refusals over the rate that say nothing about the plan itself.
FALLBACK_DETAIL = "fallback quota"
# The last write before a failover and the first after it are looked for in this span.
GAP_SPAN_S = 20.0
# Organisations with fewer requests say little.
MIN_REQUESTS = 20


@dataclass(frozen=True, slots=True)
class WriteGap:
    """The longest time without a served write around a failover of a group."""

    at: float
    group: str
    gap_s: float


@dataclass(frozen=True, slots=True)
class Measures:
    """``replica_share`` maps a freshness to the share of its reads at replicas.

    ``worst`` is the worst-served organisation with its share of requests served.
    ``fallback_refusals`` counts refusals by a node without its quota coordinator, of
    ``requests`` in all.
    """

    replica_share: dict[str, float]
    write_gaps: list[WriteGap]
    worst: tuple[str, float]
    over_rate: int
    fallback_refusals: int
    requests: int


@dataclass
class _Observed:
    reads: dict[str, Counter] = field(default_factory=lambda: defaultdict(Counter))
    writes: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    served: Counter = field(default_factory=Counter)
    asked: Counter = field(default_factory=Counter)
    failovers: list[tuple[float, str]] = field(default_factory=list)
    groups: dict[str, str] = field(default_factory=dict)
    over_rate: int = 0
    fallback_refusals: int = 0

    def add(self, line: LogLine) -> None:
        fields = line.fields
        if line.event == "directory: target changed":
            self.groups[fields["target"]] = fields["group"]
        elif line.event in FAILOVERS:
            self.failovers.append((line.at, fields["group"]))
        elif line.event == DONE:
            self._add_served(line)
        elif line.event == FAILED:
            self.asked[fields["organisation"]] += 1
            if fields.get("reason") == "over_rate":
                self.over_rate += 1
                self.fallback_refusals += FALLBACK_DETAIL in fields.get("detail", "")

    def _add_served(self, line: LogLine) -> None:
        fields = line.fields
        self.asked[fields["organisation"]] += 1
        self.served[fields["organisation"]] += 1
        if fields.get("access") == "write":
            self.writes[fields["target"]].append(line.at)
        else:
            self.reads[fields.get("freshness", "")][fields.get("role", "")] += 1

    def write_gap(self, at: float, group: str) -> WriteGap:
        times = sorted(
            time
            for target, found in self.writes.items()
            if self.groups.get(target) == group
            for time in found
            if abs(time - at) <= GAP_SPAN_S
        )
        gaps = (later - time for time, later in zip(times, times[1:], strict=False))
        return WriteGap(at, group, max(gaps, default=float("nan")))


def measure(lines: Iterable[LogLine]) -> Measures:
    """Return the measures that follow from log lines, in any order."""
    observed = _Observed()
    for line in sorted(lines, key=lambda line: line.at):
        observed.add(line)
    shares = {
        freshness: roles["replica"] / roles.total()
        for freshness, roles in observed.reads.items()
    }
    rated = {
        name: observed.served[name] / asked
        for name, asked in observed.asked.items()
        if name and asked >= MIN_REQUESTS
    }
    worst = min(rated.items(), key=lambda item: item[1], default=("", float("nan")))
    return Measures(
        shares,
        [observed.write_gap(at, group) for at, group in observed.failovers],
        worst,
        observed.over_rate,
        observed.fallback_refusals,
        observed.asked.total(),
    )
