"""The executors of a node, one for each target that has been asked for."""

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass, field

from lavenderstack.core import clock
from lavenderstack.core.catalog import TargetState
from lavenderstack.core.failover.acknowledgement_hold import NO_HOLD
from lavenderstack.core.message_size import answer_failure
from lavenderstack.core.messages import Failed, Message
from lavenderstack.core.outcome import Reason
from lavenderstack.core.work_messages import (
    EndWork,
    GroupPosition,
    GroupPositionRequest,
    PrimaryPositionRequest,
    Work,
    WorkDone,
    WorkEnded,
)
from lavenderstack.node.acknowledged_positions import AcknowledgedPositions
from lavenderstack.node.backend import Backend
from lavenderstack.node.directory import Directory
from lavenderstack.node.executor import MinPositionFor, TargetExecutor
from lavenderstack.node.planned_stop import PlannedStop
from lavenderstack.node.targets.cold_target import Choice
from lavenderstack.node.targets.cold_targets import ColdTargets

SWEEP_INTERVAL_S = 0.25


@dataclass(slots=True)
class Executors:
    """The executors of this node, created when work for a target first arrives.

    ``first_choice`` tells whether this node is the first choice as the connection
    holder of a target; ``cold_choice`` tells the same for cold targets, and they are
    limited by ``cold``. ``run_id`` identifies this process, as in its registration.
    ``stop`` tells what is still run while this node stops.
    """

    directory: Directory
    backend: Backend
    min_position_for: MinPositionFor
    first_choice: Callable[[TargetState], bool]
    target_executors: dict[str, TargetExecutor] = field(default_factory=dict)
    acknowledged: AcknowledgedPositions = field(default_factory=AcknowledgedPositions)
    run_id: str = ""
    stop: PlannedStop = field(default_factory=PlannedStop)
    _retired: list[TargetExecutor] = field(default_factory=list)
    cold_choice: Choice = lambda state: (True, -math.inf)
    cold: ColdTargets = field(init=False)

    def __post_init__(self) -> None:
        self.cold = ColdTargets(self.directory, self.cold_choice)

    def for_target(self, target: str) -> TargetExecutor | None:
        """Return the executor of a target, None if the target is unknown.

        An executor is replaced if its target has moved to another address.
        """
        executor = self.target_executors.get(target)
        state = self.directory.targets.get(target)
        if executor is not None:
            if state is None or executor.update_state(state):
                return executor
            self._retire(target)
        if state is None:
            return None
        executor = TargetExecutor(
            state,
            self.directory,
            self.backend,
            self.min_position_for,
            self.acknowledged,
            self.cold.of(state),
        )
        executor.set_first_choice(self.first_choice(state))
        self.target_executors[target] = executor
        return executor

    def _retire(self, target: str) -> None:
        """Take an executor out of use; it closes once its statements are answered."""
        executor = self.target_executors.pop(target)
        executor.retired = True
        self._retired.append(executor)
        self._close_retired()

    def _close_retired(self) -> None:
        for executor in list(self._retired):
            executor.transactions.end_idle()
            if not executor.in_use:
                executor.close()
                self._retired.remove(executor)

    async def work(self, msg: Work) -> Message:
        """Handle ``Work`` from this or another node."""
        refusal = self.stop.refusal(msg)
        if refusal is not None:
            return refusal
        executor = self.for_target(msg.target)
        if executor is None:
            detail = "the target is unknown at this node"
            return Failed(run=False, reason=Reason.UNREACHABLE, detail=detail)
        arrived_at = clock.now()
        with executor.expected(msg):
            answer = _bounded(executor, msg, await executor.run(msg))
        if isinstance(answer, Failed):
            executor.log_failure(msg, answer)
        return executor.load_reports.attach(msg, answer, arrived_at)

    async def end(self, msg: EndWork) -> Message:
        """Handle ``EndWork``: roll back an open transaction."""
        rest = msg.tx.removeprefix(f"{self.directory.name}/")
        executor = self.target_executors.get(rest.rpartition("/")[0])
        return executor.transactions.end(msg) if executor else WorkEnded()

    async def primary_position(self, msg: PrimaryPositionRequest) -> Message:
        """Handle ``PrimaryPositionRequest`` for a target held by this node."""
        executor = self.for_target(msg.target)
        if executor is None:
            return Failed(run=False, reason=Reason.UNREACHABLE)
        return await executor.health.primary_position(msg.within_s)

    async def group_position(self, msg: GroupPositionRequest) -> Message:
        """Handle ``GroupPositionRequest``."""
        acknowledged, group = self.acknowledged, msg.group
        holds = False
        if msg.release:
            acknowledged.release(group, msg.hold)
        elif msg.hold != NO_HOLD:
            holds = acknowledged.hold(group, msg.term, msg.hold, msg.received)
        else:
            acknowledged.tell(group, msg.term)
        uptime_s = clock.now() - acknowledged.started_at
        return GroupPosition(
            acknowledged.highest(group),
            uptime_s,
            self.run_id,
            holds,
            acknowledged.hold_in_force(group),
        )

    @property
    def open_transactions(self) -> int:
        """Return how many transactions are open at this node."""
        return sum(len(one.transactions) for one in self.target_executors.values())

    def end_idle_transactions(self) -> None:
        """Roll back the open transactions in which no statement runs."""
        for executor in self.target_executors.values():
            executor.transactions.end_idle()

    async def run(self) -> None:
        """Sweep the executors and drop those of removed targets, until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now = clock.now()
            for name, executor in list(self.target_executors.items()):
                state = self.directory.targets.get(name)
                if state is None and not executor.transactions:
                    self._retire(name)
                    continue
                executor.set_first_choice(
                    state is not None and self.first_choice(state)
                )
                executor.sweep(now)
            self._close_retired()
            self.cold.forget_unused(set(self.target_executors), now)


def _bounded(executor: TargetExecutor, work: Work, answer: Message) -> Message:
    """Return an answer, or a failure instead if its rows are too long to pass on.

    Its transaction is rolled back then, since the session takes it for failed and may
    not know its name yet.
    """
    failed = answer_failure(work, answer) if isinstance(answer, WorkDone) else None
    if failed is None:
        return answer
    tx = answer.tx or work.tx
    if tx:
        executor.transactions.end(EndWork(tx))
    return failed
