"""Tests of the HTTP client's time limit."""

import asyncio
from contextlib import asynccontextmanager, suppress

import pytest

from lavenderstack.border import http
from lavenderstack.border.http import HttpFailed
from lavenderstack.core import clock

TIMEOUT_S = 0.4
PIECE = b"x" * 100


@asynccontextmanager
async def slow_server(pieces, pause_s):
    """Serve one body of ten pieces, of which ``pieces`` are sent, then nothing."""

    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n")
        for _ in range(pieces):
            writer.write(PIECE)
            await asyncio.sleep(pause_s)
        with suppress(ConnectionError):
            await reader.read()
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()


class TestTimeLimit:
    async def test_a_response_that_keeps_arriving_is_not_given_up(self):
        async with (
            slow_server(pieces=10, pause_s=0.1) as port,
            http.client("127.0.0.1", port) as client,
        ):
            response = await client.request("GET", "/", TIMEOUT_S)
            assert response.body == PIECE * 10

    async def test_a_response_that_stops_midway_fails(self):
        async with (
            slow_server(pieces=3, pause_s=0.0) as port,
            http.client("127.0.0.1", port) as client,
        ):
            started_at = clock.now()
            with pytest.raises(HttpFailed):
                await client.request("GET", "/", TIMEOUT_S)
            assert clock.now() - started_at < 10 * TIMEOUT_S
