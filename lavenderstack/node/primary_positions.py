"""Tracks log positions of the primaries whose replicas serve aged reads at this node.

While a group gets such reads, this node polls the connection holder of its primary for
the end of the primary's log, a few times a second. The age of an answer counts from
when the request was sent, so a delayed answer is never taken for newer than it is.
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

POLL_INTERVAL_S = 0.2
POLL_TIMEOUT_S = 0.5
# Polling stops this long after the last aged read of a group.
POLL_AFTER_READ_S = 2.0
# Covers the time from choosing a position to the start of the read at its target.
AGE_MARGIN_S = 0.05
MAX_HOLDERS_ASKED = 3


@dataclass(slots=True)
class _GroupPositions:
    positions: PositionHistory = field(default_factory=PositionHistory)
    last_read_at: float = 0.0
    task: asyncio.Task | None = None
    updated: asyncio.Event = field(default_factory=asyncio.Event)


class PrimaryPositions:
    """Known positions of each group's primary.

    ``own_positions`` returns the positions that this node itself observed as the
    connection holder of a group's primary, None if it is not the holder.
    """

    def __init__(
        self,
        directory: Directory,
        peers: Peers,
        own_positions: Callable[[str], PositionHistory | None],
    ) -> None:
        self._directory = directory
        self._peers = peers
        self._own_positions = own_positions
        self._groups: dict[str, _GroupPositions] = defaultdict(_GroupPositions)

    async def min_position_for(
        self, group: str, max_age_s: float, now: float, within_s: float
    ) -> Position:
        """Return the log position that a read with this maximum age must see.

        ``now`` is the clock time at which the read arrived. Raises ``Refused`` with
        ``BEHIND`` if no recent enough position is known after ``within_s`` seconds.
        """
        tracked = self._groups[group]
        tracked.last_read_at = now
        if tracked.task is None or tracked.task.done():
            tracked.task = asyncio.ensure_future(self._poll_while_read(group, tracked))
        since = now - max_age_s + AGE_MARGIN_S
        timed = self._oldest(group, tracked, since)
        if timed is None:
            tracked.updated.clear()
            try:
                async with asyncio.timeout(within_s):
                    await tracked.updated.wait()
            except TimeoutError:
                raise Refused(Reason.BEHIND, "no answer from the primary") from None
            timed = self._oldest(group, tracked, since)
        if timed is None:
            raise Refused(Reason.BEHIND, "the primary's position is too old")
        return timed.position

    def _oldest(
        self, group: str, tracked: _GroupPositions, since: float
    ) -> TimedPosition | None:
        own = self._own_positions(group)
        found = [tracked.positions.oldest_since(since)]
        if own is not None:
            found.append(own.oldest_since(since))
        known = [timed for timed in found if timed is not None]
        return min(known, key=lambda timed: timed.at, default=None)

    async def _poll_while_read(self, group: str, tracked: _GroupPositions) -> None:
        while clock.now() - tracked.last_read_at < POLL_AFTER_READ_S:
            asked_at = clock.now()
            timed = await self._ask_primary(group)
            if timed is not None:
                tracked.positions.add(Position(*timed.position), asked_at - timed.age_s)
                tracked.updated.set()
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _ask_primary(self, group: str) -> PrimaryPosition | None:
        primary = self._directory.primary(group)
        if primary is None:
            return None
        msg = PrimaryPositionRequest(group, primary.target.name, POLL_INTERVAL_S)
        for vm in self._peers.holders(primary.target)[:MAX_HOLDERS_ASKED]:
            try:
                answer = await self._peers.ask(vm, msg, POLL_TIMEOUT_S)
            except (NotSent, StreamLost, TimeoutError) as exc:
                log.debug("positions: no answer", holder=vm.name, error=repr(exc))
                continue
            if isinstance(answer, PrimaryPosition):
                return answer
        return None
