"""The target's side of a connection: reads calls, executes them, answers.

A call that was read is executed even if the peer has disconnected meanwhile, as a
database does that was suspended between reading a call and executing it.
"""

import asyncio
from typing import Any

import msgpack

from lavenderstack.border.target import TargetErrorCode, TargetRefused
from lavenderstack.core.position import Position
from standins import follower
from standins.session import Session
from standins.target_process import CONTROL, TargetProcess

HELLO_TIMEOUT_S = 2.0

_REQUEST = 0
_RESPONSE = 1


class _DropConnection(Exception):
    """The connection must be closed without an answer."""


class TargetSideConn(asyncio.Protocol):
    """One connection; its calls are executed in order, one at a time."""

    def __init__(self, target: TargetProcess) -> None:
        self.group = ""
        self.silent = False
        self.transport: asyncio.Transport | None = None
        self._target = target
        self._session = Session(target.log)
        self._unpacker = msgpack.Unpacker(strict_map_key=False)
        self._calls: asyncio.Queue = asyncio.Queue()
        self._unanswered = 0
        self._worker: asyncio.Task | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the worker that executes the incoming calls."""
        self.transport = transport  # type: ignore[assignment]
        self._target.conns.add(self)
        self._worker = asyncio.ensure_future(self._execute_calls())

    def connection_lost(self, exc: Exception | None) -> None:
        """Make the worker end after the calls that were read."""
        self._calls.put_nowait(None)

    def stop(self) -> None:
        """Close the connection and drop the calls that were not executed."""
        self._worker.cancel()

    def data_received(self, data: bytes) -> None:
        """Queue the calls; data that is not a call closes the connection."""
        if self.silent:
            return
        self._unpacker.feed(data)
        try:
            for kind, number, method, params in self._unpacker:
                if kind != _REQUEST:
                    raise ValueError("not a request")
                self._queue(number, method, params)
        except (ValueError, TypeError):
            self.transport.abort()

    def _queue(self, number: int, method: str, params: list) -> None:
        if self._unanswered:
            self._target.call_record.overlaps += 1
        self._unanswered += 1
        self._calls.put_nowait((number, method, params))

    async def _execute_calls(self) -> None:
        try:
            call = await self._first_call()
            while call is not None:
                await self._answer(*call)
                call = await self._calls.get()
        except _DropConnection:
            return
        finally:
            self.transport.abort()
            self._target.conns.discard(self)

    async def _first_call(self) -> tuple[int, str, list] | None:
        try:
            async with asyncio.timeout(HELLO_TIMEOUT_S):
                return await self._calls.get()
        except TimeoutError:
            return None

    async def _answer(self, number: int, method: str, params: list) -> None:
        target = self._target
        if self.group != CONTROL:
            target.call_record.record(method, params)
            await target.freeze.wait()
        error = result = None
        try:
            result = await self._call_method(method, params)
        except TargetRefused as exc:
            error = [exc.code, exc.detail]
        except (TypeError, ValueError) as exc:
            error = [TargetErrorCode.STATEMENT_FAILED, f"{method}: {exc}"]
        await self._reply(number, method, error, result)
        self._unanswered -= 1

    async def _reply(self, number: int, method: str, error: Any, result: Any) -> None:
        target = self._target
        if self.group != CONTROL:
            await target.freeze.wait()
            if method in ("run", "commit") and target.lost_answers and not error:
                target.lost_answers -= 1
                raise _DropConnection
        if not self.silent:
            frame = [_RESPONSE, number, error, result]
            self.transport.write(msgpack.packb(frame))
        if error and error[0] == TargetErrorCode.TOO_MANY_CONNECTIONS:
            self.transport.close()

    async def _call_method(self, method: str, params: list) -> list:
        handler = _METHODS.get(method)
        if handler is None or (not self.group and method != "hello"):
            raise TargetRefused(
                TargetErrorCode.STATEMENT_FAILED, f"unknown call: {method}"
            )
        result = await handler(self, *params)
        log = self._target.log
        return [result, log.term, *log.last]

    async def _hello(self, group: str) -> tuple[str, str]:
        if group != CONTROL:
            if self._target.outage.active:
                raise _DropConnection
            await asyncio.sleep(self._target.limits.open_ms / 1000)
        self._target.admit(self, group)
        return await self._state()

    async def _state(self) -> tuple[str, str]:
        return self._target.log.role, self._target.log.primary

    async def _run(
        self, statement: str, args: list, write: bool, term: int, idempotency_key: str
    ) -> Any:
        ms = args[0] if statement == "sleep" else 0
        async with self._target.slot(ms):
            autocommit = self._session.transaction is None
            result = self._session.run(statement, args, write, term, idempotency_key)
            if write and autocommit:
                self._record_write(idempotency_key)
            return result

    async def _begin(self, term: int) -> None:
        self._session.begin(term)

    async def _commit(self, idempotency_key: str) -> None:
        async with self._target.slot(0):
            self._session.commit(idempotency_key)
            self._record_write(idempotency_key)

    def _record_write(self, idempotency_key: str) -> None:
        last: Position = self._target.log.last
        self._target.call_record.written.append((*last, idempotency_key))
        self._target.notify_change()

    async def _rollback(self) -> None:
        self._session.rollback()

    async def _adopt(self, term: int) -> tuple[str, str]:
        self._target.log.adopt(term)
        self._target.stop_following()
        self._target.notify_change()
        return await self._state()

    async def _lead(self, term: int, _followers: list) -> tuple[str, str]:
        self._target.log.lead(term)
        self._target.stop_following()
        self._target.notify_change()
        return await self._state()

    async def _follow(
        self, term: int, primary: str, host: str, port: int
    ) -> tuple[str, str]:
        self._target.log.follow(term, primary)
        self._target.follow(host, port)
        self._target.notify_change()
        return await self._state()

    async def _pull(self, term: int, seq: int, own_term: int) -> tuple[bool, list]:
        after = Position(term, seq)
        if after == self._target.log.last:
            await self._target.wait_for_change()
        pulled = self._target.log.pull(after, own_term)
        return pulled.matched, [
            follower.encode_entry(entry) for entry in pulled.entries
        ]

    async def _fault(self, kind: str, value: float) -> None:
        self._require_control()
        self._target.fault(kind, value)

    async def _seen(self) -> dict[str, Any]:
        self._require_control()
        return self._target.snapshot()

    def _require_control(self) -> None:
        if self.group != CONTROL:
            raise TargetRefused(TargetErrorCode.STATEMENT_FAILED, "for control only")


_METHODS = {
    "hello": TargetSideConn._hello,
    "state": TargetSideConn._state,
    "run": TargetSideConn._run,
    "begin": TargetSideConn._begin,
    "commit": TargetSideConn._commit,
    "rollback": TargetSideConn._rollback,
    "adopt": TargetSideConn._adopt,
    "lead": TargetSideConn._lead,
    "follow": TargetSideConn._follow,
    "pull": TargetSideConn._pull,
    "fault": TargetSideConn._fault,
    "seen": TargetSideConn._seen,
}
