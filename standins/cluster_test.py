"""Tests of the harness itself: real processes, a partition, their end."""

import asyncio

from lavenderstack.border.target import TargetConn, connect
from standins.cluster import CALL_TIMEOUT_S, HOST, Cluster, eventually, outside
from standins.sizes import STUDIO_SIZE

# Far longer than replication takes on a way that is not cut.
UNCUT_S = 0.2
T = CALL_TIMEOUT_S
NAMES = ["studio-1", "studio-2", "studio-3"]


async def direct(cluster: Cluster, name: str) -> TargetConn:
    return await connect(HOST, cluster.target_ports[name], "studio", T)


async def lead(cluster: Cluster, name: str, term: int, others: list[str]):
    conn = await direct(cluster, name)
    await conn.adopt(term, T)
    await conn.lead(term, NAMES, T)
    port = cluster.network.links[name].port
    for other in others:
        follower = await direct(cluster, other)
        await follower.follow(term, name, HOST, port, T)
        follower.close()
    return conn


async def put(conn, value, term):
    return (await conn.run("put", ["t", "k", value], T, write=True, term=term)).last


async def reached(cluster: Cluster, name: str, position) -> None:
    conn = await direct(cluster, name)

    async def there():
        return (await conn.state(T)).last == position

    await eventually(there)
    conn.close()


class TestPartition:
    async def test_the_two_sides_go_on_apart_and_come_together(self, tmp_path):
        async with outside(STUDIO_SIZE, tmp_path) as cluster:
            old = await lead(cluster, "studio-1", 1, ["studio-2", "studio-3"])
            kept = await put(old, "both", 1)
            await reached(cluster, "studio-2", kept)
            cluster.isolate("lj-1")
            for value in range(3):
                await put(old, value, 1)
            await asyncio.sleep(UNCUT_S)
            new = await lead(cluster, "studio-2", 2, ["studio-3"])
            last = await put(new, "new", 2)
            await reached(cluster, "studio-3", last)
            assert await cluster.primary("studio") == "studio-2"
            seen = await cluster.seen("studio-3")
            assert seen["entries"][: kept.seq + 1][-1][:2] == [2, kept.seq + 1]
            cut_off = await cluster.seen("studio-1")
            assert cut_off["tables"]["t"]["k"] == 2
            port = cluster.network.links["studio-2"].port
            await old.follow(2, "studio-2", HOST, port, T)
            cluster.network.heal()
            await reached(cluster, "studio-1", last)

    async def test_what_was_started_is_ended(self, tmp_path):
        async with outside(STUDIO_SIZE, tmp_path) as cluster:
            processes = list(cluster.processes.values())
            assert all(process.running for process in processes)
        assert not any(process.running for process in processes)
