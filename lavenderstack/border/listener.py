"""Serves an HTTP application on one address, with limits on slow connections.

A connection that has not brought a whole request head in time is closed: it would
otherwise hold memory for as long as its other end likes. Stopping ends what runs,
then closes what is idle.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

from aiohttp import web

KEEPALIVE_S = 75.0


class _Heads:
    """Waits for the first request of each new connection."""

    def __init__(self, timeout_s: float) -> None:
        self._timeout_s = timeout_s
        self._waiting: dict[asyncio.Protocol, asyncio.TimerHandle] = {}

    def expect(self, protocol: asyncio.Protocol) -> None:
        """Start to wait for the first request of a connection."""
        loop = asyncio.get_running_loop()
        timer = loop.call_later(self._timeout_s, self._give_up, protocol)
        self._waiting[protocol] = timer

    @web.middleware
    async def note(self, req: web.Request, handler) -> web.StreamResponse:
        """Note that a connection has brought a request; pass the request on."""
        timer = self._waiting.pop(req.protocol, None)
        if timer is not None:
            timer.cancel()
        return await handler(req)

    def _give_up(self, protocol: asyncio.Protocol) -> None:
        del self._waiting[protocol]
        if protocol.transport is not None:
            protocol.transport.abort()


@dataclass(frozen=True, slots=True)
class Listener:
    """An open listener. ``close`` refuses new connections and keeps the open ones."""

    port: int
    close: Callable[[], None]


@asynccontextmanager
async def listening(
    app: web.Application,
    host: str,
    port: int,
    header_timeout_s: float,
    shutdown_timeout_s: float,
) -> AsyncIterator[Listener]:
    """Serve ``app`` for the length of the block.

    At the end no new connection is accepted, and running requests have
    ``shutdown_timeout_s`` seconds to end.
    """
    heads = _Heads(header_timeout_s)
    app.middlewares.append(heads.note)
    runner = web.AppRunner(
        app,
        access_log=None,
        keepalive_timeout=KEEPALIVE_S,
        shutdown_timeout=shutdown_timeout_s,
    )
    await runner.setup()

    def accept() -> asyncio.Protocol:
        protocol = runner.server()
        heads.expect(protocol)
        return protocol

    loop = asyncio.get_running_loop()
    server = await loop.create_server(accept, host, port)
    try:
        yield Listener(server.sockets[0].getsockname()[1], server.close)
    finally:
        server.close()
        await runner.cleanup()
