"""Serves an HTTP application of a stand-in on loopback."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from aiohttp import web


@asynccontextmanager
async def serving_app(app: web.Application) -> AsyncIterator[int]:
    """Serve an application on a free port of loopback; yield the port."""
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    try:
        yield site._server.sockets[0].getsockname()[1]
    finally:
        await runner.cleanup()
