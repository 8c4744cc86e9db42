"""The positions of the commits that this node has acknowledged, by group.

The owner of a group asks for them before it lets a replica take over. A commit whose
answer arrives after that was not told, so it may not be acknowledged any more.
"""

from dataclasses import dataclass

from lavenderstack.core import clock
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

    def record(self, group: str, position: Position, sent_at: float) -> bool:
        """Record a commit that was sent at ``sent_at`` and succeeded.

        ``position`` is the end of the primary's log in the answer. Returns False if the
        commit must not be acknowledged, because a replica may take over without it.
        """
        told = self._told.get(group)
        if told is not None and told.excludes(position, sent_at):
            return False
        self._highest[group] = max(self.highest(group), position)
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
