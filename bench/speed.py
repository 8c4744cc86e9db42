"""The throughput of one node on one core, and the latency that it adds.

One node serves one group of three targets, all on this machine. It is both entry node
and connection holder, so every statement passes through both roles and a target. For
comparison the same rate of reads is sent directly to a target. The required
throughput follows from the size that the service is built for: 6.7 million
statements/s and 13 million connections on 3,100 nodes.
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

REQUIRED_PER_S = 6_700_000 / 3_100
REQUIRED_CONNECTIONS = 13_000_000 // 3_100
MAX_ADDED_P99_MS = 5.0
# 256 MB per node, less 100 MB for the process itself, divided by its connections.
MAX_CONNECTION_B = 156 * 2**20 // REQUIRED_CONNECTIONS
CALLERS = 64
LOAD_S = 8.0
SLICE_S = 2.0
SLICES = 6
WRITE_SHARE = 0.1
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
    """Processor seconds used by a process, and its resident memory in bytes."""

    processor_s: float
    resident_b: int


@dataclass
class LoadCost:
    """The result of a load, and what it cost each node.

    ``resident_b`` is the memory at the end.
    """

    result: dict
    processor_s: list[float]
    resident_b: list[int]

    @property
    def processor_us(self) -> float:
        """Processor time of all nodes together per statement, in microseconds."""
        return sum(self.processor_s) / self.result["requests"] * 1e6


def usage(pid: int) -> Usage:
    """Return the usage of a process until now."""
    stat = Path(f"/proc/{pid}/stat").read_text("utf-8").rpartition(")")[2].split()
    # ``stat`` begins at the third field of proc(5); these are utime and stime.
    ticks = int(stat[11]) + int(stat[12])
    pages = int(Path(f"/proc/{pid}/statm").read_text("utf-8").split()[1])
    return Usage(ticks / TICKS_PER_S, pages * os.sysconf("SC_PAGE_SIZE"))


async def run_load(cluster: Cluster, **options: float) -> LoadCost:
    """Send a load to the first node from a separate process."""
    nodes = list(cluster.nodes.values())
    (key, *_) = cluster.keys.values()
    args = [f"--{name}={value}" for name, value in options.items()]
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "bench.load",
        f"--port={nodes[0].callers_port}",
        "--group=studio",
        f"--writes={WRITE_SHARE}",
        *args,
        stdout=asyncio.subprocess.PIPE,
        env={**os.environ, "LAVENDERSTACK_KEY": key},
    )
    # The first line says that idle connections are open; opening them isn't counted.
    await child.stdout.readline()
    before = [usage(node.process.pid) for node in nodes]
    line = await child.stdout.readline()
    after = [usage(node.process.pid) for node in nodes]
    await child.wait()
    spent_s = [
        a.processor_s - b.processor_s for a, b in zip(after, before, strict=True)
    ]
    return LoadCost(json.loads(line), spent_s, [a.resident_b for a in after])


async def run_direct(cluster: Cluster, per_second: float) -> dict:
    """Send reads directly to the primary at a rate; return their latencies in ms."""
    name = await cluster.primary("studio")
    port = cluster.target_ports[name]
    histogram = HdrHistogram(1, 60_000_000, 3)
    until = clock.now() + LOAD_S / 2
    interval_s = DIRECT_CONNECTIONS / per_second

    async def run_connection(number: int) -> None:
        conn = await adapter.connect("127.0.0.1", port, "studio", 2.0)
        due = clock.now() + interval_s * number / DIRECT_CONNECTIONS
        while due < until:
            await asyncio.sleep(max(0.0, due - clock.now()))
            await conn.run("get", ["t", 1], 2.0)
            histogram.record_value(max(1, int((clock.now() - due) * 1e6)))
            due += interval_s
        conn.close()

    await asyncio.gather(*(run_connection(n) for n in range(DIRECT_CONNECTIONS)))
    return {
        "p50_ms": histogram.get_value_at_percentile(50) / 1000,
        "p99_ms": histogram.get_value_at_percentile(99) / 1000,
    }


async def _measure_one_node(folder: Path, result: Result) -> None:
    async with running(ONE_NODE, folder, linked=False) as cluster:
        without_idle = await run_load(cluster, seconds=2, connections=CALLERS)
        idle = REQUIRED_CONNECTIONS - CALLERS
        slices = [
            await run_load(cluster, seconds=SLICE_S, connections=CALLERS, idle=idle)
            for _ in range(SLICES)
        ]
        rate = REQUIRED_PER_S / 2
        half_rate = await run_load(
            cluster, seconds=LOAD_S, connections=CALLERS, idle=idle, rate=rate
        )
        direct_latencies = await run_direct(cluster, rate)
    best = min(slices, key=lambda cost: cost.processor_us)
    _add_row(result, "one node, as fast as it goes", best)
    _add_row(result, "one node, half the aim", half_rate)
    result.rows.append(["straight to a target", "", "", *direct_latencies.values()])
    added_ms = half_rate.result["p99_ms"] - direct_latencies["p99_ms"]
    idle_b = (half_rate.resident_b[0] - without_idle.resident_b[0]) / idle
    result.bounds += [
        Bound("statements/s a core", 1e6 / best.processor_us, REQUIRED_PER_S, True),
        Bound("p99 added at half the aim, ms", added_ms, MAX_ADDED_P99_MS),
        Bound("memory an idle connection, bytes", idle_b, MAX_CONNECTION_B),
    ]


async def _measure_two_nodes(folder: Path, result: Result) -> None:
    async with running(TWO_NODES, folder, linked=False) as cluster:
        await run_load(cluster, seconds=2, connections=CALLERS)
        slices = [
            await run_load(cluster, seconds=SLICE_S, connections=CALLERS)
            for _ in range(SLICES)
        ]
    best = min(slices, key=lambda cost: cost.processor_us)
    _add_row(result, "entry and holder on two nodes", best)
    for role, role_s in zip(("entry", "holder"), best.processor_s, strict=True):
        each_us = role_s / best.result["requests"] * 1e6
        result.rows.append([f"  of that the {role}", "", each_us, "", ""])
    bound = Bound(
        "statements/s a core over both", 1e6 / best.processor_us, REQUIRED_PER_S, True
    )
    result.bounds.append(bound)


def _add_row(result: Result, name: str, cost: LoadCost) -> None:
    load_result = cost.result
    row = [name, load_result["per_second"], cost.processor_us]
    result.rows.append([*row, load_result["p50_ms"], load_result["p99_ms"]])


def run(seed: int) -> Result:
    """Measure one node, then entry node and holder on two nodes.

    The load is sent ``SLICES`` times for ``SLICE_S`` seconds. The run with the lowest
    processor time counts, since other work on the machine can only add to it. The seed
    has no effect.
    """
    result = Result(
        "throughput of a node on one core",
        ["way", "statements/s", "processor us each", "p50 ms", "p99 ms"],
    )
    for measure in (_measure_one_node, _measure_two_nodes):
        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(measure(Path(folder), result))
    return result
