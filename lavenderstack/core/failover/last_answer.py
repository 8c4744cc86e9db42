"""The last position that a primary reported, and what was acknowledged since.

The nodes tell how far they have acknowledged. Together with the primary's last answer
that bounds what may have been acknowledged, unless a node started again meanwhile.
"""

from dataclasses import dataclass

from lavenderstack.core.failover import replica_set
from lavenderstack.core.failover.acknowledged_end import AcknowledgedEnd
from lavenderstack.core.failover.replica_set import AcknowledgedPosition
from lavenderstack.core.position import Position
from lavenderstack.core.work_messages import GroupPosition


@dataclass(frozen=True, slots=True)
class LastAnswer:
    """The last position that a group's primary reported to this node.

    ``at`` is the clock time in seconds from which on the answer holds, ``nodes`` are
    the nodes that were registered then or shortly before. ``leads_since`` identifies
    the lead under which the primary answered, as in ``TargetState``.
    """

    primary: str
    position: Position
    at: float
    nodes: frozenset[str]
    leads_since: int


def end_since(
    last: LastAnswer, asked_at: float, told: dict[str, GroupPosition | None]
) -> AcknowledgedEnd:
    """Return the end of the primary's log in its last answer and what came after."""
    age_s = asked_at - last.at
    proved = {name: _proved_by(one, name in last.nodes) for name, one in told.items()}
    untold = (
        name
        for name, one in proved.items()
        if replica_set.highest_acknowledged(last.position, age_s, [one]) is None
    )
    return AcknowledgedEnd(
        replica_set.highest_acknowledged(last.position, age_s, proved.values()),
        tuple(sorted(untold)),
    )


def _proved_by(
    answer: GroupPosition | None, was_registered: bool
) -> AcknowledgedPosition | None:
    """Return what a node's answer proves.

    A node that was registered at the primary's last answer must have run since then. A
    later one has passed on nothing before its registration.
    """
    if answer is None:
        return None
    uptime_s = answer.uptime_s if was_registered else float("inf")
    return AcknowledgedPosition(Position(*answer.position), uptime_s)
