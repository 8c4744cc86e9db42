"""What a replica must have received before it takes over without a complete set.

The position is known in one of three ways: an answer of the lost primary and what all
nodes acknowledged since; what all nodes that were ever registered acknowledged; or all
targets that were ever in the group but one are present, and the registered nodes
acknowledged no more. Otherwise no replica may take over, and the obstacle tells why.
"""

from dataclasses import dataclass

from lavenderstack.core.failover.replacement import Obstacle, ReplicaState
from lavenderstack.core.position import Position


@dataclass(frozen=True, slots=True)
class AcknowledgedEnd:
    """The highest position of a group that may have been acknowledged.

    ``position`` is None if that isn't known. ``untold`` are the nodes that may have
    acknowledged more and didn't tell, or that started again since.
    """

    position: Position | None = None
    untold: tuple[str, ...] = ()


def takeover_blocker(
    end: AcknowledgedEnd,
    best: ReplicaState | None,
    missing: bool,
    grown: bool,
) -> Obstacle | None:
    """Return why the most advanced replica may not take over, None if it may.

    ``missing`` tells that a recorded replica isn't registered, ``grown`` that a replica
    has received more since the last check, so that a primary runs.
    """
    if best is None:
        return Obstacle.NO_REPLICA
    if end.position is None:
        return _unknown_end(end, missing)
    if best.received < end.position:
        return Obstacle.BEHIND
    return Obstacle.PRIMARY_RUNS if grown else None


def _unknown_end(end: AcknowledgedEnd, missing: bool) -> Obstacle:
    if missing:
        return Obstacle.MISSING_REPLICA
    return Obstacle.SILENT_NODE if end.untold else Obstacle.UNKNOWN_HISTORY
