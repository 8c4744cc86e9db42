"""Which replica may take over from a primary, and when none may.

An acknowledged commit has been received by the primary and by at least one replica. A
paused replica receives nothing, so no commit is acknowledged through it. Once every
replica except the chosen one is paused, whatever is acknowledged has been received by
the chosen one, or was received by a paused one before. So the chosen one must have
received at least as much as every paused one; if all are paused, the one that received
most is safe.

A replica that lives on without a registration isn't paused, and neither is one that
joins after the others were listed. While there may be one, all nodes must hold back
acknowledgements (``core/failover/acknowledgement_hold.py``).

A replica that does not answer may be the only one that has a commit. Then no replica
may take over until it answers. What a replica that is gone may have had is decided in
``core/failover/replica_set.py``.
"""

from collections.abc import Container, Sequence
from dataclasses import dataclass
from enum import Enum, auto

from lavenderstack.core.position import Position


@dataclass(frozen=True, slots=True)
class ReplicaState:
    """The state of a replica; ``received`` is None if it gave no answer.

    ``leads`` means that it is no longer a replica but has become the primary,
    ``evacuated`` that its zone is evacuated.
    """

    name: str
    leaving: bool
    received: Position | None
    paused: bool = False
    leads: bool = False
    evacuated: bool = False


class Obstacle(Enum):
    """Why no replica may take over now; the names appear in the log.

    ``SILENT_REPLICA``: a replica gave no answer or isn't paused. ``BEHIND``: it lacks
    what another replica received or a node acknowledged. ``LED``: a replica has already
    become the primary. ``MISSING_REPLICA``: a replica that may alone have a commit is
    not registered any more (``core/failover/replica_set.py``). ``SILENT_NODE``: a node
    that may have acknowledged more, or may yet do so, didn't tell, or started again.
    ``UNKNOWN_HISTORY``: the owner doesn't know all that were ever registered
    (``core/failover/store_history.py``) and never had an answer of the primary.
    ``PRIMARY_RUNS``: the replicas receive log entries. ``EVACUATED``: the replica that
    received most is in an evacuated zone. ``ISOLATED``: too few nodes answer this one,
    so the silence of the primary proves nothing (``core/failover/isolation.py``).
    """

    NO_REPLICA = auto()
    SILENT_REPLICA = auto()
    BEHIND = auto()
    LED = auto()
    MISSING_REPLICA = auto()
    EVACUATED = auto()
    SILENT_NODE = auto()
    UNKNOWN_HISTORY = auto()
    PRIMARY_RUNS = auto()
    ISOLATED = auto()


def most_advanced(
    replicas: Sequence[ReplicaState], ordered: Container[str] = ()
) -> ReplicaState | None:
    """Return the replica that received most.

    Of equals, one is taken that is not in an evacuated zone, that an order names which
    may still be carried out (``ordered``), and that is not leaving.

    >>> most_advanced([ReplicaState("a", False, Position(1, 2)),
    ...                ReplicaState("b", False, Position(1, 3))]).name
    'b'
    """
    answered = [replica for replica in replicas if replica.received is not None]
    return max(
        answered,
        key=lambda replica: (
            replica.received,
            not replica.evacuated,
            replica.name in ordered,
            not replica.leaving,
            replica.name,
        ),
        default=None,
    )


def choose_successor(
    replicas: Sequence[ReplicaState], replicated: bool, ordered: Container[str] = ()
) -> ReplicaState | Obstacle:
    """Return the replica that takes over from a failed primary, or why none may.

    ``replicas`` are all replicas of the group, paused. If ``replicated`` is False,
    commits are acknowledged by the primary alone and any replica may take over. For
    ``ordered`` see ``most_advanced``.
    """
    if any(replica.leads for replica in replicas):
        return Obstacle.LED
    chosen = most_advanced(replicas, ordered)
    if chosen is None:
        return Obstacle.NO_REPLICA
    if replicated and not all(replica.paused for replica in replicas):
        return Obstacle.SILENT_REPLICA
    return Obstacle.EVACUATED if chosen.evacuated else chosen


def commit_obstacle(
    chosen: ReplicaState, told: Position, unregistered: bool, held: bool
) -> Obstacle | None:
    """Return why a chosen replica may lack an acknowledged commit, None if it can't.

    ``told`` is the highest position that a node has acknowledged. ``unregistered``
    tells that a replica may receive without being registered or paused, ``held`` that
    all nodes hold back acknowledgements.
    """
    if chosen.received < told:
        return Obstacle.BEHIND
    return Obstacle.SILENT_NODE if unregistered and not held else None


def takeover_obstacle(
    candidate: ReplicaState, others: Sequence[ReplicaState], replicated: bool
) -> Obstacle | None:
    """Return why a candidate may not take over from a working primary, None if it may.

    ``others`` are paused; the candidate continues to receive.
    """
    if candidate.received is None:
        return Obstacle.SILENT_REPLICA
    if candidate.leads or any(replica.leads for replica in others):
        return Obstacle.LED
    if candidate.evacuated:
        return Obstacle.EVACUATED
    if not replicated:
        return None
    if any(replica.received is None or not replica.paused for replica in others):
        return Obstacle.SILENT_REPLICA
    if any(replica.received > candidate.received for replica in others):
        return Obstacle.BEHIND
    return None
