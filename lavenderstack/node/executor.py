"""Runs statements on one target, for callers of this node and of other nodes.

The node that does this for a target is its connection holder and keeps its queue. A
statement may wait in the queue, so just before it is sent the executor checks again
that it may be (``node/work_guard.py``).

A failure says whether the statement may have run. It has not run before its own bytes
were sent, even if internal statements of the service were sent before it.
"""

import random
from collections.abc import Awaitable, Callable
from contextlib import (
    AbstractAsyncContextManager,
    AbstractContextManager,
    nullcontext,
)

import structlog

from lavenderstack.core import clock, statement
from lavenderstack.core.catalog import TargetState
from lavenderstack.core.messages import Failed, Message, refusal_of
from lavenderstack.core.outcome import Reason, Refused
from lavenderstack.core.position import START, Position
from lavenderstack.core.position_history import PositionHistory
from lavenderstack.core.queue.queue_load import refusal_retry_after_s
from lavenderstack.core.reply import TxState
from lavenderstack.core.work_messages import (
    Access,
    Work,
)
from lavenderstack.node.acknowledged_positions import AcknowledgedPositions
from lavenderstack.node.backend import (
    Backend,
    Command,
    ConnectFailed,
    ConnectionLost,
)
from lavenderstack.node.directory import Directory
from lavenderstack.node.evacuation.evacuation_guard import EvacuationGuard
from lavenderstack.node.load_control import TargetLoadControl
from lavenderstack.node.load_reports import LoadReports
from lavenderstack.node.open_transactions import OpenTransactions
from lavenderstack.node.targets.active_connections import (
    ActiveConnections,
    acknowledged_result,
    failure,
    work_result,
)
from lavenderstack.node.targets.allocated_connections import AllocatedConnections
from lavenderstack.node.targets.cold_target import ColdTarget, failed
from lavenderstack.node.targets.connection_setup import send_prepared, target_statement
from lavenderstack.node.targets.slots import Slots
from lavenderstack.node.targets.slow_start import SlowStart
from lavenderstack.node.targets.target_concurrency import (
    TargetConcurrency,
    is_completion,
)
from lavenderstack.node.targets.target_connections import PooledConnection
from lavenderstack.node.targets.target_health import TargetHealth
from lavenderstack.node.transaction_opening import TransactionOpening, time_limit
from lavenderstack.node.work_guard import WorkGuard

log = structlog.get_logger()

# Statements that may wait for a slot of one target.
MAX_QUEUED = 400
# Routes of this priority or a higher one (0 is the highest) get a larger share of the
# slots.
URGENT_PRIORITY = 1
URGENT_WEIGHT = 4.0

MinPositionFor = Callable[[str, float, float, float], Awaitable[Position]]


