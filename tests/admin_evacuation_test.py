"""A test of a whole service, as processes on loopback, whose zone is evacuated."""

import asyncio
import itertools
from contextlib import asynccontextmanager

from standins.caller import Caller
from standins.cluster import Cluster, eventually
from tests.whole_test import service

# Keeps the targets' records of calls within what they store.
PAUSE_S = 0.03
STATEMENTS = ("run", "begin", "commit")


async def change(cluster: Cluster, method: str, zone: str, **headers: str) -> int:
    """Evacuate or return a zone through the first node; return the revision."""
    node = next(iter(cluster.nodes.values()))
    url = f"http://127.0.0.1:{node.admin_port}/v1/evacuations/{zone}"
    headers["Authorization"] = f"Bearer {cluster.operator_key}"
    async with cluster.http.request(method, url, headers=headers) as resp:
        assert resp.status == 200, await resp.text()
        return (await resp.json())["revision"]


async def statements(cluster: Cluster, target: str) -> int:
    """Return how many statements of callers a target has received."""
    calls = (await cluster.target_snapshot(target))["calls"]
    return sum(calls.get(method, 0) for method in STATEMENTS)


async def metric(cluster: Cluster, name: str) -> int:
    """Return a gauge or counter of the first node."""
    node = next(iter(cluster.nodes.values()))
    url = f"http://127.0.0.1:{node.admin_port}/v1/metrics"
    headers = {"Authorization": f"Bearer {cluster.operator_key}"}
    async with cluster.http.get(url, headers=headers) as resp:
        return (await resp.json())[name]


@asynccontextmanager
async def load(svc):
    """Write and read through every node until the block ends; give the reads."""
    reads = []

    async def write(node):
        while True:
            await svc.book(node)
            await asyncio.sleep(PAUSE_S)

    async def read(node):
        caller = Caller(svc.caller.http, svc.cluster.keys["south"])
        for _ in itertools.count():
            port = svc.port(node)
            reply = await caller.run(port, svc.group, "get", "bay", "booking-1")
            reads.append(reply)
            await asyncio.sleep(PAUSE_S)

    work = [job(node) for node in svc.nodes() for job in (write, read)]
    tasks = [asyncio.create_task(one) for one in work]
    try:
        yield reads
    finally:
        for task in tasks:
            task.cancel()
        results = await asyncio.gather(*tasks, return_exceptions=True)
    assert all(isinstance(r, asyncio.CancelledError) for r in results)


class TestEvacuation:
    async def test_a_zone_is_left_under_load_and_used_again(self, tmp_path):
        """Guards against lost writes, and statements sent to an evacuated zone."""
        async with service(tmp_path, "studio") as svc, load(svc) as reads:
            cluster = svc.cluster
            old = await cluster.primary(svc.group)
            zone = svc.zone_of(old)
            revision = await change(cluster, "PUT", zone)

            async def is_replaced():
                return await cluster.primary(svc.group) != old

            async def is_out_of_use():
                logs = [(cluster.folder / f"{n}.log").read_text() for n in svc.nodes()]
                return any("evacuation: target out of use" in text for text in logs)

            await eventually(is_replaced)
            await eventually(is_out_of_use)
            received = await statements(cluster, old)
            done, served = len(svc.done), len(reads)

            async def is_served_on():
                return len(svc.done) > done + 100 and len(reads) > served + 100

            await eventually(is_served_on)
            assert await statements(cluster, old) == received
            assert await metric(cluster, "evacuated_zones") == 1
            assert svc.unanswered == []
            refused = [reply.reason for reply in svc.refusals]
            assert all(reply.retry_after_s for reply in svc.refusals), refused
            # The rate of an organisation is shared out while the test begins.
            assert {r.reason for r in reads if r.outcome != "done"} <= {"over_rate"}
            await change(cluster, "DELETE", zone, **{"If-Match": str(revision)})

            async def is_used_again():
                return await statements(cluster, old) > received

            await eventually(is_used_again)
            for node in svc.nodes():
                log = (cluster.folder / f"{node}.log").read_text()
                assert log.count("evacuation: zone evacuated") == 1
                assert log.count("evacuation: zone returned") == 1
