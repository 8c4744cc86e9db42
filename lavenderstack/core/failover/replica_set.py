"""Which replicas must be heard before a primary may be replaced.

An acknowledged commit has been received by the primary and by at least one replica. If
that replica leaves, or starts again without its log, the commit may be left on the
primary alone. Promoting another replica then loses it, even though every replica that
is still registered answers.

The owner of a group therefore records the group's replica set: every acknowledged
commit is in the log of the primary and in that of a replica of the set, or of one that
joined later. A replica leaves the set only after a proof: while the primary answers, a
remaining replica has received all that the primary's log held after the other one had
gone. A replica that joined and left since the set was recorded counts as one of it.

If a replica of the set is gone and the primary is lost as well, no proof is possible
any more. A replica may then take over only if it has received everything that the
nodes have acknowledged; all acknowledgements pass through them.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from lavenderstack.core.failover.replacement import ReplicaState
from lavenderstack.core.position import Position


class TargetRun(NamedTuple):
    """One run of a target, from its start to its end.

    A target that starts again under its name holds nothing of before. ``started_ms`` is
    the Unix time of the start in milliseconds, 0 if it is unknown.
    """

    name: str
    started_ms: int = 0


@dataclass(frozen=True, slots=True)
class ReplicaSet:
    """The recorded replica set of a group under one primary.

    It takes account of all targets that left up to the store's position ``as_of``.
    """

    primary: str
    replicas: frozenset[TargetRun]
    as_of: int = field(default=0, compare=False)


@dataclass(frozen=True, slots=True)
class AcknowledgedPosition:
    """The highest position that a node has acknowledged since its start.

    The node started ``uptime_s`` seconds ago.
    """

    position: Position
    uptime_s: float


@dataclass(frozen=True, slots=True)
class Membership:
    """The runs of a group's targets, without the primary, as one node knows them.

    ``present`` are registered, ``departed`` have left since the set was recorded. All
    changes up to the store's position ``as_of`` are known.
    """

    present: frozenset[TargetRun]
    departed: frozenset[TargetRun] = frozenset()
    as_of: int = field(default=0, compare=False)


def missing_replicas(
    recorded: ReplicaSet | None, members: Membership
) -> frozenset[TargetRun]:
    """Return the replicas that count as part of the set and are not registered."""
    if recorded is None:
        return frozenset()
    departed = {run for run in members.departed if run.name != recorded.primary}
    return recorded.replicas.union(departed).difference(members.present)


def is_complete(recorded: ReplicaSet | None, primary: str, members: Membership) -> bool:
    """Return whether the registered replicas hold every acknowledged commit.

    ``primary`` is the one to be replaced, empty if it is not registered any more.
    """
    if recorded is None or primary not in ("", recorded.primary):
        return False
    return not missing_replicas(recorded, members)


def is_proof(end: Position, replicas: Iterable[ReplicaState]) -> bool:
    """Return whether a replica has received all that the primary's log held.

    ``end`` is the end of the primary's log. It was asked for after the registered
    replicas were known, and before the status of ``replicas`` was.
    """
    return any(
        replica.received is not None and replica.received >= end for replica in replicas
    )


def joined(
    recorded: ReplicaSet | None, primary: str, members: Membership
) -> ReplicaSet | None:
    """Return the recorded set with the replicas that joined, None if there is none."""
    if recorded is None or recorded.primary != primary:
        return None
    missing = missing_replicas(recorded, members)
    return ReplicaSet(primary, members.present.union(missing), members.as_of)


def proved(primary: str, members: Membership) -> ReplicaSet:
    """Return the set after a proof: the registered replicas alone."""
    return ReplicaSet(primary, members.present, members.as_of)


def highest_acknowledged(
    position: Position, age_s: float, nodes: Iterable[AcknowledgedPosition | None]
) -> Position | None:
    """Return the highest position that may have been acknowledged, if it is known.

    ``position`` is the end of the primary's log ``age_s`` seconds ago. ``nodes`` are
    the answers of all nodes that may have passed on acknowledgements since then.
    Returns None if one gave no answer or has been running for less than that time.
    """
    highest = position
    for node in nodes:
        if node is None or node.uptime_s < age_s:
            return None
        highest = max(highest, node.position)
    return highest
