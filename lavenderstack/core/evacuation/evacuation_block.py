"""Whether a group that lost its primary waits for an evacuation to end.

Only targets in evacuated zones have every commit, or no other target answers, so nobody
is promoted. Each monitor finds this out by itself and tells entry nodes, which refuse
statements at once instead of waiting for a primary.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from lavenderstack.core.failover.group_messages import PrimaryReply
from lavenderstack.core.routing import TermPrimary


@dataclass(slots=True)
class EvacuationBlock:
    """What one monitor found; terms are None where nothing is blocked.

    ``held_term`` is the group's highest term while no proposal is made, since only
    evacuated targets answer. ``lost_term`` is the term of the last proposal, if it was
    lost because every target that could lead is evacuated.
    """

    held_term: int | None = None
    lost_term: int | None = None

    def record_decision(self, is_held: bool, term: int) -> None:
        """Record whether a proposal is held back; ``term`` is the highest known."""
        self.held_term = term if is_held else None

    def record_loss(self, term: int, all_excluded: bool) -> None:
        """Record that a proposal for a term was lost, and whether by an evacuation."""
        self.lost_term = term if all_excluded else None

    def term(self, primary: TermPrimary | None) -> int | None:
        """Return the blocked term, None if a primary may be found.

        ``primary`` is the one that the monitor knows; it may be the lost one.
        """
        if self.held_term is not None:
            return self.held_term
        if self.lost_term is None or primary is None:
            return self.lost_term
        return self.lost_term if primary.term < self.lost_term else None


def is_blocked(replies: Iterable[PrimaryReply]) -> bool:
    """Return whether a group's monitors agree that an evacuation blocks a promotion.

    A monitor that names a primary of the same term or a later one outweighs the others:
    it may reach targets that they don't, or has not noticed yet that it is lost.

    >>> is_blocked([PrimaryReply(5, evacuated=True), PrimaryReply(4, "a")])
    True
    >>> is_blocked([PrimaryReply(5, evacuated=True), PrimaryReply(5, "a")])
    False
    """
    replies = list(replies)
    blocked = max((one.term for one in replies if one.evacuated), default=-1)
    return blocked > max((one.term for one in replies if one.primary), default=-1)
