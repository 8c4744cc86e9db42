"""Connections to targets, in the platform's line protocol.

One connection answers its statements in order, so several may be under way on it.
The owner of a connection decides what to send; this module writes and reads it.
"""

import asyncio
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

import structlog

from lavenderstack.border.traffic import TRAFFIC
from lavenderstack.core.outcome import Reason
from lavenderstack.core.position import START, Position
from lavenderstack.core.reply import Reply, TxState
from lavenderstack.core.view import Target
from lavenderstack.node.backend import (
    Command,
    ConnectFailed,
    ConnectionLost,
    ReplicationStatus,
)
from lavenderstack.platform import line_protocol
from lavenderstack.platform.line_protocol import BadLine, Word

log = structlog.get_logger()


@dataclass(slots=True)
class _Expected:
    fut: asyncio.Future
    reply: Reply


class LineConnection(asyncio.Protocol):
    """One connection to a target; implements ``node.backend.Connection``."""

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self.greeted: asyncio.Future[TxState] = loop.create_future()
        self.position: Position = START
        self.closed = False
        self._transport: asyncio.Transport | None = None
        self._buffer = line_protocol.LineBuffer()
        self._expected: deque[_Expected] = deque()
        self._loop = loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = transport  # type: ignore[assignment]

    def greet(self, group: str, organisation: str, target: str) -> None:
        """Say who connects to what."""
        self._write(f"{Word.CONNECT} {group} {organisation} {target}\r\n")

    def send(self, commands: Sequence[Command]) -> list["asyncio.Future[Reply]"]:
        """Send statements one after the other; return the futures of their answers."""
        if self.closed:
            raise ConnectionLost("closed before sending")
        futs = []
        written = []
        for command in commands:
            fut = self._loop.create_future()
            self._expected.append(_Expected(fut, Reply()))
            futs.append(fut)
            text = line_protocol.format_statement(
                command.statement, command.min_position
            )
            number = command.request or line_protocol.NOTHING
            written.append(f"{Word.QUERY} {number} {text}\r\n")
        self._write("".join(written))
        return futs

    def _write(self, text: str) -> None:
        data = text.encode()
        TRAFFIC.targets_sent_b += len(data)
        self._transport.write(data)

    def close(self) -> None:
        """Close the connection; what was under way on it ends as lost."""
        self._fail("closed here")

    def connection_lost(self, exc: Exception | None) -> None:
        """End what was under way."""
        self._fail(str(exc) if exc else "closed by the target")

    def _fail(self, why: str) -> None:
        self.closed = True
        if not self.greeted.done():
            self.greeted.set_exception(ConnectFailed(Reason.UNREACHABLE, why))
        expected, self._expected = self._expected, deque()
        for one in expected:
            if not one.fut.done():
                one.fut.set_exception(ConnectionLost(why))
                # The owner may have stopped waiting for this one.
                one.fut.exception()
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Act on the messages that have arrived whole."""
        TRAFFIC.targets_received_b += len(data)
        try:
            for line in self._buffer.feed(data):
                self._line_received(line)
        except BadLine as exc:
            log.warning("targets: message not understood", error=str(exc))
            self._fail(str(exc))

    def _line_received(self, line: str) -> None:
        word, _, rest = line.partition(" ")
        if not self.greeted.done():
            self._greeting_received(word, rest)
            return
        if not self._expected:
            raise BadLine("answer to nothing")
        reply = self._expected[0].reply
        if word == Word.ROW:
            reply.rows.append(rest)
        elif word == Word.DONE:
            reply.receipt = rest
        elif word == Word.ERROR:
            reply.reason, reply.detail = line_protocol.parse_error(rest)
        elif word == Word.READY:
            reply.state, reply.position = line_protocol.parse_ready(rest)
            self.position = reply.position
            fut = self._expected.popleft().fut
            if not fut.done():
                fut.set_result(reply)
        else:
            raise BadLine(f"unknown word {word[:20]}")

    def _greeting_received(self, word: str, rest: str) -> None:
        if word == Word.READY:
            state, self.position = line_protocol.parse_ready(rest)
            self.greeted.set_result(state)
        elif word == Word.ERROR:
            reason, detail = line_protocol.parse_error(rest)
            self.greeted.set_exception(ConnectFailed(reason, detail))
        else:
            raise BadLine("no greeting")


async def connect(
    target: Target, group: str, organisation: str, timeout_s: float
) -> LineConnection:
    """Open a connection to a target on behalf of an organisation.

    Raises ``ConnectFailed`` if the target can't be reached or refuses.
    """
    loop = asyncio.get_running_loop()
    conn = None
    try:
        async with asyncio.timeout(timeout_s):
            _, conn = await loop.create_connection(
                LineConnection, target.host, target.port
            )
            conn.greet(group, organisation, target.name)
            await conn.greeted
    except (OSError, TimeoutError) as exc:
        if conn is not None:
            conn.close()
        why = "timed out" if isinstance(exc, TimeoutError) else str(exc)
        raise ConnectFailed(Reason.UNREACHABLE, why) from exc
    except ConnectFailed:
        conn.close()
        raise
    except asyncio.CancelledError:
        if conn is not None:
            conn.close()
        raise
    return conn


# The fields of a STATUS row, by their place.
_ROLE, _TERM, _RECEIVED = 0, 1, 2
_PRIMARY = "primary"


def parse_replication_status(reply: Reply) -> ReplicationStatus | None:
    """Return what a target's row on itself says, or None if it is not one."""
    if reply.reason is not None or not reply.rows:
        return None
    fields = reply.rows[0].split(" ")
    try:
        received = line_protocol.parse_position(fields[_RECEIVED])
        return ReplicationStatus(
            fields[_ROLE] == _PRIMARY, int(fields[_TERM]), received
        )
    except (BadLine, ValueError, IndexError) as exc:
        log.warning("targets: status not understood", error=str(exc))
        return None
