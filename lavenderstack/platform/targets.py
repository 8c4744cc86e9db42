"""Connections to targets, in the platform's line protocol.

A target answers the statements of a connection in order, so several may be sent before
the first is answered. The user of a connection decides what is sent; this module
writes and reads the messages.
"""

import asyncio
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

import structlog

from lavenderstack.border.traffic import TRAFFIC
from lavenderstack.core.message_size import MAX_TEXTS_B, text_size_b
from lavenderstack.core.names import is_one_field
from lavenderstack.core.outcome import Reason
from lavenderstack.core.position import START, Position
from lavenderstack.core.reply import Reply, TxState
from lavenderstack.core.statement import StatementKind
from lavenderstack.core.view import Target
from lavenderstack.node.backend import (
    Command,
    ConnectFailed,
    ConnectionLost,
    ReplicationStatus,
)
from lavenderstack.platform import line_protocol, statement_texts
from lavenderstack.platform.line_protocol import MessageType, ProtocolError

log = structlog.get_logger()

# Goes into messages between nodes beside the rows, whose size is counted.
MAX_RECEIPT_CHARS = 1000
_NO_RECEIPTS = ("", line_protocol.EMPTY_FIELD)


@dataclass(slots=True)
class _PendingReply:
    """The answer to a command, as far as it has arrived.

    A caller's statement needs a receipt, one of the service itself has none. ``ended``
    tells that the DONE or ERROR has arrived.
    """

    fut: asyncio.Future
    command: Command
    reply: Reply = field(default_factory=Reply)
    ended: bool = False
    rows_b: int = 0

    def add_row(self, row: str) -> None:
        """Keep a row unless the answer is too long for a message between nodes.

        Raises ``ProtocolError`` for a row after DONE or ERROR.
        """
        if self.ended:
            raise ProtocolError("row after the end of an answer")
        self.rows_b += text_size_b(row)
        if self.rows_b <= MAX_TEXTS_B:
            self.reply.rows.append(row)

    def done(self, receipt: str) -> None:
        """Record the DONE; raises ``ProtocolError`` if it can't be one."""
        if len(receipt) > MAX_RECEIPT_CHARS:
            raise ProtocolError("receipt too long")
        self.end()
        self.reply.receipt = receipt

    def end(self) -> None:
        """Record that DONE or ERROR has arrived; raises ``ProtocolError`` if twice."""
        if self.ended:
            raise ProtocolError("answer with two ends")
        self.ended = True

    def check(self) -> None:
        """Check a complete answer; one with too many rows becomes a failure.

        Raises ``ProtocolError`` if it was cut off or proves nothing.
        """
        if not self.ended:
            raise ProtocolError("answer without an end")
        reply = self.reply
        if reply.reason is not None:
            return
        if self.command.request and reply.receipt in _NO_RECEIPTS:
            raise ProtocolError("answer without a receipt")
        if self.rows_b > MAX_TEXTS_B:
            statement = self.command.statement
            # What a transaction changed isn't kept before its commit.
            changes = statement.kind is StatementKind.COMMIT or (
                statement.writes and reply.state is TxState.NONE
            )
            reply.rows = []
            reply.reason = (
                Reason.OUTCOME_UNKNOWN if changes else Reason.STATEMENT_FAILED
            )
            reply.detail = f"the rows of the answer have over {MAX_TEXTS_B} bytes"


