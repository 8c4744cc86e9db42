"""What control traffic costs each node while the service has no load.

Complete services of several sizes run as processes on this machine, without load. The
only work of their nodes is then control: keeping the view current and proving its
age, monitoring groups, and claiming ownerships. A node's cost should stay the same as
the service grows, as long as the number of groups per node does. The bytes include
neither requests to the platform's key-value service nor TCP headers.
"""

import asyncio
import tempfile
from dataclasses import dataclass
from pathlib import Path

import aiohttp

from bench.measure import Bound, Result
from bench.speed import usage
from standins.cluster import Cluster, Node, running
from standins.sizes import Size

MAX_CORE_FRACTION = 0.015
MAX_MEMORY_B = 256 * 1024 * 1024
MAX_BYTES_PER_S = 2 * 1024
WARM_UP_S = 8.0
MEASURED_S = 15.0
ZONES = ("z1", "z2", "z3", "z4")
# Numbers of nodes and groups; the service is built for 4 groups per 3 nodes.
SIZES = ((4, 5), (8, 3), (8, 11), (16, 21))


@dataclass(frozen=True)
class Cost:
    """The cost of one node: fraction of a core, resident memory, traffic in bytes/s."""

    core_fraction: float
    memory_b: int
    bytes_per_s: float


def _size(nodes: int, groups: int) -> Size:
    zones = tuple(ZONES[i % 4] for i in range(nodes))
    group_zones = {
        f"g{i}": tuple(ZONES[(i + j) % 4] for j in range(3)) for i in range(groups)
    }
    return Size(
        ZONES, group_zones, slots=5, connections=30, open_ms=0.0, node_zones=zones
    )


async def _traffic_b(cluster: Cluster, node: Node) -> int:
    url = f"http://127.0.0.1:{node.admin_port}/v1/metrics"
    headers = {"Authorization": f"Bearer {cluster.operator_key}"}
    async with (
        aiohttp.ClientSession() as http,
        http.get(url, headers=headers) as resp,
    ):
        metrics = await resp.json()
    return sum(metrics["traffic"].values())


async def _measure(size: Size, folder: Path) -> list[Cost]:
    async with running(size, folder, linked=False) as cluster:
        await asyncio.sleep(WARM_UP_S)
        nodes = list(cluster.nodes.values())
        usages_before = [usage(node.process.pid) for node in nodes]
        traffic_before_b = [await _traffic_b(cluster, node) for node in nodes]
        await asyncio.sleep(MEASURED_S)
        costs = []
        for node, usage_before, node_traffic_before_b in zip(
            nodes, usages_before, traffic_before_b, strict=True
        ):
            usage_after = usage(node.process.pid)
            core_fraction = (
                usage_after.processor_s - usage_before.processor_s
            ) / MEASURED_S
            bytes_per_s = (
                await _traffic_b(cluster, node) - node_traffic_before_b
            ) / MEASURED_S
            costs.append(Cost(core_fraction, usage_after.resident_b, bytes_per_s))
    return costs


def run(seed: int) -> Result:
    """Measure services of several sizes; the seed has no effect."""
    result = Result(
        "cost of control traffic for a node, without load",
        ["nodes", "groups", "core mean %", "worst %", "memory MB", "B/s mean", "worst"],
    )
    for nodes, groups in SIZES:
        with tempfile.TemporaryDirectory() as folder:
            costs = asyncio.run(_measure(_size(nodes, groups), Path(folder)))
        core_fractions = [cost.core_fraction for cost in costs]
        rates = [cost.bytes_per_s for cost in costs]
        memory_b = max(cost.memory_b for cost in costs)
        row = [
            nodes,
            groups,
            100 * sum(core_fractions) / nodes,
            100 * max(core_fractions),
            memory_b / 2**20,
            sum(rates) / nodes,
            max(rates),
        ]
        result.rows.append(row)
        name = f"{nodes} nodes, {groups} groups"
        result.bounds += [
            Bound(f"{name}: core share", max(core_fractions), MAX_CORE_FRACTION),
            Bound(f"{name}: memory", memory_b, MAX_MEMORY_B),
            Bound(f"{name}: bytes/s", max(rates), MAX_BYTES_PER_S),
        ]
    return result
