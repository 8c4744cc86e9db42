"""The positions of the commits that this node has acknowledged, by group.

The owner of a group asks for them before it lets a replica take over. A commit whose
answer arrives after that was not told, so it may not be acknowledged any more. With a
hold (``core/failover/acknowledgement_hold.py``) that concerns commits that are sent
later too; they are acknowledged if the hold is released.
"""

import asyncio
from collections import defaultdict
from dataclasses import dataclass

from lavenderstack.core import clock
from lavenderstack.core.failover.acknowledgement_hold import (
    AcknowledgementHolds,
    HoldNumber,
)
from lavenderstack.core.position import START, Position


@dataclass(frozen=True, slots=True)
class _Told:
    """What this node has told about a group at time ``at``, in seconds on the clock.

    It acknowledges nothing above ``position`` that was sent before, up to ``term``.
    """

    position: Position
    term: int
    at: float

    def excludes(self, position: Position, sent_at: float) -> bool:
        """Return whether a commit sent at ``sent_at`` may not be acknowledged."""
        was_sent_before = sent_at <= self.at and position.term <= self.term
        return was_sent_before and position > self.position


class AcknowledgedPositions:
    """The highest acknowledged position of each group since this node's start."""

    def __init__(self) -> None:
        self.started_at = clock.now()
        self._highest: dict[str, Position] = {}
        self._told: dict[str, _Told] = {}
        self._holds = AcknowledgementHolds()
        # By group: set at each change of its hold.
        self._changed: dict[str, asyncio.Event] = defaultdict(asyncio.Event)

    async def record(
        self, group: str, position: Position, sent_at: float, deadline: float
    ) -> bool:
        """Record a commit that was sent at ``sent_at`` and succeeded.

        ``position`` is the end of the primary's log in the answer. Waits while the
        commit is held back, at the longest until ``deadline``. Returns False if it must
        not be acknowledged, because a replica may take over without it.
        """
        told = self._told.get(group)
        if told is not None and told.excludes(position, sent_at):
            return False
        while self._holds.excludes(group, position, clock.now()):
            if not await self._wait_for_release(group, deadline):
                return False
        if position.term < self.highest(group).term:
            # Another target has taken the lead since, and may lack this commit.
            return False
        self._highest[group] = max(self.highest(group), position)
        return True

    async def _wait_for_release(self, group: str, deadline: float) -> bool:
        """Wait for a change of the group's hold; return False if it is final."""
        if self._holds.is_final(group):
            return False
        try:
            async with asyncio.timeout(deadline - clock.now()):
                await self._changed[group].wait()
        except TimeoutError:
            return False
        return True

    def highest(self, group: str) -> Position:
        """Return the highest acknowledged position of a group."""
        return self._highest.get(group, START)

    def tell(self, group: str, term: int) -> Position:
        """Return the highest position, and acknowledge no more of what was sent before.

        That concerns primaries of up to ``term``; 0 leaves all of it as it is.
        """
        position = self.highest(group)
        if term:
            self._told[group] = _Told(position, term, clock.now())
        return position

    def hold(
        self,
        group: str,
        term: int,
        number: HoldNumber,
        received: Position = START,
    ) -> bool:
        """Acknowledge nothing beyond the highest position until the hold is released.

        That concerns primaries of up to ``term``. Commits up to ``received``, which the
        successor has, are acknowledged. Returns whether the hold is in force.
        """
        position = max(self.highest(group), received)
        held = self._holds.hold(group, number, position, term, clock.now())
        if held:
            self._wake(group)
        return held

    def hold_in_force(self, group: str) -> HoldNumber:
        """Return the number of the group's hold that isn't final, or ``NO_HOLD``."""
        return self._holds.in_force(group, clock.now())

    def release(self, group: str, number: HoldNumber) -> None:
        """End the holds of a group up to this number."""
        self._holds.release(group, number)
        self._wake(group)

    def primary_replaced(self, group: str) -> None:
        """Answer the commits that are held back: a replica has taken over."""
        self._holds.make_final(group)
        self._wake(group)

    def _wake(self, group: str) -> None:
        event = self._changed.pop(group, None)
        if event is not None:
            event.set()
