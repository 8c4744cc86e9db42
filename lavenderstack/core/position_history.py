"""Log positions of a primary at known times, which bound the age of reads.

Each entry records that at a time on this node's clock the target was the group's
primary, and that its log ended at this position. A replica whose log contains the
position has everything that was acknowledged before that time.
"""

from collections import deque
from dataclasses import dataclass, field

from lavenderstack.core.position import Position

# Longer than any read age that routes allow in practice; older positions aren't needed.
MAX_AGE_S = 4.0
# Positions closer in time than this are thinned out.
MIN_SPACING_S = 0.04


@dataclass(frozen=True, slots=True)
class TimedPosition:
    """The end of a primary's log at time ``at``, in seconds on this node's clock."""

    position: Position
    at: float


@dataclass(slots=True)
class PositionHistory:
    """The timed positions of one group, the oldest first.

    >>> history = PositionHistory()
    >>> history.add(Position(1, 5), at=10.0)
    >>> history.oldest_since(9.5).position
    Position(term=1, seq=5)
    """

    positions: deque[TimedPosition] = field(default_factory=deque)

    def add(self, position: Position, at: float) -> None:
        """Record that the log ended at ``position`` at some time not before ``at``.

        A position that is older or lower than the last one is ignored.
        """
        positions = self.positions
        if positions:
            last = positions[-1]
            if at <= last.at or position < last.position:
                return
            if at - last.at < MIN_SPACING_S and len(positions) > 1:
                previous = positions[-2]
                if last.at - previous.at < MIN_SPACING_S:
                    positions.pop()
        positions.append(TimedPosition(position, at))
        while positions[0].at < at - MAX_AGE_S:
            positions.popleft()

    def oldest_since(self, since: float) -> TimedPosition | None:
        """Return the oldest position not before ``since``, or None.

        More replicas have reached it than any newer one.
        """
        for timed in self.positions:
            if timed.at >= since:
                return timed
        return None

    def latest(self) -> TimedPosition | None:
        """Return the newest position, or None."""
        return self.positions[-1] if self.positions else None
