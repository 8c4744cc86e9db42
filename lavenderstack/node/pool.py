"""The connections that a holder keeps to its target.

A connection is lent to one statement or one transaction at a time. One about whose
state there is any doubt is closed, never used again. Some are kept open, since
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
CONTROL_CONNECTIONS = 6


class PoolExhausted(Exception):
    """Every connection of the pool is lent."""


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
    lent: int = 0
    _idle: deque[_Idle] = field(default_factory=deque)

    async def acquire(self) -> TargetConn:
        """Lend a connection, opening one if none is idle.

        Raises ``PoolExhausted``, ``TargetUnreachable`` or ``TargetRefused``; in
        each case nothing was sent to the target on the caller's behalf.
        """
        while self._idle:
            idle = self._idle.pop()
            if await self._answers(idle):
                self.lent += 1
                return idle.conn
        if self.lent >= self.limit:
            raise PoolExhausted(self.target.name)
        self.lent += 1
        try:
            target = self.target
            return await connect(
                target.host, target.port, self.group, CONNECT_TIMEOUT_S
            )
        except BaseException:
            self.lent -= 1
            raise

    async def _answers(self, idle: _Idle) -> bool:
        """Tell whether an idle connection still works.

        One that was unused for a while is asked first: something between the two
        ends may have lost track of it, and a write sent on it would have an unknown
        outcome. If it is silent, so may be all that have been idle for longer.
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

    def give_back(self, conn: TargetConn) -> None:
        """Take a connection back; a broken one, or one in a transaction, is closed."""
        self.lent -= 1
        if conn.broken or conn.in_transaction:
            conn.close()
            return
        self._idle.append(_Idle(conn, clock.now()))

    @asynccontextmanager
    async def lease(self) -> AsyncIterator[TargetConn]:
        """Lend a connection for the length of a block."""
        conn = await self.acquire()
        try:
            yield conn
        finally:
            self.give_back(conn)

    def sweep(self, now: float) -> None:
        """Close connections that are broken or have been idle for long."""
        while self._idle and self._is_done(self._idle[0], now):
            self._idle.popleft().conn.close()

    @staticmethod
    def _is_done(idle: _Idle, now: float) -> bool:
        return idle.conn.broken or now - idle.since > IDLE_CLOSE_S

    def drop_idle(self) -> None:
        """Close every idle connection, after one of them was found to be silent."""
        while self._idle:
            self._idle.pop().conn.close()

    def close(self) -> None:
        """Close what is idle; lent connections are closed by their borrowers."""
        self.drop_idle()
        self.limit = 0
