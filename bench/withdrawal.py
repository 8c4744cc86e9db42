"""How long a withdrawn key still works, and how long a change takes to reach all nodes.

Services with the zones of ``STUDIO_SIZE`` and ``FLEET_SIZE`` run as processes on this
machine, with two nodes in each zone. Callers keep connections to every node open and
send a request when the previous one is answered. An operator withdraws a key through
one node and changes the plans through another; times count from the answer to the
operator. The alternative, in which each node fetches the view from the store at an
interval, can be calculated and isn't measured here.
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

MAX_DELAY_S = 5.0
TRIALS = 3
CALLERS_PER_NODE = 3
# Without a success for this long, a key counts as withdrawn everywhere.
QUIET_S = 2.0


class Operator:
    """Sends an operator's requests to one node."""

    def __init__(self, cluster: Cluster, node: str) -> None:
        self._http = cluster.http
        self._base = f"http://127.0.0.1:{cluster.nodes[node].admin_port}/v1"
        self._headers = {"Authorization": f"Bearer {cluster.operator_key}"}

    async def send(self, method: str, path: str, body: Any = None, **headers) -> dict:
        """Send a request; return the answer.

        Raises aiohttp.ClientResponseError if the status is an error.
        """
        all_headers = self._headers | headers
        url = f"{self._base}/{path}"
        async with self._http.request(
            method, url, json=body, headers=all_headers
        ) as resp:
            resp.raise_for_status()
            return await resp.json()


async def _call_repeatedly(
    cluster: Cluster, key: str, node: str, last_success: dict
) -> None:
    """Call a node repeatedly on one connection; record the last success."""
    (group,) = cluster.size.groups
    port = cluster.nodes[node].callers_port
    async with http_session() as http:
        caller = Caller(http, key)
        while True:
            reply = await caller.run(port, group, "get", "t", "k")
            if reply.outcome == "done":
                last_success[node] = clock.now()


async def _measure_withdrawal(cluster: Cluster, operator: Operator) -> float:
    """Add a key, use it at every node and withdraw it.

    Return the seconds from the withdrawal's answer to the key's last success.
    """
    key = keys.generate()
    digest = keys.digest_of(key)
    await operator.send("PUT", f"keys/{digest}", {"organisation": "north"})
    last_success: dict[str, float] = {}
    names = [name for name in cluster.nodes for _ in range(CALLERS_PER_NODE)]
    tasks = [
        asyncio.create_task(_call_repeatedly(cluster, key, n, last_success))
        for n in names
    ]
    try:

        async def all_served() -> bool:
            return len(last_success) == len(cluster.nodes)

        await eventually(all_served)
        await operator.send("POST", f"keys/{digest}/withdraw", {})
        accepted_at = clock.now()

        async def is_quiet() -> bool:
            return clock.now() - max(accepted_at, *last_success.values()) > QUIET_S

        await eventually(is_quiet)
    finally:
        for task in tasks:
            task.cancel()
        for task in tasks:
            with suppress(asyncio.CancelledError, aiohttp.ClientError):
                await task
    return max(0.0, max(last_success.values()) - accepted_at)


async def _measure_change(cluster: Cluster, operator: Operator) -> float:
    """Change the plans; return the seconds until every node has the new revision."""
    plans = await operator.send("GET", "plans")
    entries = plans["entries"]
    entries["standard"]["burst"] += 1
    if_match = {"If-Match": f'"{plans["revision"]}"'}
    answer = await operator.send("PUT", "plans", entries, **if_match)
    accepted_at = clock.now()
    for name in cluster.nodes:
        operator_at_node = Operator(cluster, name)

        async def in_force(operator_at_node: Operator = operator_at_node) -> bool:
            status = await operator_at_node.send("GET", "status")
            return status["revision"] >= answer["revision"]

        await eventually(in_force)
    return clock.now() - accepted_at


async def _measure(size: Size, folder: Path) -> tuple[list[float], list[float]]:
    two_nodes_per_zone = replace(size, node_zones=size.zones * 2)
    async with running(two_nodes_per_zone, folder, linked=False) as cluster:
        first_node, *_, last_node = cluster.nodes
        withdrawal_s, change_s = [], []
        for _ in range(TRIALS):
            withdrawal_s.append(
                await _measure_withdrawal(cluster, Operator(cluster, first_node))
            )
            change_s.append(
                await _measure_change(cluster, Operator(cluster, last_node))
            )
    return withdrawal_s, change_s


def run(seed: int) -> Result:
    """Measure both sizes; the seed has no effect."""
    result = Result(
        "seconds from the operator's answer until the change is in force",
        ["size", "nodes", "last success of a withdrawn key, worst", "change, worst"],
    )
    for name, size in (("Lipa", STUDIO_SIZE), ("Brandt", FLEET_SIZE)):
        with tempfile.TemporaryDirectory() as folder:
            withdrawal_s, change_s = asyncio.run(_measure(size, Path(folder)))
        nodes = 2 * len(size.zones)
        result.rows.append([name, nodes, max(withdrawal_s), max(change_s)])
        result.bounds += [
            Bound(f"{name}: withdrawn key", max(withdrawal_s), MAX_DELAY_S),
            Bound(f"{name}: change of plans", max(change_s), MAX_DELAY_S),
        ]
    return result
