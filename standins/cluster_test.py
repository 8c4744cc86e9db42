"""Tests of the cluster of processes: a network partition, and stopping them."""

import asyncio

from lavenderstack.border.target import TargetConn, connect
from standins.cluster import (
    CALL_TIMEOUT_S,
    HOST,
    Cluster,
    eventually,
    running_without_nodes,
)
from standins.sizes import STUDIO_SIZE

# Replication over a connected link takes far less than this.
REPLICATION_WAIT_S = 0.2
TIMEOUT_S = CALL_TIMEOUT_S
NAMES = ["studio-1", "studio-2", "studio-3"]


async def connect_to(cluster: Cluster, name: str) -> TargetConn:
    return await connect(HOST, cluster.target_ports[name], "studio", TIMEOUT_S)


async def make_primary(cluster: Cluster, name: str, term: int, others: list[str]):
    conn = await connect_to(cluster, name)
    await conn.adopt(term, TIMEOUT_S)
    await conn.lead(term, NAMES, TIMEOUT_S)
    port = cluster.network.links[name].port
    for other in others:
        follower = await connect_to(cluster, other)
        await follower.follow(term, name, HOST, port, TIMEOUT_S)
        follower.close()
    return conn


async def put(conn, value, term):
    return (
        await conn.run("put", ["t", "k", value], TIMEOUT_S, write=True, term=term)
    ).last


async def wait_for_position(cluster: Cluster, name: str, position) -> None:
    conn = await connect_to(cluster, name)

    async def has_position():
        return (await conn.state(TIMEOUT_S)).last == position

    await eventually(has_position)
    conn.close()


class TestPartition:
    async def test_partitioned_primaries_diverge_and_converge_after_healing(
        self, tmp_path
    ):
        async with running_without_nodes(STUDIO_SIZE, tmp_path) as cluster:
            old_primary = await make_primary(
                cluster, "studio-1", 1, ["studio-2", "studio-3"]
            )
            last_shared = await put(old_primary, "both", 1)
            await wait_for_position(cluster, "studio-2", last_shared)
            cluster.isolate("lj-1")
            for value in range(3):
                await put(old_primary, value, 1)
            await asyncio.sleep(REPLICATION_WAIT_S)
            new_primary = await make_primary(cluster, "studio-2", 2, ["studio-3"])
            last = await put(new_primary, "new", 2)
            await wait_for_position(cluster, "studio-3", last)
            assert await cluster.primary("studio") == "studio-2"
            replica = await cluster.target_snapshot("studio-3")
            assert replica["entries"][: last_shared.seq + 1][-1][:2] == [
                2,
                last_shared.seq + 1,
            ]
            isolated = await cluster.target_snapshot("studio-1")
            assert isolated["tables"]["t"]["k"] == 2
            port = cluster.network.links["studio-2"].port
            await old_primary.follow(2, "studio-2", HOST, port, TIMEOUT_S)
            cluster.network.heal()
            await wait_for_position(cluster, "studio-1", last)

    async def test_every_started_process_is_stopped(self, tmp_path):
        async with running_without_nodes(STUDIO_SIZE, tmp_path) as cluster:
            processes = list(cluster.processes.values())
            assert all(process.running for process in processes)
        assert not any(process.running for process in processes)