class LineConnection(asyncio.Protocol):
    """One connection to a target; implements ``node.backend.Connection``."""

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self.greeting: asyncio.Future[TxState] = loop.create_future()
        self.position: Position = START
        self.closed = False
        self._transport: asyncio.Transport | None = None
        self._buffer = line_protocol.LineBuffer()
        self._pending: deque[_PendingReply] = deque()
        self._loop = loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; ``connect`` then sends the greeting."""
        self._transport = transport  # type: ignore[assignment]

    def send_greeting(self, group: str, organisation: str, target: str) -> None:
        """Send the greeting, which names the group, the organisation and the target.

        ``organisation`` is empty on a public route. Raises ``ConnectFailed`` if a name
        would be read as several fields. A session with such a name is refused, but
        work may come from a node whose build doesn't check names.
        """
        names = [group, target, *([organisation] if organisation else [])]
        line = f"{MessageType.CONNECT} {group} {organisation} {target}\r\n"
        is_too_long = len(line.encode()) > line_protocol.MAX_LINE_B
        if is_too_long or not all(map(is_one_field, names)):
            raise ConnectFailed(Reason.BAD_REQUEST, "a name that can't be sent")
        self._write(line)

    def send(self, commands: Sequence[Command]) -> list["asyncio.Future[Reply]"]:
        """Send statements in order and return the futures of their answers.

        Raises ``ConnectionLost`` if nothing was sent.
        """
        if self.closed:
            raise ConnectionLost("closed before sending")
        futs = []
        messages = []
        for command in commands:
            fut = self._loop.create_future()
            self._pending.append(_PendingReply(fut, command))
            futs.append(fut)
            messages.append(
                statement_texts.format_query(
                    command.request, command.statement, command.min_position
                )
            )
        self._write("".join(messages))
        return futs

    def _write(self, text: str) -> None:
        data = text.encode()
        TRAFFIC.targets_sent_b += len(data)
        self._transport.write(data)

    def close(self) -> None:
        """Close the connection; pending answers fail with ``ConnectionLost``."""
        self._fail("closed here")

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the pending answers with ``ConnectionLost``."""
        self._fail(str(exc) if exc else "closed by the target")

    def _fail(self, detail: str) -> None:
        self.closed = True
        if not self.greeting.done():
            self.greeting.set_exception(ConnectFailed(Reason.UNREACHABLE, detail))
        pending, self._pending = self._pending, deque()
        for pending_reply in pending:
            if not pending_reply.fut.done():
                pending_reply.fut.set_exception(ConnectionLost(detail))
                # The sender may no longer wait for this future. Reading the exception
                # keeps asyncio from logging it as never retrieved.
                pending_reply.fut.exception()
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Handle the messages that are complete."""
        TRAFFIC.targets_received_b += len(data)
        try:
            for line in self._buffer.feed(data):
                self._line_received(line)
        except ProtocolError as exc:
            log.warning("targets: message not understood", error=str(exc))
            self._fail(str(exc))

    def _line_received(self, line: str) -> None:
        message_type, _, rest = line.partition(" ")
        if not self.greeting.done():
            self._greeting_received(message_type, rest)
            return
        if not self._pending:
            raise ProtocolError("answer without a statement")
        pending = self._pending[0]
        reply = pending.reply
        if message_type == MessageType.ROW:
            pending.add_row(rest)
        elif message_type == MessageType.DONE:
            pending.done(rest)
        elif message_type == MessageType.ERROR:
            pending.end()
            reply.reason, reply.detail = line_protocol.parse_error(rest)
        elif message_type == MessageType.READY:
            reply.state, reply.position = line_protocol.parse_ready(rest)
            pending.check()
            self.position = reply.position
            self._pending.popleft()
            if not pending.fut.done():
                pending.fut.set_result(reply)
        else:
            raise ProtocolError(f"unknown message type {message_type[:20]}")

    def _greeting_received(self, message_type: str, rest: str) -> None:
        if message_type == MessageType.READY:
            state, self.position = line_protocol.parse_ready(rest)
            self.greeting.set_result(state)
        elif message_type == MessageType.ERROR:
            reason, detail = line_protocol.parse_error(rest)
            self.greeting.set_exception(ConnectFailed(reason, detail))
        else:
            raise ProtocolError("no greeting")


async def connect(
    target: Target, group: str, organisation: str, timeout_s: float
) -> LineConnection:
    """Open a connection to a target for an organisation, within ``timeout_s`` seconds.

    Raises ``ConnectFailed`` if the target can't be reached or refuses.
    """
    loop = asyncio.get_running_loop()
    conn = None
    try:
        async with asyncio.timeout(timeout_s):
            _, conn = await loop.create_connection(
                LineConnection, target.host, target.port
            )
            conn.send_greeting(group, organisation, target.name)
            await conn.greeting
    except (OSError, TimeoutError, ValueError, OverflowError) as exc:
        # The last two are for an address that can't be one.
        if conn is not None:
            conn.close()
        timed_out = isinstance(exc, TimeoutError)
        detail = "timed out" if timed_out else str(exc)
        raise ConnectFailed(Reason.UNREACHABLE, detail, timed_out) from exc
    except ConnectFailed:
        conn.close()
        raise
    except asyncio.CancelledError:
        if conn is not None:
            conn.close()
        raise
    return conn


# Indexes of the fields of a STATUS row.
_ROLE, _TERM, _RECEIVED, _PAUSED_TERM = 0, 1, 2, 3
_PRIMARY = "primary"


def parse_replication_status(reply: Reply) -> ReplicationStatus | None:
    """Return the status in the answer to STATUS, or None if it is invalid."""
    if reply.reason is not None or not reply.rows:
        return None
    fields = reply.rows[0].split(" ")
    try:
        received = line_protocol.parse_position(fields[_RECEIVED])
        return ReplicationStatus(
            fields[_ROLE] == _PRIMARY,
            line_protocol.parse_number(fields[_TERM]),
            received,
            line_protocol.parse_number(fields[_PAUSED_TERM]),
        )
    except (ProtocolError, IndexError) as exc:
        log.warning("targets: status not understood", error=str(exc))
        return None
