"""The transactions that are open at one target, through this node.

Each keeps its connection until it ends. A statement of one takes no place in the queue:
while it waits it would keep the connection and the locks of its transaction.
"""

from dataclasses import dataclass
from itertools import count

import structlog

from lavenderstack.core import clock
from lavenderstack.core.messages import Failed, Message
from lavenderstack.core.outcome import Reason
from lavenderstack.core.position_history import PositionHistory
from lavenderstack.core.reply import Reply
from lavenderstack.core.statement import Kind
from lavenderstack.core.work_messages import Access, EndWork, Work, WorkEnded
from lavenderstack.node.active_connections import LentConnections, failed, result
from lavenderstack.node.backend import Command, ConnectionLost
from lavenderstack.node.connection_setup import setup, shared
from lavenderstack.node.slots import Slots
from lavenderstack.node.target_connections import Held, TargetConnections

log = structlog.get_logger()

# The session ends a transaction that rests too long; this is the backstop after it.
TX_ENDS_AFTER_IDLE_S = 0.5


@dataclass(slots=True)
class _Transaction:
    held: Held
    organisation: str
    used_at: float
    busy: bool = False


class OpenTransactions:
    """The open transactions of a target; ``node`` and the target name them."""

    def __init__(
        self,
        node: str,
        connections: TargetConnections,
        lent: LentConnections,
        slots: Slots,
        positions: PositionHistory,
    ) -> None:
        self._prefix = f"{node}/{connections.target.name}"
        self._connections = connections
        self._lent = lent
        self._slots = slots
        self._marks = positions
        self._open: dict[str, _Transaction] = {}
        self._numbers = count(1)

    def __len__(self) -> int:
        return len(self._open)

    def keep(self, work: Work, held: Held, reply: Reply) -> Message:
        """Keep the connection for the transaction, or end it if its first failed."""
        if reply.reason is not None:
            self._lent.abandon(held)
            return result(reply)
        name = f"{self._prefix}/{next(self._numbers)}"
        self._open[name] = _Transaction(held, work.organisation, clock.now())
        return result(reply, name)

    async def step(self, work: Work) -> Message:
        """Run a statement of an open transaction."""
        tx = self._open.get(work.tx)
        if tx is None or tx.organisation != work.organisation or tx.busy:
            return failed(False, Reason.TRANSACTION_LOST, "not open here")
        tx.busy = True
        try:
            async with self._slots.acquire_immediately():
                return await self._step_in_slot(work, tx)
        finally:
            tx.busy = False
            tx.used_at = clock.now()

    async def _step_in_slot(self, work: Work, tx: _Transaction) -> Message:
        held = tx.held
        commands = setup(work, held)
        at = len(commands)
        commands.append(Command(shared(work), work.request))
        sent_at = clock.now()
        try:
            futs = held.conn.send(commands)
        except ConnectionLost as exc:
            self._forget(work.tx)
            self._connections.discard(held)
            return failed(False, Reason.TRANSACTION_LOST, str(exc))
        reply = await self._lent.answer(held, futs[at], sent_at + work.left_s)
        if isinstance(reply, Failed):
            self._forget(work.tx)
            return reply
        if work.statement.kind is Kind.COMMIT:
            self._forget(work.tx)
            if reply.reason is None and work.access is Access.WRITE:
                self._marks.add(reply.position, sent_at)
            self._lent.give_back_clean(held, reply)
        elif reply.reason is not None:
            self._forget(work.tx)
            self._lent.abandon(held)
        return result(reply)

    def _forget(self, name: str) -> None:
        self._open.pop(name, None)

    def end(self, msg: EndWork) -> Message:
        """Roll back a transaction that its session has given up."""
        tx = self._open.pop(msg.tx, None)
        if tx is not None:
            self._lent.abandon(tx.held)
        return WorkEnded()

    def sweep(self, now: float, idle_s: float) -> None:
        """End transactions that have rested for longer than ``idle_s`` and a little."""
        longest_s = idle_s + TX_ENDS_AFTER_IDLE_S
        for name, tx in list(self._open.items()):
            if not tx.busy and now - tx.used_at > longest_s:
                log.info("executor: idle transaction ended", tx=name)
                self._forget(name)
                self._lent.abandon(tx.held)
