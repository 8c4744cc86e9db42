"""Runs statements on one target, for this node's callers and for those of others.

The node that does this for a target holds its connections and its queue. What a
statement needs is looked at again at the moment of sending, since it may have waited:
that its key is still in force, and which position an aged read must see.

A failure says whether the statement may have run. Until its own bytes have left, it
has not, whatever happened to the statements of the service that went before it.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable

import structlog

from lavenderstack.core import clock, statement
from lavenderstack.core.catalog import TargetState
from lavenderstack.core.messages import Failed, Message
from lavenderstack.core.outcome import Reason, Refused
from lavenderstack.core.position import START, Position
from lavenderstack.core.position_history import PositionHistory
from lavenderstack.core.queue_load import refusal_retry_after_s
from lavenderstack.core.reply import TxState
from lavenderstack.core.statement import Kind
from lavenderstack.core.work_messages import (
    Access,
    Opens,
    Work,
)
from lavenderstack.node.active_connections import LentConnections, failed, result
from lavenderstack.node.backend import (
    Backend,
    Command,
    ConnectFailed,
    ConnectionLost,
)
from lavenderstack.node.connection_setup import setup, shared
from lavenderstack.node.directory import Directory
from lavenderstack.node.open_transactions import OpenTransactions
from lavenderstack.node.slots import Slots
from lavenderstack.node.target_connections import Held, TargetConnections
from lavenderstack.node.target_health import TargetReach

log = structlog.get_logger()

# A connection that was idle for longer is asked before a write is trusted to it.
TRUSTED_IDLE_S = 1.0
LONGEST_QUEUE = 400
# Routes of this priority or a higher one (0 is the highest) get more of the slots.
URGENT = 1
URGENT_WEIGHT = 4.0

LeastFor = Callable[[str, float, float, float], Awaitable[Position]]


class TargetExecutor:
    """The queue, connections and open transactions of one target."""

    def __init__(
        self,
        state: TargetState,
        directory: Directory,
        backend: Backend,
        min_position_for: LeastFor,
    ) -> None:
        self.target = state.target
        self.group = state.group
        self.slots = Slots(state.target.slots)
        self.connections = TargetConnections(
            backend, state.target, state.group, state.target.connections
        )
        self._directory = directory
        self._least_for = min_position_for
        self.reach = TargetReach(state.target, self.connections, directory)
        self._lent = LentConnections(self.connections)
        self.transactions = OpenTransactions(
            directory.name,
            self.connections,
            self._lent,
            self.slots,
            self.reach.positions,
        )

    def follow(self, state: TargetState) -> bool:
        """Take over changed limits; False if the target has moved."""
        before, now = self.target, state.target
        if now is before:
            return True
        if (before.host, before.port) != (now.host, now.port):
            return False
        self.target = now
        self.slots.resize(now.slots)
        self.connections.allow(now.connections)
        return True

    @property
    def positions(self) -> PositionHistory:
        """Return how far the target's log went while it led."""
        return self.reach.positions

    def _refusal(self, work: Work) -> Failed | None:
        """Return why the work may not be sent to the target now, or None."""
        known = self._directory.is_work_allowed(
            work.organisation, work.key_digest, work.version, clock.now()
        )
        if known:
            return None
        holds = self._directory.proof.holds(clock.now())
        reason = Reason.KEY_REFUSED if holds else Reason.STALE_VIEW
        return failed(False, reason)

    async def run(self, work: Work) -> Message:
        """Run one statement; answer with ``WorkDone`` or ``Failed``."""
        refusal = self._refusal(work)
        if refusal is not None:
            return refusal
        if work.tx:
            return await self.transactions.step(work)
        if self.reach.lost:
            return failed(False, Reason.UNREACHABLE, self.reach.lost)
        deadline = clock.now() + work.left_s
        retry_s = refusal_retry_after_s(
            self.slots.queue_load(work.organisation),
            work.latency_goal_left_s if work.latency_goal_s else work.left_s,
            work.latency_goal_s,
            work.left_s,
        )
        if retry_s is not None:
            return Failed(
                run=False,
                reason=Reason.CROWDED,
                detail="the queue is too long for an answer in time",
                retry_after_s=retry_s * random.uniform(1.0, 1.5),
            )
        weight = URGENT_WEIGHT if work.priority <= URGENT else 1.0
        try:
            # The age of a read counts from its arrival, so that waiting for a slot
            # makes it no older; and waiting for a mark must not keep a slot.
            min_position = await self._least(work)
            async with self.slots.acquire(
                work.organisation, weight, deadline, LONGEST_QUEUE
            ):
                return await self._run_in_slot(work, min_position, deadline)
        except Refused as exc:
            return Failed(
                run=False,
                reason=exc.reason,
                detail=exc.detail,
                retry_after_s=exc.retry_after_s,
            )

    def note_failed(self, work: Work, failed: Failed) -> None:
        """Write down why work was not done here."""
        log.info(
            "executor: work failed",
            request=work.request,
            organisation=work.organisation,
            target=self.target.name,
            run=failed.run,
            reason=failed.reason,
            detail=failed.detail,
            queue=len(self.slots.queue),
            min_position=list(work.min_position),
        )

    async def _least(self, work: Work) -> Position:
        """Return the position that the target's log must hold for this work."""
        if work.access is not Access.AGED_READ:
            return START
        aged = await self._least_for(
            work.group, work.max_age_s, clock.now(), work.patience_s
        )
        return max(aged, work.min_position)

    async def _run_in_slot(
        self, work: Work, min_position: Position, deadline: float
    ) -> Message:
        for fresh in (False, True):
            if self.reach.lost:
                return failed(False, Reason.UNREACHABLE, self.reach.lost)
            try:
                held = await self.connections.lend(
                    work.organisation, work.values, fresh
                )
            except ConnectFailed as exc:
                if exc.reason is Reason.UNREACHABLE:
                    self.reach.note_lost(exc.detail)
                return failed(False, exc.reason, exc.detail)
            try:
                if not await self._open_transaction(work, held, min_position):
                    # The connection was lost or silent before anything of the
                    # caller's was sent; others that have been idle may be, too.
                    self.connections.discard(held)
                    continue
            except Refused as exc:
                self.connections.give_back(held)
                return failed(False, exc.reason, exc.detail)
            except asyncio.CancelledError:
                self.connections.discard(held)
                raise
            return await self._send(work, held, min_position, deadline)
        return failed(False, Reason.UNREACHABLE, "no answer on a new connection")

    async def _open_transaction(
        self, work: Work, held: Held, min_position: Position
    ) -> bool:
        """Begin a transaction where the work needs one; False if there's no answer.

        The answer is waited for: a read that followed a refused begin would run
        outside of any transaction, where nothing proves that the target leads.
        """
        guarded = work.access is Access.CURRENT_READ and not work.opens
        if guarded or work.opens:
            read_only = work.opens is Opens.READ_ONLY
            commands = setup(work, held)
            wanted = min_position if read_only else START
            commands.append(Command(statement.begin(read_only), min_position=wanted))
        elif (
            work.access is Access.WRITE and clock.now() - held.used_at > TRUSTED_IDLE_S
        ):
            commands = [
                Command(statement.begin(read_only=False)),
                Command(statement.ROLLBACK),
            ]
        else:
            return True
        asked_at = clock.now()
        reply = await self._lent.own(held, commands)
        if reply is None:
            return False
        if commands[-1].statement.kind is Kind.ROLLBACK:
            return True
        if reply.reason is not None:
            raise Refused(reply.reason, reply.detail)
        if not work.opens or work.opens is Opens.TRANSACTION:
            self.positions.add(reply.position, asked_at)
        return True

    async def _send(
        self, work: Work, held: Held, min_position: Position, deadline: float
    ) -> Message:
        """Send the caller's statement on a connection that is ready for it."""
        refusal = self._refusal(work)
        if refusal is not None:
            self._lent.abandon(held)
            return refusal
        commands = setup(work, held)
        at = len(commands)
        wanted = (
            min_position
            if work.access is Access.AGED_READ and not work.opens
            else START
        )
        commands.append(Command(shared(work), work.request, wanted))
        guarded = work.access is Access.CURRENT_READ and not work.opens
        if guarded:
            commands.append(Command(statement.ROLLBACK))
        sent_at = clock.now()
        try:
            futs = held.conn.send(commands)
        except ConnectionLost as exc:
            self.connections.discard(held)
            return failed(False, Reason.UNREACHABLE, str(exc))
        reply = await self._lent.answer(held, futs[at], deadline)
        if isinstance(reply, Failed):
            return reply
        if guarded:
            self._lent.give_back_after(held, futs[-1])
            reply.state = TxState.NONE
            return result(reply)
        if reply.reason is None and work.access is Access.WRITE and not work.opens:
            self.positions.add(reply.position, sent_at)
        if work.opens and reply.state is not TxState.NONE:
            return self.transactions.keep(work, held, reply)
        if reply.reason is Reason.NO_PREPARED and work.prepared is not None:
            held.prepared.discard(work.prepared.shared_name)
        self._lent.give_back_clean(held, reply)
        return result(reply)

    def sweep(self, now: float, first_choice: bool) -> None:
        """End transactions that rest too long; close what this node need not hold."""
        self.transactions.sweep(now, self._directory.catalog.tx_idle_s)
        self.connections.let_go(first_choice)

    def close(self) -> None:
        """Give everything up."""
        self._lent.close()
        self.reach.close()
        self.connections.close()
