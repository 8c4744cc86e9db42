"""What this node has heard of each group: its primary, its targets' positions.

It is learned from answers, and asked of the group's watchers when it is missing or
was found to be wrong. It is a hint: a target says itself whether it leads.
"""

import asyncio
from collections.abc import Awaitable, Callable

from lavenderstack.core.group_messages import PrimaryReply, PrimaryRequest
from lavenderstack.core.messages import Message
from lavenderstack.core.routing import GroupStatus, Leader
from lavenderstack.core.view import Vm
from lavenderstack.node.streams import NotSent, StreamLost

ASK_TIMEOUT_S = 0.5

Ask = Callable[[Vm, Message, float], Awaitable[Message]]


class Leaders:
    """Knowledge of the groups, and the means to ask for it."""

    def __init__(self, ask: Ask, watchers: Callable[[str], list[Vm]]) -> None:
        self._ask = ask
        self._watchers = watchers
        self._known: dict[str, GroupStatus] = {}
        self._asking: dict[str, asyncio.Task] = {}

    def of(self, group: str) -> GroupStatus:
        """Return what is known of a group."""
        known = self._known.get(group)
        if known is None:
            known = self._known[group] = GroupStatus()
        return known

    async def find(self, group: str) -> Leader | None:
        """Return the group's leader, asking its watchers if there is any doubt.

        When they know of no other, the one that is known is returned all the same.
        """
        known = self.of(group)
        if known.leader is not None and not known.doubted:
            return known.leader
        task = self._asking.get(group)
        if task is None:
            task = asyncio.create_task(self._ask_watchers(group))
            self._asking[group] = task
            task.add_done_callback(lambda _: self._asking.pop(group, None))
        await asyncio.shield(task)
        return known.leader

    async def _ask_watchers(self, group: str) -> None:
        asked = [self._ask_one(vm, group) for vm in self._watchers(group)]
        await asyncio.gather(*asked)

    async def _ask_one(self, vm: Vm, group: str) -> None:
        try:
            answer = await self._ask(vm, PrimaryRequest(group), ASK_TIMEOUT_S)
        except (NotSent, StreamLost, TimeoutError):
            return
        if isinstance(answer, PrimaryReply):
            self.of(group).record_leader(answer.term, answer.primary)
