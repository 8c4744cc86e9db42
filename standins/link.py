"""A TCP link between two processes on loopback that tests can cut, delay or silence.

A test gives one end the link's port in place of the other end's. While a direction is
cut, its bytes are held back and delivered after mending, as TCP does when packets are
lost and sent again; so late calls and late answers come with it.

>>> async def example():
...     async with open_link("127.0.0.1", 5000) as link:
...         link.cut()
...         link.mend()
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

CHUNK_B = 64 * 1024


class Link:
    """One forwarder. ``delay_s`` holds back every chunk in both directions.

    ``forth`` is the direction from whoever connects, ``back`` the other one.
    """

    def __init__(self, host: str, port: int) -> None:
        self.delay_s = 0.0
        self.port = 0
        self._addr = (host, port)
        self._forth = asyncio.Event()
        self._back = asyncio.Event()
        self._silent: set[asyncio.Task] = set()
        self._conns: set[asyncio.Task] = set()
        self.mend()

    def cut(self, *, forth: bool = True, back: bool = True) -> None:
        """Hold back one direction or both, on open and on new connections."""
        if forth:
            self._forth.clear()
        if back:
            self._back.clear()

    def mend(self) -> None:
        """Let everything through again, what was held back first."""
        self._forth.set()
        self._back.set()

    def silence(self) -> None:
        """Swallow everything on the open connections for good; new ones work."""
        self._silent |= self._conns

    def break_connections(self) -> None:
        """Break the open connections."""
        for task in self._conns:
            task.cancel()

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Carry one connection until either end closes it."""
        task = asyncio.current_task()
        self._conns.add(task)
        far_writer = None
        try:
            await self._forth.wait()
            far_reader, far_writer = await asyncio.open_connection(*self._addr)
            forth = self._pump(task, reader, far_writer, self._forth)
            back = self._pump(task, far_reader, writer, self._back)
            await _first_of(forth, back)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._conns.discard(task)
            self._silent.discard(task)
            for end in (writer, far_writer):
                if end is not None:
                    end.close()

    async def _pump(
        self,
        conn: asyncio.Task,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        passes: asyncio.Event,
    ) -> None:
        while data := await reader.read(CHUNK_B):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            await passes.wait()
            if conn not in self._silent:
                writer.write(data)
                await writer.drain()
        if conn in self._silent:
            await asyncio.Event().wait()
        await passes.wait()

    async def close(self) -> None:
        """Break the open connections and wait for their clean-up."""
        tasks = list(self._conns)
        self.break_connections()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _first_of(*pumps) -> None:
    tasks = [asyncio.ensure_future(pump) for pump in pumps]
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in tasks:
            task.cancel()
        for task in tasks:
            with suppress(OSError, asyncio.CancelledError):
                await task


@asynccontextmanager
async def open_link(host: str, port: int) -> AsyncIterator[Link]:
    """Serve a link to an address; yields it with its own ``port``."""
    link = Link(host, port)
    server = await asyncio.start_server(link.accept, "127.0.0.1", 0)
    link.port = server.sockets[0].getsockname()[1]
    try:
        yield link
    finally:
        server.close()
        await link.close()
