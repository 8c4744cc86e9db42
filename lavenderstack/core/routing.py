"""Selects the target for a statement.

A read that need not be proved to come from the primary goes to a replica. Replicas
known to hold what the session has seen come first, then those in the caller's own
availability zone, then those with the highest known position. Other statements go to
the primary.
"""

from collections.abc import Collection
from dataclasses import dataclass, field

from lavenderstack.core.position import START, Position
from lavenderstack.core.request import Request
from lavenderstack.core.token import Watermark
from lavenderstack.core.view import Group, Target


@dataclass(frozen=True, slots=True)
class TermPrimary:
    """The primary of a group in a term; ``target`` is empty if there is none."""

    term: int
    target: str


@dataclass(slots=True)
class GroupStatus:
    """What this node knows of a group: its primary and its targets' positions.

    ``primary_uncertain`` means that the known primary may have been replaced. ``seen``
    holds the highest position that each target is known to have reached. ``blocked``
    means that there is no primary and that an evacuation keeps targets from promotion.
    """

    primary: TermPrimary | None = None
    primary_uncertain: bool = False
    blocked: bool = False
    seen: dict[str, Position] = field(default_factory=dict)

    def record_primary(self, term: int, target: str) -> None:
        """Record a primary; an older term never replaces a newer one."""
        if not target or term <= 0:
            return
        if self.primary is None or term >= self.primary.term:
            self.primary = TermPrimary(term, target)
            self.primary_uncertain = self.blocked = False

    def record_blocked(self) -> None:
        """Record that the primary is lost and none can be promoted for now."""
        self.primary_uncertain = self.blocked = True

    def leads(self, target: str) -> bool:
        """Return whether a target is the known primary."""
        return self.primary is not None and self.primary.target == target

    def record_position(self, target: str, position: Position) -> None:
        """Record a position that a target is known to have reached."""
        if position > self.seen.get(target, START):
            self.seen[target] = position


def targets_in_zones(group: Group, zones: Collection[str]) -> set[str]:
    """Return the names of a group's targets in the given zones."""
    return {target.name for target in group.targets if target.zone in zones}


def needs_primary(req: Request) -> bool:
    """Return whether only the primary can serve the request."""
    return req.write or req.fresh


def read_order(
    group: Group,
    watermark: Watermark,
    zone: str,
    status: GroupStatus,
    avoid: Collection[str],
) -> list[Target]:
    """Return the replicas to try for a read, the best first.

    The primary and targets in ``avoid`` (leaving, in an evacuated zone, or recently
    unreachable) are left out. A target known to hold the watermark comes before one in
    the same zone: the latency between zones is lower than waiting for a replica of
    unknown lag.
    """
    primary = status.primary.target if status.primary else ""
    replicas = [t for t in group.targets if t.name != primary and t.name not in avoid]

    def sort_key(target: Target) -> tuple[bool, bool, Position]:
        seen = status.seen.get(target.name, START)
        holds = seen >= watermark.position or target.name in watermark.holders
        return holds, target.zone == zone, seen

    return sorted(replicas, key=sort_key, reverse=True)
