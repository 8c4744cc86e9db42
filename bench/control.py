"""What control costs each node while nothing is asked of the service.

Whole services of growing size run as processes on this machine, without load; all
that their nodes do then is control: the view and the proofs of its age, watches of
groups, duties. A node's cost should stay the same as the service grows, as long as
the number of groups for each node does. What is spent on the platform's service and
on TCP's own headers is not in the bytes.
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

AIM_CORE_SHARE = 0.015
AIM_MEMORY_B = 256 * 1024 * 1024
AIM_BYTES_PER_S = 2 * 1024
SETTLE_S = 8.0
RUN_S = 15.0
ZONES = ("z1", "z2", "z3", "z4")
# Nodes and groups; the target size has 4 groups for 3 nodes.
SIZES = ((4, 5), (8, 3), (8, 11), (16, 21))


@dataclass(frozen=True)
class Cost:
    """What one node spent in a second."""

    core_share: float
    memory_b: int
    bytes_per_s: float


def _size(nodes: int, groups: int) -> Size:
    zones = tuple(ZONES[i % 4] for i in range(nodes))
    spread = {
        f"g{i}": tuple(ZONES[(i + j) % 4] for j in range(3)) for i in range(groups)
    }
    return Size(ZONES, spread, slots=5, connections=30, open_ms=0.0, node_zones=zones)


async def _bytes(cluster: Cluster, node: Node) -> int:
    url = f"http://127.0.0.1:{node.admin_port}/v1/metrics"
    headers = {"Authorization": f"Bearer {cluster.operator_key}"}
    async with (
        aiohttp.ClientSession() as http,
        http.get(url, headers=headers) as resp,
    ):
        figures = await resp.json()
    return sum(figures["traffic"].values())


async def _measure(size: Size, folder: Path) -> list[Cost]:
    async with running(size, folder, linked=False) as cluster:
        await asyncio.sleep(SETTLE_S)
        nodes = list(cluster.nodes.values())
        spent = [usage(node.process.pid) for node in nodes]
        moved = [await _bytes(cluster, node) for node in nodes]
        await asyncio.sleep(RUN_S)
        costs = []
        for node, before, bytes_before in zip(nodes, spent, moved, strict=True):
            after = usage(node.process.pid)
            share = (after.processor_s - before.processor_s) / RUN_S
            rate = (await _bytes(cluster, node) - bytes_before) / RUN_S
            costs.append(Cost(share, after.resident_b, rate))
    return costs


def run(seed: int) -> Result:
    """Measure services of several sizes."""
    result = Result(
        "what control costs a node, without load",
        ["nodes", "groups", "core mean %", "worst %", "memory MB", "B/s mean", "worst"],
    )
    for nodes, groups in SIZES:
        with tempfile.TemporaryDirectory() as folder:
            costs = asyncio.run(_measure(_size(nodes, groups), Path(folder)))
        shares = [cost.core_share for cost in costs]
        rates = [cost.bytes_per_s for cost in costs]
        memory_b = max(cost.memory_b for cost in costs)
        row = [
            nodes,
            groups,
            100 * sum(shares) / nodes,
            100 * max(shares),
            memory_b / 2**20,
            sum(rates) / nodes,
            max(rates),
        ]
        result.rows.append(row)
        name = f"{nodes} nodes, {groups} groups"
        result.bounds += [
            Bound(f"{name}: core share", max(shares), AIM_CORE_SHARE),
            Bound(f"{name}: memory", memory_b, AIM_MEMORY_B),
            Bound(f"{name}: bytes/s", max(rates), AIM_BYTES_PER_S),
        ]
    return result
