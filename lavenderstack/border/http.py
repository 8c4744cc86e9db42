"""A small HTTP/1.1 client for one address and a server for a few fixed pages.

``h11`` implements the protocol; this module does the I/O. Nodes restart often and
callers wait meanwhile. Importing aiohttp, which serves callers over HTTP, takes longer
than loading the rest of a node, so it is not used where this module is enough.
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import h11

READ_B = 65536  # most bytes per read from a connection
MAX_IDLE_CONNECTIONS = 4
PROGRESS_TIMEOUT_S = 0.5  # longest pause within a response
MAX_RESPONSE_S = 10.0  # longest time for a response that keeps arriving
PAGE_TIMEOUT_S = 5.0  # longest wait for more data from a client
SERVER_NAME = "lavenderstack"


class HttpFailed(Exception):
    """No complete response was received; the request may have been carried out."""


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """The status code, the body and the headers of a response.

    ``headers`` has the names in lower case; of a repeated header it has the last one.
    """

    status: int
    body: bytes
    headers: Mapping[str, str] = field(default_factory=dict)


class _ClientConnection:
    """One connection of the client, which carries one request at a time."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._conn = h11.Connection(our_role=h11.CLIENT)

    async def run(
        self, request: h11.Request, body: bytes, limit: asyncio.Timeout, wait_s: float
    ) -> HttpResponse:
        """Send a request and return the complete response.

        Each part of the response that arrives moves ``limit`` to ``wait_s`` later, up
        to ``MAX_RESPONSE_S`` in all.
        """
        loop = asyncio.get_running_loop()
        latest = max(limit.when(), loop.time() + MAX_RESPONSE_S)
        conn = self._conn
        data = conn.send(request)
        if body:
            data += conn.send(h11.Data(data=body))
        self._writer.write(data + conn.send(h11.EndOfMessage()))
        status, headers, parts = 0, {}, []
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                conn.receive_data(await self._reader.read(READ_B))
                limit.reschedule(min(latest, max(limit.when(), loop.time() + wait_s)))
            elif isinstance(event, h11.Response):
                status = event.status_code
                headers = {
                    name.decode(): value.decode("latin-1")
                    for name, value in event.headers
                }
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return HttpResponse(status, b"".join(parts), headers)
            else:
                raise HttpFailed("the connection was closed")

    def prepare_for_reuse(self) -> bool:
        """Prepare the connection for the next request; return False if that fails."""
        conn = self._conn
        if conn.our_state is not h11.DONE or conn.their_state is not h11.DONE:
            return False
        conn.start_next_cycle()
        return not self._reader.at_eof()

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()


class HttpClient:
    """Sends requests to one address and keeps idle connections for reuse."""

    def __init__(self, host: str, port: int, connect_timeout_s: float = 0.5) -> None:
        self._host = host
        self._port = port
        self._connect_timeout_s = connect_timeout_s
        self._idle: list[_ClientConnection] = []

    async def request(
        self,
        method: str,
        target: str,
        timeout_s: float,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
    ) -> HttpResponse:
        """Send a request and return its response.

        Raises ``HttpFailed`` if nothing arrives within ``timeout_s`` seconds, or if a
        response that has begun stops arriving for ``PROGRESS_TIMEOUT_S``. A long one
        may take longer than ``timeout_s`` over a narrow link. The connection is then
        closed, because a late response on it would be taken for the response to the
        next request.
        """
        all_headers = [("Host", f"{self._host}:{self._port}"), *(headers or {}).items()]
        if body:
            all_headers.append(("Content-Type", "application/json"))
        if body or method == "POST":
            all_headers.append(("Content-Length", str(len(body))))
        request = h11.Request(method=method, target=target, headers=all_headers)
        connection = None
        try:
            async with asyncio.timeout(timeout_s) as limit:
                connection = await self._acquire_connection()
                wait_s = min(timeout_s, PROGRESS_TIMEOUT_S)
                answer = await connection.run(request, body, limit, wait_s)
        except (OSError, TimeoutError, h11.ProtocolError, HttpFailed) as exc:
            if connection is not None:
                connection.close()
            raise HttpFailed(repr(exc)) from exc
        except asyncio.CancelledError:
            if connection is not None:
                connection.close()
            raise
        if connection.prepare_for_reuse() and len(self._idle) < MAX_IDLE_CONNECTIONS:
            self._idle.append(connection)
        else:
            connection.close()
        return answer

    async def _acquire_connection(self) -> _ClientConnection:
        if self._idle:
            return self._idle.pop()
        async with asyncio.timeout(self._connect_timeout_s):
            return _ClientConnection(
                *await asyncio.open_connection(self._host, self._port)
            )

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()


@asynccontextmanager
async def client(host: str, port: int) -> AsyncIterator[HttpClient]:
    """Open a client for the duration of the block."""
    http_client = HttpClient(host, port)
    try:
        yield http_client
    finally:
        http_client.close()


Page = Callable[[], Awaitable[HttpResponse]]


class _PageConnection:
    """The server side of one connection."""

    def __init__(self, pages: Mapping[str, Page]) -> None:
        self._pages = pages
        self._conn = h11.Connection(our_role=h11.SERVER)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer requests until the client disconnects or sends an invalid request."""
        conn, target = self._conn, ""
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                async with asyncio.timeout(PAGE_TIMEOUT_S):
                    conn.receive_data(await reader.read(READ_B))
            elif isinstance(event, h11.Request):
                target = event.target.decode("latin-1").partition("?")[0]
            elif isinstance(event, h11.EndOfMessage):
                writer.write(self._send(await self._answer(target)))
                if conn.our_state is not h11.DONE:
                    return
                conn.start_next_cycle()
            elif not isinstance(event, h11.Data):
                return

    async def _answer(self, target: str) -> HttpResponse:
        page = self._pages.get(target)
        return await page() if page else HttpResponse(404, b"")

    def _send(self, answer: HttpResponse) -> bytes:
        headers = [
            ("Server", SERVER_NAME),
            ("Content-Type", "text/plain; charset=utf-8"),
            ("Content-Length", str(len(answer.body))),
        ]
        response = h11.Response(status_code=answer.status, headers=headers)
        data = self._conn.send(response)
        if answer.body:
            data += self._conn.send(h11.Data(data=answer.body))
        return data + self._conn.send(h11.EndOfMessage())


@asynccontextmanager
async def serve_pages(
    pages: Mapping[str, Page], host: str, port: int
) -> AsyncIterator[int]:
    """Serve pages by path for the duration of the block; yield the port."""
    tasks: set[asyncio.Task] = set()

    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        tasks.add(asyncio.current_task())
        try:
            await _PageConnection(pages).serve(reader, writer)
        except (OSError, TimeoutError, h11.ProtocolError):
            # The client sent an invalid request, was too slow or disconnected early.
            pass
        finally:
            tasks.discard(asyncio.current_task())
            writer.close()

    server = await asyncio.start_server(handle, host, port)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()
        for task in tasks:
            task.cancel()
