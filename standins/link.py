"""A TCP forwarder on loopback that tests can cut, delay or silence.

A process connects to the link's port instead of the port behind it. While a direction
is cut, its bytes are buffered and delivered after healing, as TCP delivers packets
that were lost and retransmitted. So calls and answers may arrive late.

>>> async def example():
...     async with open_link("127.0.0.1", 5000) as link:
...         link.path.cut()
...         link.path.heal()
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress

CHUNK_B = 64 * 1024


class NetworkPath:
    """The state of the network from one zone to another.

    ``forward`` is the direction from the connecting process, ``backward`` the opposite
    one; each event is set while its direction works. ``delay_s`` delays every chunk
    in both directions.
    """

    def __init__(self) -> None:
        self.delay_s = 0.0
        self.forward = asyncio.Event()
        self.backward = asyncio.Event()
        self.heal()

    def cut(self, *, forward: bool = True, backward: bool = True) -> None:
        """Cut one direction or both, for open and for new connections."""
        if forward:
            self.forward.clear()
        if backward:
            self.backward.clear()

    def heal(self) -> None:
        """Restore both directions; buffered bytes are delivered first."""
        self.forward.set()
        self.backward.set()


class Link:
    """A forwarder to one address; it listens on ``port``.

    All connections share ``path``, unless ``path_for`` selects one by the
    source port of the connection.
    """

    def __init__(
        self, host: str, port: int, path_for: Callable[[int], NetworkPath] | None = None
    ) -> None:
        self.port = 0
        self.path = NetworkPath()
        self._path_for = path_for or (lambda _: self.path)
        self._addr = (host, port)
        self._silent: set[asyncio.Task] = set()
        self._conns: set[asyncio.Task] = set()

    def silence(self) -> None:
        """Discard all data on the open connections from now on; new ones work."""
        self._silent |= self._conns

    def break_connections(self) -> None:
        """Close the open connections."""
        for task in self._conns:
            task.cancel()

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one connection until either end closes it."""
        task = asyncio.current_task()
        self._conns.add(task)
        upstream_writer = None
        try:
            path = self._path_for(writer.get_extra_info("peername")[1])
            await path.forward.wait()
            upstream_reader, upstream_writer = await asyncio.open_connection(
                *self._addr
            )
            forward = self._pump(task, reader, upstream_writer, path, path.forward)
            backward = self._pump(task, upstream_reader, writer, path, path.backward)
            await _run_until_first_ends(forward, backward)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._conns.discard(task)
            self._silent.discard(task)
            for end in (writer, upstream_writer):
                if end is not None:
                    end.close()

    async def _pump(
        self,
        conn: asyncio.Task,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        path: NetworkPath,
        open_event: asyncio.Event,
    ) -> None:
        while data := await reader.read(CHUNK_B):
            if path.delay_s:
                await asyncio.sleep(path.delay_s)
            await open_event.wait()
            if conn not in self._silent:
                writer.write(data)
                await writer.drain()
        if conn in self._silent:
            await asyncio.Event().wait()
        await open_event.wait()

    async def close(self) -> None:
        """Close the open connections and wait for their clean-up."""
        tasks = list(self._conns)
        self.break_connections()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _run_until_first_ends(*pumps) -> None:
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
    """Start a link to an address and yield it; it is closed after the block."""
    link = Link(host, port, path_for)
    server = await asyncio.start_server(link.accept, "127.0.0.1", 0)
    link.port = server.sockets[0].getsockname()[1]
    try:
        yield link
    finally:
        server.close()
        await link.close()
