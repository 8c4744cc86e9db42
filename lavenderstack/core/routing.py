"""Which target a statement goes to.

A read that needs no proof of coming from the primary goes to a replica: one that is
known to hold what the session has seen, else the one that was last seen furthest
ahead, the caller's own availability zone first. The rest goes to the primary.
"""

from collections.abc import Collection
from dataclasses import dataclass, field

from lavenderstack.core.position import START, Position
from lavenderstack.core.request import Request
from lavenderstack.core.token import Watermark
from lavenderstack.core.view import Group, Target


@dataclass(frozen=True, slots=True)
class Leader:
    """The primary of a group in a term; ``target`` is empty when there is none."""

    term: int
    target: str


@dataclass(slots=True)
class GroupStatus:
    """What this node has heard of a group: its leader and its targets' positions."""

    leader: Leader | None = None
    doubted: bool = False
    seen: dict[str, Position] = field(default_factory=dict)

    def record_leader(self, term: int, target: str) -> None:
        """Take note of a leader; an older term never replaces a newer one."""
        if not target or term <= 0:
            return
        if self.leader is None or term >= self.leader.term:
            self.leader = Leader(term, target)
            self.doubted = False

    def leads(self, target: str) -> bool:
        """Tell whether a target is the known leader."""
        return self.leader is not None and self.leader.target == target

    def record_position(self, target: str, position: Position) -> None:
        """Take note of a position that a target was heard to have reached."""
        if position > self.seen.get(target, START):
            self.seen[target] = position


def needs_primary(req: Request) -> bool:
    """Tell whether only the primary can serve the request."""
    return req.write or req.fresh


def read_order(
    group: Group,
    mark: Watermark,
    zone: str,
    knowledge: GroupStatus,
    avoid: Collection[str],
) -> list[Target]:
    """Return the replicas to try for a read, the best first.

    Targets in ``avoid`` (leaving, or unreachable a moment ago) and the primary are
    left out. A target that is known to hold the mark goes before one that is near:
    crossing to another zone costs less than waiting for a replica of unknown lag.
    """
    leader = knowledge.leader.target if knowledge.leader else ""
    replicas = [t for t in group.targets if t.name != leader and t.name not in avoid]

    def preference(target: Target) -> tuple[bool, bool, Position]:
        seen = knowledge.seen.get(target.name, START)
        holds = seen >= mark.position or target.name in mark.holders
        return holds, target.zone == zone, seen

    return sorted(replicas, key=preference, reverse=True)
