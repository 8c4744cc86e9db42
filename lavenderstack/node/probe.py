"""Questions to a target about its term and position, asked once for many.

Everyone who waits while a question is in flight shares the next one, so the number
of questions doesn't grow with the number of those who ask. An answer counts only
for those who asked before the question was sent.
"""

import asyncio

from lavenderstack.border.target import State, TargetConn, connect
from lavenderstack.core.view import Target

QUESTION_TIMEOUT_S = 1.0


class Probe:
    """Asks one target for its state over a connection of its own."""

    def __init__(self, target: Target, group: str) -> None:
        self._target = target
        self._group = group
        self._conn: TargetConn | None = None
        self._running: asyncio.Task[State] | None = None
        self._queued: asyncio.Task[State] | None = None

    async def ask(self) -> State:
        """Return a state that the target told after this call was made.

        Raises ``TargetUnreachable``, ``TargetLost`` or ``TargetRefused``.
        """
        if self._running is None:
            self._running = asyncio.create_task(self._question())
            return await asyncio.shield(self._running)
        if self._queued is None:
            self._queued = asyncio.create_task(self._next(self._running))
        return await asyncio.shield(self._queued)

    async def _next(self, running: asyncio.Task[State]) -> State:
        await asyncio.wait({running})
        self._running, self._queued = self._queued, None
        return await self._question()

    async def _question(self) -> State:
        try:
            if self._conn is None or self._conn.broken:
                self._conn = await self._connect()
            return await self._conn.state(QUESTION_TIMEOUT_S)
        finally:
            if self._running is asyncio.current_task() and self._queued is None:
                self._running = None

    async def _connect(self) -> TargetConn:
        target = self._target
        return await connect(target.host, target.port, self._group, QUESTION_TIMEOUT_S)

    def close(self) -> None:
        """Close the connection."""
        if self._conn is not None:
            self._conn.close()
