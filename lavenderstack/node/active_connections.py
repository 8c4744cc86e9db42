"""What the answer to a statement means, and what becomes of its connection.

A connection on which something may still be under way is rolled back before it is lent
again, or closed.
"""

import asyncio
from collections.abc import Sequence

import structlog

from lavenderstack.core import clock, statement
from lavenderstack.core.messages import Failed, Message
from lavenderstack.core.outcome import Reason
from lavenderstack.core.reply import Reply, TxState
from lavenderstack.core.work_messages import WorkDone
from lavenderstack.node.backend import Command, ConnectionLost
from lavenderstack.node.target_connections import Held, TargetConnections
from lavenderstack.node.target_health import OWN_STATEMENT_TIMEOUT_S

log = structlog.get_logger()

# Errors of a target by which it promises that the statement did not run.
NOT_RUN = frozenset(
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


def failed(run: bool, reason: Reason, detail: str = "") -> Failed:
    """Return a failure; ``run`` tells whether the statement may have run."""
    return Failed(run=run, reason=reason, detail=detail)


def result(reply: Reply, tx: str = "") -> Message:
    """Turn an answer into a message; ``tx`` names a transaction opened with it."""
    if reply.reason is None:
        return WorkDone(
            rows=reply.rows,
            receipt=reply.receipt,
            position=reply.position,
            state=reply.state,
            tx=tx,
        )
    return failed(reply.reason not in NOT_RUN, reply.reason, reply.detail)


class LentConnections:
    """The connections of one target while statements run on them."""

    def __init__(self, connections: TargetConnections) -> None:
        self._connections = connections
        self._tasks: set[asyncio.Task] = set()

    async def answer(
        self, held: Held, fut: asyncio.Future, deadline: float
    ) -> Reply | Failed:
        """Wait for the answer to a statement that has been sent."""
        try:
            async with asyncio.timeout(max(0.0, deadline - clock.now())):
                return await fut
        except ConnectionLost as exc:
            self._connections.discard(held)
            return failed(True, Reason.CONNECTION_LOST, str(exc))
        except TimeoutError:
            self._connections.discard(held)
            return failed(True, Reason.TIMED_OUT, "no answer in the statement's time")
        except asyncio.CancelledError:
            self._connections.discard(held)
            raise

    async def own(self, held: Held, commands: Sequence[Command]) -> Reply | None:
        """Send statements of the service; return the last answer, None if lost."""
        try:
            futs = held.conn.send(commands)
            async with asyncio.timeout(OWN_STATEMENT_TIMEOUT_S):
                reply = await futs[-1]
        except (ConnectionLost, TimeoutError) as exc:
            log.info(
                "executor: connection discarded",
                target=self._connections.target.name,
                error=str(exc) or "no answer",
            )
            return None
        return reply

    def give_back_clean(self, held: Held, reply: Reply) -> None:
        """Take a connection back, rolling back what is still open on it."""
        if reply.state is TxState.NONE:
            self._connections.give_back(held)
        else:
            self.abandon(held)

    def abandon(self, held: Held) -> None:
        """Roll back whatever is open on a connection, then take it back."""
        try:
            futs = held.conn.send([Command(statement.ROLLBACK)])
        except ConnectionLost:
            self._connections.discard(held)
            return
        self.give_back_after(held, futs[-1])

    def give_back_after(self, held: Held, fut: "asyncio.Future[Reply]") -> None:
        """Take a connection back once its rollback is answered."""
        task = asyncio.ensure_future(self._rolled_back(held, fut))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _rolled_back(self, held: Held, fut: "asyncio.Future[Reply]") -> None:
        try:
            async with asyncio.timeout(OWN_STATEMENT_TIMEOUT_S):
                reply = await fut
        except (ConnectionLost, TimeoutError):
            self._connections.discard(held)
            return
        if reply.state is TxState.NONE:
            self._connections.give_back(held)
        else:
            self._connections.discard(held)

    def close(self) -> None:
        """Wait for no rollback any more."""
        for task in self._tasks:
            task.cancel()
