"""Begins the transaction that a statement needs, or probes its connection."""

import asyncio
from collections.abc import Callable

from lavenderstack.core import clock, statement
from lavenderstack.core.outcome import Refused
from lavenderstack.core.position import START, Position
from lavenderstack.core.position_history import PositionHistory
from lavenderstack.core.reply import TxState
from lavenderstack.core.statement import StatementKind
from lavenderstack.core.work_messages import Access, TransactionStart, Work
from lavenderstack.node.backend import Command
from lavenderstack.node.targets.active_connections import (
    NOT_RUN_REASONS,
    ActiveConnections,
)
from lavenderstack.node.targets.allocated_connections import AllocatedConnections
from lavenderstack.node.targets.target_connections import PooledConnection

# A connection that was idle for longer is probed before a write is sent on it, since a
# write that gets no answer can't be retried.
MAX_UNPROBED_IDLE_S = 1.0


def time_limit(deadline: float) -> asyncio.Timeout:
    """Return a context that raises ``TimeoutError`` at a time on the clock."""
    return asyncio.timeout(max(0.0, deadline - clock.now()))


class TransactionOpening:
    """Prepares connections of one target for the statements that follow.

    ``require_allowed`` raises ``Refused`` for work that may not be sent any more.
    ``positions`` gets the positions that the target's answers prove.
    """

    def __init__(
        self,
        connections: AllocatedConnections,
        active: ActiveConnections,
        positions: PositionHistory,
        require_allowed: Callable[[Work], None],
    ) -> None:
        self._connections = connections
        self._active = active
        self._positions = positions
        self._require_allowed = require_allowed

    async def open_in_time(
        self,
        work: Work,
        pooled: PooledConnection,
        min_position: Position,
        deadline: float,
    ) -> bool:
        """Prepare the connection; return False if the target gave no answer.

        Raises ``Refused`` if the target refuses the transaction or may not be used any
        more, and ``TimeoutError`` at the deadline.
        """
        async with time_limit(deadline):
            try:
                return await self._open(work, pooled, min_position)
            except asyncio.CancelledError:
                self._connections.discard(pooled)
                raise

    async def _open(
        self, work: Work, pooled: PooledConnection, min_position: Position
    ) -> bool:
        """Begin a transaction if the work needs one; return False without an answer.

        False also tells that the connection can't be used for the work.

        Before a write on a connection that was idle, probes the connection instead.
        The answer must arrive before the statement is sent: a read after a refused
        BEGIN would run outside any transaction, where nothing proves that the target
        is the primary. The same goes for what sets the session's values.
        """
        self._require_allowed(work)
        proves_primary = work.access is Access.CURRENT_READ and not work.opens
        if proves_primary or work.opens:
            read_only = work.opens is TransactionStart.READ_ONLY
            required = min_position if read_only else START
            commands = [Command(statement.begin(read_only), min_position=required)]
        elif (
            work.access is Access.WRITE
            and clock.now() - pooled.used_at > MAX_UNPROBED_IDLE_S
        ):
            commands = [
                Command(statement.begin(read_only=False)),
                Command(statement.ROLLBACK),
            ]
        else:
            error = await self._active.prepare(work, pooled)
            if error is None:
                return True
            if error.reason in NOT_RUN_REASONS:
                raise Refused(error.reason, error.detail)
            return False
        asked_at = clock.now()
        reply = await self._active.run_internal(work, pooled, commands)
        if reply is None:
            return False
        if commands[-1].statement.kind is StatementKind.ROLLBACK:
            return reply.state is TxState.NONE
        if reply.reason is not None:
            raise Refused(reply.reason, reply.detail)
        if not work.opens or work.opens is TransactionStart.READ_WRITE:
            self._positions.add(reply.position, asked_at)
        return True
