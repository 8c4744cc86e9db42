"""Tests of the link that makes partitions on loopback."""

import asyncio
from contextlib import asynccontextmanager

import pytest

from standins.link import open_link

LIMIT_S = 10.0
SHORT_S = 0.1


async def _echo(reader, writer):
    while data := await reader.read(100):
        writer.write(data)
    writer.close()


@asynccontextmanager
async def linked():
    server = await asyncio.start_server(_echo, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    async with open_link(host, port) as link:
        yield link
    server.close()


class Caller:
    def __init__(self, streams):
        self.reader, self.writer = streams

    def send(self, data):
        self.writer.write(data)

    async def hear(self, data, limit_s=LIMIT_S):
        return await asyncio.wait_for(self.reader.readexactly(len(data)), limit_s)

    async def hears_nothing(self):
        with pytest.raises(TimeoutError):
            await self.hear(b"x", SHORT_S)


async def call(link):
    return Caller(await asyncio.open_connection("127.0.0.1", link.port))


class TestLink:
    @pytest.mark.parametrize("way", [{}, {"back": False}, {"forth": False}])
    async def test_a_cut_holds_back_and_mending_delivers(self, way):
        async with linked() as link:
            old = await call(link)
            old.send(b"1")
            assert await old.hear(b"1") == b"1"
            link.way.cut(**way)
            new = await call(link)
            for each in (old, new):
                each.send(b"2")
                await each.hears_nothing()
            link.way.heal()
            for each in (old, new):
                assert await each.hear(b"2") == b"2"

    async def test_silenced_connections_stay_silent_and_new_ones_work(self):
        async with linked() as link:
            old = await call(link)
            old.send(b"1")
            await old.hear(b"1")
            link.silence()
            old.send(b"2")
            await old.hears_nothing()
            new = await call(link)
            new.send(b"3")
            assert await new.hear(b"3") == b"3"

    async def test_a_broken_connection_ends_at_the_caller(self):
        async with linked() as link:
            old = await call(link)
            old.send(b"1")
            await old.hear(b"1")
            link.break_connections()
            assert await asyncio.wait_for(old.reader.read(), LIMIT_S) == b""
