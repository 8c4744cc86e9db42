"""Which replica may take over from a primary, and when none may.

An acknowledged commit has been received by the primary and by one replica at least.
While a replica is paused it receives nothing, so no commit is acknowledged through it.
Once every replica but the chosen one is paused, whatever is acknowledged has been
received by the chosen one, or was received by a paused one before. So the chosen one
must have received at least as much as every paused one; with all of them paused, the
one that received most is safe.

A replica that does not answer may be the only one that has a commit. Nobody may take
over then, until it answers or the platform takes it for gone with its log.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum, auto

from lavenderstack.core.position import Position


@dataclass(frozen=True, slots=True)
class ReplicaState:
    """A replica as asked: ``received`` is None if it gave no answer.

    ``leads`` says that it is no replica at all, but has taken over meanwhile.
    """

    name: str
    leaving: bool
    received: Position | None
    paused: bool = False
    leads: bool = False


class Obstacle(Enum):
    """Why no replica may take over now."""

    NO_REPLICA = auto()
    SILENT_REPLICA = auto()
    BEHIND = auto()
    LED = auto()


def most_advanced(followers: Sequence[ReplicaState]) -> ReplicaState | None:
    """Return the follower that received most; one that stays before one that leaves.

    >>> most_advanced([Follower("a", False, Position(1, 2)),
    ...                Follower("b", False, Position(1, 3))]).name
    'b'
    """
    answered = [one for one in followers if one.received is not None]
    return max(
        answered,
        key=lambda one: (one.received, not one.leaving, one.name),
        default=None,
    )


def choose_successor(
    followers: Sequence[ReplicaState], replicated: bool
) -> ReplicaState | Obstacle:
    """Return who takes over from a primary that is lost.

    ``followers`` are all replicas, paused. Without ``replicated``, commits are
    acknowledged by the primary alone and any replica will do.
    """
    if any(one.leads for one in followers):
        return Obstacle.LED
    best = most_advanced(followers)
    if best is None:
        return Obstacle.NO_REPLICA
    if replicated and any(one.received is None for one in followers):
        return Obstacle.SILENT_REPLICA
    return best


def takeover_obstacle(
    candidate: ReplicaState, others: Sequence[ReplicaState], replicated: bool
) -> Obstacle | None:
    """Tell whether a candidate may take over from a primary that still works.

    ``others`` are paused; the candidate goes on receiving.
    """
    if candidate.received is None:
        return Obstacle.NO_REPLICA
    if candidate.leads or any(one.leads for one in others):
        return Obstacle.LED
    if not replicated:
        return None
    if any(one.received is None or not one.paused for one in others):
        return Obstacle.SILENT_REPLICA
    if any(one.received > candidate.received for one in others):
        return Obstacle.BEHIND
    return None
