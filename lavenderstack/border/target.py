"""The client side of a connection to a target, over MessagePack-RPC.

This module defines the calls that a target is assumed to offer; the product relies on
nothing else about it (see docs/ASSUMPTIONS.md). A connection carries one call at a
time. After a time-out, a cancelled call or an invalid answer the connection is broken:
it must be closed and not used again.

============================================  ==================================
call                                          answer
============================================  ==================================
``hello(group)``                              ``TargetStatus``; refused if too
                                              many connections are open
``state()``                                   ``TargetStatus``
``run(statement, args, write, term,           ``StatementResult``; a write is
idempotency_key)``                            refused if the target is not the
                                              primary of ``term``
``begin(term)``, ``rollback()``               nothing
``commit(idempotency_key)``                   ``StatementResult``
``adopt(term)``                               ``TargetStatus``; refused if the
                                              target knows this term or a
                                              higher one
``lead(term, followers)``                     ``TargetStatus``; refused if the
                                              target has not adopted the term
``follow(term, primary, host, port)``         ``TargetStatus``
============================================  ==================================

``idempotency_key`` identifies a write: a target applies it at most once and refuses a
repetition with ``already_run``. Every answer is
``[result, term, last_term, last_seq]``: besides the result it has the term that the
target has adopted and the last position of its log.
"""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

import msgpack

from lavenderstack.border.traffic import TRAFFIC
from lavenderstack.core.position import Position

_REQUEST = 0
_RESPONSE = 1


class TargetErrorCode(StrEnum):
    """Error codes of targets; a call answered with one has changed no data."""

    TOO_MANY_CONNECTIONS = "too_many_connections"
    NOT_PRIMARY = "not_primary"
    OLD_TERM = "old_term"
    STATEMENT_FAILED = "statement_failed"
    ALREADY_RUN = "already_run"
    NO_TRANSACTION = "no_transaction"


class TargetRefused(Exception):
    """The target answered that it did not apply the call."""

    def __init__(self, code: str, detail: str = ""):
        super().__init__(code, detail)
        self.code = code
        self.detail = detail


class TargetUnreachable(Exception):
    """No connection was available, so nothing was sent."""


class TargetLost(Exception):
    """The connection broke or timed out after the call had been sent."""


@dataclass(frozen=True, slots=True)
class TargetStatus:
    """A target's report of its own state.

    ``term`` is the term that it has adopted and ``last`` the last position of its log;
    ``primary`` is a target's name, empty if unknown.
    """

    term: int
    last: Position
    role: str
    primary: str


@dataclass(frozen=True, slots=True)
class StatementResult:
    """A statement's result, and the target's term and last log position after it."""

    result: Any
    term: int
    last: Position


