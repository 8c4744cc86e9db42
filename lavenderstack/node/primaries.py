"""What this node knows of each group: its primary and its targets' positions.

The node learns it from replies and asks the group's monitors when the primary is
unknown or turned out to be wrong. It is a hint only: each target checks itself
whether it is the primary.
"""

import asyncio
from collections.abc import Awaitable, Callable

from lavenderstack.core.evacuation.evacuation_block import is_blocked
from lavenderstack.core.failover.group_messages import PrimaryReply, PrimaryRequest
from lavenderstack.core.messages import Message
from lavenderstack.core.routing import GroupStatus, TermPrimary
from lavenderstack.core.view import Vm
from lavenderstack.node.streams import NotSent, StreamLost

ASK_TIMEOUT_S = 0.5

AskVm = Callable[[Vm, Message, float], Awaitable[Message]]


class Primaries:
    """Caches what is known of each group and asks the monitors for its primary."""

    def __init__(self, ask: AskVm, monitors: Callable[[str], list[Vm]]) -> None:
        self._ask = ask
        self._monitors = monitors
        self._known: dict[str, GroupStatus] = {}
        self._asking: dict[str, asyncio.Task] = {}

    def of(self, group: str) -> GroupStatus:
        """Return what is known of a group; empty for a new one."""
        known = self._known.get(group)
        if known is None:
            known = self._known[group] = GroupStatus()
        return known

    async def find(self, group: str) -> TermPrimary | None:
        """Return the group's primary; ask the monitors if it is unknown or uncertain.

        If the monitors know of no other, the last known primary is returned.
        """
        known = self.of(group)
        if known.primary is not None and not known.primary_uncertain:
            return known.primary
        task = self._asking.get(group)
        if task is None:
            task = asyncio.create_task(self._ask_monitors(group))
            self._asking[group] = task
            task.add_done_callback(lambda _: self._asking.pop(group, None))
        await asyncio.shield(task)
        return known.primary

    async def _ask_monitors(self, group: str) -> None:
        known = self.of(group)
        asked = [self._ask_one(vm, group) for vm in self._monitors(group)]
        answers = await asyncio.gather(*asked)
        if is_blocked(answer for answer in answers if answer):
            # The next request asks again.
            known.record_blocked()
        else:
            known.blocked = False

    async def _ask_one(self, vm: Vm, group: str) -> PrimaryReply | None:
        try:
            answer = await self._ask(vm, PrimaryRequest(group), ASK_TIMEOUT_S)
        except (NotSent, StreamLost, TimeoutError):
            return None
        if not isinstance(answer, PrimaryReply):
            return None
        self.of(group).record_primary(answer.term, answer.primary)
        return answer
