"""What one node carries on one core, beside the same load sent straight to a target.

One node stands before one group of three targets, all on this machine, so every
statement passes entry, holder and target. The aim is the target size's 6.7 million
statements/s over 3,100 nodes, with 13 million connections over the same.
"""

import asyncio
import json
import os
import sys
import tempfile
from dataclasses import asdict, dataclass
from pathlib import Path

from hdrh.histogram import HdrHistogram

from lavenderstack.border import target as adapter
from lavenderstack.core import clock
from standins.cluster import Cluster, running
from standins.sizes import Size

AIM_PER_SECOND = 6_700_000 / 3_100
AIM_CONNECTIONS = 13_000_000 // 3_100
AIM_ADDED_P99_MS = 5.0
CALLERS = 64
SECONDS = 8.0
WRITES = 0.1
DIRECT_CONNECTIONS = 16
TICKS_PER_S = os.sysconf("SC_CLK_TCK")

ONE_NODE = Size(
    zones=("z1",),
    groups={"studio": ("z1", "z1", "z1")},
    slots=16,
    connections=40,
    open_ms=0.0,
    rate=1e6,
    burst=1e6,
)


@dataclass
class Usage:
    """What a process has used: processor seconds and resident memory in bytes."""

    processor_s: float
    resident_b: int


@dataclass
class Speed:
    """The figures of one run; latencies in milliseconds."""

    per_second: float
    per_core_second: float
    processor_us: float
    half_load: dict
    direct: dict
    added_p99_ms: float
    idle_connection_b: float
    connections: int


def usage(pid: int) -> Usage:
    """Return what a process has used until now."""
    stat = Path(f"/proc/{pid}/stat").read_text("utf-8").rpartition(")")[2].split()
    ticks = int(stat[11]) + int(stat[12])
    pages = int(Path(f"/proc/{pid}/statm").read_text("utf-8").split()[1])
    return Usage(ticks / TICKS_PER_S, pages * os.sysconf("SC_PAGE_SIZE"))


async def load(cluster: Cluster, **options: float) -> tuple[dict, Usage, Usage]:
    """Send a load from a process of its own; return its result and the node's usage.

    The usages are those before and after the load, once idle connections are open.
    """
    (node,) = cluster.nodes.values()
    (key, *_) = cluster.keys.values()
    args = [f"--{name}={value}" for name, value in options.items()]
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "bench.load",
        f"--port={node.callers_port}",
        "--group=studio",
        f"--writes={WRITES}",
        *args,
        stdout=asyncio.subprocess.PIPE,
        env={**os.environ, "LAVENDERSTACK_KEY": key},
    )
    await child.stdout.readline()
    before = usage(node.process.pid)
    line = await child.stdout.readline()
    after = usage(node.process.pid)
    await child.wait()
    return json.loads(line), before, after


async def direct(cluster: Cluster, per_second: float) -> dict:
    """Send reads straight to the primary at a rate; return their latencies."""
    name = await cluster.primary("studio")
    port = cluster.target_ports[name]
    histogram = HdrHistogram(1, 60_000_000, 3)
    until = clock.now() + SECONDS / 2
    gap_s = DIRECT_CONNECTIONS / per_second

    async def one(number: int) -> None:
        conn = await adapter.connect("127.0.0.1", port, "studio", 2.0)
        due = clock.now() + gap_s * number / DIRECT_CONNECTIONS
        while due < until:
            await asyncio.sleep(max(0.0, due - clock.now()))
            await conn.run("get", ["t", 1], 2.0)
            histogram.record_value(max(1, int((clock.now() - due) * 1e6)))
            due += gap_s
        conn.close()

    await asyncio.gather(*(one(n) for n in range(DIRECT_CONNECTIONS)))
    return {
        "p50_ms": histogram.get_value_at_percentile(50) / 1000,
        "p99_ms": histogram.get_value_at_percentile(99) / 1000,
    }


async def measure(folder: Path) -> Speed:
    """Start one node with its stand-ins and measure it."""
    async with running(ONE_NODE, folder, linked=False) as cluster:
        (node,) = cluster.nodes.values()
        await load(cluster, seconds=2, connections=CALLERS)
        empty = usage(node.process.pid)
        full, before, after = await load(
            cluster,
            seconds=SECONDS,
            connections=CALLERS,
            idle=AIM_CONNECTIONS - CALLERS,
        )
        busy_s = after.processor_s - before.processor_s
        half, _, _ = await load(
            cluster,
            seconds=SECONDS,
            connections=CALLERS,
            idle=AIM_CONNECTIONS - CALLERS,
            rate=AIM_PER_SECOND / 2,
        )
        straight = await direct(cluster, AIM_PER_SECOND / 2)
    idle_b = (before.resident_b - empty.resident_b) / (AIM_CONNECTIONS - CALLERS)
    return Speed(
        per_second=full["per_second"],
        per_core_second=round(full["requests"] / busy_s, 1),
        processor_us=round(busy_s / full["requests"] * 1e6, 1),
        half_load=half,
        direct=straight,
        added_p99_ms=round(half["p99_ms"] - straight["p99_ms"], 3),
        idle_connection_b=round(idle_b),
        connections=AIM_CONNECTIONS,
    )


def run() -> Speed:
    """Measure once, in a folder of its own."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(measure(Path(folder)))


if __name__ == "__main__":
    print(json.dumps(asdict(run()), indent=2))
