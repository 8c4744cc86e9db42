"""Keeps marks of every primary whose replicas serve aged reads at this node.

While such reads come, the node that holds the primary is asked a few times a second
how far its log goes. The age of an answer counts from this node's own question, so an
answer that was held up on the way is taken for as old as it is.
"""

import asyncio
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

import structlog

from lavenderstack.core import clock
from lavenderstack.core.outcome import Reason, Refused
from lavenderstack.core.position import Position
from lavenderstack.core.position_history import PositionHistory, TimedPosition
from lavenderstack.core.work_messages import PrimaryPosition, PrimaryPositionRequest
from lavenderstack.node.directory import Directory
from lavenderstack.node.peers import Peers
from lavenderstack.node.streams import NotSent, StreamLost

log = structlog.get_logger()

ASK_EVERY_S = 0.2
ASK_TIMEOUT_S = 0.5
WANTED_FOR_S = 2.0
# The time from the choice of a mark to the first byte of the read at its target.
AGE_MARGIN_S = 0.05
HOLDERS_ASKED = 3


@dataclass(slots=True)
class _Group:
    marks: PositionHistory = field(default_factory=PositionHistory)
    wanted_at: float = 0.0
    task: asyncio.Task | None = None
    news: asyncio.Event = field(default_factory=asyncio.Event)


class PrimaryPositions:
    """The marks of each group; ``own_marks`` returns those made at this node."""

    def __init__(
        self,
        directory: Directory,
        peers: Peers,
        own_marks: Callable[[str], PositionHistory | None],
    ) -> None:
        self._directory = directory
        self._peers = peers
        self._own_marks = own_marks
        self._groups: dict[str, _Group] = defaultdict(_Group)

    async def min_position_for(
        self, group: str, max_age_s: float, now: float, within_s: float
    ) -> Position:
        """Return a position that a read of at most this age must see.

        Raises ``Refused`` with ``BEHIND`` if none is known after ``within_s`` seconds.
        """
        kept = self._groups[group]
        kept.wanted_at = now
        if kept.task is None or kept.task.done():
            kept.task = asyncio.ensure_future(self._ask_while_wanted(group, kept))
        since = now - max_age_s + AGE_MARGIN_S
        mark = self._oldest(group, kept, since)
        if mark is None:
            kept.news.clear()
            try:
                async with asyncio.timeout(within_s):
                    await kept.news.wait()
            except TimeoutError:
                raise Refused(Reason.BEHIND, "no primary to ask") from None
            mark = self._oldest(group, kept, since)
        if mark is None:
            raise Refused(Reason.BEHIND, "the primary's position is too old")
        return mark.position

    def _oldest(self, group: str, kept: _Group, since: float) -> TimedPosition | None:
        own = self._own_marks(group)
        found = [kept.marks.oldest_since(since)]
        if own is not None:
            found.append(own.oldest_since(since))
        known = [mark for mark in found if mark is not None]
        return min(known, key=lambda mark: mark.at, default=None)

    async def _ask_while_wanted(self, group: str, kept: _Group) -> None:
        while clock.now() - kept.wanted_at < WANTED_FOR_S:
            asked_at = clock.now()
            mark = await self._ask(group)
            if mark is not None:
                kept.marks.add(Position(*mark.position), asked_at - mark.age_s)
                kept.news.set()
            await asyncio.sleep(ASK_EVERY_S)

    async def _ask(self, group: str) -> PrimaryPosition | None:
        primary = self._directory.primary(group)
        if primary is None:
            return None
        msg = PrimaryPositionRequest(group, primary.target.name, ASK_EVERY_S)
        for vm in self._peers.holders(primary.target)[:HOLDERS_ASKED]:
            try:
                answer = await self._peers.ask(vm, msg, ASK_TIMEOUT_S)
            except (NotSent, StreamLost, TimeoutError) as exc:
                log.debug("marks: no answer", holder=vm.name, error=repr(exc))
                continue
            if isinstance(answer, PrimaryPosition):
                return answer
        return None
