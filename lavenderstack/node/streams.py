"""The client end of the streams between nodes, with many requests on each.

Replies may come in any order, and a late one can't be mistaken for another's. Streams
are opened on first use and closed when idle. While a reply is awaited, a quiet stream
is pinged; one that stays silent is closed and the next request opens a new one, because
a network device between the nodes may have dropped the state of the old connection
permanently. ``node/stream_server.py`` is the other end, ``node/framing.py`` has what
both share.
"""

import asyncio
from contextlib import suppress
from dataclasses import dataclass
from functools import partial

from lavenderstack.core import clock
from lavenderstack.core.messages import (
    Cancel,
    Goodbye,
    Message,
    Ping,
    Unsupported,
)
from lavenderstack.core.targets.connect_timeout import ConnectTimeout
from lavenderstack.node import wire
from lavenderstack.node.framing import FramedProtocol, UnsendableFrame

CONNECT_TIMEOUT_S = 1.0
PING_AFTER_S = 0.5
SILENT_AFTER_S = 1.5
IDLE_CLOSE_S = 30.0
TICK_S = 0.25


@dataclass(frozen=True, slots=True)
class StreamLimits:
    """Timeouts of the client end of a stream, in seconds.

    ``connect_s`` limits opening a connection. While a reply is awaited, a stream that
    received nothing for ``ping_after_s`` is pinged and for ``silent_after_s`` closed.
    This is checked every ``tick_s``.
    """

    connect_s: float = CONNECT_TIMEOUT_S
    ping_after_s: float = PING_AFTER_S
    silent_after_s: float = SILENT_AFTER_S
    tick_s: float = TICK_S


DEFAULT_LIMITS = StreamLimits()


class NotSent(Exception):
    """The request certainly never left this node, so sending it again is safe."""


class StillConnecting(NotSent):
    """The connection is not open yet; ``opening`` is the attempt, which goes on."""

    def __init__(self, opening: asyncio.Task) -> None:
        super().__init__("not connected in the usual time")
        self.opening = opening


class NotSupported(NotSent):
    """The other node's build doesn't know the message and has run nothing."""


class InvalidRequest(NotSent):
    """The request is too long or can't be encoded, so no node could receive it."""


class StreamLost(Exception):
    """The stream closed or stayed silent after the request had been sent."""


class _ClientStream(FramedProtocol):
    """The client end of a stream: it sends requests and receives their replies."""

    def __init__(self) -> None:
        super().__init__()
        self.waiting: dict[int, asyncio.Future] = {}
        self.used_at = clock.now()
        self.closed = False
        self.closing = False
        self._next = 0

    def connection_lost(self, exc: Exception | None) -> None:
        self.fail("stream closed")

    def fail(self, cause: str) -> None:
        """Abort the stream; every request waiting on it gets ``StreamLost``."""
        self.closed = True
        waiting, self.waiting = self.waiting, {}
        for fut in waiting.values():
            if not fut.done():
                fut.set_exception(StreamLost(cause))
        if self.transport is not None:
            self.transport.abort()

    def frame_received(self, frame: wire.Frame) -> None:
        if isinstance(frame.body, Goodbye):
            self.closing = True
        fut = self.waiting.pop(frame.number, None)
        if fut is not None and not fut.done():
            if isinstance(frame.body, Unsupported):
                tag = frame.body.message[: wire.MAX_TAG_CHARS]
                fut.set_exception(NotSupported(tag))
            else:
                fut.set_result(frame.body)
        if self.closing and not self.waiting:
            self.fail("the other node is stopping")

    def unknown_received(self, unknown: wire.UnknownMessage) -> None:
        fut = self.waiting.pop(unknown.number, None)
        if fut is not None and not fut.done():
            fut.set_exception(StreamLost(f"reply not understood: {unknown.tag}"))

    @property
    def open(self) -> bool:
        """Whether a new request may be sent on the stream."""
        return not self.closed and not self.closing

    def ask(self, body: Message) -> tuple[int, asyncio.Future]:
        """Send a request; return its number and the future of its reply.

        Raises ``InvalidRequest`` if no node could receive it.
        """
        self._next += 1
        self.used_at = clock.now()
        if not self.waiting:
            self.received_at = self.used_at
        try:
            self.send(wire.Frame(self._next, False, body))
        except UnsendableFrame as exc:
            raise InvalidRequest(str(exc)) from exc
        fut = asyncio.get_running_loop().create_future()
        self.waiting[self._next] = fut
        return self._next, fut

    def cancel(self, number: int) -> None:
        """Cancel a request at the other end if its reply is still outstanding."""
        if self.waiting.pop(number, None) is not None and not self.closed:
            self.send(wire.Frame(0, False, Cancel(number)))

    def tick(self, now: float, limits: StreamLimits) -> None:
        """Ping the stream if it is quiet; close it if it is silent or idle."""
        if self.closed:
            return
        quiet_s = now - self.received_at
        if self.waiting and quiet_s > limits.silent_after_s:
            self.fail("stream silent")
        elif self.waiting and quiet_s > limits.ping_after_s:
            self.send(wire.Frame(0, False, Ping()))
        elif not self.waiting and now - self.used_at > IDLE_CLOSE_S:
            self.fail("stream idle")


