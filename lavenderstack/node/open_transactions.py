"""Transactions that are open at one target through this node.

Each transaction keeps its connection until it ends. Its statements bypass the queue,
because while they waited the transaction would keep its connection and locks.
"""

from dataclasses import dataclass

import structlog

from lavenderstack.core import clock
from lavenderstack.core.messages import Failed, Message
from lavenderstack.core.outcome import Reason
from lavenderstack.core.position_history import PositionHistory
from lavenderstack.core.reply import Reply
from lavenderstack.core.statement import StatementKind
from lavenderstack.core.unique_id import unique_id
from lavenderstack.core.work_messages import Access, EndWork, Work, WorkEnded
from lavenderstack.node.acknowledged_positions import AcknowledgedPositions
from lavenderstack.node.backend import Command, ConnectionLost
from lavenderstack.node.targets.active_connections import (
    NOT_RUN_REASONS,
    ActiveConnections,
    acknowledged_result,
    failure,
    work_result,
)
from lavenderstack.node.targets.connection_setup import send_prepared, target_statement
from lavenderstack.node.targets.slots import Slots
from lavenderstack.node.targets.target_connections import (
    PooledConnection,
    TargetConnections,
)

log = structlog.get_logger()

# The session ends idle transactions. The holder does so this much later, in case the
# session's request was lost.
IDLE_MARGIN_S = 0.5


@dataclass(slots=True)
class _Transaction:
    """An open transaction; a statement of it runs while it is ``busy``."""

    pooled: PooledConnection
    organisation: str
    used_at: float
    busy: bool = False


class OpenTransactions:
    """Open transactions of a target, named ``{node}/{target}/{unique id}``.

    A session may ask for its transaction after this node was restarted, or after the
    target got a new executor, so a name must not be used for a second transaction.
    """

    def __init__(
        self,
        node: str,
        connections: TargetConnections,
        active: ActiveConnections,
        slots: Slots,
        positions: PositionHistory,
        acknowledged: AcknowledgedPositions,
    ) -> None:
        self._prefix = f"{node}/{connections.target.name}"
        self._connections = connections
        self._active = active
        self._slots = slots
        self._positions = positions
        self._acknowledged = acknowledged
        self._open: dict[str, _Transaction] = {}

    def __len__(self) -> int:
        return len(self._open)

    def register(self, work: Work, pooled: PooledConnection, reply: Reply) -> Message:
        """Register a transaction after its first statement, with its connection.

        If that statement failed, the transaction is rolled back instead.
        """
        if reply.reason is not None:
            self._active.roll_back_and_release(pooled)
            return work_result(reply)
        name = f"{self._prefix}/{unique_id()}"
        self._connections.pin(pooled)
        self._open[name] = _Transaction(pooled, work.organisation, clock.now())
        return work_result(reply, name)

    async def run_statement(self, work: Work) -> Message:
        """Run a later statement of an open transaction."""
        tx = self._open.get(work.tx)
        if tx is None or tx.organisation != work.organisation or tx.busy:
            return failure(
                False,
                Reason.TRANSACTION_LOST,
                "the transaction is not open at this node",
            )
        tx.busy = True
        try:
            async with self._slots.acquire_immediately():
                return await self._run_in_slot(work, tx)
        finally:
            tx.busy = False
            tx.used_at = clock.now()

    async def _run_in_slot(self, work: Work, tx: _Transaction) -> Message:
        pooled = tx.pooled
        command = Command(target_statement(work), work.request)
        deadline = clock.now() + work.left_s
        error = await self._active.prepare(work, pooled, deadline)
        if error is not None:
            return self._not_run(work, pooled, error.reason, error.detail)
        if work.tx not in self._open:
            detail = "its session ended it meanwhile"
            return self._not_run(work, pooled, Reason.TRANSACTION_LOST, detail)
        sent_at = clock.now()
        try:
            (fut,) = send_prepared(work, pooled, [command])
        except ConnectionLost as exc:
            return self._not_run(work, pooled, Reason.CONNECTION_LOST, str(exc))
        reply = await self._active.answer(pooled, fut, deadline)
        if isinstance(reply, Failed):
            self._remove(work.tx)
            return reply
        if work.statement.kind is StatementKind.COMMIT:
            self._remove(work.tx)
            if reply.reason is None and work.access is Access.WRITE:
                self._positions.add(reply.position, sent_at)
                self._active.release_clean(pooled, reply)
                return await acknowledged_result(
                    self._acknowledged,
                    self._connections.group,
                    reply,
                    sent_at,
                    deadline,
                )
            self._active.release_clean(pooled, reply)
        elif reply.reason is not None or work.tx not in self._open:
            # It failed, or its session ended it meanwhile.
            self._remove(work.tx)
            self._active.roll_back_and_release(pooled)
        return work_result(reply)

    def _not_run(
        self, work: Work, pooled: PooledConnection, reason: Reason, detail: str
    ) -> Failed:
        """End a transaction whose statement wasn't sent; closing rolls it back."""
        self._remove(work.tx)
        self._connections.discard(pooled)
        if reason not in NOT_RUN_REASONS:
            reason = Reason.TRANSACTION_LOST
        return failure(False, reason, detail)

    def _remove(self, name: str) -> None:
        self._open.pop(name, None)

    def end(self, msg: EndWork) -> Message:
        """Roll back a transaction at the request of its session.

        While a statement of it runs the connection belongs to that one, which rolls
        back once it is answered.
        """
        tx = self._open.pop(msg.tx, None)
        if tx is not None and not tx.busy:
            self._active.roll_back_and_release(tx.pooled)
        return WorkEnded()

    def end_idle(self) -> int:
        """Roll back the transactions in which no statement runs; return how many."""
        idle = [name for name, tx in self._open.items() if not tx.busy]
        for name in idle:
            self.end(EndWork(name))
        return len(idle)

    def sweep(self, now: float, idle_s: float) -> None:
        """End transactions idle for over ``idle_s`` plus ``IDLE_MARGIN_S`` seconds."""
        max_idle_s = idle_s + IDLE_MARGIN_S
        for name, tx in list(self._open.items()):
            if not tx.busy and now - tx.used_at > max_idle_s:
                log.info("executor: idle transaction ended", tx=name)
                self._remove(name)
                self._active.roll_back_and_release(tx.pooled)
