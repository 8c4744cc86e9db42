"""A TCP link between two processes on loopback that tests can cut, delay or silence.

A test gives one end the link's port in place of the other end's. While a direction is
cut, its bytes are held back and delivered after mending, as TCP does when packets are
lost and sent again; so late calls and late answers come with it.

>>> async def example():
...     async with open_link("127.0.0.1", 5000) as link:
...         link.way.cut()
...         link.way.mend()
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress

CHUNK_B = 64 * 1024


class NetworkPath:
    """What connections from one place to another meet.

    ``forth`` is the direction from whoever connects, ``back`` the other one;
    ``delay_s`` holds back every chunk in both.
    """

    def __init__(self) -> None:
        self.delay_s = 0.0
        self.forth = asyncio.Event()
        self.back = asyncio.Event()
        self.heal()

    def cut(self, *, forth: bool = True, back: bool = True) -> None:
        """Hold back one direction or both, on open and on new connections."""
        if forth:
            self.forth.clear()
        if back:
            self.back.clear()

    def heal(self) -> None:
        """Let everything through again, what was held back first."""
        self.forth.set()
        self.back.set()


class Link:
    """One forwarder to an address; it listens on ``port``.

    All connections share ``path``, unless ``path_for`` chooses one for each by the
    port from which it comes.
    """

    def __init__(
        self, host: str, port: int, path_for: Callable[[int], NetworkPath] | None = None
    ) -> None:
        self.port = 0
        self.path = NetworkPath()
        self._way_of = path_for or (lambda _: self.path)
        self._addr = (host, port)
        self._silent: set[asyncio.Task] = set()
        self._conns: set[asyncio.Task] = set()

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
            path = self._way_of(writer.get_extra_info("peername")[1])
            await path.forth.wait()
            far_reader, far_writer = await asyncio.open_connection(*self._addr)
            forth = self._pump(task, reader, far_writer, path, path.forth)
            back = self._pump(task, far_reader, writer, path, path.back)
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
        path: NetworkPath,
        passes: asyncio.Event,
    ) -> None:
        while data := await reader.read(CHUNK_B):
            if path.delay_s:
                await asyncio.sleep(path.delay_s)
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
async def open_link(
    host: str, port: int, path_for: Callable[[int], NetworkPath] | None = None
) -> AsyncIterator[Link]:
    """Serve a link to an address; yields it with its own ``port``."""
    link = Link(host, port, path_for)
    server = await asyncio.start_server(link.accept, "127.0.0.1", 0)
    link.port = server.sockets[0].getsockname()[1]
    try:
        yield link
    finally:
        server.close()
        await link.close()