class StreamPool:
    """The client ends of this node's streams, one for each address in use."""

    def __init__(self, limits: StreamLimits = DEFAULT_LIMITS) -> None:
        self._limits = limits
        self._streams: dict[tuple[str, int], _ClientStream] = {}
        self._opening: dict[tuple[str, int], asyncio.Task[_ClientStream]] = {}
        self._connect_timeout = ConnectTimeout()

    def close(self) -> None:
        """Close every stream; waiting requests get ``StreamLost``."""
        for stream in self._streams.values():
            stream.fail("pool closed")
        self._streams.clear()

    async def run(self) -> None:
        """Ping and close streams periodically until cancelled."""
        while True:
            await asyncio.sleep(self._limits.tick_s)
            now = clock.now()
            for addr, stream in list(self._streams.items()):
                stream.tick(now, self._limits)
                if stream.closed:
                    del self._streams[addr]

    async def _get_stream(
        self, addr: tuple[str, int], timeout_s: float
    ) -> _ClientStream:
        """Return an open stream; concurrent callers share one connection attempt.

        Raises ``StillConnecting`` if the attempt takes longer than usual.
        """
        stream = self._streams.get(addr)
        if stream is not None and stream.open:
            return stream
        opening = self._opening.get(addr)
        if opening is None:
            opening = asyncio.ensure_future(self._open(addr))
            self._opening[addr] = opening
            opening.add_done_callback(partial(self._finish_opening, addr))
        wait_s = min(timeout_s, self._connect_timeout.current_s(self._limits.connect_s))
        done, _ = await asyncio.wait([opening], timeout=wait_s)
        if not done:
            raise StillConnecting(opening)
        return opening.result()

    async def _open(self, addr: tuple[str, int]) -> _ClientStream:
        loop = asyncio.get_running_loop()
        started_at = clock.now()
        try:
            async with asyncio.timeout(self._limits.connect_s):
                _, stream = await loop.create_connection(_ClientStream, *addr)
        except TimeoutError as exc:
            raise NotSent("connecting timed out") from exc
        except OSError as exc:
            raise NotSent(str(exc)) from exc
        self._connect_timeout.record(clock.now() - started_at)
        self._streams[addr] = stream
        return stream

    def _finish_opening(self, addr: tuple[str, int], opening: asyncio.Task) -> None:
        del self._opening[addr]
        if not opening.cancelled():
            # Marks the exception as retrieved: if all waiting calls were cancelled,
            # asyncio would log it as never retrieved.
            opening.exception()

    async def call(
        self, addr: tuple[str, int], body: Message, timeout_s: float
    ) -> Message:
        """Send a request to the node at ``addr`` and return its reply.

        Raises ``NotSent`` if the request was not sent, ``InvalidRequest`` if no node
        could receive it, ``StillConnecting`` if connecting takes long, ``StreamLost``
        if the stream failed later, and ``TimeoutError`` after ``timeout_s`` seconds,
        connecting included. A call that is cancelled or times out also cancels its
        handler at the other end.
        """
        deadline = clock.now() + timeout_s
        stream = await self._get_stream(addr, timeout_s)
        if not stream.open:
            raise NotSent("stream closed")
        number, fut = stream.ask(body)
        try:
            # ``wait_for`` would lose a cancellation that comes with the answer.
            async with asyncio.timeout(max(0.0, deadline - clock.now())):
                return await fut
        finally:
            with suppress(Exception):
                stream.cancel(number)
