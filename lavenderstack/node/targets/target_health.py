"""Tracks whether a target is reachable from this node and whether it is the primary.

While a target is unreachable, work for it is refused at once and a reconnect is tried
periodically. To find out whether it is the primary, a transaction is opened and rolled
back: only a primary accepts that, and it needs no slot of the target.
"""

import asyncio

import structlog

from lavenderstack.core import clock, statement
from lavenderstack.core.messages import Failed, Message
from lavenderstack.core.outcome import Reason
from lavenderstack.core.position_history import PositionHistory
from lavenderstack.core.reply import TxState
from lavenderstack.core.view import Target
from lavenderstack.core.work_messages import PrimaryPosition
from lavenderstack.node.backend import Command, ConnectFailed, ConnectionLost
from lavenderstack.node.directory import Directory
from lavenderstack.node.targets.target_connections import (
    PooledConnection,
    TargetConnections,
)

log = structlog.get_logger()

# Internal statements of the service need no slot, so an answer takes one round trip.
INTERNAL_STATEMENT_TIMEOUT_S = 0.25
RECONNECT_INTERVAL_S = 0.4
# A connection may be broken, so a probe without an answer is repeated on another one.
MAX_PROBES = 2


class TargetHealth:
    """Reachability and log positions of one target, as seen from this node.

    ``unreachable_reason`` is empty while the target is reachable. ``positions`` are
    log positions at known times while it was the primary.
    """

    def __init__(
        self, target: Target, connections: TargetConnections, directory: Directory
    ) -> None:
        self.unreachable_reason = ""
        self.positions = PositionHistory()
        self._target = target
        self._connections = connections
        self._directory = directory
        self._reconnecting: asyncio.Task | None = None

    async def primary_position(self, within_s: float) -> Message:
        """Return ``PrimaryPosition``, or ``Failed`` if the target is not the primary.

        Probes the target if its last known position is older than ``within_s`` seconds.
        """
        now = clock.now()
        latest = self.positions.latest()
        if latest is None or now - latest.at > within_s:
            try:
                leads = await self.probe()
            except ConnectFailed as exc:
                return Failed(run=False, reason=exc.reason)
            if not leads:
                return Failed(run=False, reason=Reason.NO_PRIMARY)
            latest = self.positions.latest()
        return PrimaryPosition(latest.position, now - latest.at)

    async def probe(self) -> bool:
        """Return whether the target is the primary.

        If a connection gives no answer, another one is tried once. Raises
        ``ConnectFailed`` if the target has too many connections, or answers statements
        and no new connection: it runs, but whether it is the primary is not known.
        """
        for _ in range(MAX_PROBES):
            pooled = None if self.unreachable_reason else await self._acquire_any()
            if pooled is None:
                return False
            leads = await self._probe_connection(pooled)
            if leads is not None:
                return leads
        return False

    async def _acquire_any(self) -> PooledConnection | None:
        """Return a connection of any organisation, None if the target is unreachable.

        Raises ``ConnectFailed`` if the target runs but accepts no connection.
        """
        pooled = self._connections.take_idle()
        if pooled is not None:
            return pooled
        organisation = next(iter(self._directory.catalog.plans), "")
        try:
            return await self._connections.acquire(organisation, {}, force_new=True)
        except ConnectFailed as exc:
            if exc.reason is Reason.UNREACHABLE:
                self.mark_unreachable(exc.detail)
            elif exc.timed_out or self._connections.refused_recently:
                raise
            return None

    async def _probe_connection(self, pooled: PooledConnection) -> bool | None:
        """Return whether the target is the primary, None if there is no answer."""
        begin = Command(statement.begin(read_only=False))
        asked_at = clock.now()
        try:
            futs = pooled.conn.send([begin, Command(statement.ROLLBACK)])
            async with asyncio.timeout(INTERNAL_STATEMENT_TIMEOUT_S):
                reply = await futs[0]
                ended = await futs[1]
        except (ConnectionLost, TimeoutError):
            self._connections.discard(pooled)
            return None
        except asyncio.CancelledError:
            self._connections.discard(pooled)
            raise
        self._connections.record_answer()
        if ended.state is TxState.NONE:
            self._connections.release(pooled)
        else:
            self._connections.discard(pooled)
        if reply.reason is None:
            self.positions.add(reply.position, asked_at)
            return True
        if reply.reason is Reason.NOT_PRIMARY:
            self._directory.record_not_primary(self._target.name)
        return False

    def mark_unreachable(self, detail: str) -> None:
        """Mark the target unreachable until a connection to it can be opened."""
        if self.unreachable_reason:
            return
        self.unreachable_reason = detail or "no answer"
        log.warning("executor: target lost", target=self._target.name, error=detail)
        # Statements in progress will get no answer, so closing makes them fail now.
        self._connections.close()
        self._reconnecting = asyncio.ensure_future(self._reconnect())

    async def _reconnect(self) -> None:
        """Try to connect until the target answers or is removed."""
        organisation = next(iter(self._directory.catalog.plans), "")
        while self._target.name in self._directory.targets:
            await asyncio.sleep(RECONNECT_INTERVAL_S)
            try:
                pooled = await self._connections.acquire(
                    organisation, {}, force_new=True
                )
            except ConnectFailed:
                continue
            self._connections.release(pooled)
            self.unreachable_reason = ""
            log.info("executor: target reachable again", target=self._target.name)
            return

    def close(self) -> None:
        """Stop reconnecting."""
        if self._reconnecting is not None:
            self._reconnecting.cancel()
