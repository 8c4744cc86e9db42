"""How far a primary's log went at known times, which bounds the age of reads.

A mark says: at this moment of this node's clock the primary of the group led, and its
log ended here. A replica whose log holds the position has everything that was
acknowledged before that moment.
"""

from collections import deque
from dataclasses import dataclass, field

from lavenderstack.core.position import Position

# Longer than the greatest age that a route allows in practice; older marks serve none.
KEPT_S = 4.0
SPACING_S = 0.04


@dataclass(frozen=True, slots=True)
class TimedPosition:
    """The end of a primary's log, ``at`` seconds on this node's clock."""

    position: Position
    at: float


@dataclass(slots=True)
class PositionHistory:
    """The marks of one group, the oldest first.

    >>> marks = Marks()
    >>> marks.add(Position(1, 5), at=10.0)
    >>> marks.oldest_since(9.5).position
    Position(term=1, seq=5)
    """

    kept: deque[TimedPosition] = field(default_factory=deque)

    def add(self, position: Position, at: float) -> None:
        """Note that the log ended at ``position`` at some moment not before ``at``.

        A mark that is older or lower than one already known adds nothing.
        """
        kept = self.kept
        if kept:
            last = kept[-1]
            if at <= last.at or position < last.position:
                return
            if at - last.at < SPACING_S and len(kept) > 1:
                previous = kept[-2]
                if last.at - previous.at < SPACING_S:
                    kept.pop()
        kept.append(TimedPosition(position, at))
        while kept[0].at < at - KEPT_S:
            kept.popleft()

    def oldest_since(self, since: float) -> TimedPosition | None:
        """Return the oldest mark not before ``since``, which most replicas cover."""
        for mark in self.kept:
            if mark.at >= since:
                return mark
        return None

    def latest(self) -> TimedPosition | None:
        """Return the newest mark."""
        return self.kept[-1] if self.kept else None
