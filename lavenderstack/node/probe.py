"""Queries a target's term and position and shares each reply among many callers.

All callers that arrive while a query is in flight share the next one, so the number
of queries doesn't grow with the number of callers. A reply counts only for callers
that arrived before its query was sent.
"""

import asyncio

from lavenderstack.border.target import TargetConn, TargetStatus, connect
from lavenderstack.core.view import Target

QUERY_TIMEOUT_S = 1.0


class TargetProbe:
    """Queries the state of one target over a dedicated connection."""

    def __init__(self, target: Target, group: str) -> None:
        self._target = target
        self._group = group
        self._conn: TargetConn | None = None
        self._closed = False
        self._running: asyncio.Task[TargetStatus] | None = None
        self._queued: asyncio.Task[TargetStatus] | None = None

    async def query(self) -> TargetStatus:
        """Return a state that the target reported after this call was made.

        Raises ``TargetUnreachable``, ``TargetLost`` or ``TargetRefused``.
        """
        if self._running is None:
            self._running = asyncio.create_task(self._query())
            return await asyncio.shield(self._running)
        if self._queued is None:
            self._queued = asyncio.create_task(self._query_after(self._running))
        return await asyncio.shield(self._queued)

    async def _query_after(self, running: asyncio.Task[TargetStatus]) -> TargetStatus:
        await asyncio.wait({running})
        self._running, self._queued = self._queued, None
        return await self._query()

    async def _query(self) -> TargetStatus:
        try:
            if self._conn is None or self._conn.broken:
                self._conn = await self._connect()
            return await self._conn.state(QUERY_TIMEOUT_S)
        finally:
            if self._closed:
                self._close_conn()
            if self._running is asyncio.current_task() and self._queued is None:
                self._running = None

    async def _connect(self) -> TargetConn:
        target = self._target
        return await connect(target.host, target.port, self._group, QUERY_TIMEOUT_S)

    def close(self) -> None:
        """Close the dedicated connection; a later query opens one for itself only."""
        self._closed = True
        self._close_conn()

    def _close_conn(self) -> None:
        if self._conn is not None:
            self._conn.close()
