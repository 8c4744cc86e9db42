"""Tests of the link that simulates network partitions on loopback."""

import asyncio
from contextlib import asynccontextmanager

import pytest

from standins.link import open_link

TIMEOUT_S = 10.0
SILENCE_S = 0.1


async def _echo(reader, writer):
    while data := await reader.read(100):
        writer.write(data)
    writer.close()


@asynccontextmanager
async def echo_link():
    server = await asyncio.start_server(_echo, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    async with open_link(host, port) as link:
        yield link
    server.close()


class EchoClient:
    def __init__(self, streams):
        self.reader, self.writer = streams

    def send(self, data):
        self.writer.write(data)

    async def receive(self, data, limit_s=TIMEOUT_S):
        return await asyncio.wait_for(self.reader.readexactly(len(data)), limit_s)

    async def expect_silence(self):
        with pytest.raises(TimeoutError):
            await self.receive(b"x", SILENCE_S)


async def connect_to(link):
    return EchoClient(await asyncio.open_connection("127.0.0.1", link.port))


class TestLink:
    @pytest.mark.parametrize(
        "directions", [{}, {"backward": False}, {"forward": False}]
    )
    async def test_cut_data_is_delivered_after_healing(self, directions):
        async with echo_link() as link:
            old_client = await connect_to(link)
            old_client.send(b"1")
            assert await old_client.receive(b"1") == b"1"
            link.path.cut(**directions)
            new_client = await connect_to(link)
            for client in (old_client, new_client):
                client.send(b"2")
                await client.expect_silence()
            link.path.heal()
            for client in (old_client, new_client):
                assert await client.receive(b"2") == b"2"

    async def test_silenced_connections_stay_silent_and_new_ones_work(self):
        async with echo_link() as link:
            old_client = await connect_to(link)
            old_client.send(b"1")
            await old_client.receive(b"1")
            link.silence()
            old_client.send(b"2")
            await old_client.expect_silence()
            new_client = await connect_to(link)
            new_client.send(b"3")
            assert await new_client.receive(b"3") == b"3"

    async def test_a_closed_connection_ends_at_the_client(self):
        async with echo_link() as link:
            old_client = await connect_to(link)
            old_client.send(b"1")
            await old_client.receive(b"1")
            link.break_connections()
            assert await asyncio.wait_for(old_client.reader.read(), TIMEOUT_S) == b""
