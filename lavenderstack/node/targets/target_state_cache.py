"""A holder's cache of its target's role, term and log position."""

import asyncio

from lavenderstack.border.target import (
    TargetLost,
    TargetRefused,
    TargetStatus,
    TargetUnreachable,
)
from lavenderstack.core import clock
from lavenderstack.core.outcome import NO_PRIMARY_RETRY_S, Reason, Refused
from lavenderstack.core.position import START, Position
from lavenderstack.core.view import Target
from lavenderstack.node.probe import TargetProbe

MIN_BACKOFF_S = 0.001
MAX_BACKOFF_S = 0.02


class TargetStateCache:
    """The last state that a target reported and its highest known position."""

    def __init__(self, target: Target, group: str) -> None:
        self.state: TargetStatus | None = None
        self.last = START
        self._probe = TargetProbe(target, group)

    async def refresh(self) -> TargetStatus:
        """Query the target's state and cache it.

        Raises ``TargetLost``, ``TargetRefused`` or ``TargetUnreachable``.
        """
        state = await self._probe.query()
        self.state = state
        self.record_position(state.last)
        return state

    async def refresh_or_refuse(self) -> None:
        """Query the target's state; raise ``Refused`` if it does not answer."""
        try:
            await self.refresh()
        except (TargetLost, TargetRefused, TargetUnreachable) as exc:
            raise Refused(Reason.UNREACHABLE, str(exc)) from exc

    def record_position(self, last: Position) -> None:
        """Record a position that came with an answer of the target."""
        if last > self.last:
            self.last = last

    def invalidate(self) -> None:
        """Discard the cached state, after an answer that contradicts it."""
        self.state = None

    async def leading_term(self) -> int:
        """Return the term in which the target is primary, or raise ``Refused``."""
        if self.state is None or self.state.role != "primary":
            await self.refresh_or_refuse()
        if self.state.role != "primary":
            raise Refused(Reason.NOT_PRIMARY, retry_after_s=NO_PRIMARY_RETRY_S)
        return self.state.term

    async def wait_for_position(self, min_position: Position, until: float) -> None:
        """Wait until the target's log has reached ``min_position``.

        ``until`` is in seconds of the local clock. Raises ``Refused`` with ``BEHIND``
        if it passes first, or with ``UNREACHABLE`` if the target does not answer.
        """
        backoff_s = MIN_BACKOFF_S
        while self.last < min_position:
            await self.refresh_or_refuse()
            if self.last >= min_position:
                return
            if clock.now() + backoff_s > until:
                raise Refused(Reason.BEHIND, "the replica has not caught up")
            await asyncio.sleep(backoff_s)
            backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)

    def close(self) -> None:
        """Close the connection for state queries."""
        self._probe.close()
