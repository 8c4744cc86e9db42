"""What a holder knows of its target's term and log, and how it learns more."""

import asyncio

from lavenderstack.border.target import (
    State,
    TargetLost,
    TargetRefused,
    TargetUnreachable,
)
from lavenderstack.core import clock
from lavenderstack.core.outcome import Reason, Refused
from lavenderstack.core.position import START, Position
from lavenderstack.core.view import Target
from lavenderstack.node.probe import Probe

FIRST_PAUSE_S = 0.001
LONGEST_PAUSE_S = 0.02
NO_PRIMARY_RETRY_S = 0.5


class TargetStateCache:
    """The last state that a target told, and the highest position heard of it."""

    def __init__(self, target: Target, group: str) -> None:
        self.state: State | None = None
        self.last = START
        self._probe = Probe(target, group)

    async def look(self) -> State:
        """Ask the target for its state; raises the errors of ``border.target``."""
        state = await self._probe.ask()
        self.state = state
        self.note(state.last)
        return state

    async def look_or_refuse(self) -> None:
        """Ask the target for its state; without an answer, refuse the request."""
        try:
            await self.look()
        except (TargetLost, TargetRefused, TargetUnreachable) as exc:
            raise Refused(Reason.UNREACHABLE, str(exc)) from exc

    def note(self, last: Position) -> None:
        """Take note of a position that came with an answer."""
        if last > self.last:
            self.last = last

    def doubt(self) -> None:
        """Forget the state, after an answer that does not go with it."""
        self.state = None

    async def leading_term(self) -> int:
        """Return the term that the target leads, or refuse."""
        if self.state is None or self.state.role != "primary":
            await self.look_or_refuse()
        if self.state.role != "primary":
            raise Refused(Reason.NOT_PRIMARY, retry_after_s=NO_PRIMARY_RETRY_S)
        return self.state.term

    async def reach(self, min_position: Position, until: float) -> None:
        """Wait until the target's log has reached a position, or refuse."""
        pause_s = FIRST_PAUSE_S
        while self.last < min_position:
            await self.look_or_refuse()
            if self.last >= min_position:
                return
            if clock.now() + pause_s > until:
                raise Refused(Reason.BEHIND, "the replica has not caught up")
            await asyncio.sleep(pause_s)
            pause_s = min(pause_s * 2, LONGEST_PAUSE_S)

    def close(self) -> None:
        """Close the connection for questions."""
        self._probe.close()
