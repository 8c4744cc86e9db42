"""The confirmers of this node, one for each group with a target that it holds."""

import asyncio

import structlog

from lavenderstack.core import clock
from lavenderstack.core.failover.evidence import Observation
from lavenderstack.core.failover.group_messages import ProbeReply, ProbeRequest
from lavenderstack.core.view import Group, Target
from lavenderstack.node.confirm import ASK_TIMEOUT_S, Confirmer
from lavenderstack.node.peers import Peers

log = structlog.get_logger()


class NoAnswer(Exception):
    """A target didn't answer when it was asked for its state."""


class Confirmers:
    """Creates confirmers on first use; they end when ``run`` is cancelled."""

    def __init__(self, peers: Peers) -> None:
        self._peers = peers
        self._confirmers: dict[tuple[Target, ...], Confirmer] = {}
        self._tasks: set[asyncio.Task] = set()

    def for_group(self, group: Group) -> Confirmer:
        """Return the confirmer of a group; a new one if the group's targets changed."""
        confirmer = self._confirmers.get(group.targets)
        if confirmer is None:
            confirmer = self._start_confirmer(group)
            self._confirmers[group.targets] = confirmer
        return confirmer

    def _start_confirmer(self, group: Group) -> Confirmer:
        targets = {target.name: target for target in group.targets}

        async def ask(name: str) -> Observation:
            return await self._ask(group.name, targets[name])

        confirmer = Confirmer(list(targets), ask)
        task = asyncio.create_task(confirmer.run(), name=f"confirm {group.name}")
        self._tasks.add(task)
        task.add_done_callback(lambda ended: self._remove_ended(ended, group))
        return confirmer

    def _remove_ended(self, task: asyncio.Task, group: Group) -> None:
        """Remove a confirmer that ended; the next request will create a new one."""
        self._tasks.discard(task)
        self._confirmers.pop(group.targets, None)
        if not task.cancelled() and (exc := task.exception()):
            log.error("confirm: confirmer ended", task=task.get_name(), exc_info=exc)

    async def _ask(self, group: str, target: Target) -> Observation:
        """Ask the target's connection holder, which asks the target anew each time."""
        asked_at = clock.now()
        vm = self._peers.holders(target)[0]
        answer = await self._peers.ask(
            vm, ProbeRequest(group, target.name), ASK_TIMEOUT_S
        )
        if not isinstance(answer, ProbeReply) or not answer.answered:
            raise NoAnswer(target.name)
        return Observation(
            target.name,
            answer.term,
            answer.last,
            asked_at,
            answer.role,
            answer.primary,
        )

    async def run(self) -> None:
        """Wait until cancelled, then end all confirmers."""
        try:
            await asyncio.Event().wait()
        finally:
            for task in list(self._tasks):
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)
