"""Serves an HTTP application on one address, with limits on slow connections.

A connection that has not sent the complete headers of its first request in time is
closed, because otherwise a client could occupy memory of the node indefinitely.
On shutdown, running requests are completed before idle connections are closed.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

from aiohttp import web

from lavenderstack.border.http_log import server_logger

KEEPALIVE_S = 75.0  # how long an idle connection stays open


class _FirstRequestTimeouts:
    """Aborts new connections that send no complete request headers in time."""

    def __init__(self, timeout_s: float) -> None:
        self._timeout_s = timeout_s
        self._timers: dict[asyncio.Protocol, asyncio.TimerHandle] = {}

    def start(self, protocol: asyncio.Protocol) -> None:
        """Start the timer of a new connection."""
        loop = asyncio.get_running_loop()
        timer = loop.call_later(self._timeout_s, self._abort, protocol)
        self._timers[protocol] = timer

    @web.middleware
    async def cancel_timer(self, req: web.Request, handler) -> web.StreamResponse:
        """Cancel the timer of the connection and handle the request."""
        timer = self._timers.pop(req.protocol, None)
        if timer is not None:
            timer.cancel()
        return await handler(req)

    def _abort(self, protocol: asyncio.Protocol) -> None:
        del self._timers[protocol]
        if protocol.transport is not None:
            protocol.transport.abort()


@dataclass(frozen=True, slots=True)
class Listener:
    """An open listener; ``close`` refuses new connections and keeps the open ones."""

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
    """Serve ``app`` for the duration of the block.

    A connection without complete request headers after ``header_timeout_s`` seconds
    is aborted. At the end of the block no new connection is accepted, and running
    requests have ``shutdown_timeout_s`` seconds to complete.
    """
    timeouts = _FirstRequestTimeouts(header_timeout_s)
    app.middlewares.append(timeouts.cancel_timer)
    runner = web.AppRunner(
        app,
        access_log=None,
        logger=server_logger(),
        keepalive_timeout=KEEPALIVE_S,
        shutdown_timeout=shutdown_timeout_s,
    )
    await runner.setup()

    def accept() -> asyncio.Protocol:
        protocol = runner.server()
        timeouts.start(protocol)
        return protocol

    loop = asyncio.get_running_loop()
    server = await loop.create_server(accept, host, port)
    try:
        yield Listener(server.sockets[0].getsockname()[1], server.close)
    finally:
        server.close()
        await runner.cleanup()
