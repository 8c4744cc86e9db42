"""How long a withdrawn key goes on working, and a change takes to be everywhere.

Services of both users' zones run as processes on this machine, with two nodes in each
zone and callers on open connections at every node, asking as fast as they are
answered. An operator withdraws a key through one node and changes the plans through
another; times count from the operator's answer. What the fleet's plainest way would
cost, a view that each node fetches from the store every so often, is a matter of
arithmetic and not measured here.
"""

import asyncio
import tempfile
from contextlib import suppress
from dataclasses import replace
from pathlib import Path
from typing import Any

import aiohttp

from bench.measure import Bound, Result
from lavenderstack.core import clock, keys
from standins.caller import Caller, http_session
from standins.cluster import Cluster, eventually, running
from standins.sizes import FLEET_SIZE, STUDIO_SIZE, Size

AIM_S = 5.0
ROUNDS = 3
CALLERS_A_NODE = 3
QUIET_S = 2.0


class Operator:
    """An operator at one node."""

    def __init__(self, cluster: Cluster, node: str) -> None:
        self._http = cluster.http
        self._base = f"http://127.0.0.1:{cluster.nodes[node].admin_port}/v1"
        self._headers = {"Authorization": f"Bearer {cluster.operator_key}"}

    async def ask(self, method: str, path: str, body: Any = None, **headers) -> dict:
        """Send a request; return the answer, which must be a success."""
        given = self._headers | headers
        url = f"{self._base}/{path}"
        async with self._http.request(method, url, json=body, headers=given) as resp:
            resp.raise_for_status()
            return await resp.json()


async def _ask_on(cluster: Cluster, key: str, node: str, last: dict) -> None:
    """Ask a node again and again on one connection; note the last success."""
    (group,) = cluster.size.groups
    port = cluster.nodes[node].callers_port
    async with http_session() as http:
        caller = Caller(http, key)
        while True:
            reply = await caller.run(port, group, "get", "t", "k")
            if reply.outcome == "done":
                last[node] = clock.now()


async def _withdraw(cluster: Cluster, operator: Operator) -> float:
    """Grant a key, use it everywhere, withdraw it; return its last success after."""
    key = keys.generate()
    digest = keys.digest_of(key)
    await operator.ask("PUT", f"keys/{digest}", {"organisation": "north"})
    last: dict[str, float] = {}
    names = [name for name in cluster.nodes for _ in range(CALLERS_A_NODE)]
    tasks = [asyncio.create_task(_ask_on(cluster, key, n, last)) for n in names]
    try:

        async def all_served() -> bool:
            return len(last) == len(cluster.nodes)

        await eventually(all_served)
        await operator.ask("POST", f"keys/{digest}/withdraw", {})
        accepted = clock.now()

        async def quiet() -> bool:
            return clock.now() - max(accepted, *last.values()) > QUIET_S

        await eventually(quiet)
    finally:
        for task in tasks:
            task.cancel()
        for task in tasks:
            with suppress(asyncio.CancelledError, aiohttp.ClientError):
                await task
    return max(0.0, max(last.values()) - accepted)


async def _change(cluster: Cluster, operator: Operator) -> float:
    """Change the plans; return the seconds until every node has the revision."""
    plans = await operator.ask("GET", "plans")
    entries = plans["entries"]
    entries["standard"]["burst"] += 1
    if_match = {"If-Match": f'"{plans["revision"]}"'}
    done = await operator.ask("PUT", "plans", entries, **if_match)
    accepted = clock.now()
    for name in cluster.nodes:
        other = Operator(cluster, name)

        async def in_force(other: Operator = other) -> bool:
            status = await other.ask("GET", "status")
            return status["revision"] >= done["revision"]

        await eventually(in_force)
    return clock.now() - accepted


async def _measure(size: Size, folder: Path) -> tuple[list[float], list[float]]:
    double = replace(size, node_zones=size.zones * 2)
    async with running(double, folder, linked=False) as cluster:
        first, *_, last = cluster.nodes
        withdrawn, changed = [], []
        for _ in range(ROUNDS):
            withdrawn.append(await _withdraw(cluster, Operator(cluster, first)))
            changed.append(await _change(cluster, Operator(cluster, last)))
    return withdrawn, changed


def run(seed: int) -> Result:
    """Measure both sizes."""
    result = Result(
        "seconds from the operator's answer until it is in force",
        ["size", "nodes", "last success of a withdrawn key, worst", "change, worst"],
    )
    for name, size in (("Lipa", STUDIO_SIZE), ("Brandt", FLEET_SIZE)):
        with tempfile.TemporaryDirectory() as folder:
            withdrawn, changed = asyncio.run(_measure(size, Path(folder)))
        nodes = 2 * len(size.zones)
        result.rows.append([name, nodes, max(withdrawn), max(changed)])
        result.bounds += [
            Bound(f"{name}: withdrawn key", max(withdrawn), AIM_S),
            Bound(f"{name}: change of plans", max(changed), AIM_S),
        ]
    return result
