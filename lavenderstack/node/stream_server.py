"""The server end of the streams between nodes; the client end is in ``streams.py``."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from contextlib import suppress
from typing import Any

import structlog

from lavenderstack.core.message_size import unsendable_reply
from lavenderstack.core.messages import (
    Cancel,
    Goodbye,
    Message,
    Ping,
    Pong,
    Unsupported,
)
from lavenderstack.node import wire
from lavenderstack.node.framing import FramedProtocol, UnsendableFrame

log = structlog.get_logger()

Handler = Callable[[Any], Awaitable[Message]]


class _ServerStream(FramedProtocol):
    """The server end of a stream: it runs the handlers of incoming requests."""

    def __init__(self, server: "StreamServer") -> None:
        super().__init__()
        self._server = server
        self._tasks: dict[int, asyncio.Task] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._server.connections.add(self)
        self._server.all_closed.clear()

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.connections.discard(self)
        if not self._server.connections:
            self._server.all_closed.set()

    def frame_received(self, frame: wire.Frame) -> None:
        body = frame.body
        if isinstance(body, Ping):
            self.send(wire.Frame(frame.number, True, Pong()))
            return
        if isinstance(body, Cancel):
            self._cancel(body.number)
            return
        task = asyncio.ensure_future(self._answer(frame))
        self._tasks[frame.number] = task
        self._server.running.add(task)
        task.add_done_callback(lambda _: self._remove_task(frame.number, task))

    def unknown_received(self, unknown: wire.UnknownMessage) -> None:
        self.send(wire.Frame(unknown.number, True, Unsupported(unknown.tag)))

    def _remove_task(self, number: int, task: asyncio.Task) -> None:
        self._tasks.pop(number, None)
        self._server.running.discard(task)

    def _cancel(self, number: int) -> None:
        if task := self._tasks.get(number):
            task.cancel()

    async def _answer(self, frame: wire.Frame) -> None:
        handler = self._server.handlers.get(type(frame.body))
        if handler is None:
            name = type(frame.body).__name__
            log.warning("streams: no handler", message=name)
            self.send(wire.Frame(frame.number, True, Unsupported(name)))
            return
        reply = await handler(frame.body)
        if not self.transport.is_closing():
            self._send_reply(frame, reply)

    def _send_reply(self, request: wire.Frame, reply: Message) -> None:
        """Send a reply, or why it can't be sent, so that only its request fails."""
        try:
            self.send(wire.Frame(request.number, True, reply))
        except UnsendableFrame as exc:
            name = type(reply).__name__
            log.warning("streams: reply not sendable", message=name, error=str(exc))
            failed = unsendable_reply(request.body, f"its reply was not sent: {exc}")
            self.send(wire.Frame(request.number, True, failed))


class StreamServer:
    """Accepts streams from other nodes and passes each request to its handler.

    ``handlers`` maps a message type to a coroutine function that takes the message
    and returns the reply message. Handlers must convert their failures to messages:
    if one raises, asyncio logs the exception and the caller times out.
    """

    def __init__(self, handlers: Mapping[type, Handler]) -> None:
        self.handlers = dict(handlers)
        self.connections: set[_ServerStream] = set()
        self.running: set[asyncio.Task] = set()
        self.all_closed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> int:
        """Listen; return the port, chosen by the system if ``port`` is 0."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _ServerStream(self), host, port)
        return self._server.sockets[0].getsockname()[1]

    async def stop(self, left_s: float) -> None:
        """Accept no new streams and close the open ones after their last reply.

        Sends ``Goodbye`` on each stream, so that the client sends no more requests
        and closes the stream when it has its last reply. Streams that are still open
        after ``left_s`` seconds are closed.
        """
        if self._server is None:
            return
        self._server.close()
        for connection in self.connections:
            connection.send(wire.Frame(0, True, Goodbye()))
        with suppress(TimeoutError):
            async with asyncio.timeout(left_s if self.connections else 0.0):
                await self.all_closed.wait()
        for connection in list(self.connections):
            connection.transport.close()