class TargetConn(asyncio.Protocol):
    """One connection to a target. Use ``connect`` to open one."""

    def __init__(self) -> None:
        self.broken = False
        self.in_transaction = False
        self._transport: asyncio.Transport | None = None
        self._unpacker = msgpack.Unpacker()
        self._call_id = 0
        self._fut: asyncio.Future | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = transport  # type: ignore[assignment]

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the call in flight, if any."""
        self.broken = True
        if self._fut is not None and not self._fut.done():
            self._fut.set_exception(TargetLost("connection lost"))

    def data_received(self, data: bytes) -> None:
        """Pass the answer to the call in flight; close on any other input."""
        TRAFFIC.targets_received_b += len(data)
        self._unpacker.feed(data)
        try:
            for kind, call_id, error, result in self._unpacker:
                self._answer(kind, call_id, error, result)
        except (ValueError, TypeError, msgpack.exceptions.ExtraData):
            self.close()

    def _answer(self, kind: int, call_id: int, error: Any, result: Any) -> None:
        fut = self._fut
        if kind != _RESPONSE or call_id != self._call_id or fut is None or fut.done():
            self.close()
            return
        if error is None:
            fut.set_result(result)
        else:
            fut.set_exception(TargetRefused(*error))

    def close(self) -> None:
        """Close the connection at once; the target rolls back its open transaction."""
        self.broken = True
        if self._transport is not None:
            self._transport.abort()

    @staticmethod
    def _pack(message: list) -> bytes:
        """Encode a message before anything of the connection is changed for it."""
        try:
            return msgpack.packb(message)
        except (OverflowError, ValueError, TypeError) as exc:
            raise TargetRefused(
                TargetErrorCode.STATEMENT_FAILED, "an argument can't be sent"
            ) from exc

    async def _call(self, method: str, params: list, timeout_s: float) -> Any:
        if self.broken:
            raise TargetUnreachable("connection is closed")
        if self._fut is not None:
            raise RuntimeError("a connection carries one call at a time")
        request = self._pack([_REQUEST, self._call_id + 1, method, params])
        self._call_id += 1
        loop = asyncio.get_running_loop()
        self._fut = loop.create_future()
        timer = loop.call_later(timeout_s, self._time_out, self._fut)
        TRAFFIC.targets_sent_b += len(request)
        self._transport.write(request)
        try:
            return await self._fut
        except TargetRefused:
            raise
        except BaseException:
            self.close()
            raise
        finally:
            timer.cancel()
            self._fut = None

    def _time_out(self, fut: asyncio.Future) -> None:
        if not fut.done():
            fut.set_exception(TargetLost("no answer in time"))

    async def hello(self, group: str, timeout_s: float) -> TargetStatus:
        """Announce the group that the connection is for; return the target's status."""
        return _parse_status(await self._call("hello", [group], timeout_s))

    async def state(self, timeout_s: float) -> TargetStatus:
        """Ask for the target's term, last position, role and primary."""
        return _parse_status(await self._call("state", [], timeout_s))

    async def run(
        self,
        statement: str,
        args: Sequence[Any],
        timeout_s: float,
        *,
        write: bool = False,
        term: int = 0,
        idempotency_key: str = "",
    ) -> StatementResult:
        """Run one statement, inside the open transaction if there is one."""
        params = [statement, list(args), write, term, idempotency_key]
        return _parse_result(await self._call("run", params, timeout_s))

    async def begin(self, term: int, timeout_s: float) -> None:
        """Open a transaction on the primary of ``term``."""
        await self._call("begin", [term], timeout_s)
        self.in_transaction = True

    async def commit(
        self, timeout_s: float, idempotency_key: str = ""
    ) -> StatementResult:
        """Commit the open transaction."""
        self.in_transaction = False
        return _parse_result(await self._call("commit", [idempotency_key], timeout_s))

    async def rollback(self, timeout_s: float) -> None:
        """Roll back the open transaction."""
        self.in_transaction = False
        await self._call("rollback", [], timeout_s)

    async def adopt(self, term: int, timeout_s: float) -> TargetStatus:
        """Ask the target to adopt a new term, higher than all that it knows."""
        return _parse_status(await self._call("adopt", [term], timeout_s))

    async def lead(
        self, term: int, followers: Sequence[str], timeout_s: float
    ) -> TargetStatus:
        """Make the target the primary of a term that it has adopted."""
        return _parse_status(
            await self._call("lead", [term, list(followers)], timeout_s)
        )

    async def follow(
        self, term: int, primary: str, host: str, port: int, timeout_s: float
    ) -> TargetStatus:
        """Make the target a replica of the primary of a term."""
        params = [term, primary, host, port]
        return _parse_status(await self._call("follow", params, timeout_s))


def _parse_result(answer: Any) -> StatementResult:
    result, term, last_term, last_seq = answer
    return StatementResult(result, term, Position(last_term, last_seq))


def _parse_status(answer: Any) -> TargetStatus:
    (role, primary), term, last_term, last_seq = answer
    return TargetStatus(term, Position(last_term, last_seq), role, primary)


async def connect(host: str, port: int, group: str, timeout_s: float) -> TargetConn:
    """Open a connection to a target for a group.

    Raises ``TargetUnreachable`` if the target gives no answer within ``timeout_s``
    seconds, and ``TargetRefused`` if it refuses the connection.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, conn = await loop.create_connection(TargetConn, host, port)
    except (OSError, TimeoutError) as exc:
        raise TargetUnreachable(str(exc) or "no answer in time") from exc
    try:
        await conn.hello(group, timeout_s)
    except TargetLost as exc:
        raise TargetUnreachable(str(exc)) from exc
    except BaseException:
        conn.close()
        raise
    return conn
