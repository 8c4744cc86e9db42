"""The share of reads served by replicas while their lag varies unpredictably.

Services of the sizes ``STUDIO_SIZE`` and ``FLEET_SIZE`` run as processes on this
machine. Each session writes, and reads what it wrote through other nodes, sending a
request when the previous one is answered. The lag of each replica changes all the
time; it is mostly milliseconds, sometimes seconds. A read that returns an older value
than its session has written is stale, and no read may be. For comparison the same
sessions run with every read sent to the primary.
"""

import asyncio
import random
import tempfile
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

from hdrh.histogram import HdrHistogram

from bench.measure import Bound, Result
from lavenderstack.core import clock
from standins.caller import Caller
from standins.cluster import Cluster, running
from standins.sizes import FLEET_SIZE, STUDIO_SIZE, Size

MIN_REPLICA_SHARE = 0.95
RUN_S = 8.0
SESSIONS = 16
READS_PER_WRITE = 3
LAG_CHANGE_S = 0.1
# Median and shape (sigma) of the log-normal distribution that lags are drawn from.
LAG_MEDIAN_MS = 20.0
LAG_SIGMA = 1.5
MAX_LAG_MS = 3000.0
MAX_LATENCY_US = 60_000_000


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_LATENCY_US, 3)


@dataclass
class Tally:
    """Counts of reads and failures, and latencies in microseconds."""

    reads: int = 0
    replica_reads: int = 0
    stale_reads: int = 0
    failed: Counter[str] = field(default_factory=Counter)
    read_us: HdrHistogram = field(default_factory=_histogram)
    write_us: HdrHistogram = field(default_factory=_histogram)

    @property
    def replica_share(self) -> float:
        """The fraction of the reads that a replica served."""
        return self.replica_reads / self.reads if self.reads else 0.0


class Session:
    """A session that increments a number in its own row and reads it back.

    ``fresh`` reads are sent to the primary.
    """

    def __init__(self, cluster: Cluster, number: int, rng: random.Random) -> None:
        key = cluster.keys["north"]
        self._caller = Caller(cluster.http, key)
        self._ports = [node.callers_port for node in cluster.nodes.values()]
        (self._group,) = cluster.size.groups
        self._row = f"row-{number}"
        self._rng = rng
        self._acknowledged = 0

    async def _run_timed(self, histogram: HdrHistogram, *args, **options):
        started = clock.now()
        port = self._rng.choice(self._ports)
        reply = await self._caller.run(port, self._group, *args, **options)
        histogram.record_value(max(1, int((clock.now() - started) * 1e6)))
        return reply

    async def write(self, tally: Tally) -> None:
        """Write the next number.

        After a failure or an unknown outcome, reads are still compared with the last
        acknowledged number.
        """
        value = self._acknowledged + 1
        args = ("put", "t", self._row, value)
        reply = await self._run_timed(tally.write_us, *args, write=True)
        if reply.outcome == "done":
            self._acknowledged = value
        else:
            tally.failed[f"write {reply.outcome} {reply.reason}"] += 1

    async def read(self, tally: Tally, fresh: bool) -> None:
        """Read the row and compare it with the last acknowledged number."""
        reply = await self._run_timed(tally.read_us, "get", "t", self._row, fresh=fresh)
        if reply.outcome != "done":
            tally.failed[f"read {reply.outcome} {reply.reason}"] += 1
            return
        tally.reads += 1
        tally.replica_reads += bool(reply.replica)
        tally.stale_reads += (reply.result or 0) < self._acknowledged

    async def run(self, tally: Tally, until: float, fresh: bool) -> None:
        """Write and read in turn until the time ``until``."""
        while clock.now() < until:
            await self.write(tally)
            for _ in range(READS_PER_WRITE):
                await self.read(tally, fresh)


async def _vary_lag(cluster: Cluster, rng: random.Random) -> None:
    names = [name for name, _, _ in cluster.size.targets()]
    while True:
        lag_ms = rng.lognormvariate(0, LAG_SIGMA) * LAG_MEDIAN_MS
        lag_ms = min(MAX_LAG_MS, lag_ms)
        await cluster.set_target_fault(rng.choice(names), "lag_ms", lag_ms)
        await asyncio.sleep(LAG_CHANGE_S)


async def _measure(size: Size, seed: int, fresh: bool, folder: Path) -> Tally:
    rng = random.Random(seed)
    tally = Tally()
    async with running(size, folder) as cluster:
        lag_task = asyncio.create_task(_vary_lag(cluster, rng))
        until = clock.now() + RUN_S
        sessions = [Session(cluster, n, rng) for n in range(SESSIONS)]
        await asyncio.gather(*(s.run(tally, until, fresh) for s in sessions))
        lag_task.cancel()
        with suppress(asyncio.CancelledError):
            await lag_task
    return tally


def _row(size: str, routing: str, tally: Tally) -> list:
    def percentile_ms(histogram: HdrHistogram, percentile: float) -> float:
        return histogram.get_value_at_percentile(percentile) / 1000

    return [
        size,
        routing,
        tally.reads,
        tally.replica_share,
        tally.stale_reads,
        percentile_ms(tally.read_us, 50),
        percentile_ms(tally.read_us, 99),
        percentile_ms(tally.write_us, 50),
        percentile_ms(tally.write_us, 99),
        dict(tally.failed),
    ]


def run(seed: int) -> Result:
    """Measure both sizes with reads from replicas, and from the primary only."""
    result = Result(
        "reads served by replicas under unpredictable lag",
        [
            "size",
            "way",
            "reads",
            "replica share",
            "stale",
            "read p50 ms",
            "p99 ms",
            "write p50 ms",
            "p99 ms",
            "failed",
        ],
    )
    for name, size in (("Lipa", STUDIO_SIZE), ("Brandt", FLEET_SIZE)):
        for routing, fresh in (("replicas", False), ("primary only", True)):
            with tempfile.TemporaryDirectory() as folder:
                tally = asyncio.run(_measure(size, seed, fresh, Path(folder)))
            result.rows.append(_row(name, routing, tally))
            result.bounds.append(
                Bound(f"{name} {routing}: stale reads", tally.stale_reads, 0)
            )
            if not fresh:
                bound = Bound(
                    f"{name}: replica share",
                    tally.replica_share,
                    MIN_REPLICA_SHARE,
                    True,
                )
                result.bounds.append(bound)
    return result
