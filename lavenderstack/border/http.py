"""HTTP/1.1 in small: a client for one address and a server of a few pages.

The protocol itself is ``h11``'s; this module moves its bytes. A node starts anew often
and callers wait meanwhile, so the larger library that serves callers over HTTP, whose
import takes longer than all the rest of a node together, is not used where this does.
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass

import h11

READ_B = 65536
MOST_IDLE = 4
PAGE_TIMEOUT_S = 5.0
SERVER_NAME = "lavenderstack"


class HttpFailed(Exception):
    """There was no whole answer; the request may have been carried out."""


@dataclass(frozen=True, slots=True)
class Answer:
    """The status and the body of an answer."""

    status: int
    body: bytes


class _Exchange:
    """One connection of the client, which carries a request at a time."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._conn = h11.Connection(our_role=h11.CLIENT)

    async def run(self, request: h11.Request, body: bytes) -> Answer:
        """Send a request and return the whole answer."""
        conn = self._conn
        data = conn.send(request)
        if body:
            data += conn.send(h11.Data(data=body))
        self._writer.write(data + conn.send(h11.EndOfMessage()))
        status, parts = 0, []
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                conn.receive_data(await self._reader.read(READ_B))
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return Answer(status, b"".join(parts))
            else:
                raise HttpFailed("the connection was closed")

    def reusable(self) -> bool:
        """Make the connection ready for another request; False if it can't be."""
        conn = self._conn
        if conn.our_state is not h11.DONE or conn.their_state is not h11.DONE:
            return False
        conn.start_next_cycle()
        return not self._reader.at_eof()

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()


class HttpClient:
    """Requests to one address. Idle connections are kept for the next ones."""

    def __init__(self, host: str, port: int, connect_timeout_s: float = 0.5) -> None:
        self._host = host
        self._port = port
        self._connect_timeout_s = connect_timeout_s
        self._idle: list[_Exchange] = []

    async def request(
        self,
        method: str,
        target: str,
        timeout_s: float,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
    ) -> Answer:
        """Send a request; raises ``HttpFailed`` without a whole answer in time.

        A connection whose answer did not come is closed: whatever came on it later
        would be the answer to another request.
        """
        sent = [("Host", f"{self._host}:{self._port}"), *(headers or {}).items()]
        if body:
            sent.append(("Content-Type", "application/json"))
        if body or method == "POST":
            sent.append(("Content-Length", str(len(body))))
        request = h11.Request(method=method, target=target, headers=sent)
        exchange = None
        try:
            async with asyncio.timeout(timeout_s):
                exchange = await self._exchange()
                answer = await exchange.run(request, body)
        except (OSError, TimeoutError, h11.ProtocolError, HttpFailed) as exc:
            if exchange is not None:
                exchange.close()
            raise HttpFailed(repr(exc)) from exc
        except asyncio.CancelledError:
            if exchange is not None:
                exchange.close()
            raise
        if exchange.reusable() and len(self._idle) < MOST_IDLE:
            self._idle.append(exchange)
        else:
            exchange.close()
        return answer

    async def _exchange(self) -> _Exchange:
        if self._idle:
            return self._idle.pop()
        async with asyncio.timeout(self._connect_timeout_s):
            return _Exchange(*await asyncio.open_connection(self._host, self._port))

    def close(self) -> None:
        """Close the idle connections."""
        for exchange in self._idle:
            exchange.close()
        self._idle.clear()


@asynccontextmanager
async def client(host: str, port: int) -> AsyncIterator[HttpClient]:
    """Make a client for the length of the block."""
    made = HttpClient(host, port)
    try:
        yield made
    finally:
        made.close()


Page = Callable[[], Awaitable[Answer]]


class _Visitor:
    """One connection of a visitor of the pages."""

    def __init__(self, pages: Mapping[str, Page]) -> None:
        self._pages = pages
        self._conn = h11.Connection(our_role=h11.SERVER)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer requests until the visitor leaves or sends what is no request."""
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

    async def _answer(self, target: str) -> Answer:
        page = self._pages.get(target)
        return await page() if page else Answer(404, b"")

    def _send(self, answer: Answer) -> bytes:
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
    """Serve pages by their paths for the length of the block; yield the port."""
    visits: set[asyncio.Task] = set()

    async def visit(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        visits.add(asyncio.current_task())
        try:
            await _Visitor(pages).serve(reader, writer)
        except (OSError, TimeoutError, h11.ProtocolError):
            # Whoever asks badly or leaves early is not waited for.
            pass
        finally:
            visits.discard(asyncio.current_task())
            writer.close()

    server = await asyncio.start_server(visit, host, port)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()
        for task in visits:
            task.cancel()
