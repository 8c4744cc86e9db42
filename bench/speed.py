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
from dataclasses import dataclass, replace
from pathlib import Path

from hdrh.histogram import HdrHistogram

from bench.measure import Bound, Result
from lavenderstack.border import target as adapter
from lavenderstack.core import clock
from standins.cluster import Cluster, running
from standins.sizes import Size

AIM_PER_SECOND = 6_700_000 / 3_100
AIM_CONNECTIONS = 13_000_000 // 3_100
AIM_ADDED_P99_MS = 5.0
# 256 MB a node, less 100 MB for the process itself, over its connections.
AIM_CONNECTION_B = 156 * 2**20 // AIM_CONNECTIONS
CALLERS = 64
SECONDS = 8.0
SLICE_S = 2.0
SLICES = 6
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


TWO_NODES = replace(
    ONE_NODE,
    zones=("z1", "z2"),
    groups={"studio": ("z2", "z2", "z2")},
    node_zones=("z1", "z2"),
)


@dataclass
class Usage:
    """What a process has used: processor seconds and resident memory in bytes."""

    processor_s: float
    resident_b: int


@dataclass
class Spent:
    """A load's result, and what each node spent on it; memory is that at the end."""

    result: dict
    processor_s: list[float]
    resident_b: list[int]

    @property
    def processor_us(self) -> float:
        """Processor time of all nodes together for one statement, in microseconds."""
        return sum(self.processor_s) / self.result["requests"] * 1e6


def usage(pid: int) -> Usage:
    """Return what a process has used until now."""
    stat = Path(f"/proc/{pid}/stat").read_text("utf-8").rpartition(")")[2].split()
    ticks = int(stat[11]) + int(stat[12])
    pages = int(Path(f"/proc/{pid}/statm").read_text("utf-8").split()[1])
    return Usage(ticks / TICKS_PER_S, pages * os.sysconf("SC_PAGE_SIZE"))


async def load(cluster: Cluster, **options: float) -> Spent:
    """Send a load to the first node from a process of its own."""
    nodes = list(cluster.nodes.values())
    (key, *_) = cluster.keys.values()
    args = [f"--{name}={value}" for name, value in options.items()]
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "bench.load",
        f"--port={nodes[0].callers_port}",
        "--group=studio",
        f"--writes={WRITES}",
        *args,
        stdout=asyncio.subprocess.PIPE,
        env={**os.environ, "LAVENDERSTACK_KEY": key},
    )
    # Idle connections are open by now; what they cost to open is not counted.
    await child.stdout.readline()
    before = [usage(node.process.pid) for node in nodes]
    line = await child.stdout.readline()
    after = [usage(node.process.pid) for node in nodes]
    await child.wait()
    busy = [a.processor_s - b.processor_s for a, b in zip(after, before, strict=True)]
    return Spent(json.loads(line), busy, [a.resident_b for a in after])


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


async def _one_node(folder: Path, result: Result) -> None:
    async with running(ONE_NODE, folder, linked=False) as cluster:
        empty = await load(cluster, seconds=2, connections=CALLERS)
        idle = AIM_CONNECTIONS - CALLERS
        slices = [
            await load(cluster, seconds=SLICE_S, connections=CALLERS, idle=idle)
            for _ in range(SLICES)
        ]
        rate = AIM_PER_SECOND / 2
        half = await load(
            cluster, seconds=SECONDS, connections=CALLERS, idle=idle, rate=rate
        )
        straight = await direct(cluster, rate)
    best = min(slices, key=lambda spent: spent.processor_us)
    _note(result, "one node, as fast as it goes", best)
    _note(result, "one node, half the aim", half)
    result.rows.append(["straight to a target", "", "", *straight.values()])
    added_ms = half.result["p99_ms"] - straight["p99_ms"]
    idle_b = (half.resident_b[0] - empty.resident_b[0]) / idle
    result.bounds += [
        Bound("statements/s a core", 1e6 / best.processor_us, AIM_PER_SECOND, True),
        Bound("p99 added at half the aim, ms", added_ms, AIM_ADDED_P99_MS),
        Bound("memory an idle connection, bytes", idle_b, AIM_CONNECTION_B),
    ]


async def _two_nodes(folder: Path, result: Result) -> None:
    async with running(TWO_NODES, folder, linked=False) as cluster:
        await load(cluster, seconds=2, connections=CALLERS)
        slices = [
            await load(cluster, seconds=SLICE_S, connections=CALLERS)
            for _ in range(SLICES)
        ]
    best = min(slices, key=lambda spent: spent.processor_us)
    _note(result, "entry and holder on two nodes", best)
    for part, busy_s in zip(("entry", "holder"), best.processor_s, strict=True):
        each_us = busy_s / best.result["requests"] * 1e6
        result.rows.append([f"  of that the {part}", "", each_us, "", ""])
    both = Bound(
        "statements/s a core over both", 1e6 / best.processor_us, AIM_PER_SECOND, True
    )
    result.bounds.append(both)


def _note(result: Result, name: str, spent: Spent) -> None:
    found = spent.result
    row = [name, found["per_second"], spent.processor_us]
    result.rows.append([*row, found["p50_ms"], found["p99_ms"]])


def run(seed: int) -> Result:
    """Measure one node, then entry and holder apart.

    Of several slices the one with the least processor time counts: other work on the
    machine only ever adds to it.
    """
    result = Result(
        "what a node carries on one core",
        ["way", "statements/s", "processor us each", "p50 ms", "p99 ms"],
    )
    for measure in (_one_node, _two_nodes):
        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(measure(Path(folder), result))
    return result
