"""Awaits answers on connections in use, then releases or closes the connections.

A connection on which a transaction may still be open is rolled back before it is used
again, or closed.
"""

import asyncio
import math
from collections.abc import Sequence

import structlog

from lavenderstack.core import clock, statement
from lavenderstack.core.messages import Failed, Message
from lavenderstack.core.outcome import Reason
from lavenderstack.core.reply import Reply, TxState
from lavenderstack.core.work_messages import Work, WorkDone
from lavenderstack.node.acknowledged_positions import AcknowledgedPositions
from lavenderstack.node.backend import Command, ConnectionLost
from lavenderstack.node.targets.connection_setup import is_prepared, send_setup
from lavenderstack.node.targets.target_connections import (
    PooledConnection,
    TargetConnections,
)
from lavenderstack.node.targets.target_health import INTERNAL_STATEMENT_TIMEOUT_S

log = structlog.get_logger()

# Errors of a target that guarantee that the statement did not run.
NOT_RUN_REASONS = frozenset(
    {
        Reason.CROWDED,
        Reason.NO_PREPARED,
        Reason.BEHIND,
        Reason.NOT_PRIMARY,
        Reason.WRONG_TARGET,
        Reason.NO_CONNECTION,
        Reason.BAD_REQUEST,
    }
)


def failure(run: bool, reason: Reason, detail: str = "") -> Failed:
    """Return a failure message; ``run`` tells whether the statement may have run."""
    return Failed(run=run, reason=reason, detail=detail)


def replaced_while_committing() -> Failed:
    """Return the outcome of a commit that a promotion may leave out."""
    detail = "the primary is being replaced"
    return failure(True, Reason.OUTCOME_UNKNOWN, detail)


async def acknowledged_result(
    acknowledged: AcknowledgedPositions,
    group: str,
    reply: Reply,
    sent_at: float,
    deadline: float,
) -> Message:
    """Convert the answer to a commit, once it may be acknowledged.

    ``group`` is that of the target, which need not be that of the caller's route any
    more.
    """
    if await acknowledged.record(group, reply.position, sent_at, deadline):
        return work_result(reply)
    return replaced_while_committing()


def work_result(reply: Reply, tx: str = "") -> Message:
    """Convert an answer to a message; ``tx`` names a transaction opened with it."""
    if reply.reason is None:
        return WorkDone(
            rows=reply.rows,
            receipt=reply.receipt,
            position=reply.position,
            state=reply.state,
            tx=tx,
        )
    return failure(reply.reason not in NOT_RUN_REASONS, reply.reason, reply.detail)


class ActiveConnections:
    """Connections of one target that are in use by statements."""

    def __init__(self, connections: TargetConnections) -> None:
        self._connections = connections
        self._tasks: set[asyncio.Task] = set()

    async def answer(
        self, pooled: PooledConnection, fut: asyncio.Future, deadline: float
    ) -> Reply | Failed:
        """Wait for the answer to a statement until ``deadline``, on the clock.

        The connection is closed if the answer doesn't arrive.
        """
        try:
            async with asyncio.timeout(max(0.0, deadline - clock.now())):
                reply = await fut
        except ConnectionLost as exc:
            self._connections.discard(pooled)
            return failure(True, Reason.CONNECTION_LOST, str(exc))
        except TimeoutError:
            self._connections.discard(pooled)
            return failure(
                True, Reason.TIMED_OUT, "no answer before the statement's deadline"
            )
        except asyncio.CancelledError:
            self._connections.discard(pooled)
            raise
        self._connections.record_answer()
        return reply

    async def prepare(
        self, work: Work, pooled: PooledConnection, deadline: float = math.inf
    ) -> Reply | None:
        """Set the work's values and prepared statement on a connection.

        Waits until ``deadline`` at the longest, on the clock. Returns None once the
        target has confirmed them, otherwise its first error. The connection must not be
        used then.
        """
        if is_prepared(work, pooled):
            return None
        try:
            futs = send_setup(work, pooled)
            left_s = min(INTERNAL_STATEMENT_TIMEOUT_S, deadline - clock.now())
            async with asyncio.timeout(max(0.0, left_s)):
                await asyncio.wait(futs)
        except (ConnectionLost, TimeoutError) as exc:
            self._log_discarded(exc)
            return Reply(reason=Reason.CONNECTION_LOST, detail="no answer")
        error = pooled.confirm_setup()
        if error is None:
            self._connections.record_answer()
        else:
            self._log_unprepared(error)
        return error

    async def run_internal(
        self, work: Work, pooled: PooledConnection, commands: Sequence[Command]
    ) -> Reply | None:
        """Prepare a connection for the work and run internal statements on it.

        Returns the last answer, None if one is missing or the target refused what
        prepares the connection.
        """
        try:
            futs = send_setup(work, pooled, commands)
            async with asyncio.timeout(INTERNAL_STATEMENT_TIMEOUT_S):
                reply = await futs[-1]
        except (ConnectionLost, TimeoutError) as exc:
            self._log_discarded(exc)
            return None
        self._connections.record_answer()
        error = pooled.confirm_setup()
        if error is not None:
            self._log_unprepared(error)
            return None
        return reply

    def _log_discarded(self, exc: ConnectionLost | TimeoutError) -> None:
        log.info(
            "executor: connection discarded",
            target=self._connections.target.name,
            error=str(exc) or "no answer",
        )

    def _log_unprepared(self, error: Reply) -> None:
        log.info(
            "executor: connection not prepared",
            target=self._connections.target.name,
            reason=error.reason,
            detail=error.detail,
        )

    def release_clean(self, pooled: PooledConnection, reply: Reply) -> None:
        """Release a connection, first rolling back a transaction that is open on it."""
        if reply.state is TxState.NONE:
            self._connections.release(pooled)
        else:
            self.roll_back_and_release(pooled)

    def roll_back_and_release(self, pooled: PooledConnection) -> None:
        """Roll back any open transaction of a connection, then release it."""
        try:
            futs = pooled.conn.send([Command(statement.ROLLBACK)])
        except ConnectionLost:
            self._connections.discard(pooled)
            return
        self.release_after(pooled, futs[-1])

    def release_after(
        self, pooled: PooledConnection, fut: "asyncio.Future[Reply]"
    ) -> None:
        """Release a connection in the background once its rollback is answered."""
        task = asyncio.ensure_future(self._release_rolled_back(pooled, fut))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _release_rolled_back(
        self, pooled: PooledConnection, fut: "asyncio.Future[Reply]"
    ) -> None:
        try:
            async with asyncio.timeout(INTERNAL_STATEMENT_TIMEOUT_S):
                reply = await fut
        except (ConnectionLost, TimeoutError):
            self._connections.discard(pooled)
            return
        if reply.state is TxState.NONE:
            self._connections.release(pooled)
        else:
            self._connections.discard(pooled)

    def close(self) -> None:
        """Stop waiting for rollbacks."""
        for task in self._tasks:
            task.cancel()