class TargetExecutor:
    """The queue, connections and open transactions of one target."""

    def __init__(
        self,
        state: TargetState,
        directory: Directory,
        backend: Backend,
        min_position_for: MinPositionFor,
        acknowledged: AcknowledgedPositions,
        cold: ColdTarget,
    ) -> None:
        self.target = state.target
        self.group = state.group
        self._first_choice = False
        self._slow_start = SlowStart(directory)
        self.slots = Slots(self._slow_start.slots(state, clock.now()))
        self.connections = AllocatedConnections(backend, state.target, state.group)
        self._directory = directory
        self.load_control = TargetLoadControl(state.target.name, self.slots, directory)
        self.load_reports = LoadReports(directory, self.slots, self.load_control)
        self.concurrency = TargetConcurrency(state, self.slots, directory)
        self._min_position_for = min_position_for
        self._acknowledged = acknowledged
        self.health = TargetHealth(state.target, self.connections, directory)
        self._active = ActiveConnections(self.connections)
        self.transactions = OpenTransactions(
            directory.name,
            self.connections,
            self._active,
            self.slots,
            self.health.positions,
            acknowledged,
        )
        self._evacuation = EvacuationGuard(
            directory, self.connections, self.transactions
        )
        self._cold = cold
        self._cold.connections = self.connections
        self._guard = WorkGuard(
            lambda: self.target, directory, self._evacuation, self._cold
        )
        self._opening = TransactionOpening(
            self.connections,
            self._active,
            self.health.positions,
            self._guard.require_allowed,
        )
        # Whether another executor has replaced this one, or the target has left.
        self.retired = False
        # Whether work was limited when it last arrived.
        self._limited = False

    def update_state(self, state: TargetState) -> bool:
        """Apply changed limits of the target; return False if its address changed."""
        before, now = self.target, state.target
        if now is before:
            return True
        if (before.host, before.port) != (now.host, now.port):
            return False
        self.target = now
        self._apply_slots(clock.now())
        self._apply_connection_limits()
        return True

    def _apply_slots(self, now: float) -> None:
        """Apply the target's slots, or fewer for a while after it was out of use."""
        state = self._directory.targets.get(self.target.name)
        if state is None:
            return
        available = self._slow_start.slots(state, now)
        self.concurrency.resize(state.target.slots, available)

    def set_first_choice(self, first_choice: bool) -> None:
        """Record whether this node is the target's first choice as its holder."""
        self._first_choice = first_choice
        self._apply_connection_limits()

    def _apply_connection_limits(self) -> None:
        self.connections.set_load_control(
            self._directory.is_load_controlled(self.group)
        )
        self.connections.apply_limits(
            self.target, self._first_choice, self._directory.proof.age_s(clock.now())
        )

    @property
    def positions(self) -> PositionHistory:
        """Positions of the target's log at known times while it was the primary."""
        return self.health.positions

    @property
    def in_use(self) -> bool:
        """Whether a statement has, or waits for, one of the connections."""
        return bool(self.connections.in_use or self.slots.waiting)

    def expected(self, work: Work) -> AbstractContextManager[None]:
        """Count the work as one that will need a connection, while it waits and runs.

        A statement of an open transaction has its connection already.
        """
        if work.tx:
            return nullcontext()
        return self.connections.expected(work.organisation)

    async def run(self, work: Work) -> Message:
        """Run one statement; answer with ``WorkDone`` or ``Failed``."""
        refusal = self._guard.refusal(work)
        if refusal is not None:
            return refusal
        now = clock.now()
        limited = self._cold.limit(now) is not None
        if limited != self._limited:
            self._limited = limited
            self._apply_slots(now)
        if not limited:
            return await self._run_permitted(work)
        try:
            async with self._cold.permit(work) as permitted:
                refusal = (
                    self._guard.refusal_to_send(permitted) if permitted.tx else None
                )
                return refusal or await self._run_permitted(permitted)
        except Refused as exc:
            return failed(work, exc)

    async def _run_permitted(self, work: Work) -> Message:
        """Run a statement that the target may get now, as far as is known."""
        if work.tx:
            return await self.transactions.run_statement(work)
        if self.health.unreachable_reason:
            return failure(False, Reason.UNREACHABLE, self.health.unreachable_reason)
        deadline = clock.now() + work.left_s
        try:
            if work.opens:
                self.connections.check_transaction(work.organisation)
            slot = self._slot(work, deadline)
            # The position is determined before a slot is taken: the age of a read
            # counts from its arrival, and waiting for a position must not use a slot.
            min_position = await self._min_position(work)
            async with slot:
                with self.load_reports.times.measured(work.priority, clock.now):
                    return await self._run_in_slot(work, min_position, deadline)
        except Refused as exc:
            return refusal_of(exc)

    def _slot(self, work: Work, deadline: float) -> AbstractAsyncContextManager[None]:
        """Return a context that holds a slot for a new statement.

        Raises ``Refused`` if the wait would be too long for an answer in time.
        """
        if self._directory.is_load_controlled(self.group):
            self.concurrency.prepare(work)
            return self.load_control.slot(work, MAX_QUEUED)
        retry_s = refusal_retry_after_s(
            self.slots.queue_load(work.organisation),
            work.latency_goal_left_s if work.latency_goal_s else work.left_s,
            work.latency_goal_s,
            work.left_s,
        )
        if retry_s is not None:
            raise Refused(
                Reason.CROWDED,
                "the queue is too long for an answer in time",
                retry_s * random.uniform(1.0, 1.5),
            )
        weight = URGENT_WEIGHT if work.priority <= URGENT_PRIORITY else 1.0
        return self.slots.acquire(work.organisation, weight, deadline, MAX_QUEUED)

    def log_failure(self, work: Work, failed: Failed) -> None:
        """Log why a statement was not run on this target, or why it has no answer."""
        log.info(
            "executor: work failed",
            request=work.request,
            organisation=work.organisation,
            target=self.target.name,
            run=failed.run,
            reason=failed.reason,
            detail=failed.detail,
            queue=self.slots.waiting,
            min_position=list(work.min_position),
        )

    async def _min_position(self, work: Work) -> Position:
        """Return the position that the target's log must have reached for this work.

        Raises ``Refused`` if the primary's position does not become known in time.
        """
        if work.access is not Access.AGED_READ:
            return START
        aged = await self._min_position_for(
            work.group, work.max_age_s, clock.now(), work.position_wait_s
        )
        return max(aged, work.min_position)

    async def _run_in_slot(
        self, work: Work, min_position: Position, deadline: float
    ) -> Message:
        for force_new in (False, True):
            if self.retired:
                return failure(False, Reason.UNREACHABLE, "the target has left")
            if self.health.unreachable_reason:
                return failure(
                    False, Reason.UNREACHABLE, self.health.unreachable_reason
                )
            self._guard.require_allowed(work)
            if work.opens:
                self.connections.check_transaction(work.organisation)
            try:
                async with time_limit(deadline):
                    pooled = await self.connections.acquire(
                        work.organisation, work.values, force_new
                    )
            except TimeoutError:
                return failure(False, Reason.DEADLINE, "no connection in time")
            except ConnectFailed as exc:
                if exc.reason is Reason.UNREACHABLE:
                    self.health.mark_unreachable(exc.detail)
                return failure(False, exc.reason, exc.detail)
            try:
                opened = await self._opening.open_in_time(
                    work, pooled, min_position, deadline
                )
                if not opened:
                    # The connection failed before the caller's statement was sent.
                    # Other idle connections may have failed too, so the second
                    # attempt opens a new one.
                    self.connections.discard(pooled)
                    continue
            except Refused:
                self.connections.release(pooled)
                raise
            except TimeoutError:
                return failure(False, Reason.DEADLINE, "no transaction in time")
            return await self._send(work, pooled, min_position, deadline)
        return failure(False, Reason.UNREACHABLE, "no answer on a new connection")

    async def _send(
        self,
        work: Work,
        pooled: PooledConnection,
        min_position: Position,
        deadline: float,
    ) -> Message:
        """Send the caller's statement on a prepared connection and await its answer."""
        refusal = self._guard.refusal_to_send(work)
        if refusal is not None:
            self._active.roll_back_and_release(pooled)
            return refusal
        required = (
            min_position
            if work.access is Access.AGED_READ and not work.opens
            else START
        )
        commands = [Command(target_statement(work), work.request, required)]
        proves_primary = work.access is Access.CURRENT_READ and not work.opens
        if proves_primary:
            commands.append(Command(statement.ROLLBACK))
        sent_at = clock.now()
        try:
            futs = send_prepared(work, pooled, commands)
        except ConnectionLost as exc:
            self.connections.discard(pooled)
            return failure(False, Reason.UNREACHABLE, str(exc))
        with self.concurrency.measured(work) as measurement:
            reply = await self._active.answer(pooled, futs[0], deadline)
            measurement.counts = is_completion(reply)
            measurement.timed_out = isinstance(reply, Failed)
        if isinstance(reply, Failed):
            return reply
        if proves_primary:
            self._active.release_after(pooled, futs[-1])
            reply.state = TxState.NONE
            return work_result(reply)
        if reply.reason is None and work.access is Access.WRITE and not work.opens:
            self.positions.add(reply.position, sent_at)
            self._active.release_clean(pooled, reply)
            return await acknowledged_result(
                self._acknowledged, self.group, reply, sent_at, deadline
            )
        if work.opens and reply.state is not TxState.NONE:
            return self.transactions.register(work, pooled, reply)
        if reply.reason is Reason.NO_PREPARED and work.prepared is not None:
            pooled.prepared.discard(work.prepared.shared_name)
        self._active.release_clean(pooled, reply)
        return work_result(reply)

    def sweep(self, now: float) -> None:
        """End idle transactions and close connections that this node need not hold."""
        self.transactions.sweep(now, self._directory.catalog.tx_idle_s)
        self._evacuation.sweep(self.target, now)
        self._cold.sweep(now)
        self.concurrency.sweep()
        self._apply_slots(now)
        self.connections.close_idle(self._first_choice)

    def close(self) -> None:
        """Stop background tasks and close all connections."""
        self._active.close()
        self.health.close()
        self.connections.close()
