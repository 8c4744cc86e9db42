"""The pool of connections that a holder keeps to its target.

A connection serves one statement or one transaction at a time. A connection whose
state is uncertain is closed and never used again. Idle connections stay open, since
opening one takes longer than a statement.
"""

from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from lavenderstack.border.target import (
    TargetConn,
    TargetLost,
    TargetRefused,
    TargetUnreachable,
    connect,
)
from lavenderstack.core import clock
from lavenderstack.core.view import Target

CONNECT_TIMEOUT_S = 1.0
IDLE_CLOSE_S = 60.0
CHECK_AFTER_S = 1.0
CHECK_TIMEOUT_S = 0.3
# Part of the target's connection limit that is left for probes and control commands.
CONTROL_CONNECTIONS = 6


class PoolExhausted(Exception):
    """All connections of the pool are in use."""


@dataclass(slots=True)
class _Idle:
    conn: TargetConn
    since: float


@dataclass(slots=True)
class Pool:
    """Connections to one target; at most ``limit`` are open at once."""

    target: Target
    group: str
    limit: int
    in_use: int = 0
    _idle: deque[_Idle] = field(default_factory=deque)
    _closed: bool = False

    async def acquire(self) -> TargetConn:
        """Return a connection for exclusive use, opening one if none is idle.

        Raises ``PoolExhausted``, ``TargetUnreachable`` or ``TargetRefused``; in
        each case nothing was sent to the target on the caller's behalf.
        """
        while self._idle:
            idle = self._idle.pop()
            if await self._is_alive(idle):
                self.in_use += 1
                return idle.conn
        if self.in_use >= self.limit:
            raise PoolExhausted(self.target.name)
        self.in_use += 1
        try:
            target = self.target
            return await connect(
                target.host, target.port, self.group, CONNECT_TIMEOUT_S
            )
        except BaseException:
            self.in_use -= 1
            raise

    async def _is_alive(self, idle: _Idle) -> bool:
        """Return whether an idle connection still works.

        A connection that was unused for ``CHECK_AFTER_S`` is probed first: a network
        device may have dropped its state, and a write sent on it would have an
        unknown outcome. If it does not answer, the connections that were idle for
        longer are probably dead too, so all idle ones are closed.
        """
        conn = idle.conn
        if conn.broken or clock.now() - idle.since < CHECK_AFTER_S:
            return not conn.broken
        try:
            await conn.state(CHECK_TIMEOUT_S)
        except (TargetLost, TargetUnreachable, TargetRefused):
            conn.close()
            self.drop_idle()
            return False
        return True

    def release(self, conn: TargetConn) -> None:
        """Return a connection to the pool; close it unless it may be used again.

        It may not if it is broken or in a transaction, or if the pool is closed:
        nobody acquires or sweeps the idle connections of a closed pool.
        """
        self.in_use -= 1
        if self._closed or conn.broken or conn.in_transaction:
            conn.close()
            return
        self._idle.append(_Idle(conn, clock.now()))

    @asynccontextmanager
    async def connection(self) -> AsyncIterator[TargetConn]:
        """Acquire a connection for the duration of an ``async with`` block."""
        conn = await self.acquire()
        try:
            yield conn
        finally:
            self.release(conn)

    def sweep(self, now: float) -> None:
        """Close idle connections that are broken or idle for ``IDLE_CLOSE_S``."""
        while self._idle and self._should_close(self._idle[0], now):
            self._idle.popleft().conn.close()

    @staticmethod
    def _should_close(idle: _Idle, now: float) -> bool:
        return idle.conn.broken or now - idle.since > IDLE_CLOSE_S

    def drop_idle(self) -> None:
        """Close every idle connection, after one of them did not answer."""
        while self._idle:
            self._idle.pop().conn.close()

    def close(self) -> None:
        """Close idle connections and open no more; close those in use on release."""
        self._closed = True
        self.drop_idle()
        self.limit = 0
