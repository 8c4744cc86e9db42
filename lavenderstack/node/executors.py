"""The executors of a node, one for each target that somebody asked it for."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from lavenderstack.core import clock
from lavenderstack.core.catalog import TargetState
from lavenderstack.core.messages import Failed, Message
from lavenderstack.core.outcome import Reason
from lavenderstack.core.work_messages import (
    EndWork,
    PrimaryPositionRequest,
    Work,
    WorkEnded,
)
from lavenderstack.node.backend import Backend
from lavenderstack.node.directory import Directory
from lavenderstack.node.executor import LeastFor, TargetExecutor

SWEEP_S = 0.25


@dataclass(slots=True)
class Executors:
    """The executors of this node, made when a target is first asked for."""

    directory: Directory
    backend: Backend
    min_position_for: LeastFor
    first_choice: Callable[[TargetState], bool]
    target_executors: dict[str, TargetExecutor] = field(default_factory=dict)

    def of(self, target: str) -> TargetExecutor | None:
        """Return the executor of a target, None if the target is not known."""
        executor = self.target_executors.get(target)
        state = self.directory.targets.get(target)
        if executor is not None:
            if state is None or executor.follow(state):
                return executor
            executor.close()
        if state is None:
            return None
        executor = TargetExecutor(
            state, self.directory, self.backend, self.min_position_for
        )
        self.target_executors[target] = executor
        return executor

    async def work(self, msg: Work) -> Message:
        """Handle ``Work`` of any node."""
        executor = self.of(msg.target)
        if executor is None:
            detail = "the target is not known here"
            return Failed(run=False, reason=Reason.UNREACHABLE, detail=detail)
        answer = await executor.run(msg)
        if isinstance(answer, Failed):
            executor.note_failed(msg, answer)
        return answer

    async def end(self, msg: EndWork) -> Message:
        """Handle ``EndWork``."""
        executor = self.target_executors.get(msg.tx.split("/")[1])
        return executor.transactions.end(msg) if executor else WorkEnded()

    async def primary_position(self, msg: PrimaryPositionRequest) -> Message:
        """Handle ``PrimaryPositionRequest``."""
        executor = self.of(msg.target)
        if executor is None:
            return Failed(run=False, reason=Reason.UNREACHABLE)
        return await executor.reach.primary_position(msg.within_s)

    @property
    def open_transactions(self) -> int:
        """Return how many transactions are open at this node."""
        return sum(len(one.transactions) for one in self.target_executors.values())

    async def run(self) -> None:
        """Look after the executors until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_S)
            now = clock.now()
            for name, executor in list(self.target_executors.items()):
                state = self.directory.targets.get(name)
                if state is None and not executor.transactions:
                    executor.close()
                    del self.target_executors[name]
                    continue
                executor.sweep(now, state is not None and self.first_choice(state))
