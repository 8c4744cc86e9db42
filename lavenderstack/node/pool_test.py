"""Tests of the pool of connections to one target, against one over loopback."""

import asyncio
from contextlib import asynccontextmanager

from lavenderstack.core.view import Target
from lavenderstack.node.pool import Pool
from standins.target import Limits, serve


@asynccontextmanager
async def running_pool(limit=2):
    async with serve("a", "studio", Limits()) as (_, port):
        pool = Pool(Target("a", "z", "127.0.0.1", port, 2, 20), "studio", limit)
        try:
            yield pool
        finally:
            pool.drop_idle()


class TestClose:
    async def test_a_connection_released_after_the_close_does_not_stay_open(self):
        async with running_pool() as pool:
            conn = await pool.acquire()
            pool.close()
            pool.release(conn)
            assert conn.broken
            assert pool.in_use == 0

    async def test_a_connection_in_use_serves_until_it_is_released(self):
        async with running_pool() as pool, pool.connection() as conn:
            pool.close()
            assert (await conn.state(1.0)).role
            assert not conn.broken

    async def test_a_connection_that_was_opening_does_not_stay_open(self):
        async with running_pool() as pool:
            opening = asyncio.ensure_future(pool.acquire())
            await asyncio.sleep(0)
            assert pool.in_use == 1
            pool.close()
            conn = await opening
            pool.release(conn)
            assert conn.broken
